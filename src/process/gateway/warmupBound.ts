/**
 * Bound on the requests that a cold target gets from all instances together: in any second at most
 * `overage` times the rate that its service tolerates, plus `slack`.
 */
export interface WarmupBound {
    overage: number;
    /** Requests a second. */
    slack: number;
}
