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

/** What became of an arrival. `refusal` is set when it didn't run; `completedAt` when it finished by its deadline. */
export interface Fate {
    arrival: Arrival;
    startedAt?: number;
    completedAt?: number;
    refusedAt?: number;
    refusal?: RefusalKind;
}

/** Distribution of short service times around their mean. */
export type ServiceShape = "steady" | "exponential";

/** Factor on the mean service time: within a quarter of it, or exponential. */
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

/** Joins arrivals in order of time. */
export const inOrder = (...lists: Arrival[][]): Arrival[] => lists.flat().sort((a, b) => a.at - b.at);

/** Offers the arrivals to the clock one after another, so that it holds one timer for all of them. */
const feed = (clock: ManualClock, arrivals: readonly Arrival[], submit: (arrival: Arrival) => void): void => {
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
 * Runs arrivals through one TargetScheduler before one target that has exactly `slots` slots and abandons a request
 * at its deadline, as targets do.
 */
export const runScheduler = (
    arrivals: readonly Arrival[],
    options: { slots: number; overloadPatience?: number },
): Fate[] => {
    const clock = new ManualClock();
    const scheduler = new TargetScheduler(clock, options);
    const fates: Fate[] = [];
    feed(clock, arrivals, arrival => {
        const fate: Fate = { arrival };
        fates.push(fate);
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
                fate.startedAt = clock.monotonicMs();
                const timeLeft = deadlineAt - fate.startedAt;
                const completes = arrival.serviceMs <= timeLeft;
                const serviceMs = completes ? arrival.serviceMs : timeLeft;
                clock.setTimer(serviceMs, () => {
                    if (completes) {
                        fate.completedAt = clock.monotonicMs();
                    }
                    scheduler.finished(work, { outcome: completes ? "completed" : "failed", serviceMs });
                });
            },
            refuse: refusal => {
                fate.refusedAt = clock.monotonicMs();
                fate.refusal = refusal.type;
            },
        };
        scheduler.submit(work);
    });
    clock.advance(endOf(arrivals));
    scheduler.dispose();
    return fates;
};

/** Runs arrivals through the baseline: one unbounded FIFO queue before the slots, blind to deadlines. */
export const runFifo = (arrivals: readonly Arrival[], slots: number): Fate[] => {
    const clock = new ManualClock();
    const queue: Fate[] = [];
    const fates: Fate[] = [];
    let inFlight = 0;
    let head = 0;
    const dispatch = () => {
        while (inFlight < slots && head < queue.length) {
            const fate = queue[head++];
            inFlight++;
            fate.startedAt = clock.monotonicMs();
            clock.setTimer(fate.arrival.serviceMs, () => {
                inFlight--;
                fate.completedAt = clock.monotonicMs();
                dispatch();
            });
        }
    };
    feed(clock, arrivals, arrival => {
        const fate: Fate = { arrival };
        fates.push(fate);
        queue.push(fate);
        dispatch();
    });
    clock.advance(endOf(arrivals));
    return fates;
};

/** The value that the share `quantile` of `values` doesn't exceed. */
export const quantileOf = (values: readonly number[], quantile: number): number => {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * quantile) - 1)] ?? NaN;
};

/** Times from arrival to completion of the completed requests, in milliseconds. */
export const latenciesOf = (fates: readonly Fate[]): number[] =>
    fates.flatMap(({ arrival, completedAt }) => (completedAt === undefined ? [] : [completedAt - arrival.at]));
