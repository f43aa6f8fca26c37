import { RING_SIZE, SliceMap, slicesSize, subtractSlices } from "../../src/process/ownership/sliceMap.js";
import type { TargetRow } from "../../src/process/store/rows.js";
import { positionOf } from "../../src/request/position.js";

/** Share of the key space that has another owner in `after` than in `before`. */
export const movedShare = (before: readonly TargetRow[], after: readonly TargetRow[]): number => {
    const held = new Map(before.map(row => [row.target, row.slices]));
    const gained = after.reduce(
        (sum, { target, slices }) => sum + slicesSize(subtractSlices(slices, held.get(target) ?? [])),
        0,
    );
    return gained / RING_SIZE;
};

/**
 * Busiest target over the mean of the targets, for a demand given as the weight of each key. `least` is the smallest
 * ratio that any map could reach, as a key can't be divided.
 *
 * @example
 * imbalanceOf(rows, "stock", new Map([["key-1", 0.5], ["key-2", 0.5]])); // { ratio: 2, least: 2 } with 4 targets
 */
export const imbalanceOf = (
    rows: readonly TargetRow[],
    service: string,
    weights: ReadonlyMap<string, number>,
): { ratio: number; least: number } => {
    const map = new SliceMap(rows);
    const loads = new Map(rows.map(({ target }) => [target, 0]));
    for (const [key, weight] of weights) {
        const owner = map.ownerOf(positionOf(service, key))?.target ?? "";
        loads.set(owner, (loads.get(owner) ?? 0) + weight);
    }
    const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
    const mean = total / rows.length;
    return { ratio: Math.max(...loads.values()) / mean, least: Math.max(...weights.values()) / mean };
};
