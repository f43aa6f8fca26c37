/**
 * Nearest-rank percentile; `undefined` if there are no values.
 *
 * @example
 * percentile([3, 1, 2], 50); // 2
 */
export const percentile = (values: readonly number[], percent: number): number | undefined => {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.max(0, Math.ceil((percent / 100) * sorted.length) - 1)];
};
