import type { Repeatability } from "../version/routeConfig.js";

/** How an attempt at a target ended if its answer isn't returned to the caller directly. */
export type AttemptEnd =
    /** No byte was sent. */
    | "not-sent"
    /** The target states that it did not run the request. */
    | "not-run"
    /** The request was sent, and its answer was lost or is not valid. */
    | "lost"
    /** The target ran the request and answered with an error. */
    | "failed";

/** Next step of a request. */
export type NextStep =
    | "send-again"
    /** Refuse it and report that it has not run. */
    | "refuse"
    /** Report that it may have run. */
    | "report-lost"
    /** Forward the target's error. */
    | "deliver";

/** Minimum time left, in milliseconds, that justifies the load of another attempt. */
const MIN_ATTEMPT_MS = 60;

/**
 * Decides the next step of a request after an attempt. A request that may have run is repeated only if it is
 * idempotent; a request that has not run may be sent to another target. A repetition takes a retry from the retry
 * budget, unless nothing was sent and thus no target was loaded.
 *
 * @example
 * decideAfterAttempt({ end: "lost", repeatability: "nonIdempotent", ... }); // "report-lost"
 */
export const decideAfterAttempt = (input: {
    end: AttemptEnd;
    repeatability: Repeatability;
    /** Whether an earlier attempt may have run. */
    mayHaveRun: boolean;
    /** Number of times that the request was sent to a target. */
    sends: number;
    maxAttempts: number;
    /** Time left for the answer, in milliseconds. */
    leftMs: number;
    /** Whether there is another target, or the same one can run it now. */
    hasTarget: boolean;
    takeRetry: () => boolean;
}): NextStep => {
    const { end, repeatability, sends, maxAttempts, leftMs, hasTarget, takeRetry } = input;
    const mayHaveRun = input.mayHaveRun || end === "lost" || end === "failed";
    const mayRepeat = !mayHaveRun || repeatability === "idempotent";
    const fits = leftMs >= MIN_ATTEMPT_MS && sends < maxAttempts && hasTarget;
    if (mayRepeat && fits && (end === "not-sent" || takeRetry())) {
        return "send-again";
    }
    if (end === "failed") {
        return "deliver";
    }
    return mayHaveRun ? "report-lost" : "refuse";
};
