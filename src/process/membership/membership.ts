import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../runtime/clock.js";
import type { DomainLease } from "./domainLease.js";
import { instanceOf, newIncarnation } from "./incarnation.js";
import type { Logger } from "../observability/logger.js";
import { MemberLosses } from "./memberLosses.js";
import { isLargeDomain, observersOf, subjectsOf } from "./observers.js";
import type { Identity, Peers } from "./peers.js";
import type { PlatformError } from "../store/platformError.js";
import type { PlatformTable, RowCondition, RowWrite, TransactionResult } from "../store/platformTable.js";
import {
    leftRowKey,
    memberRowKey,
    memberRowPrefix,
    memberRowSchema,
    type MemberRow,
    type VersionedRow,
} from "../store/rows.js";
import type { TableReplica, Versioned } from "../store/tableReplica.js";
import { LeaseDependents } from "./leaseDependents.js";
import { UnlistedTimes } from "./unlistedTimes.js";

/** Sends a conditional transaction to the table. Membership and ownership make all their writes with it. */
export type Transact = (
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
) => Promise<Result<TransactionResult, PlatformError>>;

/** Changes of the membership that are recorded in the audit trail. */
export type MembershipChange =
    | { type: "registered"; incarnation: string }
    | { type: "activated"; incarnation: string }
    | { type: "removed-member"; incarnation: string }
    | { type: "removed-self"; incarnation: string }
    | { type: "left"; incarnation: string };

/** Additional wait per rank before an observer removes a dead member, in milliseconds; the first has rank 0. */
export const REMOVAL_RANK_WAIT_MS = 200;
/**
 * Time for which a domain that has shrunk is still treated as large, in milliseconds. It is longer than the fallback
 * poll, so that all members treat the domain as large until those with an outdated replica have caught up.
 */
const LARGE_DOMAIN_LINGER_MS = 15_000;
/** Timeout for asking a member whether it knows this instance, in milliseconds. */
const KNOWN_MEMBER_TIMEOUT_MS = 1_000;

/** The writes that delete a member's row and record its removal. */
const removalOf = ({ domain, instance, incarnation }: MemberRow, marks: { by?: string }): RowWrite[] => [
    { key: memberRowKey(domain, instance), value: undefined },
    { key: leftRowKey(domain, instance), value: { incarnation, ...marks } },
];

/**
 * Registers this instance in the table, tracks the other members of its domain and removes dead ones.
 *
 * @example
 * const membership = new Membership({ ... });
 * await membership.register();
 * store.add(repeat(clock, 100, () => membership.tick()));
 */
export class Membership {
    private self: Identity;
    private registeredRow: Versioned<MemberRow> | undefined;
    private busy = false;
    private leaving = false;
    private readonly dependents = new LeaseDependents();
    /** Members whose lease doesn't depend on this instance and that have confirmed that they know it. */
    private readonly knownBy = new Set<string>();
    private readonly pendingKnownQueries = new Set<string>();
    /** Members against which a takeover or removal has an unknown result. */
    private readonly unresolved = new Set<string>();
    /** Number of pending transactions against each member. */
    private readonly pendingTransactions = new Map<string, number>();
    /** Counted members whose row was deleted, with a table version that includes the deletion. */
    private readonly departed = new Map<string, number>();
    private verifying = false;
    private lastLargeAt = -Infinity;
    /** Members that this instance observes, as computed from its replica. */
    private subjects: readonly string[] = [];
    private readonly suspectedSince = new Map<string, number>();
    /** Suspected members that the platform's instance list doesn't show as live. */
    private readonly unlistedSuspects: UnlistedTimes;
    /** Members of this domain that were removed. */
    private readonly losses = new MemberLosses();
    private knownStates = new Map<string, MemberRow["state"]>();
    /** Lost members whose grants may still be valid and that the platform's instance list doesn't show as live. */
    private readonly unlistedLost: UnlistedTimes;

    constructor(
        private readonly options: {
            instance: string;
            domain: string;
            peerAddress: () => string;
            /** Generates an unused incarnation of the instance; random by default. */
            newIncarnation?: (instance: string) => string;
            clock: Clock;
            table: Pick<PlatformTable, "scan" | "read">;
            transact: Transact;
            replica: TableReplica;
            lease: DomainLease;
            peers: () => Peers;
            log: Logger;
            suspicionMs: number;
            minorityWaitMs: number;
            /** Time for which the platform's list must not have shown a dead member before joiners remove it. */
            goneWaitMs: () => number;
            listedLive: () => ReadonlySet<string> | undefined;
            changed: (change: MembershipChange) => void;
        },
    ) {
        this.unlistedSuspects = new UnlistedTimes(options.clock);
        this.unlistedLost = new UnlistedTimes(options.clock);
        this.self = {
            instance: options.instance,
            domain: options.domain,
            incarnation: this.newIncarnation(options.instance),
        };
    }

    /** The current identity of this instance; the incarnation changes when it registers again. */
    identity(): Identity {
        return this.self;
    }

    /** Whether this instance is registered under its current incarnation. */
    isRegistered(): boolean {
        return this.ownRow() !== undefined;
    }

    /** Whether this instance is an active member. */
    isActive(): boolean {
        return this.ownRow()?.value.state === "active";
    }

    /** The condition that makes a transaction of this instance depend on its membership. */
    ownCondition(): RowCondition | undefined {
        const row = this.ownRow();
        return row === undefined ? undefined : { key: this.ownKey(), version: row.version };
    }

    /** Registered members of this domain, this instance included. */
    members(): MemberRow[] {
        return this.options.replica.members(this.options.domain).map(({ value }) => value);
    }

    /** Members of this domain that aren't suspected, this instance included if it is registered. */
    reachableMembers(): MemberRow[] {
        return this.members().filter(({ incarnation }) => !this.isSuspected(incarnation));
    }

    /** Active members that aren't suspected; candidates for dispatching. */
    candidates(): string[] {
        return this.reachableMembers()
            .filter(({ state }) => state === "active")
            .map(({ incarnation }) => incarnation);
    }

    /** Whether this instance is the first candidate, which performs the tasks of only one member per domain. */
    isFirstCandidate(): boolean {
        return this.candidates().sort()[0] === this.self.incarnation;
    }

    /** Whether the table answers a read. */
    async isTableReachable(): Promise<boolean> {
        return (await this.options.table.read([this.ownKey()])).isOk();
    }

    /**
     * Whether more than half of the members from which this instance expects heartbeats or replies aren't suspected,
     * itself included. The state of other members isn't known to it.
     */
    reachesMajority(): boolean {
        const expected = this.members().filter(
            ({ incarnation }) =>
                incarnation === this.self.incarnation || this.options.peers().silenceMs(incarnation) !== undefined,
        );
        return expected.filter(({ incarnation }) => !this.isSuspected(incarnation)).length * 2 > expected.length;
    }

    /**
     * Whether the domain has, or recently had, members that don't observe each other. In such a domain the removal of a
     * member ends its authority at once, and this instance must ensure that the same holds for its own removal.
     */
    isLarge(): boolean {
        return this.options.clock.monotonicMs() - this.lastLargeAt < LARGE_DOMAIN_LINGER_MS;
    }

    /** Members that this instance should observe and that haven't reported that their lease depends on it. */
    unconfirmedSubjects(): string[] {
        return this.subjects.filter(incarnation => this.dependents.includes(incarnation) !== true);
    }

    /** Incarnations of the members that observe a member, as computed from this instance's replica. */
    observersOf(incarnation: string): string[] {
        return this.observersAmong(incarnation, this.members());
    }

    /**
     * The observers of a member among others. A member whose row doesn't name its observers runs a version that acts on
     * the silence of any other member, so the lease of every member must depend on it.
     */
    private observersAmong(incarnation: string, members: readonly MemberRow[]): string[] {
        const incarnations = members.map(member => member.incarnation);
        const actOnAll = members.filter(({ observers }) => observers === undefined).map(member => member.incarnation);
        const observers = new Set([...observersOf(incarnation, incarnations), ...actOnAll]);
        observers.delete(incarnation);
        return [...observers];
    }

    /** Candidates that observe a member. This instance counts as one if the member's lease depends on it. */
    observingCandidates(incarnation: string): string[] {
        const observers = new Set(this.observersOf(incarnation));
        if (this.isCountedBy(incarnation)) {
            observers.add(this.self.incarnation);
        }
        return this.candidates().filter(candidate => observers.has(candidate));
    }

    /** Whether a member's lease depends on this instance's promise, by the member's last report or else by its row. */
    isCountedBy(incarnation: string): boolean {
        const reported = this.dependents.includes(incarnation);
        if (reported !== undefined) {
            return reported;
        }
        const row = this.members().find(member => member.incarnation === incarnation);
        return row !== undefined && (row.observers === undefined || row.observers.includes(this.self.incarnation));
    }

    /**
     * Whether a member that is no longer registered depended on this instance until the end and no longer holds a
     * promise of it. Its lease has lapsed in that case, since it gets no further promise.
     */
    confirmsObservedLapse(incarnation: string): boolean {
        const promisedUntil = this.options.lease.promisedUntil(incarnation);
        return (
            this.dependents.includes(incarnation) === true &&
            !this.isMember(incarnation) &&
            promisedUntil !== undefined &&
            promisedUntil <= this.options.clock.monotonicMs()
        );
    }

    /**
     * Whether the absence of a member's row proves that its lease had lapsed: a member is removed only by one on whose
     * promise its lease depended, after that promise had lapsed. It proves nothing if a later start of the instance has
     * replaced the row, or in a small domain, to which the rules of a full mesh apply.
     */
    isRemoved(incarnation: string): boolean {
        const instance = instanceOf(incarnation);
        const registered = this.members().filter(({ state }) => state !== "joining").length;
        return (
            this.options.replica.get(memberRowKey(this.options.domain, instance), memberRowSchema) === undefined &&
            isLargeDomain(registered + 1)
        );
    }

    /**
     * Number of other members that were removed since shortly before a member was lost. `undefined` if this instance
     * didn't observe that loss.
     */
    lostWith(incarnation: string): number | undefined {
        return this.losses.lostWith(incarnation);
    }

    /**
     * Whether the platform's instance list hasn't shown the instance of a lost member as live for longer than any of
     * its authority can last. The time is measured from the first call.
     */
    isGoneFromPlatform(incarnation: string): boolean {
        const isListed = this.options.listedLive()?.has(instanceOf(incarnation)) ?? true;
        // Keyed by incarnation, since a later start of the instance may have been listed between two losses.
        this.unlistedLost.update(incarnation, isListed);
        return this.unlistedLost.isLongerThan(incarnation, this.options.goneWaitMs());
    }

    isSuspected(incarnation: string): boolean {
        return this.suspectedSince.has(incarnation);
    }

    /** Monotonic milliseconds since which a member is suspected, or `undefined`. */
    suspectedAt(incarnation: string): number | undefined {
        return this.suspectedSince.get(incarnation);
    }

    /**
     * Whether this instance may act on the suspicion of a member now. Only the members on which its lease depends may,
     * or any member if no active one is left.
     */
    mayActOn(incarnation: string): boolean {
        return this.isSuspicionDue(incarnation) && (this.isCountedBy(incarnation) || this.candidates().length === 0);
    }

    private isSuspicionDue(incarnation: string): boolean {
        const since = this.suspectedSince.get(incarnation);
        if (since === undefined) {
            return false;
        }
        const wait = this.reachesMajority() ? 0 : this.options.minorityWaitMs;
        return this.options.clock.monotonicMs() - since >= wait;
    }

    /** Records a member's report whether its lease depends on this instance's promise. */
    recordLeaseDependency(incarnation: string, sequence: number, counts: boolean): void {
        this.dependents.record(incarnation, sequence, counts);
    }

    /** Whether a member with this incarnation is registered in any domain. */
    isMember(incarnation: string): boolean {
        return this.options.replica.hasMember(incarnation);
    }

    /**
     * Registers this instance. A row of an earlier incarnation of the same instance is replaced. Returns the platform's
     * error on failure; the caller retries.
     */
    async register(): Promise<Result<void, PlatformError>> {
        const { replica, domain, peerAddress, transact } = this.options;
        const read = await this.options.table.scan(memberRowPrefix(domain));
        if (read.isErr()) {
            return err(read.error);
        }
        replica.apply(read.value.rows);
        const incarnation = this.newIncarnation(this.self.instance);
        const present = this.members().filter(({ instance }) => instance !== this.self.instance);
        const observers = this.observersAmong(incarnation, present);
        const value: MemberRow = {
            instance: this.self.instance,
            domain,
            incarnation,
            peerAddress: peerAddress(),
            state: "joining",
            observers,
            attempt: "",
        };
        const condition = { key: this.ownKey(), version: replica.conditionVersion(this.ownKey()) };
        const written = await transact([condition], [{ key: this.ownKey(), value }]);
        if (written.isErr()) {
            return err(written.error);
        }
        if (written.value.type === "conflict") {
            replica.apply(written.value.rows);
            return err({ type: "platform-unavailable", detail: "The member row changed during registration." });
        }
        // Of two members that register at the same time, at least one sees the other in this second read.
        const others = await this.options.table.scan(memberRowPrefix(domain));
        if (others.isErr()) {
            return err(others.error);
        }
        this.self = { ...this.self, incarnation };
        this.dependents.clear();
        this.knownBy.clear();
        this.departed.clear();
        this.updateSubjects();
        replica.apply([...written.value.rows, ...others.value.rows]);
        this.registeredRow = replica.get(this.ownKey(), memberRowSchema);
        this.updateSubjects();
        const registered = this.otherIncarnations();
        // By its row, this instance's lease depends on these observers. Those removed since can't act any more.
        const counted = new Set([...observers, ...this.observersOf(incarnation)]);
        const initial = registered.filter(other => counted.has(other));
        this.options.lease.setMembers(registered, true, initial);
        this.options.lease.setMembers(registered, false, this.observersOf(incarnation));
        this.options.log.info("Registered as a member.", { incarnation, domain });
        this.options.changed({ type: "registered", incarnation });
        return ok(undefined);
    }

    /** Handles changes of the member rows; to be called after each change of the replica. */
    replicaChanged(changed: readonly VersionedRow[]): void {
        if (!changed.some(row => row.key.startsWith("member/"))) {
            return;
        }
        this.recordLosses();
        [...this.suspectedSince.keys()]
            .filter(incarnation => !this.isMember(incarnation))
            .forEach(incarnation => this.suspectedSince.delete(incarnation));
        this.updateSubjects();
        if (this.registeredRow !== undefined) {
            this.updateDeparted(Math.max(...changed.map(({ version }) => version)));
            void this.verifyDepartures();
        }
    }

    /** Records members of this domain whose rows were deleted, unless they left on their own. */
    private recordLosses(): void {
        const now = this.options.clock.monotonicMs();
        const states = new Map(this.members().map(({ incarnation, state }) => [incarnation, state]));
        for (const [incarnation, state] of this.knownStates) {
            const suspectedAt = this.suspectedSince.get(incarnation);
            if (!states.has(incarnation) && (state !== "leaving" || suspectedAt !== undefined)) {
                this.losses.add(incarnation, suspectedAt ?? now, now);
            }
        }
        this.knownStates = states;
    }

    private updateSubjects(): void {
        const incarnations = this.members().map(({ incarnation }) => incarnation);
        this.subjects = subjectsOf(this.self.incarnation, incarnations);
        this.updateLastLarge(incarnations.length);
    }

    private updateLastLarge(members: number): void {
        if (isLargeDomain(members + this.departed.size)) {
            this.lastLargeAt = this.options.clock.monotonicMs();
        }
    }

    /** Records which counted members were removed by a version of the table, and sets the members of the lease. */
    private updateDeparted(version: number): void {
        const { lease } = this.options;
        const present = this.otherIncarnations();
        if (this.isLarge()) {
            lease
                .countedMembers()
                .filter(incarnation => !present.includes(incarnation) && !this.departed.has(incarnation))
                .forEach(incarnation => this.departed.set(incarnation, version));
        }
        this.setLeaseMembers();
    }

    private setLeaseMembers(): void {
        const members = [...this.otherIncarnations(), ...this.departed.keys()];
        this.options.lease.setMembers(members, false, this.observersOf(this.self.incarnation));
    }

    /**
     * Ends the dependence of the lease on removed members once the table shows that this instance is still registered
     * after their removal. Otherwise the lease could stop depending on a member that removed this instance and was then
     * removed itself, and would become valid again although others act on the removal of this instance.
     */
    private async verifyDepartures(): Promise<void> {
        if (this.departed.size === 0 || this.verifying) {
            return;
        }
        this.verifying = true;
        const { incarnation } = this.self;
        const read = await this.options.table.read([this.ownKey()]);
        this.verifying = false;
        if (read.isErr() || incarnation !== this.self.incarnation) {
            return;
        }
        const own = memberRowSchema.safeParse(read.value.rows.find(({ key }) => key === this.ownKey())?.value);
        if (!own.success || own.data.incarnation !== incarnation) {
            return;
        }
        for (const [member, version] of this.departed) {
            if (version <= read.value.revision) {
                this.departed.delete(member);
            }
        }
        this.setLeaseMembers();
    }

    /** Updates suspicions, then activates this instance, removes dead members or registers again as needed. */
    async tick(): Promise<void> {
        this.updateSuspicions();
        this.updateLastLarge(this.members().length);
        void this.verifyDepartures();
        if (this.busy) {
            return;
        }
        this.busy = true;
        try {
            await this.act();
        } finally {
            this.busy = false;
        }
    }

    /** Marks this instance as leaving, so that no target is assigned to it. */
    async announceLeaving(): Promise<void> {
        this.leaving = true;
        await this.writeOwnState("leaving");
    }

    /** Deletes this instance's member row, as the last step of a graceful shutdown. The lease ends first. */
    async leave(): Promise<void> {
        this.options.lease.end();
        const row = this.ownRow();
        if (row === undefined) {
            return;
        }
        const result = await this.options.transact(
            [{ key: this.ownKey(), version: row.version }],
            removalOf(row.value, {}),
        );
        if (result.isOk() && result.value.type === "committed") {
            this.options.replica.apply(result.value.rows);
            this.options.peers().pushRows(result.value.rows, false);
            this.options.changed({ type: "left", incarnation: this.self.incarnation });
        }
    }

    private async act(): Promise<void> {
        if (this.registeredRow !== undefined && this.ownRow() === undefined && !this.leaving) {
            const { incarnation } = this.self;
            this.options.log.warn("The member row was deleted; registering again.", { incarnation });
            this.options.changed({ type: "removed-self", incarnation });
            this.registeredRow = undefined;
        }
        if (this.registeredRow === undefined && !this.leaving) {
            await this.register();
            return;
        }
        await this.resolveUnknownResults();
        await this.activateIfCounted();
        await this.removeDeadMembers();
    }

    /**
     * Records that the result of a transaction against a member is unknown. That member gets no promise until the
     * result is resolved, since the transaction may still take effect.
     */
    markUnresolved(incarnation: string): void {
        this.unresolved.add(incarnation);
        this.options.lease.withhold(incarnation);
    }

    /**
     * Resolves transactions with an unknown result. They are all conditional on the version of this instance's member
     * row, so rewriting that row prevents delayed ones from taking effect; the effects of earlier ones are read
     * afterwards.
     */
    private async resolveUnknownResults(): Promise<void> {
        const row = this.ownRow();
        if (this.unresolved.size === 0 || row === undefined || !(await this.writeOwnState(row.value.state))) {
            return;
        }
        for (const prefix of ["member/", "target/"]) {
            const rows = await this.options.table.scan(prefix);
            if (rows.isErr()) {
                return;
            }
            this.options.replica.apply(rows.value.rows);
        }
        this.unresolved.clear();
    }

    /**
     * Runs a transaction against members. None of them gets a promise while it is pending: a member that responds again
     * would otherwise hold a lease when the transaction takes effect.
     */
    async withholdDuring<Value>(incarnations: readonly string[], transaction: () => Promise<Value>): Promise<Value> {
        for (const incarnation of incarnations) {
            this.options.lease.withhold(incarnation);
            this.pendingTransactions.set(incarnation, (this.pendingTransactions.get(incarnation) ?? 0) + 1);
        }
        try {
            return await transaction();
        } finally {
            for (const incarnation of incarnations) {
                const left = (this.pendingTransactions.get(incarnation) ?? 1) - 1;
                if (left > 0) {
                    this.pendingTransactions.set(incarnation, left);
                } else {
                    this.pendingTransactions.delete(incarnation);
                }
            }
        }
    }

    private async activateIfCounted(): Promise<void> {
        const row = this.ownRow();
        if (row?.value.state !== "joining") {
            return;
        }
        const waitedFor = this.otherIncarnations().filter(
            other => this.dependents.includes(other) !== true && !this.knownBy.has(other),
        );
        if (waitedFor.length > 0) {
            waitedFor
                .filter(other => !this.observersOf(other).includes(this.self.incarnation))
                .forEach(other => void this.askWhetherKnown(other));
            return;
        }
        if (await this.writeOwnState("active")) {
            this.options.log.info("Became an active member.", { incarnation: this.self.incarnation });
            this.options.changed({ type: "activated", incarnation: this.self.incarnation });
        }
    }

    /**
     * Asks a member that this instance doesn't observe whether it knows this instance. All members must know each
     * active one, or a member could treat a domain as small that others treat as large.
     */
    private async askWhetherKnown(other: string): Promise<void> {
        if (this.pendingKnownQueries.has(other)) {
            return;
        }
        const { incarnation } = this.self;
        this.pendingKnownQueries.add(other);
        const link = this.options.peers().controlLink(other);
        const answer = await link?.ask("known-member", incarnation, KNOWN_MEMBER_TIMEOUT_MS);
        this.pendingKnownQueries.delete(other);
        if (answer === "true" && incarnation === this.self.incarnation) {
            this.knownBy.add(other);
        }
    }

    private async writeOwnState(state: MemberRow["state"]): Promise<boolean> {
        const row = this.ownRow();
        if (row === undefined) {
            return false;
        }
        const key = this.ownKey();
        const result = await this.options.transact(
            [{ key, version: row.version }],
            [{ key, value: { ...row.value, state } }],
        );
        if (result.isErr()) {
            return false;
        }
        this.options.replica.apply(result.value.rows);
        this.options.peers().pushRows(result.value.rows, false);
        return result.value.type === "committed";
    }

    private async removeDeadMembers(): Promise<void> {
        const own = this.ownRow();
        if (own === undefined || this.leaving) {
            return;
        }
        this.updateUnlistedSuspects();
        for (const member of this.members()) {
            // Checked for each member in turn, since during a removal another member may respond, or its lease may stop
            // depending on this instance. The table must answer first: while it doesn't, the result of a removal stays
            // unknown, and a wrongly suspected member would get no promise until the table answers again.
            if (this.isRemovalDue(member) && (await this.isTableReachable()) && this.isRemovalDue(member)) {
                await this.removeMember(member);
            }
        }
    }

    private isRemovalDue({ incarnation, instance }: MemberRow): boolean {
        const { self, options } = this;
        if (!this.isSuspicionDue(incarnation)) {
            return false;
        }
        if (this.candidates().length === 0) {
            const first = this.reachableMembers()
                .map(member => member.incarnation)
                .sort()[0];
            return first === self.incarnation && this.isGoneFromList(instance);
        }
        if (!this.isCountedBy(incarnation)) {
            // The member may have been lost together with all members on which its lease depends. No member can then
            // confirm a lapsed promise, so the instance list decides, as in a domain without active members.
            return this.subjects.includes(incarnation) && this.isGoneFromList(instance);
        }
        const rank = this.observingCandidates(incarnation).sort().indexOf(self.incarnation);
        if (!isLargeDomain(this.members().length)) {
            return rank === 0;
        }
        // An observer doesn't know whether the others are alive, so each of them acts after a wait that depends on its
        // rank.
        const lapsesAt = Math.max(
            this.suspectedSince.get(incarnation) ?? Infinity,
            options.lease.promisedUntil(incarnation) ?? -Infinity,
        );
        return rank >= 0 && options.clock.monotonicMs() >= lapsesAt + rank * REMOVAL_RANK_WAIT_MS;
    }

    /**
     * Removes a suspected member. The promise that this instance gave it must have lapsed first: the leases of others
     * no longer depend on a removed member, and its own lease must not outlive its membership.
     */
    private async removeMember(member: MemberRow): Promise<void> {
        const { lease, replica, clock, transact, log } = this.options;
        lease.withhold(member.incarnation);
        if ((lease.promisedUntil(member.incarnation) ?? -Infinity) > clock.monotonicMs()) {
            return;
        }
        const key = memberRowKey(member.domain, member.instance);
        const row = replica.get(key, memberRowSchema);
        const own = this.ownCondition();
        if (row === undefined || row.value.incarnation !== member.incarnation || own === undefined) {
            return;
        }
        const result = await this.withholdDuring([member.incarnation], () =>
            transact([own, { key, version: row.version }], removalOf(member, { by: this.self.incarnation })),
        );
        if (result.isErr()) {
            if (result.error.type !== "platform-unavailable") {
                this.markUnresolved(member.incarnation);
            }
            return;
        }
        replica.apply(result.value.rows);
        this.options.peers().pushRows(result.value.rows, false);
        if (result.value.type === "committed") {
            log.warn("Removed a member that gave no sign of life.", { member: member.incarnation });
            this.options.changed({ type: "removed-member", incarnation: member.incarnation });
        }
    }

    private updateSuspicions(): void {
        const now = this.options.clock.monotonicMs();
        for (const { incarnation } of this.members()) {
            if (incarnation === this.self.incarnation) {
                continue;
            }
            const silence = this.options.peers().silenceMs(incarnation) ?? 0;
            if (silence <= this.options.suspicionMs) {
                if (this.suspectedSince.delete(incarnation)) {
                    this.options.log.info("A suspected member responds again.", { member: incarnation });
                }
                if (!this.unresolved.has(incarnation) && !this.pendingTransactions.has(incarnation)) {
                    this.options.lease.release(incarnation);
                }
            } else if (!this.suspectedSince.has(incarnation)) {
                this.suspectedSince.set(incarnation, now);
                this.options.log.warn("A member doesn't respond.", { member: incarnation });
            }
        }
    }

    /** Tracks which suspected members the platform's instance list doesn't show as live. */
    private updateUnlistedSuspects(): void {
        if (this.suspectedSince.size === 0) {
            this.unlistedSuspects.clear();
            return;
        }
        const live = this.options.listedLive();
        for (const { instance, incarnation } of this.members()) {
            const isListed = live?.has(instance) ?? true;
            this.unlistedSuspects.update(instance, isListed || !this.isSuspected(incarnation));
        }
    }

    /** Whether the platform's instance list hasn't shown a suspected instance as live for `goneWaitMs`. */
    private isGoneFromList(instance: string): boolean {
        return this.unlistedSuspects.isLongerThan(instance, this.options.goneWaitMs());
    }

    private otherIncarnations(): string[] {
        return this.members()
            .map(({ incarnation }) => incarnation)
            .filter(incarnation => incarnation !== this.self.incarnation);
    }

    private newIncarnation(instance: string): string {
        return (this.options.newIncarnation ?? newIncarnation)(instance);
    }

    private ownKey(): string {
        return memberRowKey(this.options.domain, this.options.instance);
    }

    private ownRow(): Versioned<MemberRow> | undefined {
        const row = this.options.replica.get(this.ownKey(), memberRowSchema);
        return this.registeredRow !== undefined && row?.value.incarnation === this.self.incarnation ? row : undefined;
    }
}
