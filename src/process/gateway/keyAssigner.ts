import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { Logger } from "../observability/logger.js";
import type { LeaseProof } from "./assignerLease.js";
import { eraOfToken, nextToken } from "./fencingTokens.js";
import { chooseOtherReceiver } from "./chooseOtherReceiver.js";
import { EvacuationProgress, type EvacuatedKeys } from "./evacuationProgress.js";
import type { Evacuation } from "./evacuation.js";
import { DEFAULT_HOLD_MS, GRANT_TIMEOUT_MS, GrantRecord } from "./grantRecord.js";
import { hasSettled } from "./hasSettled.js";
import {
    decodeAssignment,
    emptyAssignment,
    encodeAssignment,
    KEY_COUNT,
    overlaps,
    replaceRange,
    unownedRange,
    withoutRanges,
    type KeyAssignment,
    type KeyRange,
} from "./keyMap.js";
import { LateGrants } from "./lateGrants.js";
import type { CallStatement, GrantReply, OwnershipCalls } from "./ownershipCalls.js";
import { KeyLoads, planMoves, type KeyMove, type PlannedTarget } from "./planMoves.js";
import { ownerName, processName } from "./processName.js";
import type { RowStore } from "./rowStore.js";
import { SeenTokens } from "./seenTokens.js";
import { isStaying, type DirectoryTarget } from "./targetDirectory.js";
import { unlistedOwner } from "./unlistedOwner.js";

/** Table of the assignments, which all instances follow. */
export const ASSIGNMENT_TABLE = "sassafrasloom";
/** Interval at which moves are planned, in milliseconds. */
const PLAN_PERIOD_MS = 200;
/** Interval at which grants are renewed, in milliseconds. */
const RENEWAL_MS = 1_200;
/** Timeout of a release in milliseconds; the target answers it only when all running work on the keys has ended. */
const RELEASE_TIMEOUT_MS = 3_000;
/** Pause before an unanswered call or transaction is retried, in milliseconds. */
const REPEAT_PAUSE_MS = 150;
/** Time for which a transaction waits for further changes, in milliseconds, because each transaction wakes all instances. */
const COMMIT_LINGER_MS = 15;
/** Time within which entries that expired during a store outage are registered again, in milliseconds. */
const ENTRY_RETURN_MS = 2_300;
/** Time allowed for the entry of a target that still answers to return before its keys are moved, in milliseconds. */
const RETURN_MS = 300;
/** Minimum time between moves for balance, in milliseconds; the loads take time to reflect the previous moves. */
const BALANCE_PERIOD_MS = 600;
/**
 * Time after the end of an evacuation in which keys return to the targets of its domain in few moves at a time, in milliseconds. A
 * third of 215 targets takes 144 moves, for which 10 s suffice at `MAX_RETURN_MOVES_SHARE`.
 */
const RETURN_FROM_EVACUATION_MS = 30_000;
/** Time after the start without moves for balance, in milliseconds, because the loads aren't known yet. */
const BALANCE_DELAY_MS = 2_000;

/** A target that may have held keys since this instance became the assigner. */
interface TrackedTarget {
    listed: DirectoryTarget;
    grants: GrantRecord;
    late: LateGrants;
    seen: SeenTokens;
    /** Monotonic time in milliseconds at which its entry was found missing. */
    goneAt: number | undefined;
    /** Whether its process is known for certain to have ended. */
    ended: boolean;
    /** Ends with all renewals in progress; a release waits for them, since a late renewal would undo it. */
    renewing: Promise<unknown>;
    /** Number of renewals in progress. */
    renewals: number;
    /** The target whose entry names its address and a later start, or its identifier and another address, if there is one. */
    claimant: DirectoryTarget | undefined;
    /** Whether it is being asked whether it is still up at its address. */
    isAsked: boolean;
}

/** What shows that the former owner of keys holds them no more; `docs/OPERATIONS.md` explains each. */
type EndOfHold = "no-owner" | "released" | "process-ended" | "other-target" | "expired" | "inherited-expired";

/** The owners of a service's keys by whether they take their grants. */
export interface OwnerGrants {
    owners: DirectoryTarget[];
    /** Owners that didn't take their last grant. */
    failing: DirectoryTarget[];
}

/** Whether a target may be granted keys that are recorded for it. In an evacuated domain it hands them over after that. */
const mayBeGranted = (listed: DirectoryTarget): boolean =>
    listed.usable || (listed.evacuation !== undefined && isStaying(listed));

interface QueuedChange {
    /** Changes the ranges; `fence` is the fencing token of the transaction. */
    apply: (ranges: KeyRange[], fence: number) => KeyRange[];
    settle: (fence: number | undefined) => void;
}

/**
 * Assigns the keys of one service while this instance holds the lease: it plans moves, reclaims keys from their owners,
 * records the new owners in the store, grants them the keys, and renews all grants.
 *
 * A key is assigned to a new owner only when the former one has answered a release, has certainly ended, or has no valid
 * grant left. The new owner is recorded in the store before it is granted the keys, so the next assigner knows about it.
 *
 * @example
 * const assigner = new KeyAssigner({ service: "stock", ... });
 * await assigner.start();
 */
export class KeyAssigner {
    private assignment: KeyAssignment;
    /** Version of the row, and the era of the store to which it belongs. */
    private rowVersion = 0;
    private era = 0;
    /** Latest era of the store in which the row is known to contain this assignment. */
    private storedEra = -1;
    private isLoaded = false;
    /** Whether the row may contain a change of this instance that isn't in the assignment, so that nothing may be granted. */
    private isUncertain = false;
    /** Ends when the last read or write of the row that was begun has ended; they must not overlap. */
    private rowAccess: Promise<unknown> = Promise.resolve();
    private readonly tracked = new Map<string, TrackedTarget>();
    private readonly moving = new Set<KeyMove>();
    private readonly queue: QueuedChange[] = [];
    private readonly grantsUnderWay = new Set<Promise<GrantReply>>();
    private isCommitting = false;
    private readonly evacuation: EvacuationProgress;
    private readonly disposables = new DisposableStore();
    private disposed = false;
    private readonly startedAt: number;
    private balancedAt: number;
    /** Monotonic time in milliseconds until which a target may hold keys that an earlier assigner granted. */
    private inheritedUntil = Infinity;
    /** Number of owners without their last grant that was logged last. */
    private loggedFailures = 0;

    constructor(
        private readonly options: {
            service: string;
            store: RowStore;
            calls: OwnershipCalls;
            clock: Clock;
            logger: Logger;
            lease: {
                isHeld(): boolean;
                /** The lease's row in the current era of the store; missing until the lease was acquired in it. */
                proof: LeaseProof | undefined;
                /** Monotonic time in milliseconds at which all grants of other instances end. */
                otherGrantsEndAt(holdMs: number): number;
            };
            /** Registered targets of the service. */
            targets: () => DirectoryTarget[];
            /** Targets of all services, since a target of another service may claim the address of an owner. */
            allTargets: () => Iterable<DirectoryTarget>;
            /**
             * Relative capacity of a target by its slots and speed, and the ratio of its running and waiting requests to
             * its slots.
             */
            measure: (target: DirectoryTarget) => Pick<PlannedTarget, "capacity" | "pressure"> & { isCold?: boolean };
            /** The evacuation of a failure domain, while one is in force. */
            evacuation?: (domain: string) => Evacuation | undefined;
            /** Load of each key. */
            weights: () => ArrayLike<number>;
            /** Called when a target states in an answer that it leaves. */
            leavingStated: (target: DirectoryTarget) => void;
            /** Called when another target has answered at a target's address. */
            addressLost: (target: DirectoryTarget) => void;
            /** Called with the reply to each grant and renewal. */
            grantEnded?: (reply: GrantReply["type"]) => void;
            holdMs?: number;
        },
    ) {
        this.assignment = emptyAssignment(options.service);
        this.evacuation = new EvacuationProgress({
            ...options,
            evacuation: domain => options.evacuation?.(domain),
        });
        this.startedAt = options.clock.monotonicMs();
        this.balancedAt = this.startedAt + BALANCE_DELAY_MS;
    }

    /** Reads the stored assignment of the previous assigner, then starts planning moves and renewing grants. */
    async start(): Promise<void> {
        while (!this.disposed && !(await this.takeOver())) {
            await this.pause(REPEAT_PAUSE_MS);
        }
        if (this.disposed) {
            return;
        }
        this.isLoaded = true;
        const { clock, holdMs = DEFAULT_HOLD_MS } = this.options;
        this.inheritedUntil = GrantRecord.ofFormerHolders(clock.monotonicMs(), holdMs).endsAt();
        this.renewAll();
        this.disposables.add(repeat(this.options.clock, PLAN_PERIOD_MS, () => this.plan()));
        this.disposables.add(repeat(this.options.clock, RENEWAL_MS, () => this.renewAll()));
    }

    /** Stops all activity. Calls in progress may still arrive at their targets. */
    dispose(): void {
        this.disposed = true;
        void this.disposables.dispose();
        this.queue.splice(0).forEach(({ settle }) => settle(undefined));
    }

    /** The owners of keys, and those among them that didn't take their last grant. */
    ownerGrants(): OwnerGrants {
        const owners = [...this.owners().keys()].filter(({ ended }) => !ended);
        return {
            owners: owners.map(({ listed }) => listed),
            failing: owners.filter(({ grants }) => grants.isFailing()).map(({ listed }) => listed),
        };
    }

    /** Keys whose owners are in evacuated failure domains. */
    evacuatedKeys(): EvacuatedKeys[] {
        return this.evacuation.keys();
    }

    /** Resolves when all grants in progress have been answered or have timed out. */
    async settled(): Promise<void> {
        await Promise.all(this.grantsUnderWay);
    }

    /** Records that a target's process has ended: another target listens at its address, or it has restarted there. */
    targetEnded(listed: DirectoryTarget): void {
        const tracked = this.tracked.get(processName(listed.entry));
        if (tracked !== undefined && !tracked.ended) {
            tracked.ended = true;
            this.options.logger.info(`The process of target ${listed.entry.id} counts as ended.`);
        }
    }

    /**
     * Resumes after this instance lost the lease for a while, or after the store was restored from a copy, if no other
     * instance held the lease in between. The grant records are still valid. In the same era of the store, a transaction with
     * an unknown outcome may have been committed, so the row is read; in a new one the row is out of date and is written
     * again.
     */
    async resume(): Promise<void> {
        if (!this.isLoaded) {
            return;
        }
        const isStored = this.options.lease.proof?.era === this.storedEra;
        this.isUncertain ||= isStored;
        await this.reconcile();
        if (!isStored) {
            await this.commit(ranges => ranges);
        }
        this.renewAll();
    }

    /** Reads the row until its content is known. In another era of the store the row is out of date and is written again. */
    private reconcile(): Promise<void> {
        const { lease } = this.options;
        return this.accessRow(async () => {
            while (this.isUncertain && !this.disposed && lease.isHeld()) {
                const { proof } = lease;
                if (proof !== undefined && (proof.era !== this.storedEra || (await this.load()))) {
                    this.isUncertain = false;
                    return;
                }
                await this.pause(REPEAT_PAUSE_MS);
            }
        });
    }

    /** Runs an operation on the row after those that were begun before. */
    private accessRow<Value>(operation: () => Promise<Value>): Promise<Value> {
        const result = this.rowAccess.then(operation);
        this.rowAccess = result;
        return result;
    }

    /** Whether this instance may plan moves and renew grants now. */
    private mayAct(): boolean {
        if (this.disposed || !this.options.lease.isHeld()) {
            return false;
        }
        if (this.isUncertain) {
            void this.reconcile();
        }
        return !this.isUncertain;
    }

    /**
     * Reads the assignment of the previous assigner; `false` if it can't be used yet. An assignment of an earlier era of the
     * store may lack owners that were recorded after the copy was made. It is a mere proposal once all grants of other
     * instances have ended, and its owners get new fencing tokens.
     */
    private async takeOver(): Promise<boolean> {
        const { clock, lease, logger, service, holdMs = DEFAULT_HOLD_MS } = this.options;
        if (!(await this.load())) {
            return false;
        }
        // An earlier attempt may have ended with a write of unknown outcome.
        this.isUncertain = false;
        if (eraOfToken(this.assignment.fence) >= this.era) {
            return true;
        }
        const waitMs = lease.otherGrantsEndAt(holdMs) - clock.monotonicMs();
        if (waitMs > 0) {
            const text =
                "The stored assignment may be out of date; waiting until the grants of other instances have ended.";
            logger.warn(text, { service, era: this.era, waitMs: Math.ceil(waitMs) });
            await this.pause(waitMs);
            return false;
        }
        if (this.assignment.ranges.every(({ target }) => target === "")) {
            return true;
        }
        const listed = new Set(this.options.targets().map(({ entry }) => processName(entry)));
        const isListed = (range: KeyRange) => listed.has(ownerName(range));
        const fence = await this.commit((ranges, fence) =>
            ranges.map(range =>
                isListed(range) ? { ...range, fence, handover: undefined } : unownedRange(range.from, range.to),
            ),
        );
        return fence !== undefined;
    }

    /** Reads the assignment's row; `false` if that failed. */
    private async load(): Promise<boolean> {
        const { store, service, lease, logger } = this.options;
        if (lease.proof === undefined) {
            return false;
        }
        const reading = await store.row(ASSIGNMENT_TABLE, service);
        if (reading.isErr() || reading.value.era !== lease.proof?.era) {
            return false;
        }
        const { row } = reading.value;
        if (row?.value !== undefined) {
            const assignment = decodeAssignment(row.value);
            if (assignment === undefined) {
                logger.error("The assignment in the store can't be read; keys aren't assigned.", { service });
                return false;
            }
            this.assignment = assignment;
        }
        this.rowVersion = row?.version ?? 0;
        this.era = reading.value.era;
        this.storedEra = this.era;
        logger.info("Assigning keys.", {
            service,
            ranges: this.assignment.ranges.length,
            fence: this.assignment.fence,
        });
        return true;
    }

    private ownerOf(range: KeyRange): TrackedTarget | undefined {
        return range.target === "" ? undefined : this.tracked.get(ownerName(range));
    }

    /**
     * The target that may hold the keys of a range: its owner or, if that has restarted at the same address, the new process.
     * Renewals reach the new process until its entry is read, because they name the target only by its identifier.
     */
    private holderOf(range: KeyRange): TrackedTarget | undefined {
        const owner = this.ownerOf(range);
        if (owner?.ended === false) {
            return owner;
        }
        return [...this.tracked.values()].find(
            ({ listed: { entry }, ended }) =>
                !ended &&
                entry.id === range.target &&
                entry.startedAtMs > range.startedAtMs &&
                entry.address === range.address,
        );
    }

    /** Updates the tracked targets from the directory. */
    private observe(): void {
        const now = this.options.clock.monotonicMs();
        const listed = new Set<string>();
        for (const target of this.options.targets()) {
            const identity = processName(target.entry);
            listed.add(identity);
            const tracked = this.tracked.get(identity);
            if (tracked === undefined) {
                this.track(identity, target, now);
            } else {
                tracked.listed = target;
                tracked.goneAt = undefined;
                // The entry of a later start was that of another writer.
                tracked.ended = false;
            }
        }
        this.trackOwnersWithoutEntry(now);
        this.endReplacedProcesses();
        for (const [identity, tracked] of this.tracked) {
            if (!listed.has(identity)) {
                tracked.goneAt ??= now;
                if (tracked.ended && !this.assignment.ranges.some(range => this.ownerOf(range) === tracked)) {
                    this.tracked.delete(identity);
                }
            }
        }
    }

    /**
     * Marks processes as ended whose target has restarted at its address, where the new process can be asked to release keys.
     * Processes are asked themselves if an entry names another address for their target, or their address for another one.
     */
    private endReplacedProcesses(): void {
        const byId = new Map<string, DirectoryTarget>();
        const latestAt = new Map<string, DirectoryTarget>();
        for (const target of this.options.allTargets()) {
            const { id, address, startedAtMs } = target.entry;
            byId.set(id, target);
            if (startedAtMs > (latestAt.get(address)?.entry.startedAtMs ?? -Infinity)) {
                latestAt.set(address, target);
            }
        }
        for (const tracked of this.tracked.values()) {
            const { id, address, startedAtMs } = tracked.listed.entry;
            const sameId = byId.get(id);
            const successor = sameId !== undefined && sameId.entry.startedAtMs >= startedAtMs ? sameId : undefined;
            if (successor?.entry.address === address && this.isLaterProcess(successor, startedAtMs)) {
                this.targetEnded(tracked.listed);
                continue;
            }
            const moved = successor?.entry.address === address ? undefined : successor;
            const latest = latestAt.get(address);
            const sharing = latest !== undefined && latest.entry.startedAtMs > startedAtMs && latest.entry.id !== id;
            const claimant = moved ?? (sharing ? latest : undefined);
            const isNew = claimant !== undefined && claimant !== tracked.claimant;
            if (isNew && !tracked.ended && tracked.grants.isRenewable(this.options.clock.monotonicMs(), false)) {
                void this.ask(tracked, claimant);
            }
            tracked.claimant = claimant;
        }
    }

    /** Whether a target of this service started after a time. */
    private isLaterProcess({ entry }: DirectoryTarget, startedAtMs: number): boolean {
        return entry.service === this.options.service && entry.startedAtMs > startedAtMs;
    }

    /**
     * Renews the grants of an owner whose address the entry of another target names, or for whose target an entry names another
     * address. Only an answer from there shows whether the owner has ended: a renewal is taken by the owner and rejected by any
     * other target.
     */
    private async ask(owner: TrackedTarget, claimant: DirectoryTarget): Promise<void> {
        owner.isAsked = true;
        await owner.renewing;
        if (!this.mayAct()) {
            // The row may give the keys to another target. The owner is asked anew once the row has been read.
            owner.isAsked = false;
            owner.claimant = undefined;
            return;
        }
        const answers = await this.renew(owner);
        owner.isAsked = false;
        // A target that has started again at another address may run beside the former process. If another answer has shown that the
        // owner has ended, the one that takes the renewal is that of the claimant.
        if (!owner.ended && answers.includes(true) && claimant.entry.address === owner.listed.entry.address) {
            this.addressLost(claimant);
        }
    }

    /** Records that another target has answered at the address of this one. */
    private addressLost(listed: DirectoryTarget): void {
        this.targetEnded(listed);
        this.options.addressLost(listed);
    }

    private track(identity: string, listed: DirectoryTarget, now: number): TrackedTarget {
        const { holdMs = DEFAULT_HOLD_MS } = this.options;
        const { id, address } = listed.entry;
        // The record that ends last covers those of all processes at the address.
        const [earlier] = this.processesAt(id, address).sort((a, b) => b.grants.endsAt() - a.grants.endsAt());
        const grants = earlier?.grants.forNewProcess() ?? GrantRecord.ofFormerHolders(now, holdMs);
        const late = earlier?.late ?? new LateGrants(grants.endsAt() - now);
        if (earlier === undefined) {
            // An earlier assigner may have sent grants that are still in transit and that this one knows nothing about.
            late.add({ from: 0, to: KEY_COUNT - 1, fence: this.assignment.fence }, now);
        }
        const tracked: TrackedTarget = {
            listed,
            grants,
            late,
            seen: new SeenTokens(),
            goneAt: undefined,
            ended: false,
            renewing: Promise.resolve(),
            renewals: 0,
            claimant: undefined,
            isAsked: false,
        };
        this.tracked.set(identity, tracked);
        return tracked;
    }

    /**
     * Tracks owners from an earlier assigner that have no entry; they may still answer at their recorded address. Their entries
     * have time to return after an outage, unless another process is registered under their identifier.
     */
    private trackOwnersWithoutEntry(now: number): void {
        const mayReturn = now - this.startedAt <= ENTRY_RETURN_MS;
        const registered = new Set(mayReturn ? this.options.targets().map(({ entry }) => entry.id) : []);
        for (const range of this.assignment.ranges) {
            const { target: id, address } = range;
            const identity = ownerName(range);
            if (id === "" || address === "" || this.tracked.has(identity) || (mayReturn && !registered.has(id))) {
                continue;
            }
            this.track(identity, unlistedOwner(range, this.options.service, now), now).goneAt = now;
        }
    }

    private plan(): void {
        if (!this.mayAct()) {
            return;
        }
        this.observe();
        const now = this.options.clock.monotonicMs();
        if (this.assignment.fence === 0 && !hasSettled(this.options.targets(), now)) {
            return;
        }
        const owners = this.owners();
        this.evacuation.update([...owners].map(([{ listed }, ranges]) => [listed, ranges]));
        const targets = [...this.tracked.values()].map(tracked => this.plannedTarget(tracked, owners, now));
        const moves = planMoves({
            ranges: this.rangesAfterMoves(),
            targets: targets.filter(target => target !== undefined),
            loads: new KeyLoads(this.options.weights()),
            balance: now >= this.balancedAt,
            underWay: this.moving.size,
        });
        for (const move of moves) {
            const isFree = [...this.moving].every(other => !overlaps(move, other));
            if (isFree && this.canReclaim(move, now)) {
                this.balancedAt = now + BALANCE_PERIOD_MS;
                this.moving.add(move);
                void this.move(move).finally(() => this.moving.delete(move));
            }
        }
    }

    /** Tracked targets that own keys, with their ranges. */
    private owners(): Map<TrackedTarget, KeyRange[]> {
        const owners = new Map<TrackedTarget, KeyRange[]>();
        for (const range of this.assignment.ranges) {
            const owner = this.ownerOf(range);
            if (owner !== undefined) {
                owners.set(owner, [...(owners.get(owner) ?? []), range]);
            }
        }
        return owners;
    }

    /** The ranges as they are when the moves under way have ended, so that these aren't planned again. */
    private rangesAfterMoves(): KeyRange[] {
        const { fence, ranges } = this.assignment;
        const moved = [...this.moving].flatMap(({ from, to, target }): KeyRange[] => {
            const entry = this.receiverOf(target)?.listed.entry;
            return entry === undefined
                ? []
                : [{ from, to, target, startedAtMs: entry.startedAtMs, address: entry.address, fence }];
        });
        const kept = ranges.flatMap(range => withoutRanges(range, moved));
        return [...kept, ...moved].sort((a, b) => a.from - b.from);
    }

    /** The usable target with this identifier. */
    private receiverOf(id: string): TrackedTarget | undefined {
        return [...this.tracked.values()].find(
            ({ listed, ended }) => listed.entry.id === id && !ended && listed.usable,
        );
    }

    /** The target that gets keys whose release was begun for another one; see `chooseOtherReceiver`. */
    private receiverInsteadOf(receiver: TrackedTarget): TrackedTarget {
        if (receiver.listed.evacuation === undefined) {
            return receiver;
        }
        const now = this.options.clock.monotonicMs();
        const owners = this.owners();
        const targets = [...this.tracked.values()].map(tracked => this.plannedTarget(tracked, owners, now));
        const chosen = chooseOtherReceiver(
            targets.filter(target => target !== undefined),
            [...this.assignment.ranges, ...this.moving],
        );
        return chosen === undefined ? receiver : (this.receiverOf(chosen) ?? receiver);
    }

    private plannedTarget(
        tracked: TrackedTarget,
        owners: ReadonlyMap<TrackedTarget, unknown>,
        now: number,
    ): PlannedTarget | undefined {
        if (tracked.ended) {
            return undefined;
        }
        const { entry, usable } = tracked.listed;
        const holdsKeys = owners.has(tracked);
        // A target whose grants have expired without an answer is unreachable.
        const isReached = holdsKeys ? now < tracked.grants.endsAt() : !tracked.grants.isSilent(now);
        const isListed = tracked.goneAt === undefined;
        const waitsForReturn = !isListed && holdsKeys && isReached && !this.mayRelease(tracked, now);
        return {
            id: entry.id,
            startedAtMs: entry.startedAtMs,
            address: entry.address,
            ...this.options.measure(tracked.listed),
            canReceive: (isListed && usable && isReached && !this.isClaiming(tracked, now)) || waitsForReturn,
            canRelease: usable && now - tracked.grants.answeredAt() < 2 * RENEWAL_MS,
            isFailing: tracked.grants.isFailing(),
            isEvacuated: tracked.listed.evacuation !== undefined,
            isReturning: now - (tracked.listed.returnedAt ?? -Infinity) < RETURN_FROM_EVACUATION_MS,
        };
    }

    /**
     * Whether an owner is being asked whether it still has the address of this target, or a former process of this target at
     * another address may still hold keys, so that the entry may be that of another writer.
     */
    private isClaiming({ listed }: TrackedTarget, now: number): boolean {
        return [...this.tracked.values()].some(
            ({ listed: { entry }, claimant, ended, isAsked, grants }) =>
                claimant === listed &&
                (isAsked || (!ended && entry.address !== listed.entry.address && now < grants.endsAt())),
        );
    }

    /**
     * Whether a target may be asked to release keys. Without an entry it is asked only while it answers; a target behind a
     * network partition may register again once the partition heals.
     */
    private mayRelease(tracked: TrackedTarget, now: number): boolean {
        const { goneAt, grants } = tracked;
        return goneAt === undefined || (grants.answeredAt() > goneAt && now - goneAt > RETURN_MS);
    }

    /** Whether the keys are free, or their owner may be asked to release them. */
    private canReclaim(move: KeyMove, now: number): boolean {
        const range = this.assignment.ranges.find(candidate => overlaps(candidate, move));
        if (range === undefined || this.endOfHold(range, now) !== undefined) {
            return true;
        }
        const holder = this.holderOf(range);
        return holder !== undefined && this.mayRelease(holder, now);
    }

    private async move(move: KeyMove): Promise<void> {
        const { clock, lease, logger, service } = this.options;
        let receiver = this.receiverOf(move.target);
        if (receiver === undefined) {
            return;
        }
        const began = clock.monotonicMs();
        const pieces = this.assignment.ranges.filter(range => overlaps(range, move));
        for (const piece of pieces) {
            const from = Math.max(piece.from, move.from);
            const to = Math.min(piece.to, move.to);
            const keys = `Keys ${from} to ${to} of service ${service}`;
            if (piece.target !== "") {
                logger.info(`${keys} are being taken from ${piece.target}.`, {
                    receiver: move.target,
                    fence: piece.fence,
                });
            }
            const reclaimed = await this.reclaim(piece, from, to);
            if (reclaimed === undefined) {
                logger.info(`${keys} stay with ${piece.target || "no owner"}.`, {
                    cause: lease.isHeld() ? "not released" : "lease lost",
                    ms: Math.round(clock.monotonicMs() - began),
                });
                return;
            }
            receiver = this.receiverInsteadOf(receiver);
            move.target = receiver.listed.entry.id;
            const { id, startedAtMs, address } = receiver.listed.entry;
            const range = { from, to, target: id, startedAtMs, address, handover: reclaimed.handover };
            const fence = await this.commitOwner(range);
            if (fence === undefined) {
                logger.info(`${keys} stay with ${piece.target || "no owner"}.`, { cause: "not committed" });
                return;
            }
            logger.info(`${keys} have the new owner ${id}.`, {
                source: piece.target,
                fence,
                handover: reclaimed.handover !== undefined,
                proof: reclaimed.proof,
                holdEndsInMs: this.holdEndsInMs(piece),
                era: this.era,
                ms: Math.round(clock.monotonicMs() - began),
            });
            if (!(await this.grantUntilAnswered(receiver, { ...range, fence }))) {
                logger.warn(`${keys} weren't taken by their new owner ${id}.`, {
                    fence,
                    ms: Math.round(clock.monotonicMs() - began),
                });
                return;
            }
        }
    }

    /** Makes keys free of their owner, by a release if necessary. `undefined` if that is no longer possible. */
    private async reclaim(
        range: KeyRange,
        from: number,
        to: number,
    ): Promise<{ handover: string | undefined; proof: EndOfHold } | undefined> {
        const { calls, clock, lease } = this.options;
        let { fence } = range;
        await this.ownerOf(range)?.renewing;
        for (;;) {
            const owner = this.holderOf(range);
            if (this.disposed || this.isUncertain || !lease.isHeld()) {
                return undefined;
            }
            const proof = this.endOfHold(range, clock.monotonicMs());
            if (proof !== undefined) {
                return { handover: undefined, proof };
            }
            if (owner === undefined) {
                return undefined;
            }
            // The token of the range may be one that was recorded and never sent.
            const seenFence = owner.seen.lowest({ from, to });
            if (owner.late.mayTakeEffect({ from, to, fence: seenFence }, clock.monotonicMs())) {
                if (!owner.grants.isRenewable(clock.monotonicMs(), false)) {
                    // Each unanswered call would put off the end of the grants.
                    await this.pause(REPEAT_PAUSE_MS);
                    continue;
                }
                const raised = await this.raiseFence(owner, { ...range, from, to, handover: undefined });
                if (raised === undefined) {
                    return undefined;
                }
                fence = raised.fence;
                if (!raised.isAnswered) {
                    await this.pause(REPEAT_PAUSE_MS);
                }
                continue;
            }
            const { id, address } = owner.listed.entry;
            const reply = await calls.release({ id, address }, { from, to, fence }, RELEASE_TIMEOUT_MS);
            if (reply.type === "released") {
                this.applyStatement(owner, reply);
                return { handover: reply.handover, proof: "released" };
            }
            if (reply.type === "other-target") {
                return { handover: undefined, proof: "other-target" };
            }
            await this.pause(REPEAT_PAUSE_MS);
        }
    }

    /**
     * Grants an owner the keys that it already has under a higher fencing token, so that grants still in transit can't take
     * effect after the release.
     */
    private async raiseFence(
        owner: TrackedTarget,
        range: KeyRange,
    ): Promise<{ fence: number; isAnswered: boolean } | undefined> {
        const fence = await this.commitOwner(range);
        if (fence === undefined) {
            return undefined;
        }
        // Another process at the address would take the grant, and its hold would count for the one that has ended.
        return { fence, isAnswered: !owner.ended && (await this.grant(owner, { ...range, fence })) };
    }

    /** What shows that no target can hold the keys of a range any more; `undefined` if nothing does. */
    private endOfHold(range: KeyRange, now: number): EndOfHold | undefined {
        if (range.target === "") {
            return "no-owner";
        }
        if (this.holderOf(range) !== undefined) {
            return now >= this.holdEndsAt(range) ? "expired" : undefined;
        }
        if (this.ownerOf(range)?.ended === true) {
            return "process-ended";
        }
        return now >= this.inheritedUntil ? "inherited-expired" : undefined;
    }

    /** Monotonic time in milliseconds at which the last known grant of the keys of a range expires. */
    private holdEndsAt({ target, address }: KeyRange): number {
        return Math.max(-Infinity, ...this.processesAt(target, address).map(({ grants }) => grants.endsAt()));
    }

    /** Processes under one identifier at one address. Calls meant for one of them may have reached another. */
    private processesAt(id: string, address: string): TrackedTarget[] {
        return [...this.tracked.values()].filter(
            ({ listed: { entry } }) => entry.id === id && entry.address === address,
        );
    }

    /** Time in milliseconds until the former grants of a range expire, negative if they have; `undefined` if none are known. */
    private holdEndsInMs(range: KeyRange): number | undefined {
        const endsInMs = Math.round(this.holdEndsAt(range) - this.options.clock.monotonicMs());
        return Number.isFinite(endsInMs) ? endsInMs : undefined;
    }

    /** Records an owner in the store. */
    private commitOwner(range: Omit<KeyRange, "fence">): Promise<number | undefined> {
        return this.commit((ranges, fence) => replaceRange(ranges, { ...range, fence }));
    }

    /**
     * Records a change in the store; resolves to its fencing token, or to `undefined` if that failed, as without the lease.
     */
    private commit(apply: QueuedChange["apply"]): Promise<number | undefined> {
        return new Promise(settle => {
            this.queue.push({ apply, settle });
            void this.commitQueued();
        });
    }

    /** Commits queued changes; those that arrive during a transaction are batched into the next one. */
    private async commitQueued(): Promise<void> {
        if (this.isCommitting) {
            return;
        }
        this.isCommitting = true;
        await this.pause(COMMIT_LINGER_MS);
        while (this.queue.length > 0 && !this.disposed) {
            const batch = this.queue.splice(0);
            const fence = await this.accessRow(() => this.commitBatch(batch));
            batch.forEach(({ settle }) => settle(fence));
        }
        this.isCommitting = false;
    }

    /**
     * Writes the changes to the row; resolves to their fencing token. The transaction also expects the lease's row, so that a
     * former assigner can't write. In another era of the store the changes are written again, under a token of that era.
     */
    private async commitBatch(batch: readonly QueuedChange[]): Promise<number | undefined> {
        const { lease } = this.options;
        while (!this.disposed && !this.isUncertain && lease.isHeld()) {
            const { proof } = lease;
            if (proof === undefined || !(await this.enterEra(proof.era))) {
                await this.pause(REPEAT_PAUSE_MS);
                continue;
            }
            const fence = nextToken(this.assignment.fence, proof.era);
            const ranges = batch.reduce((result, { apply }) => apply(result, fence), this.assignment.ranges);
            const next: KeyAssignment = { ...this.assignment, fence, ranges };
            const end = await this.write(next, proof.era);
            if (end === "committed") {
                this.assignment = next;
                this.storedEra = proof.era;
                return fence;
            }
            if (end === "changed") {
                return undefined;
            }
        }
        return undefined;
    }

    /** Retries writing the row until the outcome is known, the store has entered another era, or the lease is lost. */
    private async write(next: KeyAssignment, era: number): Promise<"committed" | "changed" | "restored" | "unknown"> {
        const { store, service, lease, logger } = this.options;
        const name = { table: ASSIGNMENT_TABLE, key: service };
        const value = encodeAssignment(next);
        while (!this.disposed && lease.isHeld()) {
            const { proof } = lease;
            if (proof === undefined) {
                await this.pause(REPEAT_PAUSE_MS);
                continue;
            }
            if (proof.era !== era) {
                return "restored";
            }
            const written = await store.transact({
                expected: [{ ...name, version: this.rowVersion }, proof.row],
                puts: [{ ...name, value }],
            });
            if (written.isOk() && written.value.era === era && written.value.type === "committed") {
                this.rowVersion = written.value.version;
                return "committed";
            }
            const reading = await store.row(ASSIGNMENT_TABLE, service);
            const row = reading.isOk() && reading.value.era === era ? reading.value.row : undefined;
            if (row !== undefined && row.version !== this.rowVersion) {
                if (row.value?.equals(value) === true) {
                    this.rowVersion = row.version;
                    return "committed";
                }
                if (
                    row.value !== undefined &&
                    (decodeAssignment(row.value)?.fence ?? Infinity) < this.assignment.fence
                ) {
                    // A delayed write of an earlier era.
                    this.rowVersion = row.version;
                    continue;
                }
                logger.warn("The assignment has changed meanwhile; it is read anew.", {
                    service,
                    version: row.version,
                });
                this.isUncertain = !(await this.load());
                return "changed";
            }
            await this.pause(written.isOk() ? 20 : REPEAT_PAUSE_MS);
        }
        this.isUncertain = true;
        return "unknown";
    }

    /**
     * Reads the row's version in another era of the store; `false` if that failed. The row's content is that of the copy and
     * out of date, as this instance has held the lease since.
     */
    private async enterEra(era: number): Promise<boolean> {
        if (era === this.era) {
            return true;
        }
        const reading = await this.options.store.row(ASSIGNMENT_TABLE, this.options.service);
        if (reading.isErr() || reading.value.era !== era) {
            return false;
        }
        this.rowVersion = reading.value.row?.version ?? 0;
        this.era = era;
        return true;
    }

    /**
     * Grants a new owner its keys until it takes them. Resolves to `false` if it can't be reached: the keys then stay recorded for
     * it and are planned again like those of any owner whose grants have expired.
     */
    private async grantUntilAnswered(receiver: TrackedTarget, range: KeyRange): Promise<boolean> {
        const { clock, lease } = this.options;
        while (!this.disposed && !receiver.ended && lease.isHeld() && mayBeGranted(receiver.listed)) {
            if (await this.grant(receiver, range)) {
                return true;
            }
            if (!receiver.grants.isRepeatable(clock.monotonicMs())) {
                return false;
            }
            await this.pause(REPEAT_PAUSE_MS);
        }
        return false;
    }

    private async grant(target: TrackedTarget, range: KeyRange): Promise<boolean> {
        const { calls, clock, lease, logger, holdMs = DEFAULT_HOLD_MS } = this.options;
        if (!lease.isHeld() || this.disposed) {
            return false;
        }
        const { from, to, fence, handover } = range;
        const { address, id } = target.listed.entry;
        const call = calls.grant({ id, address }, { from, to, fence, holdMs, handover }, GRANT_TIMEOUT_MS);
        this.grantsUnderWay.add(call);
        const reply = await call.finally(() => this.grantsUnderWay.delete(call));
        this.options.grantEnded?.(reply.type);
        const now = clock.monotonicMs();
        if ("isCopyOutstanding" in reply && reply.isCopyOutstanding === true) {
            target.grants.unanswered(now);
            target.late.add(range, now);
        }
        switch (reply.type) {
            case "granted":
                target.grants.answered(now);
                target.seen.answered(range);
                this.applyStatement(target, reply);
                return true;
            case "unanswered":
                target.grants.unanswered(now);
                target.late.add(range, now);
                return false;
            case "other-target":
                this.addressLost(target.listed);
                return false;
            case "refused":
                target.grants.refused(now);
                return false;
            case "outdated":
            case "invalid":
                target.grants.refused(now);
                this.applyStatement(target, reply);
                logger.error(`Target ${id} refused a grant.`, { from, to, fence, reply: reply.type });
                return false;
        }
    }

    private applyStatement({ listed }: TrackedTarget, { leaving }: CallStatement): void {
        if (leaving === true) {
            this.options.leavingStated(listed);
        }
    }

    /** Renews the grants of all owners, except for keys that are being moved. */
    private renewAll(): void {
        if (!this.mayAct()) {
            return;
        }
        this.observe();
        this.logFailures();
        const now = this.options.clock.monotonicMs();
        const owners = this.owners();
        const isStranded = this.isStranded(owners, now);
        for (const tracked of this.tracked.values()) {
            const isGone = tracked.goneAt !== undefined;
            const isRenewable = tracked.grants.isRenewable(now, isGone) || (isStranded && !isGone);
            if (tracked.ended || !isRenewable || tracked.renewals > 0) {
                continue;
            }
            void this.renew(tracked, owners.get(tracked));
        }
    }

    /** Logs how many owners don't take their grants when that has changed. */
    private logFailures(): void {
        const { owners, failing } = this.ownerGrants();
        if (failing.length === this.loggedFailures) {
            return;
        }
        this.loggedFailures = failing.length;
        const { logger, service } = this.options;
        logger.warn(`${failing.length} of ${owners.length} owners didn't take their last grant.`, {
            service,
            failing: failing.map(({ entry }) => entry.id).join(","),
        });
    }

    /** Renews the grants of an owner, except for keys that are being moved. Resolves to whether each one was taken. */
    private renew(tracked: TrackedTarget, owned = this.owners().get(tracked)): Promise<boolean[]> {
        const moving = [...this.moving];
        const ranges = (owned ?? []).flatMap(range => withoutRanges(range, moving));
        tracked.renewals++;
        const renewal = Promise.all(ranges.map(range => this.grant(tracked, range))).finally(() => {
            tracked.renewals--;
        });
        tracked.renewing = Promise.all([tracked.renewing, renewal]).then(() => undefined);
        return renewal;
    }

    /** Whether no target can be reached, so that owners are granted their keys again after their grants have expired. */
    private isStranded(owners: ReadonlyMap<TrackedTarget, unknown>, now: number): boolean {
        return ![...this.tracked.values()].some(
            tracked => this.plannedTarget(tracked, owners, now)?.canReceive === true,
        );
    }

    private pause(durationMs: number): Promise<void> {
        return new Promise(resolve => this.options.clock.setTimer(durationMs, resolve));
    }
}
