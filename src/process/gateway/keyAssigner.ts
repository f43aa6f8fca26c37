import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { Logger } from "../observability/logger.js";
import { LEASE_KEY, LEASE_TABLE } from "./assignerLease.js";
import { DEFAULT_HOLD_MS, GrantRecord } from "./grantRecord.js";
import {
    decodeAssignment,
    emptyAssignment,
    KEY_COUNT,
    overlaps,
    replaceRange,
    withoutRanges,
    type KeyAssignment,
    type KeyRange,
} from "./keyMap.js";
import { LateGrants } from "./lateGrants.js";
import type { GrantReply, OwnershipCalls } from "./ownershipCalls.js";
import { KeyLoads, planMoves, type KeyMove, type PlannedTarget } from "./planMoves.js";
import type { RowStore } from "./rowStore.js";
import type { DirectoryTarget } from "./targetDirectory.js";
import type { TargetEntry } from "./targetEntry.js";

/** Table of the assignments; the instances follow it. */
export const ASSIGNMENT_TABLE = "sassafrasloom";
/** Time between two looks at what is to be moved, in milliseconds. */
const PLAN_PERIOD_MS = 200;
/** Time between two renewals of the grants, in milliseconds. */
const RENEWAL_MS = 1_200;
/** Time after which a call to a target counts as unanswered, in milliseconds. */
const GRANT_TIMEOUT_MS = 800;
/** Time for which a release is waited for: it is answered when the longest running work has ended. In milliseconds. */
const RELEASE_TIMEOUT_MS = 3_000;
/** Pause before a call or transaction without an answer is repeated, in milliseconds. */
const REPEAT_PAUSE_MS = 150;
/** Time without a new target after which keys are assigned for the first time, in milliseconds. */
const SETTLING_MS = 1_000;
/** Time after the first target within which others are waited for before the first assignment, in milliseconds. */
const FIRST_ASSIGNMENT_MS = 2_500;
/** Time for which a transaction waits for further changes, in milliseconds. Each one wakes all instances. */
const COMMIT_LINGER_MS = 15;
/** Time in which entries that lapsed in an outage of the store are back, in milliseconds. */
const ENTRY_RETURN_MS = 2_300;
/** Time in which the entry of a target that answers may return before its keys are moved, in milliseconds. */
const RETURN_MS = 300;
/** Least time between two moves for balance, in milliseconds; the loads need time to show the last ones' effect. */
const BALANCE_PERIOD_MS = 600;
/** Time after the start in which keys aren't moved for balance, in milliseconds; the loads aren't known yet. */
const BALANCE_DELAY_MS = 2_000;

/** A target that has held keys since this instance became the assigner. */
interface KnownTarget {
    listed: DirectoryTarget;
    grants: GrantRecord;
    late: LateGrants;
    /** Monotonic time in milliseconds at which its entry went. */
    goneAt: number | undefined;
    /** Whether it is proven that its process has ended. */
    ended: boolean;
    /** Renewals that are under way; a release waits for them, since a late renewal would undo it. */
    renewing: Promise<unknown>;
    isRenewing: boolean;
}

interface QueuedChange {
    range: Omit<KeyRange, "fence">;
    settle: (fence: number | undefined) => void;
}

/**
 * Assigns the keys of one service while this instance holds the lease: it plans moves, takes keys from their owners,
 * records the new owner in the store and grants it the keys, and renews all grants.
 *
 * A key gets a new owner only when the former one has answered a release, has provably ended, or has no valid grant any
 * more. The new owner is in the store before it is granted the keys, so the next assigner knows of it.
 *
 * @example
 * const assigner = new KeyAssigner({ service: "stock", ... });
 * await assigner.start();
 */
export class KeyAssigner {
    private assignment: KeyAssignment;
    private rowVersion = 0;
    private isLoaded = false;
    private readonly known = new Map<string, KnownTarget>();
    private readonly moving = new Set<KeyMove>();
    private readonly queue: QueuedChange[] = [];
    private readonly grantsUnderWay = new Set<Promise<GrantReply>>();
    private isCommitting = false;
    private readonly disposables = new DisposableStore();
    private disposed = false;
    private readonly startedAt: number;
    private balancedAt: number;
    /** Until when a target may hold keys that an earlier assigner granted, in monotonic milliseconds. */
    private inheritedUntil = Infinity;

    constructor(
        private readonly options: {
            service: string;
            store: RowStore;
            calls: OwnershipCalls;
            clock: Clock;
            logger: Logger;
            /** Version of the lease's row while this instance holds the lease. */
            lease: { isHeld(): boolean; version: number };
            /** Targets that are listed for the service. */
            targets: () => DirectoryTarget[];
            /** Targets of all services; one of another service may have got the address of an owner. */
            allTargets: () => Iterable<DirectoryTarget>;
            /** Relative capacity of a target by its slots and speed, and its requests running or waiting over its slots. */
            measure: (target: DirectoryTarget) => { capacity: number; pressure: number };
            /** Load of each key. */
            weights: () => ArrayLike<number>;
            holdMs?: number;
        },
    ) {
        this.assignment = emptyAssignment(options.service);
        this.startedAt = options.clock.monotonicMs();
        this.balancedAt = this.startedAt + BALANCE_DELAY_MS;
    }

    /** Reads the assignment that the last assigner left, and begins. */
    async start(): Promise<void> {
        while (!this.disposed && !(await this.load())) {
            await this.pause(REPEAT_PAUSE_MS);
        }
        if (this.disposed) {
            return;
        }
        this.isLoaded = true;
        const { clock, holdMs = DEFAULT_HOLD_MS } = this.options;
        this.inheritedUntil = new GrantRecord(clock.monotonicMs(), holdMs).endsAt();
        this.renewAll();
        this.disposables.add(repeat(this.options.clock, PLAN_PERIOD_MS, () => this.plan()));
        this.disposables.add(repeat(this.options.clock, RENEWAL_MS, () => this.renewAll()));
    }

    /** Ends all activity. Calls that are under way may still arrive. */
    dispose(): void {
        this.disposed = true;
        void this.disposables.dispose();
        this.queue.splice(0).forEach(({ settle }) => settle(undefined));
    }

    /** Resolves when the grants that are under way have been answered or given up. */
    async settled(): Promise<void> {
        await Promise.all(this.grantsUnderWay);
    }

    /** Notes that another process listens at a target's address, or that the target has started anew. */
    targetEnded(listed: DirectoryTarget): void {
        const known = this.known.get(this.identity(listed.entry.id, listed.entry.startedAtMs));
        if (known !== undefined && !known.ended) {
            known.ended = true;
            this.options.logger.info(`Target ${listed.entry.id} has ended; its keys are free.`);
        }
    }

    /**
     * Goes on after this instance had no lease for a while and nobody else did. What is known of grants still holds; a
     * transaction whose outcome was open may have been done.
     */
    async resume(): Promise<void> {
        if (this.isLoaded) {
            await this.load();
            this.renewAll();
        }
    }

    /** Reads the row. `false` while that isn't possible. */
    private async load(): Promise<boolean> {
        const { store, service, logger } = this.options;
        const reading = await store.row(ASSIGNMENT_TABLE, service);
        if (reading.isErr()) {
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
        logger.info("Assigning keys.", {
            service,
            ranges: this.assignment.ranges.length,
            fence: this.assignment.fence,
        });
        return true;
    }

    private identity(id: string, startedAtMs: number): string {
        return `${id}@${startedAtMs}`;
    }

    private ownerOf(range: KeyRange): KnownTarget | undefined {
        return range.target === "" ? undefined : this.known.get(this.identity(range.target, range.startedAtMs));
    }

    /** Takes over what the directory lists now. */
    private observe(): void {
        const now = this.options.clock.monotonicMs();
        const listed = new Set<string>();
        for (const target of this.options.targets()) {
            const { id, startedAtMs } = target.entry;
            const identity = this.identity(id, startedAtMs);
            listed.add(identity);
            const known = this.known.get(identity);
            if (known === undefined) {
                this.know(identity, target, now);
            } else {
                known.listed = target;
                known.goneAt = undefined;
            }
        }
        if (now - this.startedAt > ENTRY_RETURN_MS) {
            this.knowOwnersWithoutEntry(now);
        }
        this.endEarlierLives();
        for (const [identity, known] of this.known) {
            if (!listed.has(identity)) {
                known.goneAt ??= now;
                if (known.ended && !this.assignment.ranges.some(range => this.ownerOf(range) === known)) {
                    this.known.delete(identity);
                }
            }
        }
    }

    /** A target that has started anew, or that has the address of another one, proves that the earlier process has ended. */
    private endEarlierLives(): void {
        const byId = new Map<string, TargetEntry>();
        const byAddress = new Map<string, TargetEntry>();
        for (const { entry } of this.options.allTargets()) {
            byId.set(entry.id, entry);
            byAddress.set(entry.address, entry);
        }
        for (const { listed } of this.known.values()) {
            const { id, address, startedAtMs } = listed.entry;
            const later = [byId.get(id), byAddress.get(address)];
            if (later.some(entry => entry !== undefined && entry.startedAtMs > startedAtMs)) {
                this.targetEnded(listed);
            }
        }
    }

    private know(identity: string, listed: DirectoryTarget, now: number): KnownTarget {
        const { holdMs = DEFAULT_HOLD_MS } = this.options;
        const grants = new GrantRecord(now, holdMs);
        const late = new LateGrants(grants.endsAt() - now);
        // An earlier assigner may have grants under way that nobody has heard of.
        late.add({ from: 0, to: KEY_COUNT - 1, fence: this.assignment.fence }, now);
        const known: KnownTarget = {
            listed,
            grants,
            late,
            goneAt: undefined,
            ended: false,
            renewing: Promise.resolve(),
            isRenewing: false,
        };
        this.known.set(identity, known);
        return known;
    }

    /** Owners that an earlier assigner left and that have no entry; they may still answer where they were. */
    private knowOwnersWithoutEntry(now: number): void {
        for (const { target: id, startedAtMs, address } of this.assignment.ranges) {
            const identity = this.identity(id, startedAtMs);
            if (id === "" || address === "" || this.known.has(identity)) {
                continue;
            }
            const { service } = this.options;
            const entry = { id, service, address, domain: "", slots: 1, draining: true, warmupLeftMs: 0, startedAtMs };
            this.know(identity, { entry, usable: false, gone: true, seenAt: now }, now).goneAt = now;
        }
    }

    private plan(): void {
        if (this.disposed || !this.options.lease.isHeld()) {
            return;
        }
        this.observe();
        const now = this.options.clock.monotonicMs();
        if (this.assignment.fence === 0 && !this.hasSettled(now)) {
            return;
        }
        const targets = [...this.known.values()].map(known => this.plannedTarget(known, now));
        const moves = planMoves({
            ranges: this.assignment.ranges,
            targets: targets.filter(target => target !== undefined),
            loads: new KeyLoads(this.options.weights()),
            balance: now >= this.balancedAt && this.moving.size === 0,
        });
        for (const move of moves) {
            const isFree = [...this.moving].every(other => !overlaps(move, other));
            if (isFree && this.canTake(move, now)) {
                this.balancedAt = now + BALANCE_PERIOD_MS;
                this.moving.add(move);
                void this.move(move).finally(() => this.moving.delete(move));
            }
        }
    }

    /** Before the first assignment most targets should have registered; keys would have to move to late ones. */
    private hasSettled(now: number): boolean {
        const times = this.options.targets().map(({ seenAt }) => seenAt);
        return now - Math.max(...times) > SETTLING_MS && now - Math.min(...times) > FIRST_ASSIGNMENT_MS;
    }

    private plannedTarget(known: KnownTarget, now: number): PlannedTarget | undefined {
        if (known.ended) {
            return undefined;
        }
        const { entry, usable } = known.listed;
        const holdsKeys = this.assignment.ranges.some(range => this.ownerOf(range) === known);
        // A target whose grants have ended unanswered is out of reach.
        const isReached = holdsKeys ? now < known.grants.endsAt() : !known.grants.isSilent(now);
        const isListed = known.goneAt === undefined;
        const waitsForReturn = !isListed && holdsKeys && isReached && !this.mayRelease(known, now);
        return {
            id: entry.id,
            startedAtMs: entry.startedAtMs,
            ...this.options.measure(known.listed),
            receives: (isListed && usable && isReached) || waitsForReturn,
            releases: usable && now - known.grants.answeredAt() < 2 * RENEWAL_MS,
        };
    }

    /** A target whose entry has gone is asked to release only while it answers; one behind a cut may come back with it. */
    private mayRelease(known: KnownTarget, now: number): boolean {
        const { goneAt, grants } = known;
        return goneAt === undefined || (grants.answeredAt() > goneAt && now - goneAt > RETURN_MS);
    }

    /** Whether the former owner can be asked, or needn't be. */
    private canTake(move: KeyMove, now: number): boolean {
        const range = this.assignment.ranges.find(candidate => overlaps(candidate, move));
        if (range === undefined || this.isFree(range, now)) {
            return true;
        }
        const owner = this.ownerOf(range);
        return owner !== undefined && this.mayRelease(owner, now);
    }

    /** Whether the owner of a range has started anew since it got the keys. */
    private hasNewerLife(range: KeyRange): boolean {
        return [...this.known.values()].some(
            ({ listed }) => listed.entry.id === range.target && listed.entry.startedAtMs > range.startedAtMs,
        );
    }

    private async move(move: KeyMove): Promise<void> {
        const { clock, lease, logger, service } = this.options;
        const receiver = [...this.known.values()].find(
            ({ listed, ended }) => listed.entry.id === move.target && !ended && listed.usable,
        );
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
            const taken = await this.take(piece, from, to);
            if (taken === undefined) {
                logger.info(`${keys} stay with ${piece.target || "no owner"}.`, {
                    cause: lease.isHeld() ? "not released" : "lease lost",
                    ms: Math.round(clock.monotonicMs() - began),
                });
                return;
            }
            const { id, startedAtMs, address } = receiver.listed.entry;
            const range = { from, to, target: id, startedAtMs, address, handover: taken.handover };
            const fence = await this.commit(range);
            if (fence === undefined) {
                logger.info(`${keys} stay with ${piece.target || "no owner"}.`, { cause: "not committed" });
                return;
            }
            logger.info(`${keys} have the new owner ${id}.`, {
                source: piece.target,
                fence,
                handover: taken.handover !== undefined,
                ms: Math.round(clock.monotonicMs() - began),
            });
            await this.grantUntilAnswered(receiver, { ...range, fence });
        }
    }

    /** Takes keys from their owner. `undefined` when that isn't possible any more. */
    private async take(
        range: KeyRange,
        from: number,
        to: number,
    ): Promise<{ handover: string | undefined } | undefined> {
        const { calls, clock, lease } = this.options;
        const owner = this.ownerOf(range);
        let { fence } = range;
        await owner?.renewing;
        for (;;) {
            if (this.disposed || !lease.isHeld()) {
                return undefined;
            }
            if (this.isFree(range, clock.monotonicMs())) {
                return { handover: undefined };
            }
            if (owner === undefined) {
                return undefined;
            }
            if (owner.late.mayTakeEffect({ from, to, fence }, clock.monotonicMs())) {
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
                return { handover: reply.handover };
            }
            if (reply.type === "other-target") {
                return { handover: undefined };
            }
            await this.pause(REPEAT_PAUSE_MS);
        }
    }

    /**
     * Grants an owner keys that it has, under a higher fencing token, so that grants that are still on their way can't
     * take effect after the release.
     */
    private async raiseFence(
        owner: KnownTarget,
        range: KeyRange,
    ): Promise<{ fence: number; isAnswered: boolean } | undefined> {
        const fence = await this.commit(range);
        if (fence === undefined) {
            return undefined;
        }
        return { fence, isAnswered: await this.grant(owner, { ...range, fence }) };
    }

    /** Whether nobody can hold the keys of a range any more. */
    private isFree(range: KeyRange, now: number): boolean {
        const owner = this.ownerOf(range);
        if (range.target === "" || owner?.ended === true) {
            return true;
        }
        return owner === undefined
            ? now >= this.inheritedUntil || this.hasNewerLife(range)
            : now >= owner.grants.endsAt();
    }

    /** Records an owner in the store; resolves with the fencing token, or `undefined` when the lease was lost. */
    private commit(range: Omit<KeyRange, "fence">): Promise<number | undefined> {
        return new Promise(settle => {
            this.queue.push({ range, settle });
            void this.commitQueued();
        });
    }

    /** Changes that come while a transaction is under way go into the next one together. */
    private async commitQueued(): Promise<void> {
        if (this.isCommitting) {
            return;
        }
        this.isCommitting = true;
        await this.pause(COMMIT_LINGER_MS);
        while (this.queue.length > 0 && !this.disposed) {
            const batch = this.queue.splice(0);
            const fence = this.assignment.fence + 1;
            const ranges = batch.reduce(
                (result, { range }) => replaceRange(result, { ...range, fence }),
                this.assignment.ranges,
            );
            const next: KeyAssignment = { ...this.assignment, fence, ranges };
            const isCommitted = await this.write(next);
            if (isCommitted) {
                this.assignment = next;
            }
            batch.forEach(({ settle }) => settle(isCommitted ? fence : undefined));
        }
        this.isCommitting = false;
    }

    /** Writes the row until the outcome is known. The lease's row is a condition, so a former assigner can't write. */
    private async write(next: KeyAssignment): Promise<boolean> {
        const { store, service, lease, logger } = this.options;
        const name = { table: ASSIGNMENT_TABLE, key: service };
        const value = Buffer.from(JSON.stringify(next));
        while (!this.disposed && lease.isHeld()) {
            const written = await store.transact({
                expected: [
                    { ...name, version: this.rowVersion },
                    { table: LEASE_TABLE, key: LEASE_KEY, version: lease.version },
                ],
                puts: [{ ...name, value }],
            });
            if (written.isOk() && written.value.type === "committed") {
                this.rowVersion = written.value.version;
                return true;
            }
            const reading = await store.row(ASSIGNMENT_TABLE, service);
            const row = reading.isOk() ? reading.value.row : undefined;
            if (row !== undefined && row.version !== this.rowVersion) {
                if (row.value?.equals(value) === true) {
                    this.rowVersion = row.version;
                    return true;
                }
                logger.warn("The assignment has changed meanwhile; it is read anew.", {
                    service,
                    version: row.version,
                });
                await this.load();
                return false;
            }
            await this.pause(written.isOk() ? 20 : REPEAT_PAUSE_MS);
        }
        return false;
    }

    private async grantUntilAnswered(receiver: KnownTarget, range: KeyRange): Promise<void> {
        while (!this.disposed && !receiver.ended && this.options.lease.isHeld() && receiver.listed.usable) {
            if (await this.grant(receiver, range)) {
                return;
            }
            await this.pause(REPEAT_PAUSE_MS);
        }
    }

    private async grant(target: KnownTarget, range: KeyRange): Promise<boolean> {
        const { calls, clock, lease, logger, holdMs = DEFAULT_HOLD_MS } = this.options;
        if (!lease.isHeld() || this.disposed) {
            return false;
        }
        const { from, to, fence, handover } = range;
        const { address, id } = target.listed.entry;
        const call = calls.grant({ id, address }, { from, to, fence, holdMs, handover }, GRANT_TIMEOUT_MS);
        this.grantsUnderWay.add(call);
        const reply = await call.finally(() => this.grantsUnderWay.delete(call));
        const now = clock.monotonicMs();
        switch (reply.type) {
            case "granted":
                target.grants.answered(now);
                return true;
            case "unanswered":
                target.grants.unanswered(now);
                target.late.add(range, now);
                return false;
            case "other-target":
                this.targetEnded(target.listed);
                return false;
            case "refused":
                return false;
            case "outdated":
            case "invalid":
                logger.error(`Target ${id} refused a grant.`, { from, to, fence, reply: reply.type });
                return false;
        }
    }

    /** Renews the grants of all owners, except of keys that are being moved. */
    private renewAll(): void {
        if (this.disposed || !this.options.lease.isHeld()) {
            return;
        }
        this.observe();
        const now = this.options.clock.monotonicMs();
        for (const known of this.known.values()) {
            const isRenewable = known.grants.isRenewable(now, known.goneAt !== undefined);
            if (known.ended || !isRenewable || known.isRenewing) {
                continue;
            }
            const ranges = this.assignment.ranges
                .filter(range => this.ownerOf(range) === known)
                .flatMap(range => withoutRanges(range, [...this.moving]));
            known.isRenewing = true;
            known.renewing = Promise.all(ranges.map(range => this.grant(known, range))).finally(() => {
                known.isRenewing = false;
            });
        }
    }

    private pause(durationMs: number): Promise<void> {
        return new Promise(resolve => this.options.clock.setTimer(durationMs, resolve));
    }
}
