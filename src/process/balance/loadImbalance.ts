/**
 * Load of the busiest target over the mean: 1 when all are equally loaded or nothing is loaded.
 *
 * @example
 * loadImbalance([6, 3, 3]); // 1.5
 */
export const loadImbalance = (loads: readonly number[]): number => {
    const sum = loads.reduce((total, load) => total + load, 0);
    return sum <= 0 ? 1 : (Math.max(...loads) * loads.length) / sum;
};
