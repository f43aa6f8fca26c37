import type { TargetLoad } from "./loadModel.js";

/** Targets with far more or far less work than the others. */
export interface Outliers {
    busy: ReadonlySet<string>;
    idle: ReadonlySet<string>;
}

/**
 * Targets whose utilization is beyond the ratios to the mean. A plan that acts on those of two successive looks isn't set
 * off by a single one: reports are up to a second apart, so that a jump of the whole demand shows in some before others.
 *
 * @example
 * const before = outliersOf(loads, { above: 1.1, below: 0.75 });
 */
export const outliersOf = (
    loads: ReadonlyMap<string, TargetLoad>,
    { above, below }: { above: number; below: number },
): Outliers => {
    const targets = [...loads].map(([target, { slices, capacity }]) => ({
        target,
        capacity,
        work: slices.reduce((sum, { work }) => sum + work, 0),
    }));
    const capacity = targets.reduce((sum, target) => sum + target.capacity, 0);
    const mean = targets.reduce((sum, { work }) => sum + work, 0) / capacity;
    const namesOf = (isMeant: (ratio: number) => boolean) =>
        new Set(targets.filter(({ work, capacity: own }) => isMeant(work / own / mean)).map(({ target }) => target));
    return { busy: namesOf(ratio => ratio > above), idle: namesOf(ratio => ratio < below) };
};
