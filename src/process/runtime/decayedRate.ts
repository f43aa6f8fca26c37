import type { Clock } from "./clock.js";

/** Half-lives after which sums are scaled back, long before doubles lose precision. */
const RESCALE_AFTER_HALF_LIVES = 64;

/**
 * Exponential decay for many sums without touching them as time passes: instead of shrinking old amounts, new ones are
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
        /** Time for which the sums that are carried over from elsewhere were counted, in milliseconds. */
        measuredMs = 0,
    ) {
        this.originAt = clock.monotonicMs();
        this.startedAt = this.originAt - measuredMs;
    }

    /** Time for which amounts have been counted, in milliseconds. */
    measuredMs(): number {
        return this.clock.monotonicMs() - this.startedAt;
    }

    /** Factor by which all sums must be multiplied before use; nearly always 1. */
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

    /** Amount per millisecond that a sum stands for, corrected for the time since the start. */
    rate(sum: number): number {
        return sum / this.weight() / this.spanMs();
    }

    /** Sum that stands for an amount per millisecond; used to start from a rate known elsewhere. */
    sumOf(rate: number): number {
        return rate * this.weight() * this.spanMs();
    }

    private spanMs(): number {
        const elapsed = this.clock.monotonicMs() - this.startedAt;
        // At least 1 ms, so that the first amounts give a finite rate.
        return Math.max(1, (this.halfLifeMs / Math.LN2) * (1 - 2 ** (-elapsed / this.halfLifeMs)));
    }
}
