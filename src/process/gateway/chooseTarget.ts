/** What the choice knows of a target that could run a request. */
export interface PlacementCandidate {
    /** Requests that the target has running or waiting, as far as known. */
    load: number;
    slots: number;
    /** Mean time in milliseconds that it takes for one request in a free slot. */
    serviceMs: number;
    /** Recent share of its requests that it failed or shed, 0 to 1. */
    failureShare: number;
    sameDomain: boolean;
    /** Whether recent calls went unanswered, so that it is used only when nothing else is left. */
    suspect: boolean;
}

/**
 * Disadvantage of a target in another failure domain for each kilobyte of the answer, in milliseconds. Transfers between
 * domains are paid for; a drawing of 90 KB then crosses only when it would wait about 0.3 s longer at home.
 */
export const CROSS_DOMAIN_MS_PER_KB = 3.5;
/** Fixed disadvantage of another failure domain in milliseconds, for the way and the connection. */
export const CROSS_DOMAIN_MS = 6;
/** Expected extra time in milliseconds of a request that a target fails and that is sent again. */
const FAILURE_COST_MS = 350;
/** Disadvantage of a suspect target in milliseconds; above any wait, so that it is the last resort. */
const SUSPECT_COST_MS = 5_000;
/** Largest failure share that is told apart; at 1 the cost would be infinite. */
const MAX_FAILURE_SHARE = 0.9;

/**
 * Expected time in milliseconds until a target has answered one more request.
 *
 * @example
 * expectedMs({ load: 12, slots: 6, serviceMs: 100, ... }); // about 217
 */
export const expectedMs = ({ load, slots, serviceMs }: PlacementCandidate): number => {
    const waitMs = (Math.max(0, load + 1 - slots) * serviceMs) / slots;
    return waitMs + serviceMs;
};

/** Cost of a choice in milliseconds: expected time with the disadvantages of distance and failures. */
export const placementCost = (candidate: PlacementCandidate, answerKb: number): number => {
    const failureShare = Math.min(MAX_FAILURE_SHARE, candidate.failureShare);
    const distanceMs = candidate.sameDomain ? 0 : CROSS_DOMAIN_MS + CROSS_DOMAIN_MS_PER_KB * answerKb;
    const failureMs = (failureShare / (1 - failureShare)) * FAILURE_COST_MS;
    return expectedMs(candidate) + distanceMs + failureMs + (candidate.suspect ? SUSPECT_COST_MS : 0);
};

/** Relative random spread of costs. Instances that see the same loads would otherwise all choose the same target. */
const COST_SPREAD = 0.15;

/**
 * Chooses among targets any of which may run a request. It answers uneven targets (by speed and slots), load that other
 * instances put on them (by their reports), and failing ones (by their recent failures), and keeps large answers in their
 * failure domain while that doesn't cost the caller much time.
 *
 * @param random gives a number in [0, 1)
 *
 * @example
 * const chosen = chooseTarget(candidates, 90, Math.random);
 */
export const chooseTarget = <Candidate extends PlacementCandidate>(
    candidates: readonly Candidate[],
    answerKb: number,
    random: () => number,
): Candidate | undefined => {
    let best: Candidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
        const cost = placementCost(candidate, answerKb) * (1 + COST_SPREAD * (random() - 0.5));
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
};
