import { err, ok, type Result } from "neverthrow";
import { refuse, type Refusal } from "../../request/refusal.js";
import { FairShare, type FlowItem } from "./fairShare.js";
import { IndexedHeap, type HeapItem } from "../runtime/indexedHeap.js";

/** Priorities, the most urgent first. */
export const PRIORITIES = ["high", "normal", "bulk"] as const;
/** Urgency of a request, declared per kind in the bundle. */
export type Priority = (typeof PRIORITIES)[number];

/** Requests of one priority that may wait at once. */
export const DEFAULT_MAX_WAITING = 1_024;
/** Callers remembered per priority; callers beyond the bound share one place in the fair queue. */
export const DEFAULT_MAX_CALLERS = 256;
/** A lower priority that waits gets one of this many starts, so that higher ones can't starve it. */
export const STARTS_PER_LOWER_START = 10;
/** Waiting requests per slot below which an overload of a priority is over. */
const OVERLOAD_END_ROUNDS = 2;
/** Share of its time that a request waits during an overload before it is refused. */
const DEFAULT_OVERLOAD_PATIENCE = 0.25;
/**
 * A priority counts as overloaded when its waiting requests take longer than this share of the time that its requests
 * have on average. With a quarter, a demand of 2.5 times the capacity for 200 ms every 2 s lost 11% of requests that
 * had 1 s; with a half it lost none.
 */
const OVERLOAD_START = 0.5;
/** Requests over which that average is taken. One request with little time thus can't declare an overload. */
const MEAN_TIME_SAMPLES = 64;
/** Least wait before such a refusal, in mean service times; a shorter one would refuse what a short burst delays. */
const MIN_PATIENCE_ROUNDS = 4;

/** What the queue needs to know of a request. */
export interface QueuedWork {
    caller: string;
    priority: Priority;
    /** Monotonic time in milliseconds by which it must have finished. */
    deadlineAt: number;
}

/** How fast the queue is served. */
export interface ServicePace {
    /** Mean service time in milliseconds. */
    meanMs: number;
    /** Requests served at a time; at least 1. */
    slots: number;
}

/** Waiting work that leaves the queue without having started. */
export interface Withdrawn<Work> {
    work: Work;
    refusal: Refusal;
}

interface Waiting<Work> extends HeapItem, FlowItem<Waiting<Work>> {
    work: Work;
    band: Band<Work>;
    expectedMs: number;
    /** Last time at which it can start and still finish by its deadline, by the estimate. */
    latestStartAt: number;
    /** Time that it waits during an overload. */
    patienceMs: number;
    /** Time at which the queue next decides about it. */
    checkAt: number;
}

interface Band<Work> {
    priority: Priority;
    share: FairShare<Waiting<Work>>;
    overloaded: boolean;
    /** Mean time from arrival to deadline of its requests, in milliseconds; 0 before the first one. */
    meanTimeMs: number;
    /** Starts of higher priorities since the last own start, counted while something waits here. */
    passedOver: number;
}

/**
 * Queue of one class of work at one target. Priorities go first to last with a guaranteed share for the lower ones,
 * and callers share a priority by start-time fair queueing. While a priority is overloaded, the newest request of a
 * caller goes first and a request that has waited a quarter of its time is refused. Operations cost O(log n).
 *
 * @example
 * const queue = new AdmissionQueue<Work>(() => ({ meanMs: 9, slots: 6 }));
 * queue.offer(work, 9, clock.monotonicMs()); // Err when it can't finish in time
 * const next = queue.take();
 */
export class AdmissionQueue<Work extends QueuedWork> {
    private readonly bands: Band<Work>[];
    private readonly waiting = new Map<Work, Waiting<Work>>();
    private readonly checks = new IndexedHeap<Waiting<Work>>((a, b) => a.checkAt < b.checkAt);
    private readonly maxWaiting: number;
    private readonly overloadPatience: number;

    constructor(
        private readonly pace: () => ServicePace,
        options: { maxWaiting?: number; maxCallers?: number; overloadPatience?: number } = {},
    ) {
        this.maxWaiting = options.maxWaiting ?? DEFAULT_MAX_WAITING;
        this.overloadPatience = options.overloadPatience ?? DEFAULT_OVERLOAD_PATIENCE;
        const bounds = { maxCallers: options.maxCallers ?? DEFAULT_MAX_CALLERS, maxLength: this.maxWaiting };
        this.bands = PRIORITIES.map(priority => ({
            priority,
            share: new FairShare<Waiting<Work>>(bounds),
            overloaded: false,
            meanTimeMs: 0,
            passedOver: 0,
        }));
    }

    /** Number of waiting requests. */
    get size(): number {
        return this.waiting.size;
    }

    /** Estimated time in milliseconds until a new request of a caller would start. */
    estimateWaitMs(caller: string, priority: Priority): number {
        const index = PRIORITIES.indexOf(priority);
        const { share, overloaded } = this.bands[index];
        const higher = this.bands.slice(0, index).reduce((sum, band) => sum + band.share.size, 0);
        const own = overloaded ? share.ahead(1) : share.ahead(share.lengthOf(caller) + 1);
        // The guaranteed share bounds the wait of a lower priority behind many waiting higher ones.
        const ahead = Math.min(higher + own, own * STARTS_PER_LOWER_START);
        const { meanMs, slots } = this.pace();
        return ((ahead + 1) * meanMs) / slots;
    }

    /**
     * Adds a request that is expected to take `expectedMs`. Fails with `overloaded` when it can't start and finish by
     * its deadline. A full queue makes room by giving up the oldest request of the caller with the most waiting ones,
     * which is returned. `atOnce` skips the estimate for a request that a free slot awaits: it is tried even if the
     * learned time is too long, because a wrong estimate could otherwise never be corrected.
     */
    offer(work: Work, expectedMs: number, now: number, atOnce = false): Result<Withdrawn<Work> | undefined, Refusal> {
        const band = this.bandOf(work.priority);
        if (work.deadlineAt <= now) {
            return err(refuse("deadline-passed", "The deadline passed before the request was queued."));
        }
        const latestStartAt = work.deadlineAt - expectedMs;
        if (!atOnce && now + this.estimateWaitMs(work.caller, work.priority) > latestStartAt) {
            return err(refuse("overloaded", "It could not start and finish before its deadline."));
        }
        const { meanMs, slots } = this.pace();
        const timeMs = work.deadlineAt - now;
        band.meanTimeMs += (timeMs - band.meanTimeMs) / (band.meanTimeMs === 0 ? 1 : MEAN_TIME_SAMPLES);
        band.overloaded ||= (band.share.size * meanMs) / slots > OVERLOAD_START * band.meanTimeMs;
        let displaced: Withdrawn<Work> | undefined;
        if (band.share.size >= this.maxWaiting) {
            band.overloaded = true;
            const victim = band.share.longestFlow()?.first;
            if (victim !== undefined) {
                this.drop(victim);
                displaced = { work: victim.work, refusal: refuse("overloaded", "The queue of its target is full.") };
            }
        }
        // At least 1 ms, so that each check lies ahead of the one before.
        const patienceMs = Math.max(1, this.overloadPatience * timeMs, MIN_PATIENCE_ROUNDS * meanMs);
        const lastCheckAt = atOnce ? work.deadlineAt : latestStartAt;
        const entry: Waiting<Work> = {
            work,
            band,
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
        band.share.append(work.caller, entry, expectedMs);
        this.checks.push(entry);
        return ok(displaced);
    }

    /** Removes and returns the request that goes next, or `undefined` when nothing waits. */
    take(): Work | undefined {
        const band = this.nextBand();
        const flow = band?.share.nextFlow();
        const entry = band?.overloaded === true ? flow?.last : flow?.first;
        if (band === undefined || entry === undefined) {
            return undefined;
        }
        for (const lower of this.bands.slice(this.bands.indexOf(band) + 1)) {
            lower.passedOver += lower.share.size > 0 ? 1 : 0;
        }
        band.passedOver = 0;
        this.waiting.delete(entry.work);
        this.checks.remove(entry);
        band.share.start(entry, entry.expectedMs);
        this.judgeOverloadEnd(band);
        return entry.work;
    }

    /** The request that `take` would return. */
    peek(): Work | undefined {
        const band = this.nextBand();
        const flow = band?.share.nextFlow();
        return (band?.overloaded === true ? flow?.last : flow?.first)?.work;
    }

    /** Removes a waiting request; `false` when it isn't waiting. */
    remove(work: Work): boolean {
        const entry = this.waiting.get(work);
        if (entry === undefined) {
            return false;
        }
        this.drop(entry);
        return true;
    }

    /** Removes and returns the waiting requests that `predicate` selects, in order of arrival. */
    withhold(predicate: (work: Work) => boolean): Work[] {
        const selected = [...this.waiting.keys()].filter(predicate);
        selected.forEach(work => this.remove(work));
        return selected;
    }

    /** Monotonic time in milliseconds at which `expire` next has something to decide, or `undefined`. */
    nextCheckAt(): number | undefined {
        return this.checks.peek()?.checkAt;
    }

    /**
     * Removes and returns the requests that can no longer finish in time or have waited too long in an overload. With
     * `paused`, waiting isn't due to an overload, and only the deadline counts.
     */
    expire(now: number, paused = false): Withdrawn<Work>[] {
        const expired: Withdrawn<Work>[] = [];
        for (;;) {
            const entry = this.checks.peek();
            if (entry === undefined || entry.checkAt > now) {
                return expired;
            }
            if (entry.latestStartAt <= now) {
                this.drop(entry);
                const refusal = refuse("deadline-passed", "It waited until too little time was left to finish.");
                expired.push({ work: entry.work, refusal });
            } else if (entry.band.overloaded && !paused) {
                this.drop(entry);
                expired.push({ work: entry.work, refusal: refuse("overloaded", "Newer requests went first.") });
            } else {
                this.checks.remove(entry);
                entry.checkAt = Math.min(now + entry.patienceMs, entry.latestStartAt);
                this.checks.push(entry);
            }
        }
    }

    private bandOf(priority: Priority): Band<Work> {
        return this.bands[PRIORITIES.indexOf(priority)];
    }

    private nextBand(): Band<Work> | undefined {
        let next: Band<Work> | undefined;
        for (const band of this.bands) {
            if (band.share.size > 0 && (next === undefined || band.passedOver >= STARTS_PER_LOWER_START - 1)) {
                next = band;
            }
        }
        return next;
    }

    private drop(entry: Waiting<Work>): void {
        this.waiting.delete(entry.work);
        this.checks.remove(entry);
        entry.band.share.remove(entry);
        this.judgeOverloadEnd(entry.band);
    }

    private judgeOverloadEnd(band: Band<Work>): void {
        if (band.share.size < OVERLOAD_END_ROUNDS * this.pace().slots) {
            band.overloaded = false;
        }
    }
}
