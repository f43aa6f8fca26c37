import type { SendResult } from "../../request/targetTask.js";
import type { TargetFailure } from "./classifyTargetFailure.js";

/** How a request continues after a send without an answer. */
export type UnansweredSendDecision =
    /** The request has not run in this send and may be submitted to the target again. */
    | { type: "not-run" }
    /** The request has not run in this send, and there is no time for another one. */
    | { type: "expired"; detail: string }
    /** It may have run and may run again; with `isBudgeted`, only if the retry budget allows it. */
    | { type: "repeat"; isBudgeted: boolean }
    /** The decision depends on whether the target's process has ended. */
    | { type: "await-target" }
    /** It may have run and must not run again, or part of the answer has been forwarded. */
    | { type: "unknown"; detail: string };

/**
 * Decides how a request continues after a send without an answer. `target` is the state of the target's process after
 * the connection broke, as far as it is known.
 *
 * @example
 * decideUnansweredSend({ type: "not-run", reason: "shed" }, { isIdempotent: false, isOutOfTime: false }); // "not-run"
 */
export const decideUnansweredSend = (
    result: Exclude<SendResult, { type: "answered" }>,
    facts: { isIdempotent: boolean; isOutOfTime: boolean; target?: TargetFailure },
): UnansweredSendDecision => {
    const { isIdempotent, isOutOfTime, target = "undecided" } = facts;
    if (result.type === "not-run") {
        return result.reason === "deadline-passed"
            ? { type: "expired", detail: "The target gave it up at its deadline." }
            : { type: "not-run" };
    }
    if (result.type === "abandoned") {
        // The target had started it, so it can't be reported as not run.
        return isIdempotent && result.reason !== "deadline-passed"
            ? { type: "repeat", isBudgeted: true }
            : { type: "unknown", detail: `The target gave it up: ${result.reason}.` };
    }
    const { cause } = result;
    if (result.headForwarded) {
        return { type: "unknown", detail: "The answer broke off." };
    }
    if (!result.sent) {
        return { type: "not-run" };
    }
    if (isOutOfTime || cause === "deadline" || cause === "caller-gone") {
        return { type: "unknown", detail: "The target gave no answer before the deadline." };
    }
    if (cause === undefined && target === "undecided") {
        return { type: "await-target" };
    }
    if (!isIdempotent) {
        return { type: "unknown", detail: "The connection to the target broke." };
    }
    // The retry budget of a late send was already charged before the send was aborted.
    return { type: "repeat", isBudgeted: cause !== "late" };
};
