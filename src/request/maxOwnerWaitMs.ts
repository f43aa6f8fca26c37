/** Least time for which a request waits for the new owner of its key, in milliseconds. */
const MIN_OWNER_WAIT_MS = 250;
/** Share of the target latency that it may wait; the rest is left for the work, and for another attempt of the caller. */
const TARGET_LATENCY_SHARE = 0.3;

/**
 * Maximum total time in milliseconds for which a request waits for owners of its key. A key changes its owner when the work on it
 * has ended, which takes as long as the requests of its service do.
 *
 * @example
 * maxOwnerWaitMs(3_000); // 900
 */
export const maxOwnerWaitMs = (targetLatencyMs: number): number =>
    Math.max(MIN_OWNER_WAIT_MS, targetLatencyMs * TARGET_LATENCY_SHARE);
