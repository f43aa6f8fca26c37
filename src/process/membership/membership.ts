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
import { ToldCounts } from "./toldCounts.js";
import { UnlistedTimes } from "./unlistedTimes.js";

/** The part of the table client that membership and ownership write through. */
export type Transact = (
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
) => Promise<Result<TransactionResult, PlatformError>>;

/** Changes of the membership that are worth an audit record. */
export type MembershipChange =
    | { type: "registered"; incarnation: string }
    | { type: "activated"; incarnation: string }
    | { type: "removed-member"; incarnation: string }
    | { type: "removed-self"; incarnation: string }
    | { type: "left"; incarnation: string };

/** Additional wait per place behind the first observer of a dead member, before the next one removes it. */
export const REMOVAL_RANK_WAIT_MS = 200;
/**
 * Time for which a domain that has become small is still treated as large, in milliseconds. It is longer than the
 * fallback poll, so that members whose replica lags treat it as large too.
 */
const LARGE_DOMAIN_LINGER_MS = 15_000;
/** Time that a member has to answer whether it knows this instance, in milliseconds. */
const KNOWN_MEMBER_TIMEOUT_MS = 1_000;

/** The writes that remove a member's row. */
const removalOf = ({ domain, instance, incarnation }: MemberRow, marks: { by?: string }): RowWrite[] => [
    { key: memberRowKey(domain, instance), value: undefined },
    { key: leftRowKey(domain, instance), value: { incarnation, ...marks } },
];

/**
 * Registers this instance in the table, follows the other members of its domain and removes dead ones.
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
    private readonly told = new ToldCounts();
    /** Members that know this instance although their lease doesn't depend on it. */
    private readonly knownBy = new Set<string>();
    private readonly askedKnown = new Set<string>();
    /** Members from which a takeover or removal of unknown result is open. */
    private readonly unsettled = new Set<string>();
    /** Number of transactions under way against each member. */
    private readonly acting = new Map<string, number>();
    /** Counted members whose row has gone, with a version of the table that includes this. */
    private readonly departed = new Map<string, number>();
    private verifying = false;
    private lastLargeAt = -Infinity;
    /** Members of which this instance is an observer by its replica. */
    private subjects: readonly string[] = [];
    private readonly suspectedSince = new Map<string, number>();
    /** Suspected members that the platform's list doesn't show as live. */
    private readonly unlistedSuspects: UnlistedTimes;
    /** Members of the own domain that were removed. */
    private readonly losses = new MemberLosses();
    private knownStates = new Map<string, MemberRow["state"]>();
    /** Lost members whose grants are in question and that the platform's list doesn't show as live. */
    private readonly unlistedLost: UnlistedTimes;

    constructor(
        private readonly options: {
            instance: string;
            domain: string;
            peerAddress: () => string;
            /** Makes an incarnation of the instance that hasn't been used; random by default. */
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
            /** Wait after the platform's list has stopped showing a dead member, before joiners remove it. */
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

    /** Who this instance is at present; the incarnation changes when it registers again. */
    identity(): Identity {
        return this.self;
    }

    /** Whether this instance is registered under its present incarnation. */
    isRegistered(): boolean {
        return this.ownRow() !== undefined;
    }

    /** Whether this instance is an active member. */
    isActive(): boolean {
        return this.ownRow()?.value.state === "active";
    }

    /** The condition by which a transaction of this instance depends on its membership. */
    ownCondition(): RowCondition | undefined {
        const row = this.ownRow();
        return row === undefined ? undefined : { key: this.ownKey(), version: row.version };
    }

    /** Registered members of the own domain, this instance included. */
    members(): MemberRow[] {
        return this.options.replica.members(this.options.domain).map(({ value }) => value);
    }

    /** Members of the own domain that answer, this instance included if it is registered. */
    heardMembers(): MemberRow[] {
        return this.members().filter(({ incarnation }) => !this.isSuspected(incarnation));
    }

    /** Active members that answer; candidates for dispatching. */
    candidates(): string[] {
        return this.heardMembers()
            .filter(({ state }) => state === "active")
            .map(({ incarnation }) => incarnation);
    }

    /** Whether this instance is the first of the candidates, which does what one member does for its domain. */
    isFirstCandidate(): boolean {
        return this.candidates().sort()[0] === this.self.incarnation;
    }

    /** Asks the table for an answer; false while it gives none. */
    async tableAnswers(): Promise<boolean> {
        return (await this.options.table.read([this.ownKey()])).isOk();
    }

    /**
     * Whether this instance hears more than half of the members from which it expects a sign of life, itself included.
     * Of the others it knows nothing.
     */
    hearsMajority(): boolean {
        const expected = this.members().filter(
            ({ incarnation }) =>
                incarnation === this.self.incarnation || this.options.peers().silenceMs(incarnation) !== undefined,
        );
        return expected.filter(({ incarnation }) => !this.isSuspected(incarnation)).length * 2 > expected.length;
    }

    /**
     * Whether the domain has, or had shortly ago, members that don't observe each other. Then the removal of a member
     * ends its authority at once, and this instance must see to it that its own removal would.
     */
    isLarge(): boolean {
        return this.options.clock.monotonicMs() - this.lastLargeAt < LARGE_DOMAIN_LINGER_MS;
    }

    /** Members that should have this instance as an observer and haven't said that they count it. */
    untoldSubjects(): string[] {
        return this.subjects.filter(incarnation => this.told.isCounted(incarnation) !== true);
    }

    /** Incarnations of the members that observe a member, as this instance's replica has them. */
    observersOf(incarnation: string): string[] {
        return this.observersAmong(incarnation, this.members());
    }

    /**
     * The observers of a member among others. A member whose row doesn't name its observers is of a version that acts on
     * the silence of any other one, so all must count it.
     */
    private observersAmong(incarnation: string, members: readonly MemberRow[]): string[] {
        const incarnations = members.map(member => member.incarnation);
        const actOnAll = members.filter(({ observers }) => observers === undefined).map(member => member.incarnation);
        const observers = new Set([...observersOf(incarnation, incarnations), ...actOnAll]);
        observers.delete(incarnation);
        return [...observers];
    }

    /** Active members that answer and observe a member; this instance if the member counts it. */
    observingCandidates(incarnation: string): string[] {
        const observers = new Set(this.observersOf(incarnation));
        if (this.isCountedBy(incarnation)) {
            observers.add(this.self.incarnation);
        }
        return this.candidates().filter(candidate => observers.has(candidate));
    }

    /** Whether a member's lease depends on this instance's promise, as far as the member has said. */
    isCountedBy(incarnation: string): boolean {
        const told = this.told.isCounted(incarnation);
        if (told !== undefined) {
            return told;
        }
        const row = this.members().find(member => member.incarnation === incarnation);
        return row !== undefined && (row.observers === undefined || row.observers.includes(this.self.incarnation));
    }

    /**
     * Whether a member that is no longer registered counted this instance to the end and holds no promise of it. Its lease
     * has lapsed then, since it gets no further promise.
     */
    confirmsObservedLapse(incarnation: string): boolean {
        const promisedUntil = this.options.lease.promisedUntil(incarnation);
        return (
            this.told.isCounted(incarnation) === true &&
            !this.isMember(incarnation) &&
            promisedUntil !== undefined &&
            promisedUntil <= this.options.clock.monotonicMs()
        );
    }

    /**
     * Whether the absence of a member's row proves that its lease had lapsed: a member is removed only by one whose
     * promise it counted and had lost. That isn't so for a row that another start of the instance has replaced, nor, by
     * the rules of a full mesh, in a small domain.
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
     * Number of other members that were removed when a member was lost, or shortly before. `undefined` if this instance
     * has not seen that loss.
     */
    lostWith(incarnation: string): number | undefined {
        return this.losses.lostWith(incarnation);
    }

    /**
     * Whether the platform's list has not shown the instance of a lost member as live for longer than any authority of it
     * can last. Counts from the first call.
     */
    isGoneFromPlatform(incarnation: string): boolean {
        const isListed = this.options.listedLive()?.has(instanceOf(incarnation)) ?? true;
        // By incarnation, since another start of the instance may have been listed between two losses.
        this.unlistedLost.follow(incarnation, isListed);
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
     * Whether this instance may act on the suspicion of a member now. Only those that the member counts may, or any where
     * no active member is left.
     */
    mayActOn(incarnation: string): boolean {
        return this.isSuspicionDue(incarnation) && (this.isCountedBy(incarnation) || this.candidates().length === 0);
    }

    private isSuspicionDue(incarnation: string): boolean {
        const since = this.suspectedSince.get(incarnation);
        if (since === undefined) {
            return false;
        }
        const wait = this.hearsMajority() ? 0 : this.options.minorityWaitMs;
        return this.options.clock.monotonicMs() - since >= wait;
    }

    /** A member stated whether its lease depends on this instance's promise. */
    toldByMember(incarnation: string, sequence: number, counts: boolean): void {
        this.told.heard(incarnation, sequence, counts);
    }

    /** Whether a member with this incarnation is registered in any domain. */
    isMember(incarnation: string): boolean {
        return this.options.replica.hasMember(incarnation);
    }

    /**
     * Registers this instance. A row of an earlier incarnation of the same name is replaced. Fails with the platform's
     * error; the caller tries again.
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
        // Members that registered at the same time are seen by at least one of the two through this second read.
        const others = await this.options.table.scan(memberRowPrefix(domain));
        if (others.isErr()) {
            return err(others.error);
        }
        this.self = { ...this.self, incarnation };
        this.told.clear();
        this.knownBy.clear();
        this.departed.clear();
        this.followSize();
        replica.apply([...written.value.rows, ...others.value.rows]);
        this.registeredRow = replica.get(this.ownKey(), memberRowSchema);
        this.followSize();
        const registered = this.otherIncarnations();
        // The row says that these count; those that have gone meanwhile can't act any more.
        const counted = new Set([...observers, ...this.observersOf(incarnation)]);
        const initial = registered.filter(other => counted.has(other));
        this.options.lease.setMembers(registered, true, initial);
        this.options.lease.setMembers(registered, false, this.observersOf(incarnation));
        this.options.log.info("Registered as a member.", { incarnation, domain });
        this.options.changed({ type: "registered", incarnation });
        return ok(undefined);
    }

    /** Follows changes of the member rows; to be called after each change of the replica. */
    replicaChanged(changed: readonly VersionedRow[]): void {
        if (!changed.some(row => row.key.startsWith("member/"))) {
            return;
        }
        this.noteLosses();
        [...this.suspectedSince.keys()]
            .filter(incarnation => !this.isMember(incarnation))
            .forEach(incarnation => this.suspectedSince.delete(incarnation));
        this.followSize();
        if (this.registeredRow !== undefined) {
            this.followCounted(Math.max(...changed.map(({ version }) => version)));
            void this.verifyDepartures();
        }
    }

    /** Notes members of the own domain whose rows have gone, unless they left by themselves. */
    private noteLosses(): void {
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

    private followSize(): void {
        const incarnations = this.members().map(({ incarnation }) => incarnation);
        this.subjects = subjectsOf(this.self.incarnation, incarnations);
        this.noteLarge(incarnations.length);
    }

    private noteLarge(members: number): void {
        if (isLargeDomain(members + this.departed.size)) {
            this.lastLargeAt = this.options.clock.monotonicMs();
        }
    }

    /** Notes which counted members have gone by a version of the table, and sets the members of the lease. */
    private followCounted(version: number): void {
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
     * Ends the counting of members that have gone, once the table shows that this instance is still registered after
     * that. A member that has removed this one and is gone itself would otherwise be forgotten first, and the lease would
     * come back to life although others act on the removal.
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

    /** Updates suspicions, and joins, removes dead members or registers again where that is due. */
    async tick(): Promise<void> {
        this.updateSuspicions();
        this.noteLarge(this.members().length);
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

    /** Marks this instance as leaving, so that no target is given to it. */
    async announceLeaving(): Promise<void> {
        this.leaving = true;
        await this.writeOwnState("leaving");
    }

    /** Removes the own member row, as the last step of a graceful shutdown. The lease ends first. */
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
            this.options.log.warn("The member row is gone; registering again.", { incarnation });
            this.options.changed({ type: "removed-self", incarnation });
            this.registeredRow = undefined;
        }
        if (this.registeredRow === undefined && !this.leaving) {
            await this.register();
            return;
        }
        await this.settle();
        await this.activateIfCounted();
        await this.removeDeadMembers();
    }

    /**
     * Notes that the result of a transaction against a member is unknown. No promise is given to that member until the
     * result is settled, since the transaction may still take effect.
     */
    leaveUnsettled(incarnation: string): void {
        this.unsettled.add(incarnation);
        this.options.lease.withhold(incarnation);
    }

    /**
     * Settles transactions of unknown result. They all depend on the version of the own member row, so writing that row
     * again keeps a delayed one from taking effect; what has taken effect until then is read afterwards.
     */
    private async settle(): Promise<void> {
        const row = this.ownRow();
        if (this.unsettled.size === 0 || row === undefined || !(await this.writeOwnState(row.value.state))) {
            return;
        }
        for (const prefix of ["member/", "target/"]) {
            const rows = await this.options.table.scan(prefix);
            if (rows.isErr()) {
                return;
            }
            this.options.replica.apply(rows.value.rows);
        }
        this.unsettled.clear();
    }

    /**
     * Runs a transaction against members. None of them gets a promise while it is under way: one that answers again would
     * hold a lease when the transaction takes effect.
     */
    async against<Value>(incarnations: readonly string[], transaction: () => Promise<Value>): Promise<Value> {
        for (const incarnation of incarnations) {
            this.options.lease.withhold(incarnation);
            this.acting.set(incarnation, (this.acting.get(incarnation) ?? 0) + 1);
        }
        try {
            return await transaction();
        } finally {
            for (const incarnation of incarnations) {
                const left = (this.acting.get(incarnation) ?? 1) - 1;
                if (left > 0) {
                    this.acting.set(incarnation, left);
                } else {
                    this.acting.delete(incarnation);
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
            other => this.told.isCounted(other) !== true && !this.knownBy.has(other),
        );
        if (waitedFor.length > 0) {
            waitedFor
                .filter(other => !this.observersOf(other).includes(this.self.incarnation))
                .forEach(other => void this.askKnown(other));
            return;
        }
        if (await this.writeOwnState("active")) {
            this.options.log.info("Became an active member.", { incarnation: this.self.incarnation });
            this.options.changed({ type: "activated", incarnation: this.self.incarnation });
        }
    }

    /**
     * Asks a member that this instance doesn't observe whether it knows this instance. All members must know an active
     * one, or a member could treat a domain as small that others treat as large.
     */
    private async askKnown(other: string): Promise<void> {
        if (this.askedKnown.has(other)) {
            return;
        }
        const { incarnation } = this.self;
        this.askedKnown.add(other);
        const link = this.options.peers().controlLink(other);
        const answer = await link?.ask("known-member", incarnation, KNOWN_MEMBER_TIMEOUT_MS);
        this.askedKnown.delete(other);
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
        this.followList();
        for (const member of this.members()) {
            // Looked at one by one, as each removal takes time in which a member may answer or stop counting this one. While
            // the table is silent the result of a removal stays unknown, and then a member that was suspected wrongly would
            // get no promise until the table answers again.
            if (this.isRemovalDue(member) && (await this.tableAnswers()) && this.isRemovalDue(member)) {
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
            const first = this.heardMembers()
                .map(heard => heard.incarnation)
                .sort()[0];
            return first === self.incarnation && this.isGoneFromList(instance);
        }
        if (!this.isCountedBy(incarnation)) {
            // It may have been lost together with all that it counted. Then nobody holds a lapsed promise, and the list
            // decides as in a domain without active members.
            return this.subjects.includes(incarnation) && this.isGoneFromList(instance);
        }
        const rank = this.observingCandidates(incarnation).sort().indexOf(self.incarnation);
        if (!isLargeDomain(this.members().length)) {
            return rank === 0;
        }
        // An observer doesn't hear whether the others still live, so each of them acts after a while.
        const lapsesAt = Math.max(
            this.suspectedSince.get(incarnation) ?? Infinity,
            options.lease.promisedUntil(incarnation) ?? -Infinity,
        );
        return rank >= 0 && options.clock.monotonicMs() >= lapsesAt + rank * REMOVAL_RANK_WAIT_MS;
    }

    /**
     * Removes a suspected member. The promise that this instance gave it must have lapsed first: a removed member no
     * longer counts for the leases of others, and its own lease must not outlive its membership.
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
        const result = await this.against([member.incarnation], () =>
            transact([own, { key, version: row.version }], removalOf(member, { by: this.self.incarnation })),
        );
        if (result.isErr()) {
            if (result.error.type !== "platform-unavailable") {
                this.leaveUnsettled(member.incarnation);
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
                    this.options.log.info("A suspected member answers again.", { member: incarnation });
                }
                if (!this.unsettled.has(incarnation) && !this.acting.has(incarnation)) {
                    this.options.lease.release(incarnation);
                }
            } else if (!this.suspectedSince.has(incarnation)) {
                this.suspectedSince.set(incarnation, now);
                this.options.log.warn("A member gives no sign of life.", { member: incarnation });
            }
        }
    }

    /** Follows which suspected members the platform's list doesn't show as live. */
    private followList(): void {
        if (this.suspectedSince.size === 0) {
            this.unlistedSuspects.clear();
            return;
        }
        const live = this.options.listedLive();
        for (const { instance, incarnation } of this.members()) {
            const isListed = live?.has(instance) ?? true;
            this.unlistedSuspects.follow(instance, isListed || !this.isSuspected(incarnation));
        }
    }

    /** Whether the platform's list has not shown a suspected instance as live for long enough. */
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
