import type { Clock } from "../runtime/clock.js";

/** Factor by which the limit is multiplied at each reduction. */
export const LIMIT_REDUCTION = 0.7;
/** The limit is reduced when short requests take more than this multiple of their long-run mean time. */
export const SLOW_FACTOR = 2;
/** Time in milliseconds over which the limit of a cold target rises from 1 to its number of slots. */
export const DEFAULT_COLD_RAMP_MS = 5_000;
/**
 * Samples in the average of the recent slowness, and the minimum number before the limit is reduced by it. With
 * exponential service times, the mean of 16 samples exceeds twice its expectation about once in 2,500 times.
 */
const RECENT_SAMPLES = 16;

/**
 * Limit on the requests in flight at one target. It increases additively and decreases multiplicatively (AIMD), and
 * stays between 1 and the target's number of slots.
 *
 * @example
 * const limit = new ConcurrencyLimit(clock, { slots: 6 });
 * limit.completed(startedAt, 1.1); // took 1.1 times its long-run time
 * limit.current(); // 6
 */
export class ConcurrencyLimit {
    private slots: number;
    private value: number;
    private successes = 0;
    private slowness = 1;
    private slownessSamples = 0;
    private reducedAt = -Infinity;
    private coldSince: number | undefined;
    private readonly coldRampMs: number;

    constructor(
        private readonly clock: Clock,
        options: { slots: number; cold?: boolean; coldRampMs?: number },
    ) {
        this.slots = Math.max(1, Math.floor(options.slots));
        this.value = this.slots;
        this.coldRampMs = options.coldRampMs ?? DEFAULT_COLD_RAMP_MS;
        if (options.cold === true) {
            this.startCold();
        }
    }

    /** Number of requests that may be in flight now; an integer from 1 to the number of slots. */
    current(): number {
        return Math.min(Math.floor(this.value), this.coldCap());
    }

    /** Restarts the cold ramp, for example after a restart of the target. */
    startCold(): void {
        this.coldSince = this.clock.monotonicMs();
        this.value = this.slots;
        this.successes = 0;
        this.resetSlowness();
    }

    /** Changes the number of slots, for example when a new bundle version takes effect. */
    setSlots(slots: number): void {
        this.slots = Math.max(1, Math.floor(slots));
        this.value = Math.min(this.value, this.slots);
    }

    /** Monotonic time in milliseconds at which the cold ramp next raises the limit, or `undefined` if it won't. */
    nextRiseAt(): number | undefined {
        const cap = this.coldCap();
        if (this.coldSince === undefined || cap >= this.slots || cap >= Math.floor(this.value)) {
            return undefined;
        }
        return this.coldSince + (this.coldRampMs * cap) / (this.slots - 1);
    }

    /**
     * Records a completed request. `slowness` is its service time divided by the long-run mean of its route, or
     * `undefined` for requests that aren't judged by it (long requests, routes without a history).
     */
    completed(startedAt: number, slowness: number | undefined): void {
        if (slowness !== undefined) {
            this.slownessSamples++;
            this.slowness += (slowness - this.slowness) / Math.min(this.slownessSamples, RECENT_SAMPLES);
            if (this.slownessSamples >= RECENT_SAMPLES && this.slowness > SLOW_FACTOR) {
                this.reduce(startedAt);
                return;
            }
        }
        if (this.slowness > SLOW_FACTOR) {
            // Increases while the target is slow would undo the reductions, which happen at most once per 16 samples.
            return;
        }
        this.successes++;
        if (this.successes >= this.current()) {
            this.successes = 0;
            this.value = Math.min(this.slots, this.value + 1);
        }
    }

    /** Records a request that the target shed. */
    shed(startedAt: number): void {
        this.reduce(startedAt);
    }

    /** Reduces the limit, except for requests that were started before the last reduction. */
    private reduce(startedAt: number): void {
        if (startedAt < this.reducedAt) {
            return;
        }
        this.reducedAt = this.clock.monotonicMs();
        this.value = Math.max(1, Math.min(this.value, this.coldCap()) * LIMIT_REDUCTION);
        this.successes = 0;
        this.resetSlowness();
    }

    private resetSlowness(): void {
        this.slowness = 1;
        this.slownessSamples = 0;
    }

    private coldCap(): number {
        if (this.coldSince === undefined) {
            return this.slots;
        }
        const share = (this.clock.monotonicMs() - this.coldSince) / this.coldRampMs;
        if (share >= 1) {
            this.coldSince = undefined;
            return this.slots;
        }
        // The epsilon ensures that rounding doesn't delay the increase past the time returned by nextRiseAt.
        return Math.floor(1 + (this.slots - 1) * share + 1e-9);
    }
}
