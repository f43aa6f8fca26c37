/** Minimum time without a byte of the answer before a connection is checked, in milliseconds. */
export const DEFAULT_LATE_ANSWER_MS = 250;
/** Time without a byte of the answer before a connection is checked, in multiples of the route's learned p99. */
export const LATE_ANSWER_FACTOR = 4;
/** Factor by which that time grows with each send that was aborted as late. */
const LATE_SEND_GROWTH = 4;

/**
 * Time in milliseconds without a byte of the answer after which a request's connection is checked. `p99Ms` is the
 * learned p99 of the route, 0 before its first answer; the result is at least `minMs`. It grows with each send of the
 * request that was aborted as late: a new connection is rarely silent too, so the answer probably does take that long.
 * Without the growth, every send of a route whose answers take longer than the minimum would be aborted, and its
 * durations would never be learned.
 *
 * @example
 * lateAfterMs(100, 0); // 400
 * lateAfterMs(0, 1); // 1000
 */
export const lateAfterMs = (p99Ms: number, lateSends: number, minMs: number = DEFAULT_LATE_ANSWER_MS): number =>
    Math.max(minMs, LATE_ANSWER_FACTOR * p99Ms) * LATE_SEND_GROWTH ** lateSends;
