import { err, ok, type Result } from "neverthrow";
import { refuse, type Refusal } from "../../request/refusal.js";
import { FairShare, type FlowItem } from "./fairShare.js";
import { IndexedHeap, type HeapItem } from "../runtime/indexedHeap.js";
import { isLowerStartDue, STARTS_PER_LOWER_START } from "./startShare.js";

/** Priorities, most urgent first. */
export const PRIORITIES = ["high", "normal", "bulk"] as const;
/** Urgency of a request, declared per kind in the bundle. */
export type Priority = (typeof PRIORITIES)[number];

/** Maximum number of waiting requests of one priority. */
export const DEFAULT_MAX_WAITING = 1_024;
/** Maximum number of callers tracked per priority; callers beyond it share one flow of the fair queue. */
export const DEFAULT_MAX_CALLERS = 256;
/** An overload of a priority ends when fewer requests than this wait per slot. */
const OVERLOAD_END_ROUNDS = 2;
/** Share of the time until its deadline that a request waits during an overload before it is refused. */
const DEFAULT_OVERLOAD_PATIENCE = 0.25;
/**
 * A priority is overloaded when serving its waiting requests takes longer than this share of the mean time that its
 * requests have until their deadlines. With 0.25, a demand of 2.5 times the capacity for 200 ms every 2 s lost 11% of
 * the requests with a deadline of 1 s; with 0.5, none.
 */
const OVERLOAD_START = 0.5;
/** Number of requests in that mean, so that one request with a short deadline can't start an overload. */
const MEAN_TIME_SAMPLES = 64;
/** Minimum wait before a refusal by overload, in mean service times; less would refuse requests in short bursts. */
const MIN_PATIENCE_ROUNDS = 4;

/** Properties of a request that the queue depends on. */
export interface QueuedWork {
    caller: string;
    priority: Priority;
    /** Monotonic time in milliseconds by which it must finish. */
    deadlineAt: number;
}

/** Rate at which the queue is served. */
export interface ServiceRate {
    /** Mean service time in milliseconds. */
    meanMs: number;
    /** Number of requests served concurrently; at least 1. */
    slots: number;
}

/** Work that was removed from the queue without being started. */
export interface RefusedWork<Work> {
    work: Work;
    refusal: Refusal;
}

interface Waiting<Work> extends HeapItem, FlowItem<Waiting<Work>> {
    work: Work;
    level: PriorityLevel<Work>;
    expectedMs: number;
    /** Latest time at which it can start and still finish by its deadline, according to the estimate. */
    latestStartAt: number;
    /** Maximum time that it waits during an overload. */
    patienceMs: number;
    /** Time at which `expire` next checks it. */
    checkAt: number;
}

interface PriorityLevel<Work> {
    priority: Priority;
    share: FairShare<Waiting<Work>>;
    overloaded: boolean;
    /** Mean time from arrival to deadline of its requests, in milliseconds; 0 before the first one. */
    meanTimeMs: number;
    /** Starts of higher priorities since the last start of this one, counted while requests of this one wait. */
    higherPriorityStarts: number;
}

/**
 * Queue of one class of work at one target. Priorities are served in order, with a guaranteed share for the lower ones,
 * and the callers of a priority share it by start-time fair queueing. While a priority is overloaded, the newest
 * request of a caller starts first and a request that has waited a quarter of its time is refused. Operations take
 * O(log n).
 *
 * @example
 * const queue = new AdmissionQueue<Work>(() => ({ meanMs: 9, slots: 6 }));
 * queue.offer(work, 9, clock.monotonicMs()); // Err when it can't finish in time
 * const next = queue.take();
 */
export class AdmissionQueue<Work extends QueuedWork> {
    private readonly levels: PriorityLevel<Work>[];
    private readonly waiting = new Map<Work, Waiting<Work>>();
    private readonly checks = new IndexedHeap<Waiting<Work>>((a, b) => a.checkAt < b.checkAt);
    private readonly maxWaiting: number;
    private readonly overloadPatience: number;

    constructor(
        private readonly serviceRate: () => ServiceRate,
        options: { maxWaiting?: number; maxCallers?: number; overloadPatience?: number } = {},
    ) {
        this.maxWaiting = options.maxWaiting ?? DEFAULT_MAX_WAITING;
        this.overloadPatience = options.overloadPatience ?? DEFAULT_OVERLOAD_PATIENCE;
        const bounds = { maxCallers: options.maxCallers ?? DEFAULT_MAX_CALLERS, maxLength: this.maxWaiting };
        this.levels = PRIORITIES.map(priority => ({
            priority,
            share: new FairShare<Waiting<Work>>(bounds),
            overloaded: false,
            meanTimeMs: 0,
            higherPriorityStarts: 0,
        }));
    }

    /** Number of waiting requests. */
    get size(): number {
        return this.waiting.size;
    }

    /** Estimated time in milliseconds until a new request of a caller would start. */
    estimateWaitMs(caller: string, priority: Priority): number {
        const index = PRIORITIES.indexOf(priority);
        const { share, overloaded } = this.levels[index];
        const higher = this.levels.slice(0, index).reduce((sum, level) => sum + level.share.size, 0);
        const own = overloaded ? share.countAhead(1) : share.countAhead(share.lengthOf(caller) + 1);
        // The guaranteed share bounds the wait of a lower priority behind many waiting higher ones.
        const ahead = Math.min(higher + own, own * STARTS_PER_LOWER_START);
        const { meanMs, slots } = this.serviceRate();
        return ((ahead + 1) * meanMs) / slots;
    }

    /**
     * Adds a request that is expected to take `expectedMs`. Fails with `overloaded` when it can't start and finish by
     * its deadline. A full queue removes and returns the oldest request of the caller with the most waiting requests.
     * `atOnce` skips the estimate for a request that can start immediately: it runs even if the learned time is too
     * long, because a wrong estimate could otherwise never be corrected.
     */
    offer(work: Work, expectedMs: number, now: number, atOnce = false): Result<RefusedWork<Work> | undefined, Refusal> {
        const level = this.levelOf(work.priority);
        if (work.deadlineAt <= now) {
            return err(refuse("deadline-passed", "The deadline passed before the request was queued."));
        }
        const latestStartAt = work.deadlineAt - expectedMs;
        if (!atOnce && now + this.estimateWaitMs(work.caller, work.priority) > latestStartAt) {
            return err(refuse("overloaded", "It could not start and finish before its deadline."));
        }
        const { meanMs, slots } = this.serviceRate();
        const timeMs = work.deadlineAt - now;
        level.meanTimeMs += (timeMs - level.meanTimeMs) / (level.meanTimeMs === 0 ? 1 : MEAN_TIME_SAMPLES);
        level.overloaded ||= (level.share.size * meanMs) / slots > OVERLOAD_START * level.meanTimeMs;
        let displaced: RefusedWork<Work> | undefined;
        if (level.share.size >= this.maxWaiting) {
            level.overloaded = true;
            const oldest = level.share.longestFlow()?.first;
            if (oldest !== undefined) {
                this.drop(oldest);
                displaced = { work: oldest.work, refusal: refuse("overloaded", "The queue of its target is full.") };
            }
        }
        // At least 1 ms, so that each check is later than the previous one.
        const patienceMs = Math.max(1, this.overloadPatience * timeMs, MIN_PATIENCE_ROUNDS * meanMs);
        const lastCheckAt = atOnce ? work.deadlineAt : latestStartAt;
        const entry: Waiting<Work> = {
            work,
            level,
            expectedMs,
            latestStartAt: lastCheckAt,
            patienceMs,
            checkAt: Math.min(now + patienceMs, lastCheckAt),
            flow: undefined,
            previous: undefined,
            next: undefined,
            heapIndex: -1,
        };
        this.waiting.set(work, entry);
        level.share.append(work.caller, entry, expectedMs);
        this.checks.push(entry);
        return ok(displaced);
    }

    /** Removes and returns the next request to start, or `undefined` when none waits. */
    take(): Work | undefined {
        const level = this.nextLevel();
        const flow = level?.share.nextFlow();
        const entry = level?.overloaded === true ? flow?.last : flow?.first;
        if (level === undefined || entry === undefined) {
            return undefined;
        }
        for (const lower of this.levels.slice(this.levels.indexOf(level) + 1)) {
            lower.higherPriorityStarts += lower.share.size > 0 ? 1 : 0;
        }
        level.higherPriorityStarts = 0;
        this.waiting.delete(entry.work);
        this.checks.remove(entry);
        level.share.start(entry, entry.expectedMs);
        this.checkOverloadEnd(level);
        return entry.work;
    }

    /** Returns the request that `take` would return, without removing it. */
    peek(): Work | undefined {
        const level = this.nextLevel();
        const flow = level?.share.nextFlow();
        return (level?.overloaded === true ? flow?.last : flow?.first)?.work;
    }

    /** Removes a waiting request. Returns `false` when it isn't waiting. */
    remove(work: Work): boolean {
        const entry = this.waiting.get(work);
        if (entry === undefined) {
            return false;
        }
        this.drop(entry);
        return true;
    }

    /** Removes and returns the waiting requests that match `predicate`, in order of arrival. */
    removeIf(predicate: (work: Work) => boolean): Work[] {
        const selected = [...this.waiting.keys()].filter(predicate);
        selected.forEach(work => this.remove(work));
        return selected;
    }

    /** Monotonic time in milliseconds of the next check by `expire`, or `undefined` when nothing waits. */
    nextCheckAt(): number | undefined {
        return this.checks.peek()?.checkAt;
    }

    /**
     * Removes and returns the requests that can no longer finish in time or have waited too long during an overload.
     * With `paused`, requests don't wait because of an overload, and only their deadlines are checked.
     */
    expire(now: number, paused = false): RefusedWork<Work>[] {
        const expired: RefusedWork<Work>[] = [];
        for (;;) {
            const entry = this.checks.peek();
            if (entry === undefined || entry.checkAt > now) {
                return expired;
            }
            if (entry.latestStartAt <= now) {
                this.drop(entry);
                const refusal = refuse("deadline-passed", "It waited until too little time was left to finish.");
                expired.push({ work: entry.work, refusal });
            } else if (entry.level.overloaded && !paused) {
                this.drop(entry);
                expired.push({ work: entry.work, refusal: refuse("overloaded", "Newer requests went first.") });
            } else {
                this.checks.remove(entry);
                entry.checkAt = Math.min(now + entry.patienceMs, entry.latestStartAt);
                this.checks.push(entry);
            }
        }
    }

    private levelOf(priority: Priority): PriorityLevel<Work> {
        return this.levels[PRIORITIES.indexOf(priority)];
    }

    private nextLevel(): PriorityLevel<Work> | undefined {
        let next: PriorityLevel<Work> | undefined;
        for (const level of this.levels) {
            if (level.share.size > 0 && (next === undefined || isLowerStartDue(level.higherPriorityStarts))) {
                next = level;
            }
        }
        return next;
    }

    private drop(entry: Waiting<Work>): void {
        this.waiting.delete(entry.work);
        this.checks.remove(entry);
        entry.level.share.remove(entry);
        this.checkOverloadEnd(entry.level);
    }

    private checkOverloadEnd(level: PriorityLevel<Work>): void {
        if (level.share.size < OVERLOAD_END_ROUNDS * this.serviceRate().slots) {
            level.overloaded = false;
        }
    }
}
