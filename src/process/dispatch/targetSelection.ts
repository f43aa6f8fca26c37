/** What the choice among targets needs to know of one target. */
export interface TargetCandidate {
    target: string;
    draining: boolean;
    reachable: boolean;
    /** Requests that this instance has in flight at the target. */
    inFlight: number;
    /** Estimated requests waiting for the target. */
    queued: number;
    /** Concurrency limit, or the slots while no limit is known. */
    limit: number;
    /** Whether this instance ever sent the target a request. */
    used: boolean;
    /** Load in requests that the target reports; may lag or mislead. */
    reportedLoad: number | undefined;
}

/** Occupancy of a target once it had one request more. */
const occupancy = (candidate: TargetCandidate): number => {
    const own = candidate.inFlight + candidate.queued;
    const load = candidate.used ? own : Math.max(own, candidate.reportedLoad ?? 0);
    return (load + 1) / Math.max(1, candidate.limit);
};

/**
 * The less loaded of two random targets that are reachable and not draining; `undefined` when there is none. The
 * load is counted per slot of the limit, so that a cold target isn't given the share of a warm one.
 *
 * @param random gives a number in [0, 1)
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
