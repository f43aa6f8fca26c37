import type { Evacuation } from "./evacuation.js";
import type { StatedRest } from "./targetIntake.js";

/**
 * Share of the drain time after a target's statement that it leaves in which it may get requests that no other target serves. The
 * rest is reserved for the way of a request to the target.
 */
const DRAIN_SHARE = 0.8;
/** Time after which callers may return that were refused because of a target with one request at a time, in milliseconds. */
const TRIAL_PAUSE_MS = 500;

/** Input of the decision. Times are monotonic, in milliseconds. */
export interface IntakeInput {
    now: number;
    /** Time at which the request arrived. */
    arrivedAt: number;
    /** Time at which the target stated that it leaves. */
    leavingAt: number | undefined;
    /** Time for which a leaving target may get requests, in milliseconds. */
    drainMs: number;
    rest: StatedRest | undefined;
    /** The evacuation of its failure domain, while one is in force. */
    evacuation?: Pick<Evacuation, "sendsUntil">;
    /** Requests of this instance that are in flight at the target. */
    inFlight: number;
}

/** Whether a target takes a request from this instance. */
export type Intake =
    | { type: "open" }
    /** It leaves or is being evacuated, so it is used only for requests that no other target serves. */
    | { type: "last-choice" }
    | { type: "leaving" }
    /** Its failure domain is evacuated, and the time for its last requests has passed. */
    | { type: "evacuated" }
    /** It has stated a rest, which lasts for so many milliseconds. */
    | { type: "resting"; forMs: number };

/**
 * Decides whether a target takes a request, by what it has stated and by the evacuation of its failure domain. The requests of a
 * leaving target are counted by their arrival, as its drain time is for them. An evacuation ends all sends at one time. After a rest that was stated longer than a rest may be, the
 * target gets one request at a time until it answers one without a rest.
 *
 * @example
 * decideIntake({ now: 900, arrivedAt: 900, leavingAt: 100, drainMs: 2_000, rest: undefined, inFlight: 0 }); // last-choice
 */
export const decideIntake = (input: IntakeInput): Intake => {
    const { now, arrivedAt, leavingAt, drainMs, rest, evacuation, inFlight } = input;
    if (evacuation !== undefined && now >= evacuation.sendsUntil) {
        return { type: "evacuated" };
    }
    if (leavingAt !== undefined && arrivedAt - leavingAt >= drainMs * DRAIN_SHARE) {
        return { type: "leaving" };
    }
    if (rest !== undefined && now < rest.until) {
        return { type: "resting", forMs: rest.until - now };
    }
    if (rest !== undefined && now < rest.statedUntil && inFlight > 0) {
        return { type: "resting", forMs: Math.min(TRIAL_PAUSE_MS, rest.statedUntil - now) };
    }
    return { type: leavingAt === undefined && evacuation === undefined ? "open" : "last-choice" };
};
