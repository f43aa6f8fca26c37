import { RING_SIZE, SliceMap, slicesSize, subtractSlices } from "../../src/process/ownership/sliceMap.js";
import type { TargetRow } from "../../src/process/store/rows.js";
import { positionOf } from "../../src/request/position.js";

/** Returns the share of the key space whose owner differs between `before` and `after`. */
export const movedShare = (before: readonly TargetRow[], after: readonly TargetRow[]): number => {
    const slicesBefore = new Map(before.map(row => [row.target, row.slices]));
    const gained = after.reduce(
        (sum, { target, slices }) => sum + slicesSize(subtractSlices(slices, slicesBefore.get(target) ?? [])),
        0,
    );
    return gained / RING_SIZE;
};

/**
 * Returns the ratio of the highest load of a target to the mean, given the share of the load of each key. `minRatio` is
 * a lower bound for any assignment, since a key can't be split between targets.
 *
 * @example
 * imbalanceOf(rows, "stock", new Map([["key-1", 0.5], ["key-2", 0.5]])); // { ratio: 2, minRatio: 2 } with 4 targets
 */
export const imbalanceOf = (
    rows: readonly TargetRow[],
    service: string,
    weights: ReadonlyMap<string, number>,
): { ratio: number; minRatio: number } => {
    const map = new SliceMap(rows);
    const loads = new Map(rows.map(({ target }) => [target, 0]));
    for (const [key, weight] of weights) {
        const owner = map.ownerOf(positionOf(service, key))?.target ?? "";
        loads.set(owner, (loads.get(owner) ?? 0) + weight);
    }
    const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
    const mean = total / rows.length;
    return { ratio: Math.max(...loads.values()) / mean, minRatio: Math.max(...weights.values()) / mean };
};
