import type { TargetLoad } from "./loadModel.js";

/** Targets with far more or far less work than the others. */
export interface Outliers {
    busy: ReadonlySet<string>;
    idle: ReadonlySet<string>;
}

/**
 * Targets whose ratio of utilization to the mean is above or below the given limits. A plan acts only on targets that
 * are outliers in two successive planning rounds. Reports are up to a second apart, so a jump of the total demand shows
 * in some of them before it shows in others.
 *
 * @example
 * const before = findOutliers(loads, { above: 1.1, below: 0.75 });
 */
export const findOutliers = (
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
    const namesOf = (isOutlier: (ratio: number) => boolean) =>
        new Set(targets.filter(({ work, capacity: own }) => isOutlier(work / own / mean)).map(({ target }) => target));
    return { busy: namesOf(ratio => ratio > above), idle: namesOf(ratio => ratio < below) };
};
