import type { BundleService } from "../../version/bundle.js";
import type { Clock } from "../runtime/clock.js";
import { transactUntilDecided } from "../store/transactUntilDecided.js";
import type { Dispatchers } from "../dispatch/dispatchers.js";
import type { MovedLoad } from "../balance/dispatchedLoad.js";
import type { DomainLease } from "../membership/domainLease.js";
import type { ReleaseQuery } from "./confirmsRelease.js";
import { GoneMembers } from "./goneMembers.js";
import { DRIFT_SHARE, type TargetLoss } from "./grantKeeper.js";
import type { Logger } from "../observability/logger.js";
import { majorityHasLapsed } from "../membership/majorityHasLapsed.js";
import type { Membership, Transact } from "../membership/membership.js";
import type { Peers } from "../membership/peers.js";
import type { FormerDispatcher, ServiceRecords } from "../records/serviceRecords.js";
import { targetRowKey, targetRowSchema, type Slice, type TargetRow } from "../store/rows.js";
import { subtractSlices } from "./sliceMap.js";
import type { SliceTransfer, Transfer } from "./sliceTransfer.js";
import { spreadLostTarget } from "./spreadLostTarget.js";
import type { TableReplica, Versioned } from "../store/tableReplica.js";
import { claimedRow, planClaims, planHandOver, type Claim } from "./takeover.js";
import type { TargetDispatcher } from "../dispatch/targetDispatcher.js";

/** Number of recent moves that operators can list. */
const MOVE_REPORTS = 200;
/** Maximum number of rows that one takeover transaction writes. */
export const CLAIMS_PER_TRANSACTION = 50;
/** Minimum time between two handovers of targets to their preferred instances, in milliseconds. */
export const DEFAULT_HAND_OVER_PAUSE_MS = 500;
/** Time for which the set of candidates must not change before targets are handed over, in milliseconds. */
export const DEFAULT_HAND_OVER_STABLE_MS = 3_000;
/** Maximum time for which a handover waits for the target's requests in flight, in milliseconds. */
const HAND_OVER_DRAIN_MS = 300;
/** Maximum time for which a planned move waits for requests in flight, in milliseconds; the planner retries later. */
const PLANNED_DRAIN_MS = 1_000;
/** Time between two attempts to drain a target that still has requests in flight, in milliseconds. */
const DRAIN_STEP_MS = 100;
/** Timeout for members to confirm that their promises to a former dispatcher have lapsed, in milliseconds. */
const LAPSE_CONFIRMATION_MS = 300;

/** A change of ownership that is written to the audit trail. */
export type OwnershipChange =
    | { type: "takeover"; target: string; from: string; term: number; cause: Claim["cause"] }
    | { type: "target-lost"; target: string; loss: TargetLoss; transfer: Transfer }
    | { type: "moved"; cause: string; transfer: Transfer }
    | { type: "handed-over"; target: string; to: string; term: number };

/** A move as reported to operators. */
export interface MoveReport {
    service: string;
    start: number;
    end: number;
    from: string;
    to: string;
    state: string;
    cause: string;
    /** Wall-clock time in milliseconds. */
    startedAt: number;
    /** Time for which new requests for the slice were held, in milliseconds. */
    unavailableMs: number;
}

interface LostTarget {
    loss: TargetLoss;
    since: number;
    lapseConfirmed: boolean;
}

/**
 * Manages the ownership of targets in this instance's domain: takes over targets whose dispatcher has failed, spreads
 * the slices of lost targets, drains targets, and hands targets over to their preferred instances.
 *
 * @example
 * store.add(repeat(clock, 50, () => ownership.tick()));
 */
export class Ownership {
    private readonly gone: GoneMembers;
    private readonly rowsSeen = new Map<string, { version: number; at: number }>();
    /** The latest takeover of each target. Earlier terms are never looked up again. */
    private readonly takenFrom = new Map<string, { term: number; former: FormerDispatcher }>();
    private readonly lost = new Map<string, LostTarget>();
    private readonly draining = new Map<string, number>();
    /** Targets with an operation in progress; each target has at most one at a time. */
    private readonly busy = new Set<string>();
    private claiming = false;
    private leaving = false;
    private candidates = "";
    private candidatesSince = 0;
    private lastHandOverAt = -Infinity;
    private readonly moveReports: MoveReport[] = [];
    /** Operation counts for metrics. */
    readonly counters = { takeovers: 0, moves: 0, movedPositions: 0, handOvers: 0 };

    constructor(
        private readonly options: {
            clock: Clock;
            log: Logger;
            replica: TableReplica;
            membership: Membership;
            lease: DomainLease;
            peers: () => Peers;
            dispatchers: () => Dispatchers;
            transact: Transact;
            transfer: SliceTransfer;
            records: ServiceRecords;
            serviceOf: (name: string) => BundleService | undefined;
            promiseMs: number;
            /** Maximum interval at which each member that can reach the platform polls it, in milliseconds. */
            fallbackPollMs: number;
            /** Maximum duration of a grant, in milliseconds. */
            grantTtlMs: number;
            /** Fixed part of the safety margin added after the end of a grant or a deadline, in milliseconds. */
            grantMarginMs: number;
            changed: (change: OwnershipChange) => void;
            /** Called after each takeover and each spread of a lost target's slices, with the elapsed time. */
            takenOver: (kind: "dispatcher" | "target", elapsedMs: number) => void;
        },
    ) {
        const { clock, membership } = options;
        this.gone = new GoneMembers({
            now: () => clock.monotonicMs(),
            isMember: incarnation => membership.isMember(incarnation),
            suspectedAt: incarnation => membership.suspectedAt(incarnation),
            mayActOn: incarnation => membership.mayActOn(incarnation),
            isCountedBy: incarnation => membership.isCountedBy(incarnation),
            leaseAfterEndMs: incarnation => this.leaseAfterEndMs(incarnation),
        });
    }

    /** Starts all operations that are due. To be called every few tens of milliseconds. */
    tick(): void {
        void this.claim();
        this.checkLostTargets();
        this.continueDrains();
        this.markRecoveredTargets();
        this.handOverToPreferred();
    }

    /**
     * The dispatcher from which this instance took a target over, without a handover, under the given term; `undefined`
     * if it didn't take the target over under that term.
     */
    formerDispatcherOf(targetKey: string, term: number): FormerDispatcher | undefined {
        const taken = this.takenFrom.get(targetKey);
        return taken?.term === term ? taken.former : undefined;
    }

    /** To be called when a target of this instance no longer answers. */
    targetLost(dispatcher: TargetDispatcher, loss: TargetLoss): void {
        const since = this.options.clock.monotonicMs();
        this.lost.set(dispatcher.key, { loss, since, lapseConfirmed: dispatcher.hasFenced });
    }

    /**
     * To be called when a target of this instance is draining: it gets no new requests, and its slices are moved away.
     */
    targetDraining(dispatcher: TargetDispatcher): void {
        if (!this.draining.has(dispatcher.key)) {
            this.options.log.info("A target is draining.", { target: dispatcher.target });
            this.draining.set(dispatcher.key, -Infinity);
        }
    }

    /** Moves slices from a target of this instance to other targets. `given` lists the slices by receiving target. */
    async move(
        sourceKey: string,
        given: ReadonlyMap<string, readonly Slice[]>,
        cause: string,
    ): Promise<{ type: "moved"; transfer: Transfer } | { type: "failed"; reason: string }> {
        const dispatcher = this.options.dispatchers().get(sourceKey);
        if (dispatcher === undefined || this.busy.has(sourceKey)) {
            return { type: "failed", reason: dispatcher === undefined ? "not-dispatcher" : "busy" };
        }
        return this.runExclusively(sourceKey, async () => {
            // A move holds requests for its slices until the result of its write is known, which would take too long
            // while the table doesn't answer.
            if (!(await this.options.membership.isTableReachable())) {
                return { type: "failed" as const, reason: "table-silent" };
            }
            const loads = [...given].map(([target, slices]) => ({ target, ...dispatcher.loadOf(slices) }));
            const result = await this.options.transfer.move(dispatcher, given, PLANNED_DRAIN_MS);
            return result.match(
                transfer => {
                    this.recordMove(transfer, cause);
                    loads.forEach(load => this.forwardLoad(load));
                    return { type: "moved" as const, transfer };
                },
                error => ({ type: "failed" as const, reason: error.type }),
            );
        });
    }

    /** Hands all targets over to other members for a graceful shutdown. Returns true when none is left. */
    async handOverAll(timeoutMs: number): Promise<boolean> {
        this.leaving = true;
        const { clock, dispatchers } = this.options;
        const giveUpAt = clock.monotonicMs() + timeoutMs;
        while (clock.monotonicMs() < giveUpAt) {
            const rows = this.ownRows();
            if (rows.length === 0) {
                return true;
            }
            const others = this.otherCandidates();
            if (others.length === 0) {
                return false;
            }
            const self = this.self();
            const handOvers = rows.map(async row => {
                const plan = planHandOver(self, others, [row]);
                if (plan !== undefined) {
                    await this.handOver(row, plan.to);
                }
            });
            // A handover whose result stays unknown must not block the shutdown; its target is held until then.
            await Promise.race([Promise.all(handOvers), this.pause(giveUpAt - clock.monotonicMs())]);
            if (dispatchers().all().length > 0) {
                await this.pause(DRAIN_STEP_MS);
            }
        }
        return this.ownRows().length === 0;
    }

    private self(): string {
        return this.options.membership.identity().incarnation;
    }

    private ownRows(): TargetRow[] {
        const self = this.self();
        return this.options.replica
            .allTargets()
            .map(({ value }) => value)
            .filter(row => row.dispatcher === self);
    }

    private otherCandidates(): string[] {
        return this.options.membership.candidates().filter(candidate => candidate !== this.self());
    }

    private async claim(): Promise<void> {
        const { membership } = this.options;
        if (this.claiming || this.leaving || !membership.isRegistered()) {
            return;
        }
        if (this.plannedClaims().length === 0) {
            return;
        }
        this.claiming = true;
        try {
            // While the table doesn't answer, the result of a write stays unknown. The former dispatcher, which may
            // have been suspected wrongly, would then get no promise until the table answers again.
            if (await this.options.membership.isTableReachable()) {
                // Plans again, because a dispatcher may have answered in the meantime and been given a promise.
                await this.writeClaims(this.plannedClaims().slice(0, CLAIMS_PER_TRANSACTION));
            }
        } finally {
            this.claiming = false;
        }
    }

    private plannedClaims(): Claim[] {
        const { membership, replica } = this.options;
        const { domain } = membership.identity();
        const rows = replica.allTargets().filter(({ value }) => value.domain === domain);
        rows.forEach(row => this.rowSeenAt(row));
        this.gone.keepOnly(new Set(rows.map(({ value }) => value.dispatcher)));
        const candidates = membership.candidates();
        // Without an active member, joining members take over the targets that fence their dispatchers themselves.
        const fallback =
            candidates.length === 0 ? membership.reachableMembers().map(({ incarnation }) => incarnation) : candidates;
        return planClaims(
            {
                now: this.options.clock.monotonicMs(),
                self: this.self(),
                candidates: fallback,
                claimants: incarnation => this.claimants(incarnation),
                dispatcherState: incarnation => this.gone.state(incarnation),
                promisedUntil: incarnation => this.options.lease.promisedUntil(incarnation),
                rowSeenAt: row => this.rowSeenAt(row),
                fencing: service => {
                    const declared = this.options.serviceOf(service);
                    return declared === undefined
                        ? undefined
                        : { checked: declared.grants === "checked", deadlineCapMs: declared.deadlineCapMs };
                },
                promiseMs: this.options.promiseMs,
                mayTakeUnchecked: membership.isActive(),
            },
            rows,
        );
    }

    private rowSeenAt({ value, version }: Versioned<TargetRow>): number {
        const key = keyOf(value);
        const seen = this.rowsSeen.get(key);
        if (seen?.version === version) {
            return seen.at;
        }
        const at = this.options.clock.monotonicMs();
        this.rowsSeen.set(key, { version, at });
        return at;
    }

    /**
     * Maximum time for which a member of a large domain may hold a lease after its row is gone, in milliseconds. A
     * removal proves that the lease has lapsed. If a restarted instance has replaced the row, the members that give
     * promises to the former incarnation learn of that by the next fallback poll at the latest.
     */
    private leaseAfterEndMs(incarnation: string): number | undefined {
        const { membership, promiseMs, fallbackPollMs } = this.options;
        if (!membership.isLarge()) {
            return undefined;
        }
        return membership.isRemoved(incarnation) ? 0 : promiseMs + fallbackPollMs;
    }

    /**
     * The observers of a dispatcher, which claim first unless its removal proves to all members that its lease lapsed.
     */
    private claimants(incarnation: string): string[] | undefined {
        const { membership } = this.options;
        const isProven = !membership.isMember(incarnation) && membership.isRemoved(incarnation);
        return membership.isLarge() && !isProven ? membership.observingCandidates(incarnation) : undefined;
    }

    private async writeClaims(claims: readonly Claim[]): Promise<void> {
        const { membership, transact, replica, peers, log, changed } = this.options;
        const own = membership.ownCondition();
        if (own === undefined || claims.length === 0) {
            return;
        }
        const self = this.self();
        const from = new Set(claims.map(({ row }) => row.value.dispatcher).filter(dispatcher => dispatcher !== ""));
        const conditions = claims.map(({ row }) => ({ key: keyOf(row.value), version: row.version }));
        const writes = claims.map(({ row }) => ({ key: keyOf(row.value), value: claimedRow(row.value, self) }));
        for (const { row, lapsedAt } of claims) {
            const former = { incarnation: row.value.dispatcher, lapsedAt };
            this.takenFrom.set(keyOf(row.value), { term: row.value.term + 1, former });
        }
        const result = await membership.withholdDuring([...from], () => transact([own, ...conditions], writes));
        if (result.isErr()) {
            if (result.error.type !== "platform-unavailable") {
                from.forEach(dispatcher => membership.markUnresolved(dispatcher));
            }
            log.warn("Writing a takeover to the table failed.", { targets: claims.length, cause: result.error.type });
            return;
        }
        replica.apply(result.value.rows);
        if (result.value.type === "conflict") {
            return;
        }
        peers().pushRows(result.value.rows, false);
        this.counters.takeovers += claims.length;
        for (const { row, cause } of claims) {
            const { target, dispatcher: from, term } = row.value;
            log.info("Took over a target.", { target, from, term: term + 1, cause });
            const since = this.gone.since(from);
            if (since !== undefined) {
                this.options.takenOver("dispatcher", this.options.clock.monotonicMs() - since);
            }
            changed({ type: "takeover", target: keyOf(row.value), from, term: term + 1, cause });
        }
    }

    private checkLostTargets(): void {
        for (const [key, state] of this.lost) {
            const dispatcher = this.options.dispatchers().get(key);
            if (dispatcher === undefined || !dispatcher.keeper.lost) {
                this.lost.delete(key);
                continue;
            }
            if (!this.busy.has(key) && !this.suspectsOwnNetwork(state)) {
                void this.runExclusively(key, () => this.spreadLost(dispatcher, state));
            }
        }
    }

    /** Whether all targets stopped answering, in which case the fault is more likely in this instance's network. */
    private suspectsOwnNetwork(state: LostTarget): boolean {
        const all = this.options.dispatchers().all();
        return state.loss === "silent" && all.length > 1 && all.every(({ keeper }) => keeper.lost);
    }

    private async spreadLost(dispatcher: TargetDispatcher, state: LostTarget): Promise<void> {
        const { clock, transfer, records, log, changed, grantMarginMs, membership } = this.options;
        const row = dispatcher.row();
        if (row === undefined || row.slices.length === 0) {
            return;
        }
        const now = clock.monotonicMs();
        const safeAt =
            dispatcher.service.grants === "checked"
                ? dispatcher.keeper.grantsEndAt()
                : dispatcher.runsUntil + grantMarginMs;
        if (now < safeAt) {
            return;
        }
        if (!state.lapseConfirmed && dispatcher.service.grants === "checked") {
            // The target never acknowledged a grant of this instance, so it hasn't fenced the former dispatcher, whose
            // grants must be known to have ended.
            if (!(await this.confirmLapse(dispatcher))) {
                return;
            }
            state.lapseConfirmed = true;
            await this.pause(grantMarginMs);
            records.fenced(dispatcher.service, row.slices);
        }
        // A transfer holds requests for its slices until the result of its write is known, which takes long while the
        // table doesn't answer, and the target may answer before.
        if (!(await membership.isTableReachable())) {
            await this.pause(DRAIN_STEP_MS);
            return;
        }
        if (!dispatcher.keeper.lost) {
            return;
        }
        const given = this.spread(dispatcher, row.slices);
        if (given.size === 0) {
            log.warn("No target can take the slices of a lost one.", { target: row.target });
            await this.pause(DRAIN_STEP_MS);
            return;
        }
        const result = await transfer.transferFromLost(dispatcher, given);
        if (result.isOk()) {
            this.recordMove(result.value, "target-lost");
            changed({ type: "target-lost", target: dispatcher.key, loss: state.loss, transfer: result.value });
            this.options.takenOver("target", clock.monotonicMs() - state.since);
        } else {
            log.warn("Moving the slices of a lost target failed.", {
                target: row.target,
                cause: result.error.type,
            });
            await this.pause(DRAIN_STEP_MS);
        }
    }

    /** Divides slices of a target among the targets of its service that can receive them; empty if none can. */
    private spread(dispatcher: TargetDispatcher, slices: readonly Slice[]): Map<string, Slice[]> {
        const { replica, membership, dispatchers } = this.options;
        const row = dispatcher.row();
        if (row === undefined || slices.length === 0) {
            return new Map();
        }
        const receivers = replica
            .targets(row.service)
            .map(({ value }) => value)
            .filter(
                other =>
                    other.target !== row.target &&
                    other.state === "serving" &&
                    membership.isMember(other.dispatcher) &&
                    this.isUsable(other),
            )
            .map(other => {
                const load = dispatchers().get(keyOf(other))?.loadReport();
                const work = load?.slices.reduce((sum, part) => sum + part.work, 0) ?? 0;
                return { row: other, work, capacity: load?.capacity ?? dispatcher.service.slots };
            });
        const spread = spreadLostTarget({ ...row, slices: [...slices] }, receivers, dispatcher.loadReport().slices);
        if (spread.isErr()) {
            return new Map();
        }
        return new Map(
            receivers.flatMap(({ row: other }): [string, Slice[]][] => {
                const gained = subtractSlices(spread.value.get(other.target) ?? [], other.slices);
                return gained.length > 0 ? [[keyOf(other), gained]] : [];
            }),
        );
    }

    private isUsable(row: TargetRow): boolean {
        const dispatcher = this.options.dispatchers().get(keyOf(row));
        const isSuspected = this.options.membership.isSuspected(row.dispatcher);
        return !isSuspected && (dispatcher === undefined || (!dispatcher.keeper.lost && !dispatcher.isDraining));
    }

    /**
     * Whether the grants of the former dispatcher must have ended: either more than half of the members that it knew
     * confirm that their promises to it have lapsed and that they know of the takeover, or the platform hasn't listed
     * it for a long time. Its grants depend on promises of more than half of the members, and a member that renews a
     * promise tells it of the takeover first.
     */
    private async confirmLapse(dispatcher: TargetDispatcher): Promise<boolean> {
        const { membership, lease, clock, peers, replica } = this.options;
        const from = dispatcher.formerDispatcher;
        if (await this.isReleased(dispatcher)) {
            return true;
        }
        const isLarge = membership.isLarge();
        // In a large domain a member's grants depend on its whole lease, and its observers aren't known here, so a
        // majority of them can't be counted.
        if (isLarge && !(await this.isLeaseLapsed(from))) {
            return false;
        }
        const promisedUntil = lease.promisedUntil(from);
        if (promisedUntil !== undefined && clock.monotonicMs() < promisedUntil) {
            return false;
        }
        const version = replica.row(dispatcher.key)?.version ?? 0;
        const others = membership
            .members()
            .map(({ incarnation }) => incarnation)
            .filter(incarnation => incarnation !== this.self() && incarnation !== from);
        const query = { incarnation: from, key: dispatcher.key, version };
        const answers = await Promise.all(
            others.map(other => peers().controlLink(other)?.ask("lapse", query, LAPSE_CONFIRMATION_MS)),
        );
        const confirmedByOthers = answers.filter(answer => answer === "true").length;
        // In a large domain the lease has been shown to have lapsed, so earlier promises of its members don't matter.
        const confirming = confirmedByOthers + (isLarge || promisedUntil !== undefined ? 1 : 0);
        const lostWith = isLarge || membership.isMember(from) ? 0 : membership.lostWith(from);
        return (
            majorityHasLapsed({ confirming, present: others.length + 1, lostWith }) ||
            (!isLarge && membership.isGoneFromPlatform(from))
        );
    }

    /**
     * Whether a former dispatcher's whole lease has lapsed, as shown by its removal or confirmed by one of its
     * observers.
     */
    private async isLeaseLapsed(from: string): Promise<boolean> {
        const { membership, peers } = this.options;
        if (membership.isMember(from)) {
            return false;
        }
        if (membership.isRemoved(from) || membership.confirmsObservedLapse(from)) {
            return true;
        }
        const others = membership.members().filter(({ incarnation }) => incarnation !== this.self());
        const answers = await Promise.all(
            others.map(other =>
                peers().controlLink(other.incarnation)?.ask("observed-lapse", from, LAPSE_CONFIRMATION_MS),
            ),
        );
        return answers.includes("true");
    }

    /**
     * Whether the former dispatcher is alive and confirms that it has stopped dispatching for the target. If so, waits
     * for the maximum duration of a grant, after which its last grant has ended. This check is needed because members
     * go on renewing their promises to a dispatcher that was suspected wrongly, so those promises never lapse.
     */
    private async isReleased(dispatcher: TargetDispatcher): Promise<boolean> {
        const { peers, replica, grantTtlMs, grantMarginMs } = this.options;
        const { formerDispatcher: incarnation, key } = dispatcher;
        const query: ReleaseQuery = { incarnation, key, version: replica.row(key)?.version ?? 0 };
        const answer = await peers().controlLink(incarnation)?.ask("released", query, LAPSE_CONFIRMATION_MS);
        if (answer !== "true") {
            return false;
        }
        await this.pause(grantTtlMs * (1 + DRIFT_SHARE) + grantMarginMs);
        return true;
    }

    private continueDrains(): void {
        const now = this.options.clock.monotonicMs();
        for (const [key, lastStepAt] of this.draining) {
            const dispatcher = this.options.dispatchers().get(key);
            if (dispatcher === undefined) {
                this.draining.delete(key);
            } else if (!this.busy.has(key) && now - lastStepAt >= DRAIN_STEP_MS) {
                this.draining.set(key, now);
                void this.runExclusively(key, () => this.drainStep(dispatcher));
            }
        }
    }

    /**
     * Moves the slices of a draining target except for positions with requests in flight. Those are moved in a later
     * step, when their requests have ended, so that a long request doesn't delay the other keys.
     */
    private async drainStep(dispatcher: TargetDispatcher): Promise<void> {
        const { replica, transfer, log } = this.options;
        const row = dispatcher.row();
        const versioned = replica.get(dispatcher.key, targetRowSchema);
        if (row === undefined || versioned === undefined) {
            return;
        }
        if (row.slices.length === 0) {
            if (row.state === "serving") {
                await this.writeRow(versioned, { ...row, state: "draining" });
            }
            return;
        }
        dispatcher.hold(subtractSlices(row.slices, dispatcher.heldPositions));
        const busy = dispatcher.busyPositions(row.slices).map((position): Slice => [position, position + 1]);
        const free = subtractSlices(row.slices, busy);
        const given = this.spread(dispatcher, free);
        if (given.size === 0) {
            if (free.length > 0) {
                log.warn("No other target can take the slices of a draining one.", { target: row.target });
            }
            return;
        }
        const result = await transfer.move(dispatcher, given, DRAIN_STEP_MS);
        if (result.isOk()) {
            this.recordMove(result.value, "drain");
        }
    }

    /** Marks lost targets that answer again as serving, so that they can receive slices. */
    private markRecoveredTargets(): void {
        for (const dispatcher of this.options.dispatchers().all()) {
            const row = this.options.replica.get(dispatcher.key, targetRowSchema);
            if (
                row?.value.state === "lost" &&
                !dispatcher.keeper.lost &&
                dispatcher.isReady &&
                !this.busy.has(dispatcher.key)
            ) {
                void this.runExclusively(dispatcher.key, () => this.writeRow(row, { ...row.value, state: "serving" }));
            }
        }
    }

    /**
     * Writes a target's row. False means that nothing was written, or that the transaction ended in a conflict and the
     * current row has been applied to the replica.
     */
    private async writeRow(row: Versioned<TargetRow>, value: TargetRow): Promise<boolean> {
        const { membership, transact, clock, replica, peers } = this.options;
        const own = membership.ownCondition();
        if (own === undefined) {
            return false;
        }
        const result = await transactUntilDecided(
            transact,
            clock,
            [own, { key: keyOf(row.value), version: row.version }],
            [{ key: keyOf(row.value), value }],
        );
        if (result.isErr()) {
            return false;
        }
        replica.apply(result.value.rows);
        peers().pushRows(result.value.rows, false);
        return result.value.type === "committed";
    }

    /** Hands over one target at a time once the set of candidates has been stable for long enough. */
    private handOverToPreferred(): void {
        const { clock, membership, dispatchers } = this.options;
        const now = clock.monotonicMs();
        const candidates = membership.candidates().sort();
        if (candidates.join(" ") !== this.candidates) {
            this.candidates = candidates.join(" ");
            this.candidatesSince = now;
        }
        const isSettled = now - this.candidatesSince >= DEFAULT_HAND_OVER_STABLE_MS;
        const isPaused = now - this.lastHandOverAt < DEFAULT_HAND_OVER_PAUSE_MS;
        if (!isSettled || isPaused || this.leaving || !membership.isActive()) {
            return;
        }
        const movable = this.ownRows().filter(row => !this.busy.has(keyOf(row)) && !this.lost.has(keyOf(row)));
        const decided = movable.filter(row => dispatchers().get(keyOf(row))?.mayHaveCrashed !== true);
        const plan = planHandOver(this.self(), candidates, decided);
        if (plan !== undefined) {
            this.lastHandOverAt = now;
            void this.handOverIfTableAnswers(plan.row, plan.to);
        }
    }

    /**
     * Hands a target over only while the table answers. A handover holds the target's requests until the result of its
     * write is known, which takes long while the table doesn't answer, and this instance can go on serving the target.
     */
    private async handOverIfTableAnswers(row: TargetRow, to: string): Promise<void> {
        if (await this.options.membership.isTableReachable()) {
            await this.handOver(row, to);
        }
    }

    /**
     * Makes another instance the dispatcher of a target. New requests are held, while requests in flight may finish
     * here: the target, and so the owner of its keys, stays the same. A handover is given up while it isn't known whether
     * the target crashed, because the next dispatcher couldn't tell which requests ran on it.
     */
    private async handOver(row: TargetRow, to: string): Promise<void> {
        const key = keyOf(row);
        const dispatcher = this.options.dispatchers().get(key);
        if (dispatcher === undefined || this.busy.has(key)) {
            return;
        }
        await this.runExclusively(key, async () => {
            const { records, transfer, replica, log, changed } = this.options;
            dispatcher.holdAll();
            await dispatcher.drained(row.slices, HAND_OVER_DRAIN_MS);
            const current = replica.get(key, targetRowSchema);
            if (current === undefined || dispatcher.row() === undefined) {
                return;
            }
            if (dispatcher.mayHaveCrashed) {
                dispatcher.unholdAll();
                return;
            }
            const term = current.value.term + 1;
            const handOver = records.export(dispatcher.service, current.value.slices, key, term);
            const isAcknowledged = await transfer.sendRecords(to, {
                ...handOver,
                runs: dispatcher.earlierRuns(),
                load: dispatcher.loadReport(),
            });
            const written =
                isAcknowledged &&
                !dispatcher.mayHaveCrashed &&
                (await this.writeRow(current, {
                    ...current.value,
                    dispatcher: to,
                    term,
                    handOver: handOver.attempt,
                }));
            if (written) {
                this.counters.handOvers++;
                log.info("Handed over a target.", { target: row.target, to, term });
                changed({ type: "handed-over", target: key, to, term });
            } else {
                log.info(`The handover of ${key} in term ${term} was not carried out.`, { to, isAcknowledged });
                dispatcher.unholdAll();
            }
        });
    }

    /** Tells the dispatcher of a target the measured load of the slices that it has received. */
    private forwardLoad(load: MovedLoad): void {
        const row = this.options.replica.get(load.target, targetRowSchema);
        const dispatcher = row?.value.dispatcher ?? "";
        if (dispatcher === this.self()) {
            this.addMovedLoad(load);
        } else {
            this.options.peers().controlLink(dispatcher)?.notify("moved-load", load);
        }
    }

    /** Adds the measured load of slices that have moved to a target of this instance. */
    addMovedLoad(load: MovedLoad): void {
        this.options.dispatchers().get(load.target)?.addMovedLoad(load);
    }

    /** The latest moves from targets of this instance, newest first. */
    recentMoves(): MoveReport[] {
        return [...this.moveReports].reverse();
    }

    private recordMove(transfer: Transfer, cause: string): void {
        this.counters.moves++;
        const [, service, from] = transfer.source.split("/");
        const startedAt = Math.max(0, Math.round(this.options.clock.wallMs() - transfer.heldMs));
        for (const { receiver, slices } of transfer.given) {
            for (const [start, end] of slices) {
                const to = receiver.split("/")[2];
                const unavailableMs = Math.round(transfer.heldMs);
                this.moveReports.push({
                    service,
                    start,
                    end,
                    from,
                    to,
                    state: "done",
                    cause,
                    startedAt,
                    unavailableMs,
                });
            }
        }
        this.moveReports.splice(0, Math.max(0, this.moveReports.length - MOVE_REPORTS));
        for (const { slices } of transfer.given) {
            this.counters.movedPositions += slices.reduce((sum, [start, end]) => sum + end - start, 0);
        }
        this.options.log.info("Moved slices.", { from: transfer.source, term: transfer.term, cause });
        this.options.changed({ type: "moved", cause, transfer });
    }

    private async runExclusively<Value>(key: string, operation: () => Promise<Value>): Promise<Value> {
        this.busy.add(key);
        try {
            return await operation();
        } finally {
            this.busy.delete(key);
        }
    }

    private pause(delayMs: number): Promise<void> {
        return new Promise(resolve => this.options.clock.setTimer(delayMs, resolve));
    }
}

const keyOf = (row: TargetRow): string => targetRowKey(row.service, row.target);
