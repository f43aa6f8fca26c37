import {
    mergeByTime,
    latenciesOf,
    poissonArrivals,
    quantileOf,
    runScheduler,
    serviceFactor,
    type ServiceShape,
} from "./policyExperiment.js";
import { randomNumbers } from "./randomNumbers.js";

/** Demand before and after the load peak, as a share of capacity. */
const BASE_DEMAND = 0.6;
/** Demand during the load peak, as a share of capacity. */
const PEAK_DEMAND = 2.5;
const RISE_FROM_MS = 11_000;
const RISE_MS = 1_000;
const PEAK_MS = 10_000;
/** Time from which the arrivals before the rise are repeated. The compared windows begin 1 s later. */
const REPEAT_FROM_MS = 23_000;
const WINDOW_OFFSET_MS = 1_000;
/** Share of the requests that the light caller sends. */
const LIGHT_SHARE = 0.01;

/** Parameters of a load peak. */
export interface LoadPeakOptions {
    slots: number;
    seed: number;
    shape: ServiceShape;
    meanMs: number;
    deadlineMs: number;
    heavyCallers: number;
    overloadPatience?: number;
}

/** Results of a load peak; shares are in [0, 1], times in milliseconds. */
export interface LoadPeakFigures {
    /** Minimum over the seconds of the peak of the slot time spent on work that met its deadline, over the capacity. */
    leastSecond: number;
    /** Slot time spent during the peak on work that met its deadline, over the capacity. */
    completed: number;
    lightLost: number;
    lightRequests: number;
    /** Share of the requests without an answer that were refused before they ran. */
    refusedUnrun: number;
    /** Time before a refusal, divided by the caller's deadline: p50 and p99. */
    refusedAfterP50: number;
    refusedAfterP99: number;
    /** p99 latency from 2 s after the peak, divided by the p99 of the same arrivals before it. */
    recovery: number;
}

/** Simulates a load peak: demand rises from 0.6 to 2.5 times the capacity within 1 s and drops back after 10 s. */
export const runLoadPeak = (options: LoadPeakOptions): LoadPeakFigures => {
    const { slots, meanMs } = options;
    const random = randomNumbers(options.seed);
    const capacityPerMs = slots / meanMs;
    const peakEnd = RISE_FROM_MS + RISE_MS + PEAK_MS;
    const demand = (at: number) => {
        if (at < RISE_FROM_MS || at >= peakEnd) {
            return BASE_DEMAND;
        }
        return BASE_DEMAND + (PEAK_DEMAND - BASE_DEMAND) * Math.min(1, (at - RISE_FROM_MS) / RISE_MS);
    };
    const drawn = poissonArrivals(
        random,
        {
            fromMs: 0,
            toMs: REPEAT_FROM_MS,
            maxRatePerMs: PEAK_DEMAND * capacityPerMs,
            ratePerMs: at => demand(at) * capacityPerMs,
        },
        at => ({
            at,
            caller:
                random.uniform() < LIGHT_SHARE
                    ? "light"
                    : `heavy-${Math.floor(random.uniform() * options.heavyCallers)}`,
            priority: "normal",
            long: false,
            serviceMs: meanMs * serviceFactor(options.shape, random),
            deadlineMs: options.deadlineMs,
        }),
    );
    const repeated = drawn
        .filter(({ at }) => at < RISE_FROM_MS)
        .map(arrival => ({ ...arrival, at: arrival.at + REPEAT_FROM_MS }));
    const outcomes = runScheduler(mergeByTime(drawn, repeated), options);

    const full = { from: RISE_FROM_MS + RISE_MS, to: peakEnd };
    // Slot time instead of requests, because the capacity in requests depends on the generated service times.
    const useful = new Array<number>(PEAK_MS / 1_000).fill(0);
    for (const { startedAt, completedAt } of outcomes) {
        if (startedAt !== undefined && completedAt !== undefined) {
            useful.forEach((_, second) => {
                const from = full.from + 1_000 * second;
                const overlap = Math.min(completedAt, from + 1_000) - Math.max(startedAt, from);
                useful[second] += Math.max(0, overlap) / (slots * 1_000);
            });
        }
    }
    const inPeak = outcomes.filter(({ arrival }) => arrival.at >= full.from && arrival.at < full.to);
    const light = inPeak.filter(({ arrival }) => arrival.caller === "light");
    const unanswered = inPeak.filter(({ completedAt }) => completedAt === undefined);
    const refusedAfter = unanswered.flatMap(({ arrival, refusedAt }) =>
        refusedAt === undefined ? [] : [(refusedAt - arrival.at) / arrival.deadlineMs],
    );
    const before = latenciesOf(
        outcomes.filter(({ arrival }) => arrival.at >= WINDOW_OFFSET_MS && arrival.at < RISE_FROM_MS),
    );
    const after = latenciesOf(outcomes.filter(({ arrival }) => arrival.at >= REPEAT_FROM_MS + WINDOW_OFFSET_MS));
    return {
        leastSecond: Math.min(...useful),
        completed: useful.reduce((sum, work) => sum + work, 0) / useful.length,
        lightLost: light.filter(({ completedAt }) => completedAt === undefined).length / light.length,
        lightRequests: light.length,
        refusedUnrun: refusedAfter.length / unanswered.length,
        refusedAfterP50: quantileOf(refusedAfter, 0.5),
        refusedAfterP99: quantileOf(refusedAfter, 0.99),
        recovery: quantileOf(after, 0.99) / quantileOf(before, 0.99),
    };
};
