/** What was seen of a target after connections to it broke or fell silent. */
export interface TargetFailureObservation {
    /** Boot identifier in the target's answers before the failure; `undefined` if there was none. */
    bootBefore: string | undefined;
    /** Result of a probe on a fresh connection made after the failure. */
    probe: { type: "answered"; boot: string } | { type: "refused" } | { type: "no-answer" };
    /** Connections with requests in flight that broke. */
    brokenConnections: number;
}

/**
 * `crash`: the process that ran the requests is gone. `reset`: it still runs, so only connections were lost. `restart`:
 * another process answers, but nothing was in flight. `undecided`: no answer; probe again.
 */
export type TargetFailure = "crash" | "reset" | "restart" | "undecided";

/**
 * Tells a crash of a target from a reset of its connections. Only a crash makes requests suspect, because a reset by
 * the network says nothing about what the target ran.
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
    // Without an earlier boot identifier a restart can't be shown, and innocents are not to be suspected.
    if (bootBefore === undefined || probe.boot === bootBefore) {
        return "reset";
    }
    return brokenConnections > 0 ? "crash" : "restart";
};
