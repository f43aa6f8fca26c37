/** State of an instance through which a request could reach its target. */
export interface PeerCandidate {
    /** Requests of this instance that it has under way. */
    inFlight: number;
    /** Number of times that the answer passes from one failure domain to another on its way. */
    crossings: number;
    /** Whether it is in the failure domain of this instance. */
    isNear: boolean;
    /** Whether it lately couldn't forward a request. */
    isSuspect: boolean;
}

/** Number of requests under way that weigh as much as one crossing, whose bytes are billed. */
const CROSSING_REQUESTS = 24;
/** The same for an instance in another failure domain, whose way is longer. */
const FAR_REQUESTS = 2;
/** The same for a suspect, which is used only if there is no other. */
const SUSPECT_REQUESTS = 10_000;

/**
 * Chooses the instance through which a request is sent: one in the own failure domain as long as it isn't much busier than others.
 *
 * @param random returns a number in [0, 1)
 *
 * @example
 * choosePeer(candidates, Math.random);
 */
export const choosePeer = <Candidate extends PeerCandidate>(
    candidates: readonly Candidate[],
    random: () => number,
): Candidate | undefined => {
    let best: Candidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
        const { inFlight, crossings, isNear, isSuspect } = candidate;
        const wayCost = crossings * CROSSING_REQUESTS + (isNear ? 0 : FAR_REQUESTS);
        const cost = inFlight + wayCost + (isSuspect ? SUSPECT_REQUESTS : 0) + random();
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
};

/**
 * Number of times that an answer passes from one failure domain to another.
 *
 * @param way failure domains on the way, from the target on
 *
 * @example
 * crossingsOf(["linz", "wels", "wels"]); // 1
 */
export const crossingsOf = (way: readonly string[]): number =>
    way.filter((domain, index) => index > 0 && domain !== way[index - 1]).length;
