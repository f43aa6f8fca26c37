import type { Clock } from "../runtime/clock.js";
import { DecayedRate } from "../runtime/decayedRate.js";

/** Positions counted per target. */
export const DEFAULT_SKETCH_COUNTERS = 128;
/** Time in which a key that went cold loses half of its weight. */
export const DEFAULT_SKETCH_HALF_LIFE_MS = 2_000;
/** Share of the counters that one search for small ones puts up for replacement. */
const VICTIM_SHARE = 1 / 8;

/** A position with much work. */
export interface HotKey {
    position: number;
    /** Service time used per unit of time, that is, slots used on average. Too high by at most `error`. */
    work: number;
    error: number;
}

interface Victim {
    index: number;
    sum: number;
}

/**
 * Space-saving sketch of the positions with the most work, with decay.
 *
 * A hit costs one lookup. A miss replaces one of the smallest counters; those are found by sorting, an eighth of the
 * counters at a time, so the cost of a miss hardly depends on their number. An estimate is therefore too high by at most the total work over 112
 * (rather than 128 with an exact minimum), and never too low.
 *
 * @example
 * sketch.record(position, serviceMs);
 * sketch.top().filter(({ work, error }) => work - error > 0.5);
 */
export class HotKeySketch {
    private readonly decay: DecayedRate;
    private readonly indexes = new Map<number, number>();
    private readonly positions: Float64Array;
    private readonly sums: Float64Array;
    private readonly errors: Float64Array;
    private victims: Victim[] = [];

    constructor(options: { clock: Clock; counters?: number; halfLifeMs?: number; measuredMs?: number }) {
        const { clock, counters = DEFAULT_SKETCH_COUNTERS, halfLifeMs = DEFAULT_SKETCH_HALF_LIFE_MS } = options;
        this.decay = new DecayedRate(clock, halfLifeMs, options.measuredMs);
        this.positions = new Float64Array(counters);
        this.sums = new Float64Array(counters);
        this.errors = new Float64Array(counters);
    }

    /** Adds work, in milliseconds of service time, to a position. */
    record(position: number, serviceMs: number): void {
        this.rescale();
        this.add(position, serviceMs * this.decay.weight());
    }

    /** Starts a position that moved here with the rate known to its previous holder. */
    seed(position: number, work: number): void {
        this.rescale();
        this.add(position, this.decay.sumOf(work));
    }

    /** Stops counting a position that moved away. */
    forget(position: number): void {
        const index = this.indexes.get(position);
        if (index !== undefined) {
            this.sums[index] = 0;
            this.errors[index] = 0;
            this.victims.push({ index, sum: 0 });
        }
    }

    /** The counted positions, those with the most work first. */
    top(): HotKey[] {
        this.rescale();
        return [...this.indexes]
            .map(([position, index]) => ({
                position,
                work: this.decay.rate(this.sums[index]),
                error: this.decay.rate(this.errors[index]),
            }))
            .sort((a, b) => b.work - a.work || a.position - b.position);
    }

    private add(position: number, amount: number): void {
        const held = this.indexes.get(position);
        if (held !== undefined) {
            this.sums[held] += amount;
            return;
        }
        let index = this.indexes.size;
        if (index === this.sums.length) {
            index = this.takeVictim();
            this.indexes.delete(this.positions[index]);
            this.errors[index] = this.sums[index];
        }
        this.indexes.set(position, index);
        this.positions[index] = position;
        this.sums[index] += amount;
    }

    /** Index of a counter among the smallest. Candidates that have grown since the search are passed over. */
    private takeVictim(): number {
        for (;;) {
            const victim = this.victims.pop();
            if (victim === undefined) {
                this.findVictims();
            } else if (this.sums[victim.index] === victim.sum) {
                return victim.index;
            }
        }
    }

    private findVictims(): void {
        const sorted = Array.from(this.sums, (sum, index) => ({ index, sum })).sort((a, b) => a.sum - b.sum);
        // The smallest is taken first, from the end.
        this.victims = sorted.slice(0, Math.max(1, Math.floor(sorted.length * VICTIM_SHARE))).reverse();
    }

    private rescale(): void {
        const factor = this.decay.rescale();
        if (factor !== 1) {
            this.sums.forEach((sum, index) => (this.sums[index] = sum * factor));
            this.errors.forEach((error, index) => (this.errors[index] = error * factor));
            this.victims = [];
        }
    }
}
