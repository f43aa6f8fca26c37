import type { Slice, TargetRow } from "../store/rows.js";

/** Number of positions on the ring of key hashes. */
export const RING_SIZE = 0x1_0000_0000;

/** Maximum number of slices per target; bounds the size of its row and of its grant. */
export const MAX_SLICES_PER_TARGET = 64;

/** Whether the slices contain a position. */
export const slicesContain = (slices: readonly Slice[], position: number): boolean =>
    slices.some(([start, end]) => start <= position && position < end);

/** Sorts slices and merges those that are adjacent or overlap. */
export const normalizeSlices = (slices: readonly Slice[]): Slice[] => {
    const sorted = slices.filter(([start, end]) => start < end).sort((a, b) => a[0] - b[0]);
    const merged: Slice[] = [];
    for (const [start, end] of sorted) {
        const last = merged[merged.length - 1];
        if (last !== undefined && last[1] >= start) {
            last[1] = Math.max(last[1], end);
        } else {
            merged.push([start, end]);
        }
    }
    return merged;
};

/**
 * Removes the positions of `removed` from `slices`, splitting slices where needed.
 *
 * @example
 * subtractSlices([[0, 100]], [[40, 50]]); // [[0, 40], [50, 100]]
 */
export const subtractSlices = (slices: readonly Slice[], removed: readonly Slice[]): Slice[] => {
    // A single pass over both sorted lists keeps this linear: an instance that dispatches for 20 targets of 64 slices
    // each subtracts 1,280 slices from 1,280.
    const cuts = normalizeSlices(removed);
    const rest: Slice[] = [];
    let first = 0;
    for (const [start, end] of normalizeSlices(slices)) {
        while (first < cuts.length && cuts[first][1] <= start) {
            first++;
        }
        let from = start;
        for (let index = first; index < cuts.length && cuts[index][0] < end; index++) {
            if (from < cuts[index][0]) {
                rest.push([from, cuts[index][0]]);
            }
            from = cuts[index][1];
        }
        if (from < end) {
            rest.push([from, end]);
        }
    }
    return rest;
};

/** Number of positions that the slices cover. */
export const slicesSize = (slices: readonly Slice[]): number =>
    slices.reduce((sum, [start, end]) => sum + (end - start), 0);

/**
 * Splits the ring evenly among targets with several slices each, so that the slices of a lost target can be spread.
 *
 * @example
 * initialLayout(["a", "b"], 2).get("a"); // [[0, 1073741824], [2147483648, 3221225472]]
 */
export const initialLayout = (targets: readonly string[], slicesPerTarget: number): Map<string, Slice[]> => {
    const layout = new Map<string, Slice[]>(targets.map(target => [target, []]));
    const count = targets.length * slicesPerTarget;
    for (let index = 0; index < count; index++) {
        const start = Math.floor((RING_SIZE * index) / count);
        const end = Math.floor((RING_SIZE * (index + 1)) / count);
        layout.get(targets[index % targets.length])?.push([start, end]);
    }
    return layout;
};

/** Lookup of the row that owns a position. Built once per change of the rows. */
export class SliceMap {
    private readonly starts: number[] = [];
    private readonly ends: number[] = [];
    private readonly owners: TargetRow[] = [];

    constructor(rows: readonly TargetRow[]) {
        const entries = rows.flatMap(row => row.slices.map(([start, end]) => ({ start, end, row })));
        entries.sort((a, b) => a.start - b.start);
        for (const entry of entries) {
            this.starts.push(entry.start);
            this.ends.push(entry.end);
            this.owners.push(entry.row);
        }
    }

    /** The row that owns a position, or `undefined` if none does. Uses a binary search over the slices. */
    ownerOf(position: number): TargetRow | undefined {
        let low = 0;
        let high = this.starts.length - 1;
        while (low <= high) {
            const middle = (low + high) >>> 1;
            if (position < this.starts[middle]) {
                high = middle - 1;
            } else if (position >= this.ends[middle]) {
                low = middle + 1;
            } else {
                return this.owners[middle];
            }
        }
        return undefined;
    }
}
