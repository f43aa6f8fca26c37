/** Slowdown of a target's machine that is expected to last some more time, relative to its mean. */
export interface Slowdown {
    /** Ratio of the time that work takes now to its mean time. */
    factor: number;
    /** Time for which it is expected to last, in milliseconds. */
    forMs: number;
}

/** Time in milliseconds after which neighbours of a machine have other work, so that its slowdown changes. */
const CHANGE_MS = 400;

/**
 * The slowdown of a machine that reported one some time ago. It handles neighbours that slow a target by three for 0.4 s at a time: a
 * report that is half as old as that is out of date in half of all cases, and one that is older says nothing.
 *
 * @example
 * slowdownAfter(3, 200); // { factor: 2, forMs: 100 }
 */
export const slowdownAfter = (reported: number, ageMs: number): Slowdown | undefined => {
    const lastingShare = 1 - ageMs / CHANGE_MS;
    return lastingShare <= 0 || reported === 1
        ? undefined
        : { factor: 1 + (reported - 1) * lastingShare, forMs: (CHANGE_MS - ageMs) / 2 };
};

/**
 * Time that work of `durationMs` milliseconds takes with a slowdown that ends before the work or lasts longer.
 *
 * @example
 * slowedMs(240, { factor: 3, forMs: 120 }); // 320: 120 ms for 40 ms of work, then 200 ms
 */
export const slowedMs = (durationMs: number, slowdown: Slowdown | undefined): number => {
    if (slowdown === undefined) {
        return durationMs;
    }
    const { factor, forMs } = slowdown;
    const workMs = Math.min(durationMs, forMs / factor);
    return durationMs + workMs * (factor - 1);
};
