import {
    mergeByTime,
    latenciesOf,
    poissonArrivals,
    quantileOf,
    runFifo,
    runScheduler,
    serviceFactor,
    type Outcome,
    type ServiceShape,
} from "./policyExperiment.js";
import { randomNumbers } from "./randomNumbers.js";

const DURATION_MS = 60_000;
/** Deadline of long work, in milliseconds. */
const LONG_DEADLINE_MS = 30_000;
const SHORT_DEADLINE_MS = 1_000;

/** Parameters of a mix of short and long work; loads are shares of the slots. */
export interface HeadOfLineOptions {
    slots: number;
    seed: number;
    shape: ServiceShape;
    meanMs: number;
    shortLoad: number;
    longLoad: number;
}

/** Results of a mix. */
export interface HeadOfLineFigures {
    /** p99 of short work without long work, in milliseconds. */
    aloneP99: number;
    /** p99 of short work in the mix divided by `aloneP99`, with the scheduler and with plain FIFO. */
    ratio: number;
    fifoRatio: number;
    /** Completed long work divided by that of plain FIFO, measured in milliseconds of service. */
    longShare: number;
    /** Share of the short work that missed its deadline. */
    shortLost: number;
}

const longWorkOf = (outcomes: readonly Outcome[]): number =>
    outcomes.reduce(
        (sum, { arrival, completedAt }) => sum + (arrival.long && completedAt !== undefined ? arrival.serviceMs : 0),
        0,
    );

const shortOf = (outcomes: readonly Outcome[]): Outcome[] => outcomes.filter(({ arrival }) => !arrival.long);

/** Simulates a mix of short work and work 30 to 100 times as long, the short work alone, and the mix with FIFO. */
export const runHeadOfLine = (options: HeadOfLineOptions): HeadOfLineFigures => {
    const { slots, meanMs, shape } = options;
    const random = randomNumbers(options.seed);
    const shortRate = (options.shortLoad * slots) / meanMs;
    const longRate = (options.longLoad * slots) / (65 * meanMs);
    const span = (rate: number) => ({ fromMs: 0, toMs: DURATION_MS, maxRatePerMs: rate, ratePerMs: () => rate });
    const caller = () => `caller-${Math.floor(random.uniform() * 10)}`;
    const short = poissonArrivals(random, span(shortRate), at => ({
        at,
        caller: caller(),
        priority: "high",
        long: false,
        serviceMs: meanMs * serviceFactor(shape, random),
        deadlineMs: SHORT_DEADLINE_MS,
    }));
    const long = poissonArrivals(random, span(longRate), at => ({
        at,
        caller: caller(),
        priority: "bulk",
        long: true,
        serviceMs: meanMs * (30 + 70 * random.uniform()),
        deadlineMs: LONG_DEADLINE_MS,
    }));
    const alone = runScheduler(short, { slots });
    const mixed = runScheduler(mergeByTime(short, long), { slots });
    const fifo = runFifo(mergeByTime(short, long), slots);
    const aloneP99 = quantileOf(latenciesOf(alone), 0.99);
    const shortMixed = shortOf(mixed);
    return {
        aloneP99,
        ratio: quantileOf(latenciesOf(shortMixed), 0.99) / aloneP99,
        fifoRatio: quantileOf(latenciesOf(shortOf(fifo)), 0.99) / aloneP99,
        longShare: longWorkOf(mixed) / longWorkOf(fifo),
        shortLost: shortMixed.filter(({ completedAt }) => completedAt === undefined).length / shortMixed.length,
    };
};
