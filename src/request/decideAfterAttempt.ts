import type { Repeatability } from "../version/routeConfig.js";

/** How an attempt at a target has ended without an answer for the caller. */
export type AttemptEnd =
    /** No byte was sent. */
    | "not-sent"
    /** The target states that it didn't run the request. */
    | "not-run"
    /** The request was sent and its true answer is lost. */
    | "lost"
    /** The target answered with a failure of its own after it ran the request. */
    | "failed";

/** What happens to the request next. */
export type NextStep =
    | "send-again"
    /** Refuse it as not run. */
    | "refuse"
    /** Report that it may have run. */
    | "report-lost"
    /** Pass the target's failure on. */
    | "deliver";

/** Least time in milliseconds in which another attempt is worth its load. */
const MIN_ATTEMPT_MS = 60;

/**
 * Decides about a request after an attempt. A request that may have run is repeated only if it is idempotent; one that
 * hasn't run may be sent to another target. Each repetition that can load a target draws on the retry budget.
 *
 * @example
 * decideAfterAttempt({ end: "lost", repeatability: "nonIdempotent", ... }); // "report-lost"
 */
export const decideAfterAttempt = (input: {
    end: AttemptEnd;
    repeatability: Repeatability;
    /** Whether an earlier attempt may have run. */
    mayHaveRun: boolean;
    /** Targets that the request was sent to. */
    sends: number;
    maxAttempts: number;
    /** Time left for the answer in milliseconds. */
    leftMs: number;
    /** Whether there is another target, or the same one can answer now. */
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
