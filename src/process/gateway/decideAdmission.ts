/**
 * Share of the time left to the target latency that the expected time may use up; the rest is reserved for work that takes
 * longer than usual.
 */
const TARGET_LATENCY_SHARE = 0.85;
/** Share of the time left to the deadline within which a retried request is still sent to a busy target. */
const LEFT_SHARE = 0.9;
/** Minimum and maximum retry pause that a refused caller is given, in milliseconds. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 400;

/** Ratio of the time of a slow answer to the expected one. A stopping instance has no time for slower ones. */
const SLOW_ANSWER_RATIO = 4;

/** Input of the decision. Times are in milliseconds. */
export interface AdmissionInput {
    /** Expected time until the target's answer. */
    expectedMs: number;
    /** The part of `expectedMs` in which the target works on the request. */
    serviceMs: number;
    /** Time until the final answer is due. */
    leftMs: number;
    /** Time since the caller's first attempt; above 0 for a retry after a refusal. */
    elapsedMs: number;
    /** Time within which an answer has its full value to the caller, counted from the first attempt. */
    targetLatencyMs: number;
    /** Time until the instance gives its last answers; missing unless it stops. */
    stopsInMs?: number;
    /** Whether the target is likely to turn the request away. */
    isFull?: boolean;
}

export type Admission =
    | { type: "admit" }
    | { type: "refuse"; pauseMs: number }
    /** The instance stops before a slow answer would have arrived; another one can serve the caller. */
    | { type: "stopping" };

/**
 * Decides whether a request is sent to a busy target. It handles load peaks that last longer than the target's queue: with
 * a full queue every answer is late, although the target has the same throughput with a short one. A first attempt is
 * therefore refused if it would wait beyond its target latency, early enough for a retry in time. A retry may wait until
 * its deadline, so that no caller is refused repeatedly. A full target isn't sent any: some reset the connection then, and it
 * would be unknown whether the request has run.
 *
 * @example
 * decideAdmission({ expectedMs: 600, serviceMs: 100, leftMs: 1200, elapsedMs: 0, targetLatencyMs: 400 }); // refuse
 */
export const decideAdmission = (input: AdmissionInput): Admission => {
    const { expectedMs, serviceMs, leftMs, elapsedMs, targetLatencyMs, stopsInMs = Infinity } = input;
    if (expectedMs * SLOW_ANSWER_RATIO > stopsInMs) {
        return { type: "stopping" };
    }
    const latencyLeftMs = Math.max(0, targetLatencyMs - elapsedMs);
    const isWaiting = expectedMs > serviceMs;
    const allowedMs = allowedTimeMs(leftMs, latencyLeftMs, elapsedMs > 0);
    if (input.isFull !== true && (expectedMs <= allowedMs || (!isWaiting && expectedMs <= leftMs))) {
        return { type: "admit" };
    }
    return { type: "refuse", pauseMs: pauseFor(latencyLeftMs, serviceMs) };
};

/**
 * Expected time up to which a request is sent to a busy target, in milliseconds: a first attempt has to be answered within its
 * target latency, a retry before its deadline.
 */
export const allowedTimeMs = (leftMs: number, latencyLeftMs: number, isRetry: boolean): number =>
    isRetry ? leftMs * LEFT_SHARE : Math.min(leftMs * LEFT_SHARE, latencyLeftMs * TARGET_LATENCY_SHARE);

/** Pause after which a refused caller can still be answered within its target latency. */
export const pauseFor = (latencyLeftMs: number, serviceMs: number): number =>
    Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, (latencyLeftMs - serviceMs) / 2));
