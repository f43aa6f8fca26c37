import type { Clock } from "../runtime/clock.js";
import { DecayedRate } from "../runtime/decayedRate.js";
import type { Slice } from "../store/rows.js";

/** Number of equal parts in which the work of a slice is counted, so that a heavy slice can be split by work. */
export const BINS_PER_SLICE = 16;
/** Half-life of counted work, in milliseconds. */
export const DEFAULT_LOAD_HALF_LIFE_MS = 2_000;

/** Work of a slice. */
export interface SliceWork {
    slice: Slice;
    /** Service time per unit of time, i.e. the average number of slots in use. */
    work: number;
    /** Work of the equal parts of the slice, in order of position. */
    bins: readonly number[];
}

interface CountedSlice {
    start: number;
    end: number;
    sums: Float64Array;
}

const countedSlice = ([start, end]: Slice): CountedSlice => ({
    start,
    end,
    sums: new Float64Array(Math.max(1, Math.min(BINS_PER_SLICE, end - start))),
});

/**
 * Measures the work of each slice of one target; 64 slices take 8 KB. Work is service time rather than a number of
 * requests, because one ledger export uses as much of a target's capacity as a hundred lookups.
 *
 * @example
 * load.setSlices(row.slices);
 * load.record(position, serviceMs);
 * load.slices(); // [{ slice: [0, 4096], work: 1.5, bins: [...] }]
 */
export class SliceLoad {
    private readonly decay: DecayedRate;
    private counted: CountedSlice[] = [];

    /** `measuredMs` is the time over which work that is carried over had been measured before. */
    constructor(options: { clock: Clock; halfLifeMs?: number; measuredMs?: number }) {
        const { clock, halfLifeMs = DEFAULT_LOAD_HALF_LIFE_MS, measuredMs } = options;
        this.decay = new DecayedRate(clock, halfLifeMs, measuredMs);
    }

    /** Time over which work has been measured, in milliseconds. */
    measuredMs(): number {
        return this.decay.measuredMs();
    }

    /**
     * Updates the target's slices and keeps the work counted for positions that stay. `gained` is the work of slices
     * that moved here, as measured by their former dispatcher.
     */
    setSlices(slices: readonly Slice[], gained: readonly SliceWork[] = []): void {
        const factor = this.decay.rescale();
        const before = this.counted;
        this.counted = slices.map(countedSlice).sort((a, b) => a.start - b.start);
        before.forEach(({ start, end, sums }) => {
            this.spread(
                [start, end],
                Array.from(sums, sum => sum * factor),
            );
        });
        gained.forEach(({ slice, bins }) => {
            this.spread(
                slice,
                bins.map(work => this.decay.sumOf(work)),
            );
        });
    }

    /** Adds work, in milliseconds of service time. Positions outside the slices are ignored. */
    record(position: number, serviceMs: number): void {
        this.rescale();
        const found = this.find(position);
        if (found !== undefined) {
            const { start, end, sums } = found;
            sums[Math.floor(((position - start) * sums.length) / (end - start))] += serviceMs * this.decay.weight();
        }
    }

    /** Work of the slices, in order of position. */
    slices(): SliceWork[] {
        this.rescale();
        return this.counted.map(({ start, end, sums }): SliceWork => {
            const bins = Array.from(sums, sum => this.decay.rate(sum));
            return { slice: [start, end], work: bins.reduce((total, work) => total + work, 0), bins };
        });
    }

    private find(position: number): CountedSlice | undefined {
        let low = 0;
        let high = this.counted.length - 1;
        while (low <= high) {
            const middle = (low + high) >>> 1;
            const slice = this.counted[middle];
            if (position < slice.start) {
                high = middle - 1;
            } else if (position >= slice.end) {
                low = middle + 1;
            } else {
                return slice;
            }
        }
        return undefined;
    }

    private spread(slice: Slice, sums: readonly number[]): void {
        const work: SliceWork = { slice, work: 0, bins: sums };
        for (const counted of this.counted) {
            if (counted.start < slice[1] && slice[0] < counted.end) {
                const count = counted.sums.length;
                const width = (counted.end - counted.start) / count;
                counted.sums.forEach((_, index) => {
                    const from = counted.start + index * width;
                    counted.sums[index] += workBetween(work, from, from + width);
                });
            }
        }
    }

    private rescale(): void {
        const factor = this.decay.rescale();
        if (factor !== 1) {
            this.counted.forEach(({ sums }) => sums.forEach((sum, index) => (sums[index] = sum * factor)));
        }
    }
}

/**
 * Work of a slice between two positions, assuming that the work of each bin is evenly distributed.
 *
 * @example
 * workBetween({ slice: [0, 8], work: 3, bins: [1, 2] }, 4, 8); // 2
 */
export const workBetween = ({ slice, bins }: SliceWork, from: number, to: number): number => {
    const width = (slice[1] - slice[0]) / bins.length;
    const first = Math.max(0, Math.floor((from - slice[0]) / width));
    const last = Math.min(bins.length - 1, Math.ceil((to - slice[0]) / width) - 1);
    let sum = 0;
    for (let index = first; index <= last; index++) {
        const start = slice[0] + index * width;
        const overlap = Math.min(to, start + width) - Math.max(from, start);
        sum += bins[index] * Math.max(0, Math.min(1, overlap / width));
    }
    return sum;
};
