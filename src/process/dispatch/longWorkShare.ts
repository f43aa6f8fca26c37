/** Slots reserved for short work beyond its mean demand, in standard deviations of a Poisson distributed demand. */
const SHORT_RESERVE_DEVIATIONS = 1.5;
/** Share of the offered long work that gets slots even if short work could use them. */
const LONG_GUARANTEE = 0.5;

/** State of a target that determines the number of slots for long work. */
export interface LongShareInput {
    /** Concurrency limit. */
    limit: number;
    /** Average number of slots that the offered short work keeps busy. */
    shortLoad: number;
    /** Average number of slots that the offered long work keeps busy. */
    longLoad: number;
    /** Whether short requests are waiting. */
    shortWaits: boolean;
}

/**
 * Number of slots that long work may occupy now. Long requests can't be interrupted, so a slot assigned to one during
 * low load is unavailable to the next 30 to 100 short requests. Slots beyond the first are therefore assigned only if
 * the usual demand of short work leaves them free, or if they are needed for half of the offered long work.
 *
 * @example
 * longAllowance({ limit: 6, shortLoad: 1, longLoad: 0.5, shortWaits: false }); // 3
 */
export const longAllowance = ({ limit, shortLoad, longLoad, shortWaits }: LongShareInput): number => {
    if (shortWaits) {
        return 1;
    }
    const most = Math.max(1, Math.floor(limit / 2));
    const spare = Math.floor(limit - shortLoad - SHORT_RESERVE_DEVIATIONS * Math.sqrt(shortLoad));
    const guaranteed = Math.ceil(LONG_GUARANTEE * longLoad);
    return Math.min(most, Math.max(1, spare, guaranteed));
};
