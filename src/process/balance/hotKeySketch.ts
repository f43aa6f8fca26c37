import type { Clock } from "../runtime/clock.js";
import { DecayedRate } from "../runtime/decayedRate.js";

/** Number of positions counted per target. */
export const DEFAULT_SKETCH_COUNTERS = 128;
/** Half-life of a key's counted work, in milliseconds. */
export const DEFAULT_SKETCH_HALF_LIFE_MS = 2_000;
/** Share of the counters that one search for the smallest ones selects for replacement. */
const EVICTION_BATCH_SHARE = 1 / 8;

/** A position with a large amount of work. */
export interface HotKey {
    position: number;
    /** Service time per unit of time, i.e. the average number of slots in use. Overestimated by at most `error`. */
    work: number;
    error: number;
}

interface EvictionCandidate {
    index: number;
    sum: number;
}

/**
 * Space-Saving sketch of the positions with the most work, with exponential decay.
 *
 * A hit costs one lookup. A miss replaces one of the smallest counters. Those are found by sorting, an eighth of the
 * counters at a time, so the cost of a miss hardly depends on the number of counters. As a result, an estimate is too
 * high by at most 1/112 of the total work (1/128 if the exact minimum were replaced), and never too low.
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
    private evictionCandidates: EvictionCandidate[] = [];

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

    /** Adds a position that moved here with the rate that its former dispatcher measured. */
    seed(position: number, work: number): void {
        this.rescale();
        this.add(position, this.decay.sumOf(work));
    }

    /** Resets the counter of a position that moved away. */
    forget(position: number): void {
        const index = this.indexes.get(position);
        if (index !== undefined) {
            this.sums[index] = 0;
            this.errors[index] = 0;
            this.evictionCandidates.push({ index, sum: 0 });
        }
    }

    /** The counted positions, sorted by descending work. */
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
        const existing = this.indexes.get(position);
        if (existing !== undefined) {
            this.sums[existing] += amount;
            return;
        }
        let index = this.indexes.size;
        if (index === this.sums.length) {
            index = this.takeEvictionCandidate();
            this.indexes.delete(this.positions[index]);
            this.errors[index] = this.sums[index];
        }
        this.indexes.set(position, index);
        this.positions[index] = position;
        this.sums[index] += amount;
    }

    /** Index of one of the smallest counters. Skips candidates that have grown since the search. */
    private takeEvictionCandidate(): number {
        for (;;) {
            const candidate = this.evictionCandidates.pop();
            if (candidate === undefined) {
                this.findEvictionCandidates();
            } else if (this.sums[candidate.index] === candidate.sum) {
                return candidate.index;
            }
        }
    }

    private findEvictionCandidates(): void {
        const sorted = Array.from(this.sums, (sum, index) => ({ index, sum })).sort((a, b) => a.sum - b.sum);
        // Sorted in descending order, so that `pop` returns the smallest first.
        this.evictionCandidates = sorted
            .slice(0, Math.max(1, Math.floor(sorted.length * EVICTION_BATCH_SHARE)))
            .reverse();
    }

    private rescale(): void {
        const factor = this.decay.rescale();
        if (factor !== 1) {
            this.sums.forEach((sum, index) => (this.sums[index] = sum * factor));
            this.errors.forEach((error, index) => (this.errors[index] = error * factor));
            this.evictionCandidates = [];
        }
    }
}
