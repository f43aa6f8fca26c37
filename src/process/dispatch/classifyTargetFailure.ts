/** Observations of a target after connections to it broke or became silent. */
export interface TargetFailureObservation {
    /** Boot identifier in the target's answers before the failure; `undefined` if it had not answered. */
    bootBefore: string | undefined;
    /** Result of a probe on a new connection opened after the failure. */
    probe: { type: "answered"; boot: string } | { type: "refused" } | { type: "no-answer" };
    /** Number of connections that broke with requests in flight. */
    brokenConnections: number;
}

/**
 * `crash`: the process that ran the requests has ended. `reset`: it still runs, and only connections were lost.
 * `restart`: the process has ended or was replaced, but nothing was in flight. `undecided`: no answer; probe again.
 */
export type TargetFailure = "crash" | "reset" | "restart" | "undecided";

/**
 * Distinguishes a crash of a target from a reset of its connections. Requests become suspects only after a crash,
 * because a reset by the network is not evidence against the requests that the target ran.
 *
 * @example
 * classifyTargetFailure({ bootBefore: "b1", probe: { type: "answered", boot: "b2" }, brokenConnections: 3 }); // "crash"
 */
export const classifyTargetFailure = (observation: TargetFailureObservation): TargetFailure => {
    const { bootBefore, probe, brokenConnections } = observation;
    if (probe.type === "no-answer") {
        return "undecided";
    }
    if (probe.type === "refused") {
        return brokenConnections > 0 ? "crash" : "restart";
    }
    // Without an earlier boot identifier a restart can't be proved, and requests must not be suspected without proof.
    if (bootBefore === undefined || probe.boot === bootBefore) {
        return "reset";
    }
    return brokenConnections > 0 ? "crash" : "restart";
};
