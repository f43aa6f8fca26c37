/** Time in milliseconds after which a connection that isn't established shows that the path is cut; several round trips. */
export const CONNECTING_LIMIT_MS = 250;
/** Least time without an answer after which the path is checked, in milliseconds. */
const LEAST_WAIT_MS = 300;
/** The same as a multiple of the expected time of the answer. */
const WAIT_FACTOR = 2.5;
/** Time for which a successful check shows that the target is merely slow, in milliseconds. */
const CHECK_VALID_MS = 1_000;

/** State of the direct path to a target. Times are in milliseconds. */
export interface PathState {
    /** Longest time for which a request has waited for its connection. */
    connectingMs: number;
    /** Longest time for which a request has waited for an answer while nothing came from the target. */
    waitingMs: number;
    /** Expected time of an answer. */
    expectedMs: number;
    /** Time since the last successful check. */
    sinceCheckMs: number;
}

/**
 * Decides whether the direct path to a target counts as cut, is to be checked, or neither. A missing answer alone shows nothing,
 * since the target may be slow; whether a connection can be established doesn't depend on its load.
 *
 * @example
 * decidePath({ connectingMs: 0, waitingMs: 400, expectedMs: 100, sinceCheckMs: Infinity }); // "check"
 */
export const decidePath = ({
    connectingMs,
    waitingMs,
    expectedMs,
    sinceCheckMs,
}: PathState): "keep" | "check" | "cut" => {
    if (connectingMs > CONNECTING_LIMIT_MS) {
        return "cut";
    }
    const isOverdue = waitingMs > Math.max(LEAST_WAIT_MS, WAIT_FACTOR * expectedMs);
    return isOverdue && sinceCheckMs > CHECK_VALID_MS ? "check" : "keep";
};

/** Number of targets that must be out of reach for the instance to count as cut off, unless there are fewer. */
const LEAST_TARGETS = 3;
/** Fewer targets than this say nothing: they may have ended. */
const TELLING_TARGETS = 2;

/**
 * Decides whether an instance counts as cut off from all targets: several paths were found to be cut, and nothing has come from
 * any target since.
 *
 * @param heardAt time at which any target was last heard from
 * @param cutAt times at which paths were found to be cut
 * @param known number of targets
 *
 * @example
 * isCutOff({ heardAt: 1_000, cutAt: [1_400, 1_600, 1_600], known: 43 }); // true
 */
export const isCutOff = ({
    heardAt,
    cutAt,
    known,
}: {
    heardAt: number;
    cutAt: readonly number[];
    known: number;
}): boolean => cutAt.filter(time => time > heardAt).length >= Math.max(TELLING_TARGETS, Math.min(LEAST_TARGETS, known));
