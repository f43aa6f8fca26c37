import type { Clock } from "../runtime/clock.js";
import { DEFAULT_REBALANCE_LIMITS, type Move, type RebalanceLimits } from "./rebalance.js";
import { RING_SIZE } from "../ownership/sliceMap.js";

/** Maximum number of planned moves per service and minute. */
export const DEFAULT_MOVES_PER_MINUTE = 120;
/** Maximum share of the key space that may be moved within `KEY_SPACE_WINDOW_MS` to relieve targets. */
export const DEFAULT_KEY_SPACE_PER_ADJUSTMENT = 0.02;
/** Time window that counts as one adjustment to a change of the hot keys, in milliseconds. */
export const KEY_SPACE_WINDOW_MS = 30_000;
const MINUTE_MS = 60_000;

interface SpentMove {
    at: number;
    keySpace: number;
}

/**
 * Limits the churn of a service over time by stating what the next plan may still move. Evacuations count as moves but
 * are never limited. Neither they nor moves to joining targets count against the key space.
 *
 * @example
 * const moves = planMoves(loads, rows, budget.limits());
 * budget.spend(moves);
 */
export class MoveBudget {
    private spent: SpentMove[] = [];

    constructor(
        private readonly clock: Clock,
        private readonly movesPerMinute = DEFAULT_MOVES_PER_MINUTE,
        private readonly keySpace = DEFAULT_KEY_SPACE_PER_ADJUSTMENT,
    ) {}

    /** Limits for the next plan. */
    limits(base: RebalanceLimits = DEFAULT_REBALANCE_LIMITS): RebalanceLimits {
        const now = this.clock.monotonicMs();
        this.spent = this.spent.filter(({ at }) => now - at < MINUTE_MS);
        const recent = this.spent.filter(({ at }) => now - at < KEY_SPACE_WINDOW_MS);
        const keySpaceLeft = this.keySpace - recent.reduce((sum, { keySpace }) => sum + keySpace, 0);
        return {
            ...base,
            moves: Math.max(0, this.movesPerMinute - this.spent.length),
            keySpace: Math.max(0, Math.min(base.keySpace, keySpaceLeft)),
        };
    }

    /** Counts the moves of a plan. */
    spend(moves: readonly Move[]): void {
        const at = this.clock.monotonicMs();
        for (const { slice, reason } of moves) {
            const isFree = reason === "evacuate" || reason === "join";
            this.spent.push({ at, keySpace: isFree ? 0 : (slice[1] - slice[0]) / RING_SIZE });
        }
    }
}
