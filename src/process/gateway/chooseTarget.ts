import { slowedMs, type Slowdown } from "./currentSlowdown.js";

/** State of a target that could run a request. */
export interface PlacementCandidate {
    /** Requests running or waiting at the target, as estimated. */
    load: number;
    /**
     * Requests beyond `load` that may be at the target; missing for a target that states when it is full, so that a request too many
     * costs little there.
     */
    margin?: number;
    slots: number;
    /** Number of requests that are known to fit in its queue. */
    queueLimit: number;
    /** Mean time in milliseconds that one request takes in a free slot. */
    serviceMs: number;
    /** Slowdown of its machine at present; missing if the usual one is expected. */
    slowdown?: Slowdown;
    /** Share of recent requests that the target failed or shed, from 0 to 1. */
    failureShare: number;
    /** Number of times that its answers pass from one failure domain to another. */
    crossings: number;
    /** Whether recent calls went unanswered or another target may have its address; it is used only if there is no other. */
    suspect: boolean;
}

/**
 * Cost of a crossing between failure domains for each kilobyte of the answer, in milliseconds. Transfers between domains
 * are billed; with this cost, a drawing of 90 KB is fetched from another domain only if it would wait about 0.3 s longer in
 * its own.
 */
export const CROSS_DOMAIN_MS_PER_KB = 3.5;
/** Fixed cost of a crossing in milliseconds, for network latency and the connection. */
export const CROSS_DOMAIN_MS = 6;
/** Expected extra time in milliseconds for a request that the target fails and that is retried. */
const FAILURE_COST_MS = 350;
/** Cost of a suspect target in milliseconds; above any wait, so that such a target is chosen last. */
const SUSPECT_COST_MS = 5_000;
/** Cap on the failure share; at 1 the cost would be infinite. */
const MAX_FAILURE_SHARE = 0.9;

/**
 * Expected time in milliseconds until a target has answered one more request.
 *
 * @example
 * expectedMs({ load: 12, slots: 6, serviceMs: 100, ... }); // about 217
 */
export const expectedMs = ({ load, slots, serviceMs, slowdown }: PlacementCandidate): number => {
    const waitMs = (Math.max(0, load + 1 - slots) * serviceMs) / slots;
    return slowedMs(waitMs + serviceMs, slowdown);
};

/** Part of a target's queue that is left for requests of other instances that this one doesn't know of. */
const UNKNOWN_SHARE = 0.1;

/**
 * Whether a target is likely to turn away one more request. It handles targets that lose requests when they are full and of which little is
 * known: the less is known of the requests that others have sent, the more of the queue is left for them.
 *
 * @example
 * isFull({ load: 30, slots: 6, queueLimit: 24, ... }); // true
 */
export const isFull = ({ load, margin = 0, slots, queueLimit }: PlacementCandidate): boolean =>
    load + margin + 1 > slots + queueLimit * (1 - UNKNOWN_SHARE);

/** Cost of a target in milliseconds: the expected time plus the costs of distance, failures and suspicion. */
export const placementCost = (candidate: PlacementCandidate, answerKb: number): number => {
    const failureShare = Math.min(MAX_FAILURE_SHARE, candidate.failureShare);
    const distanceMs = candidate.crossings * (CROSS_DOMAIN_MS + CROSS_DOMAIN_MS_PER_KB * answerKb);
    const failureMs = (failureShare / (1 - failureShare)) * FAILURE_COST_MS;
    return expectedMs(candidate) + distanceMs + failureMs + (candidate.suspect ? SUSPECT_COST_MS : 0);
};

/** Relative jitter of costs. Instances that see the same loads would otherwise all choose the same target. */
const COST_SPREAD = 0.15;

/**
 * Chooses among targets any of which may run a request. The cost accounts for targets of different speed and slots, for
 * the load from other instances (by the targets' reports) and for recent failures. It keeps large answers in their failure
 * domain as long as that doesn't delay the caller much.
 *
 * @param random returns a number in [0, 1)
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
