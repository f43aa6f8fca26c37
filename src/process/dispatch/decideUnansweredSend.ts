import type { SendResult } from "../../request/targetTask.js";
import type { TargetFailure } from "./classifyTargetFailure.js";

/** What becomes of a request after a send that brought no answer. */
export type UnansweredSendDecision =
    /** This send has not run; the request may be offered to the target again. */
    | { type: "not-run" }
    /** This send has not run, and there is no time for another one. */
    | { type: "expired"; detail: string }
    /** It may have run and may run again. `isBudgeted`: only as far as the retry budget allows. */
    | { type: "repeat"; isBudgeted: boolean }
    /** It depends on whether the target's process is gone. */
    | { type: "await-target" }
    /** It may have run and must not run again, or the answer has been passed on in part. */
    | { type: "unknown"; detail: string };

/**
 * Decides what becomes of a request after a send that brought no answer. `target` is what is known of the target's
 * process after the connection broke.
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
        // The target started it, so "not run" can't be said.
        return isIdempotent && result.reason !== "deadline-passed"
            ? { type: "repeat", isBudgeted: true }
            : { type: "unknown", detail: `The target gave it up: ${result.reason}.` };
    }
    const { cause } = result;
    if (result.headPassed) {
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
    // A late send is given up only after the budget has been asked.
    return { type: "repeat", isBudgeted: cause !== "late" };
};
