import type { RefusalKind } from "../../request/refusal.js";

/** What an instance concludes when another one hasn't passed on its request. */
export type NotForwardedStep =
    /** Avoids the other instance for a while. */
    | "suspect-instance"
    /** Takes the target for one that may have ended. */
    | "doubt-target"
    | "none";

/**
 * Decides what a request that wasn't passed on says of the other instance and of the target. An instance that answers with a
 * refusal because of the target or the request serves other requests.
 *
 * @param refusal type of the other instance's refusal; `undefined` if there was none, because it couldn't be reached
 * @param isLast whether no further instance is tried
 *
 * @example
 * decideNotForwarded("overloaded", true); // "none"
 */
export const decideNotForwarded = (refusal: RefusalKind | undefined, isLast: boolean): NotForwardedStep => {
    switch (refusal) {
        case "owner-unreachable":
        case "no-owner":
            // If no instance reaches the target, it may have ended.
            return isLast ? "doubt-target" : "none";
        case "overloaded":
        case "quarantined":
        case "deadline-passed":
            return "none";
        default:
            return "suspect-instance";
    }
};
