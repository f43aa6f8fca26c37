/** State of a target that the choice between targets depends on. */
export interface TargetCandidate {
    target: string;
    draining: boolean;
    reachable: boolean;
    /** Number of requests that this instance has in flight at the target. */
    inFlight: number;
    /** Estimated number of requests that wait for the target. */
    queued: number;
    /** Concurrency limit, or the number of slots while no limit is known. */
    limit: number;
    /** Whether this instance has ever sent a request to the target. */
    used: boolean;
    /** Load that the target reports, in requests; may be out of date or wrong. */
    reportedLoad: number | undefined;
}

/** Load of a target relative to its limit, with one more request. */
const occupancy = (candidate: TargetCandidate): number => {
    const own = candidate.inFlight + candidate.queued;
    const load = candidate.used ? own : Math.max(own, candidate.reportedLoad ?? 0);
    return (load + 1) / Math.max(1, candidate.limit);
};

/**
 * Returns the less loaded of two randomly chosen targets that are reachable and not draining (power of two choices), or
 * `undefined` if there is none. Load is relative to the concurrency limit, so that a cold target gets a smaller share
 * than a warm one.
 *
 * @param random returns a number in [0, 1)
 *
 * @example
 * const target = chooseTarget(candidates, Math.random)?.target;
 */
export const chooseTarget = <Candidate extends TargetCandidate>(
    candidates: readonly Candidate[],
    random: () => number,
): Candidate | undefined => {
    const eligible = candidates.filter(candidate => candidate.reachable && !candidate.draining);
    if (eligible.length <= 1) {
        return eligible[0];
    }
    const first = Math.floor(random() * eligible.length);
    const step = 1 + Math.floor(random() * (eligible.length - 1));
    const second = (first + step) % eligible.length;
    return occupancy(eligible[second]) < occupancy(eligible[first]) ? eligible[second] : eligible[first];
};
