/** Standard deviations of the short work's slot demand that are kept free for it, under a Poisson demand. */
const SHORT_RESERVE_DEVIATIONS = 1.5;
/** Share of the offered long work for which slots are allowed even where short work could use them. */
const LONG_GUARANTEE = 0.5;

/** State of a target from which the slots for long work are derived. */
export interface LongShareInput {
    /** Concurrency limit. */
    limit: number;
    /** Slots that the offered short work keeps busy on average. */
    shortLoad: number;
    /** Slots that the offered long work keeps busy on average. */
    longLoad: number;
    /** Whether short work is waiting. */
    shortWaits: boolean;
}

/**
 * Number of slots that long work may take now. Long work can't be interrupted, so a slot given away at a quiet moment
 * is missing for the next 30 to 100 short requests; slots beyond the first are therefore given only as far as the
 * usual demand of short work leaves them free, or as needed for half of the long work offered.
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
