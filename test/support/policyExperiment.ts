import type { Priority } from "../../src/process/dispatch/admissionQueue.js";
import { TargetScheduler, type ScheduledWork } from "../../src/process/dispatch/targetScheduler.js";
import type { RefusalKind } from "../../src/request/refusal.js";
import { ManualClock } from "./manualClock.js";
import type { RandomNumbers } from "./randomNumbers.js";

/** A request of an experiment; times are in milliseconds of virtual time. */
export interface Arrival {
    at: number;
    caller: string;
    priority: Priority;
    long: boolean;
    serviceMs: number;
    deadlineMs: number;
}

/** Outcome of an arrival. `refusal` is set if it didn't run, `completedAt` if it finished by its deadline. */
export interface Outcome {
    arrival: Arrival;
    startedAt?: number;
    completedAt?: number;
    refusedAt?: number;
    refusal?: RefusalKind;
}

/** Distribution of short service times. */
export type ServiceShape = "steady" | "exponential";

/** Random factor for the mean service time: uniform within 25% of the mean, or exponential. */
export const serviceFactor = (shape: ServiceShape, random: RandomNumbers): number =>
    shape === "steady" ? 0.75 + 0.5 * random.uniform() : random.exponential();

/** Poisson arrivals between two times; `ratePerMs` may depend on the time and is at most `maxRatePerMs`. */
export const poissonArrivals = (
    random: RandomNumbers,
    span: { fromMs: number; toMs: number; maxRatePerMs: number; ratePerMs: (at: number) => number },
    make: (at: number) => Arrival,
): Arrival[] => {
    const arrivals: Arrival[] = [];
    let at = span.fromMs;
    for (;;) {
        at += random.exponential() / span.maxRatePerMs;
        if (at >= span.toMs) {
            return arrivals;
        }
        if (random.uniform() * span.maxRatePerMs < span.ratePerMs(at)) {
            arrivals.push(make(at));
        }
    }
};

/** Merges lists of arrivals in order of time. */
export const mergeByTime = (...lists: Arrival[][]): Arrival[] => lists.flat().sort((a, b) => a.at - b.at);

/** Schedules the arrivals one after another, so that the clock has only one timer for all of them. */
const schedule = (clock: ManualClock, arrivals: readonly Arrival[], submit: (arrival: Arrival) => void): void => {
    let index = 0;
    const next = () => {
        const arrival = arrivals[index++];
        if (arrival !== undefined) {
            clock.setTimer(arrival.at - clock.monotonicMs(), () => {
                submit(arrival);
                next();
            });
        }
    };
    next();
};

const endOf = (arrivals: readonly Arrival[]): number =>
    arrivals.reduce((end, arrival) => Math.max(end, arrival.at + arrival.deadlineMs), 0) + 1;

/**
 * Runs arrivals through a TargetScheduler in front of one target that has exactly `slots` slots and, like real targets,
 * aborts a request at its deadline.
 */
export const runScheduler = (
    arrivals: readonly Arrival[],
    options: { slots: number; overloadPatience?: number },
): Outcome[] => {
    const clock = new ManualClock();
    const scheduler = new TargetScheduler(clock, options);
    const outcomes: Outcome[] = [];
    schedule(clock, arrivals, arrival => {
        const outcome: Outcome = { arrival };
        outcomes.push(outcome);
        const deadlineAt = arrival.at + arrival.deadlineMs;
        const work: ScheduledWork = {
            caller: arrival.caller,
            priority: arrival.priority,
            route: arrival.long ? "long" : "short",
            declaredLong: arrival.long,
            suspect: false,
            position: 0,
            deadlineAt,
            start: () => {
                outcome.startedAt = clock.monotonicMs();
                const timeLeft = deadlineAt - outcome.startedAt;
                const completes = arrival.serviceMs <= timeLeft;
                const serviceMs = completes ? arrival.serviceMs : timeLeft;
                clock.setTimer(serviceMs, () => {
                    if (completes) {
                        outcome.completedAt = clock.monotonicMs();
                    }
                    scheduler.finished(work, { outcome: completes ? "completed" : "failed", serviceMs });
                });
            },
            refuse: refusal => {
                outcome.refusedAt = clock.monotonicMs();
                outcome.refusal = refusal.type;
            },
        };
        scheduler.submit(work);
    });
    clock.advance(endOf(arrivals));
    scheduler.dispose();
    return outcomes;
};

/** Runs arrivals through the baseline: one unbounded FIFO queue in front of the slots, which ignores deadlines. */
export const runFifo = (arrivals: readonly Arrival[], slots: number): Outcome[] => {
    const clock = new ManualClock();
    const queue: Outcome[] = [];
    const outcomes: Outcome[] = [];
    let inFlight = 0;
    let head = 0;
    const dispatch = () => {
        while (inFlight < slots && head < queue.length) {
            const outcome = queue[head++];
            inFlight++;
            outcome.startedAt = clock.monotonicMs();
            clock.setTimer(outcome.arrival.serviceMs, () => {
                inFlight--;
                outcome.completedAt = clock.monotonicMs();
                dispatch();
            });
        }
    };
    schedule(clock, arrivals, arrival => {
        const outcome: Outcome = { arrival };
        outcomes.push(outcome);
        queue.push(outcome);
        dispatch();
    });
    clock.advance(endOf(arrivals));
    return outcomes;
};

/** Nearest-rank quantile of `values`, for `quantile` in [0, 1]. */
export const quantileOf = (values: readonly number[], quantile: number): number => {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * quantile) - 1)] ?? NaN;
};

/** Times from arrival to completion of the completed requests, in milliseconds. */
export const latenciesOf = (outcomes: readonly Outcome[]): number[] =>
    outcomes.flatMap(({ arrival, completedAt }) => (completedAt === undefined ? [] : [completedAt - arrival.at]));
