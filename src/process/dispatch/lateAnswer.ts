/** Least lateness of an answer before its connection is doubted, in milliseconds. */
export const DEFAULT_LATE_ANSWER_MS = 250;
/** Lateness in multiples of the route's learned p99 before its connection is doubted. */
export const LATE_ANSWER_FACTOR = 4;
/** Growth of that time with each send that was given up as late. */
const LATE_SEND_GROWTH = 4;

/**
 * Time in milliseconds without a byte of the answer after which a request's connection is doubted. `p99Ms` is the
 * learned p99 of the route, 0 before its first answer; the time is `leastMs` at least. The time grows with the sends of the request that were given up
 * as late, because a fresh connection is rarely silent as well: the answer then takes that long. Without the growth a
 * route whose answers take longer than the floor would be given up at each send and never be learned.
 *
 * @example
 * lateAfterMs(100, 0); // 400
 * lateAfterMs(0, 1); // 1000
 */
export const lateAfterMs = (p99Ms: number, lateSends: number, leastMs: number = DEFAULT_LATE_ANSWER_MS): number =>
    Math.max(leastMs, LATE_ANSWER_FACTOR * p99Ms) * LATE_SEND_GROWTH ** lateSends;
