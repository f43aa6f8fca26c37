import type { Clock } from "../runtime/clock.js";

/** Factor of a reduction. */
export const LIMIT_REDUCTION = 0.7;
/** Short work that takes this multiple of its long-run time reduces the limit. */
export const SLOW_FACTOR = 2;
/** Time over which a cold target's limit rises from 1 to its slots, in milliseconds. */
export const DEFAULT_COLD_RAMP_MS = 5_000;
/**
 * Samples over which the recent slowness averages, and the least number to judge by. With exponential service times, the
 * mean of 16 exceeds twice its expectation about once in 2,500 times.
 */
const RECENT_SAMPLES = 16;

/**
 * Bound on the requests in flight at one target: grows by 1 and shrinks by a factor, always between 1 and
 * the target's slots.
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

    /** Requests that may be in flight now; a whole number from 1 to the slots. */
    current(): number {
        return Math.min(Math.floor(this.value), this.coldCap());
    }

    /** Starts the cold ramp anew, as after a restart of the target. */
    startCold(): void {
        this.coldSince = this.clock.monotonicMs();
        this.value = this.slots;
        this.successes = 0;
        this.resetSlowness();
    }

    /** Takes over a new number of slots, as from a new bundle version. */
    setSlots(slots: number): void {
        this.slots = Math.max(1, Math.floor(slots));
        this.value = Math.min(this.value, this.slots);
    }

    /** Monotonic time in milliseconds at which the cold ramp next raises the limit, or `undefined`. */
    nextRiseAt(): number | undefined {
        const cap = this.coldCap();
        if (this.coldSince === undefined || cap >= this.slots || cap >= Math.floor(this.value)) {
            return undefined;
        }
        return this.coldSince + (this.coldRampMs * cap) / (this.slots - 1);
    }

    /**
     * Counts a completed request. `slowness` is its service time over the long-run time of its route, or `undefined`
     * for work that says nothing about it (long work, routes without a history).
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
            // Growth while the target is slow would undo the reductions, which come once in 16 samples.
            return;
        }
        this.successes++;
        if (this.successes >= this.current()) {
            this.successes = 0;
            this.value = Math.min(this.slots, this.value + 1);
        }
    }

    /** Counts a request that the target shed. */
    shed(startedAt: number): void {
        this.reduce(startedAt);
    }

    /** Reduces the limit, at most once for the requests that were started before the last reduction. */
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
        // The small addend keeps rounding from holding the limit back at the very time given by nextRiseAt.
        return Math.floor(1 + (this.slots - 1) * share + 1e-9);
    }
}
