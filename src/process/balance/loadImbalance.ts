/**
 * Ratio of the busiest target's load to the mean; 1 if all targets are equally loaded or none has any load.
 *
 * @example
 * loadImbalance([6, 3, 3]); // 1.5
 */
export const loadImbalance = (loads: readonly number[]): number => {
    const sum = loads.reduce((total, load) => total + load, 0);
    return sum <= 0 ? 1 : (Math.max(...loads) * loads.length) / sum;
};
