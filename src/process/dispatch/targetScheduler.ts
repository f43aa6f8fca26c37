import { refuse, type Refusal } from "../../request/refusal.js";
import { AdmissionQueue, type QueuedWork } from "./admissionQueue.js";
import type { Clock, TimerCancellation } from "../runtime/clock.js";
import { ConcurrencyLimit } from "./concurrencyLimit.js";
import { longAllowance } from "./longWorkShare.js";
import { OfferedLoad } from "./offeredLoad.js";
import { RouteDurations, type RouteFigures } from "./routeDurations.js";

/** Time over which the demand of short work is averaged, in milliseconds; it changes within seconds. */
const SHORT_LOAD_WINDOW_MS = 2_000;
/** Time over which the demand of long work is averaged, in milliseconds; long requests are infrequent. */
const LONG_LOAD_WINDOW_MS = 20_000;

/** A request for one target, as required by the scheduler. */
export interface ScheduledWork extends QueuedWork {
    /** Name under which the durations of requests are learned together. */
    route: string;
    /** Whether the bundle declares the kind as long. */
    declaredLong: boolean;
    /** Whether it was in flight at a crash of a target. At most one such request is in flight at a time. */
    suspect: boolean;
    /** Position of its key, by which the requests of a slice are removed. */
    position: number;
    /** Called when it is assigned a slot; it is in flight until `finished`. */
    start(): void;
    /** Called instead of `start` when it will not run. */
    refuse(refusal: Refusal): void;
}

/** How a started request ended. `serviceMs` is the time at the target. */
export interface WorkResult {
    outcome: "completed" | "shed" | "failed";
    serviceMs: number;
}

/** State of a scheduler, for metrics and load reports. */
export interface SchedulerSnapshot {
    queued: number;
    queuedLong: number;
    inFlight: number;
    longInFlight: number;
    limit: number;
    /** Mean service time of short work in milliseconds. */
    meanServiceMs: number;
    /** Estimated wait of a new short request of a new caller with normal priority, in milliseconds. */
    estimatedWaitMs: number;
    paused: boolean;
}

type WorkClass = "short" | "long" | "suspect";

interface StartedWork {
    long: boolean;
    suspect: boolean;
    startedAt: number;
}

/**
 * Decides when the requests for one target start and which of them are refused. It is driven by the clock and does no
 * I/O. It calls `start` or `refuse` of a request exactly once, except for requests removed by `cancel` or `removeIf`.
 *
 * @example
 * const scheduler = new TargetScheduler(clock, { slots: 6 });
 * scheduler.submit(work); // calls work.start() immediately when a slot is free
 * scheduler.finished(work, { outcome: "completed", serviceMs: 9 });
 */
export class TargetScheduler<Work extends ScheduledWork = ScheduledWork> {
    private readonly limit: ConcurrencyLimit;
    private readonly durations: RouteDurations;
    private readonly queues: Record<WorkClass, AdmissionQueue<Work>>;
    private readonly allQueues: readonly AdmissionQueue<Work>[];
    private readonly inFlight = new Map<Work, StartedWork>();
    private readonly shortLoad: OfferedLoad;
    private readonly longLoad: OfferedLoad;
    private longInFlight = 0;
    private suspectInFlight = false;
    private lastWasSuspect = false;
    /** Service time of short work since the last start of long work, in milliseconds; used with a limit of 1. */
    private shortServiceMs = 0;
    private paused = false;
    private disposed = false;
    private dispatching = false;
    private timer: { at: number; cancel: TimerCancellation } | undefined;

    constructor(
        private readonly clock: Clock,
        options: { slots: number; cold?: boolean; maxWaiting?: number; maxCallers?: number; overloadPatience?: number },
    ) {
        this.limit = new ConcurrencyLimit(clock, options);
        this.durations = new RouteDurations();
        this.shortLoad = new OfferedLoad(clock, SHORT_LOAD_WINDOW_MS);
        this.longLoad = new OfferedLoad(clock, LONG_LOAD_WINDOW_MS);
        this.queues = {
            short: new AdmissionQueue<Work>(
                () => ({
                    meanMs: this.durations.classMeanMs(false),
                    slots: Math.max(1, this.limit.current() - this.longInFlight),
                }),
                options,
            ),
            long: new AdmissionQueue<Work>(
                () => ({ meanMs: this.durations.classMeanMs(true), slots: this.longAllowance() }),
                options,
            ),
            suspect: new AdmissionQueue<Work>(() => ({ meanMs: this.durations.classMeanMs(false), slots: 1 }), options),
        };
        this.allQueues = Object.values(this.queues);
    }

    /** Queues a request. `start` or `refuse` may be called before this returns. */
    submit(work: Work): void {
        if (this.disposed) {
            work.refuse(refuse("shutting-down", "The dispatcher of its target has ended."));
            return;
        }
        const now = this.clock.monotonicMs();
        this.expire(now);
        const long = this.isLong(work);
        const expectedMs = this.durations.meanMs(work.route, long);
        (long ? this.longLoad : this.shortLoad).add(expectedMs);
        const workClass = work.suspect ? "suspect" : long ? "long" : "short";
        const atOnce = this.queues[workClass].size === 0 && this.canStart(workClass, long);
        this.queues[workClass].offer(work, expectedMs, now, atOnce).match(
            displaced => {
                if (displaced !== undefined) {
                    displaced.work.refuse(displaced.refusal);
                }
                this.dispatch();
            },
            refusal => work.refuse(refusal),
        );
    }

    /** Ends a started request and frees its slot. Does nothing for a request that isn't in flight. */
    finished(work: Work, result: WorkResult): void {
        const started = this.inFlight.get(work);
        if (started === undefined) {
            return;
        }
        this.inFlight.delete(work);
        this.longInFlight -= started.long ? 1 : 0;
        this.suspectInFlight = this.suspectInFlight && !started.suspect;
        this.shortServiceMs += started.long ? 0 : result.serviceMs;
        if (result.outcome === "completed") {
            const slowness = started.long ? undefined : this.durations.slowness(work.route, result.serviceMs);
            this.durations.record(work.route, started.long, result.serviceMs);
            this.limit.completed(started.startedAt, slowness);
        } else if (result.outcome === "shed") {
            this.limit.shed(started.startedAt);
        }
        this.dispatch();
    }

    /** Removes a waiting request without a call of `refuse`. Returns `false` when it isn't waiting. */
    cancel(work: Work): boolean {
        const removed = this.allQueues.some(queue => queue.remove(work));
        if (removed) {
            this.dispatch();
        }
        return removed;
    }

    /** Removes and returns the waiting requests that match `predicate`, without a call of `refuse`. */
    removeIf(predicate: (work: Work) => boolean): Work[] {
        const removed = this.allQueues.flatMap(queue => queue.removeIf(predicate));
        this.dispatch();
        return removed;
    }

    /** Starts no requests until `resume`. Waiting requests are kept until they can no longer finish in time. */
    pause(): void {
        this.paused = true;
    }

    /** Ends a pause. */
    resume(): void {
        this.paused = false;
        this.dispatch();
    }

    /** Restarts the cold ramp, for example after a restart of the target. */
    startCold(): void {
        this.limit.startCold();
    }

    /** Changes the number of slots, for example when a new bundle version takes effect. */
    setSlots(slots: number): void {
        this.limit.setSlots(slots);
        this.dispatch();
    }

    /** Learned durations of a route, or `undefined` for a route without samples. */
    routeFigures(route: string): RouteFigures | undefined {
        return this.durations.figures(route);
    }

    /** Number of long requests in flight. */
    get longRunning(): number {
        return this.longInFlight;
    }

    /** Number of requests that may be in flight now. */
    currentLimit(): number {
        return this.limit.current();
    }

    snapshot(): SchedulerSnapshot {
        return {
            queued: this.queues.short.size + this.queues.long.size + this.queues.suspect.size,
            queuedLong: this.queues.long.size,
            inFlight: this.inFlight.size,
            longInFlight: this.longInFlight,
            limit: this.limit.current(),
            meanServiceMs: this.durations.classMeanMs(false),
            estimatedWaitMs: this.canStart("short", false) ? 0 : this.queues.short.estimateWaitMs("", "normal"),
            paused: this.paused,
        };
    }

    /** Stops the timer and refuses all waiting requests with `refusal`. */
    dispose(refusal: Refusal = refuse("shutting-down", "The dispatcher of its target is ending.")): void {
        this.disposed = true;
        this.paused = true;
        this.timer?.cancel();
        this.timer = undefined;
        this.removeIf(() => true).forEach(work => work.refuse(refusal));
    }

    private isLong(work: Work): boolean {
        return work.declaredLong || this.durations.isLong(work.route);
    }

    private longAllowance(): number {
        return longAllowance({
            limit: this.limit.current(),
            shortLoad: this.shortLoad.slots(),
            longLoad: this.longLoad.slots(),
            shortWaits: this.queues.short.size > 0,
        });
    }

    /** Whether the limits allow a request of this class to start now. */
    private canStart(workClass: WorkClass, long: boolean): boolean {
        if (this.paused || this.inFlight.size >= this.limit.current()) {
            return false;
        }
        if (workClass === "suspect" && (this.suspectInFlight || this.mustYield())) {
            return false;
        }
        return !long || this.longInFlight < this.longAllowance();
    }

    /** Whether a short request starts before a suspect, so that suspects can't take every slot that becomes free. */
    private mustYield(): boolean {
        return this.lastWasSuspect && this.queues.short.size > 0;
    }

    /** Whether long work starts before waiting short work. */
    private longGoesFirst(): boolean {
        // With a limit of 1, long work alternates with an equal service time of short work.
        return this.limit.current() > 1 || this.shortServiceMs >= this.durations.classMeanMs(true);
    }

    private nextClass(): WorkClass | undefined {
        const suspect = this.queues.suspect.peek();
        if (suspect !== undefined && this.canStart("suspect", this.isLong(suspect))) {
            return "suspect";
        }
        const shortWaits = this.queues.short.size > 0;
        if (this.queues.long.size > 0 && this.canStart("long", true) && (!shortWaits || this.longGoesFirst())) {
            return "long";
        }
        return shortWaits && this.canStart("short", false) ? "short" : undefined;
    }

    private dispatch(): void {
        // A call of `start` or `refuse` may submit or finish work; the loop that is already running handles it.
        if (this.dispatching) {
            return;
        }
        this.dispatching = true;
        try {
            this.expire(this.clock.monotonicMs());
            for (let next = this.nextClass(); next !== undefined; next = this.nextClass()) {
                const work = this.queues[next].take();
                if (work === undefined) {
                    break;
                }
                this.startWork(work, next);
            }
        } finally {
            this.dispatching = false;
        }
        this.armTimer();
    }

    private startWork(work: Work, workClass: WorkClass): void {
        const long = workClass === "suspect" ? this.isLong(work) : workClass === "long";
        const suspect = workClass === "suspect";
        this.inFlight.set(work, { long, suspect, startedAt: this.clock.monotonicMs() });
        this.longInFlight += long ? 1 : 0;
        this.suspectInFlight ||= suspect;
        this.lastWasSuspect = suspect;
        this.shortServiceMs = long ? 0 : this.shortServiceMs;
        work.start();
    }

    private expire(now: number): void {
        for (const queue of this.allQueues) {
            if ((queue.nextCheckAt() ?? Infinity) <= now) {
                queue.expire(now, this.paused).forEach(({ work, refusal }) => work.refuse(refusal));
            }
        }
    }

    /** Sets the timer for the next check of a waiting request or the next step of the cold ramp. */
    private armTimer(): void {
        let at = Infinity;
        let waiting = 0;
        for (const queue of this.allQueues) {
            at = Math.min(at, queue.nextCheckAt() ?? Infinity);
            waiting += queue.size;
        }
        if (waiting > 0) {
            at = Math.min(at, this.limit.nextRiseAt() ?? Infinity);
        }
        if (this.disposed || at === Infinity || (this.timer !== undefined && this.timer.at <= at)) {
            return;
        }
        this.timer?.cancel();
        const cancel = this.clock.setTimer(Math.max(0, at - this.clock.monotonicMs()), () => {
            this.timer = undefined;
            this.dispatch();
        });
        this.timer = { at, cancel };
    }
}
