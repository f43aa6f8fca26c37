import type { StatedLimit } from "./targetIntake.js";
import type { WarmupBound } from "./warmupBound.js";

/** Time within which the instance that admits must have answered a question, in milliseconds. */
export const PERMIT_ANSWER_MS = 150;
/**
 * Time beyond that within which a request to a cold target must be written, in milliseconds. It is shorter than the time-out of
 * connections: each millisecond lowers the rate, and a request whose connection takes longer is not sent.
 */
export const PERMIT_CONNECT_MS = 250;
/** The part of `PERMIT_CONNECT_MS` for an instance to which a request with a permit is forwarded, in milliseconds. */
export const FORWARDED_PERMIT_MS = 120;
/** Maximum time that a written request is assumed to be on its way to the target, in milliseconds. */
const ARRIVAL_MS = 50;
/** Factor on the rate for clocks of two instances that differ by 2 %, and for times that are rounded. */
const CLOCK_MARGIN = 0.98;
/** Least rate, in requests a second, for a bound that allows nothing; no caller would learn of the end of the warm-up. */
const MIN_PER_SECOND = 0.1;
/** Part of the bound that may be admitted at once. */
const BURST_SHARE = 1 / 7;
/** Share of the rate that a target gets at the start of its warm-up. More than half of the bound is used even then. */
const INITIAL_SHARE = 0.85;

/** Limit on the requests to a cold target from all instances together. */
export interface ColdLimit {
    perSecond: number;
    /** Number of requests that may be admitted at once. */
    burst: number;
    /** How much longer it holds, in milliseconds. */
    leftMs: number;
}

/** The limit of a target: the lower one of what it states and what follows from its warm-up. */
export interface TargetLimit {
    /** Requests a second from all instances together. */
    perSecond: number;
    /** The limit that it states, if it does. */
    stated?: StatedLimit;
    /** The limit that follows from its warm-up, if it is cold. */
    cold?: ColdLimit;
}

/**
 * Rate and burst of the permits for a cold target, so that in any second no more requests arrive there than the bound allows. This
 * handles targets that start under load, of which many instances learn at different times.
 *
 * A request arrives at most `SPREAD` after its permit was given, so the requests of one second have permits of
 * `1 s + SPREAD`, for which a token bucket gives at most `burst + rate * (1 s + SPREAD)`. That has to be below the next integer above
 * the bound. The bucket of a new lease holder starts empty after that of the former one, so together they give no more than one.
 *
 * @param progress share of the warm-up that has passed, from 0 to 1
 *
 * @example
 * coldRate({ overage: 1.5, slack: 8 }, 4, 1); // { perSecond: 8.78, burst: 2 }
 */
export const coldRate = (
    { overage, slack }: WarmupBound,
    warmupPerSecond: number,
    progress: number,
): Pick<ColdLimit, "perSecond" | "burst"> => {
    const bound = overage * warmupPerSecond + slack;
    const allowed = Math.max(1, Math.floor(bound));
    const burst = Math.max(1, Math.floor(allowed * BURST_SHARE));
    const spreadMs = PERMIT_ANSWER_MS + PERMIT_CONNECT_MS + ARRIVAL_MS;
    const highest = Math.min(bound, (CLOCK_MARGIN * (allowed + 1 - burst)) / (1 + spreadMs / 1_000));
    const share = INITIAL_SHARE + (1 - INITIAL_SHARE) * Math.min(1, Math.max(0, progress));
    return { perSecond: Math.max(MIN_PER_SECOND, highest * share), burst };
};

/** The lower one of a stated limit and that of a cold target; `undefined` if there is neither. */
export const lowerLimit = (stated: StatedLimit | undefined, cold: ColdLimit | undefined): TargetLimit | undefined =>
    stated === undefined && cold === undefined
        ? undefined
        : { perSecond: Math.min(stated?.perSecond ?? Infinity, cold?.perSecond ?? Infinity), stated, cold };
