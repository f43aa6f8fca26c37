import type { Clock } from "./clock.js";

/** Number of half-lives after which sums are rescaled, long before doubles lose precision. */
const RESCALE_AFTER_HALF_LIVES = 64;

/**
 * Exponential decay for many sums without updating them as time passes: instead of reducing old amounts, new ones are
 * added with a weight that doubles every half-life.
 *
 * @example
 * const decay = new DecayedRate(clock, 2_000);
 * sum = sum * decay.rescale() + amount * decay.weight();
 * decay.rate(sum); // amount per millisecond
 */
export class DecayedRate {
    private readonly startedAt: number;
    private originAt: number;

    constructor(
        private readonly clock: Clock,
        private readonly halfLifeMs: number,
        /** Time over which imported sums were measured, in milliseconds. */
        measuredMs = 0,
    ) {
        this.originAt = clock.monotonicMs();
        this.startedAt = this.originAt - measuredMs;
    }

    /** Time over which amounts have been measured, in milliseconds. */
    measuredMs(): number {
        return this.clock.monotonicMs() - this.startedAt;
    }

    /** Factor by which all sums must be multiplied before use; 1 except when a rescale is due. */
    rescale(): number {
        const halfLives = (this.clock.monotonicMs() - this.originAt) / this.halfLifeMs;
        if (halfLives < RESCALE_AFTER_HALF_LIVES) {
            return 1;
        }
        this.originAt = this.clock.monotonicMs();
        return 2 ** -halfLives;
    }

    /** Weight of an amount added now. */
    weight(): number {
        return 2 ** ((this.clock.monotonicMs() - this.originAt) / this.halfLifeMs);
    }

    /** Converts a sum to an amount per millisecond, corrected for the time since the start of the measurement. */
    rate(sum: number): number {
        return sum / this.weight() / this.effectiveWindowMs();
    }

    /** Converts an amount per millisecond to a sum; used to start from a rate that was measured elsewhere. */
    sumOf(rate: number): number {
        return rate * this.weight() * this.effectiveWindowMs();
    }

    private effectiveWindowMs(): number {
        const elapsed = this.clock.monotonicMs() - this.startedAt;
        // At least 1 ms, so that the first amounts yield a finite rate.
        return Math.max(1, (this.halfLifeMs / Math.LN2) * (1 - 2 ** (-elapsed / this.halfLifeMs)));
    }
}
