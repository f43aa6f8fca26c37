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
    | "failed"
    /** The request was sent, and no answer has arrived in the time that an answer usually takes; it may still arrive. */
    | "silent";

/** End of an attempt because of which a request was sent to a further target. */
export type RetryCause = Exclude<AttemptEnd, "not-sent">;

/** Next step of a request. */
export type NextStep =
    | "send-again"
    /** Refuse it and report that it has not run. */
    | "refuse"
    /** Report that it may have run. */
    | "report-lost"
    /** Forward the target's error. */
    | "deliver"
    /** Go on waiting for the answer. */
    | "wait";

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
    const mayHaveRun = input.mayHaveRun || end === "lost" || end === "failed" || end === "silent";
    const mayRepeat = !mayHaveRun || repeatability === "idempotent";
    const fits = leftMs >= MIN_ATTEMPT_MS && sends < maxAttempts && hasTarget;
    if (mayRepeat && fits && (end === "not-sent" || takeRetry())) {
        return "send-again";
    }
    switch (end) {
        case "failed":
            return "deliver";
        case "silent":
            return "wait";
    }
    return mayHaveRun ? "report-lost" : "refuse";
};
