/** The cost measured at a size. */
export interface FitPoint {
    size: number;
    cost: number;
}

/** Least-squares line through measured costs. */
export interface LinearFit {
    points: FitPoint[];
    slope: number;
    intercept: number;
    /** Root-mean-square residual, in the unit of the cost. */
    residual: number;
    /** Difference between the cost at the largest size and its extrapolation from the smaller sizes, as a share of that
     * cost. Positive if the cost grows faster than linearly. */
    excessAtLargest: number;
}

const lineOf = (points: readonly FitPoint[]) => {
    const count = points.length;
    const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
    const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / count;
    const squares = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
    const products = points.reduce((sum, { size, cost }) => sum + (size - meanSize) * (cost - meanCost), 0);
    const slope = products / squares;
    return { slope, intercept: meanCost - slope * meanSize };
};

/**
 * Fits a line by least squares. Needs at least three sizes.
 *
 * @example
 * leastSquares([{ size: 1, cost: 3 }, { size: 2, cost: 5 }, { size: 3, cost: 7 }]).slope; // 2
 */
export const leastSquares = (measured: readonly FitPoint[]): LinearFit => {
    const points = [...measured].sort((a, b) => a.size - b.size);
    const { slope, intercept } = lineOf(points);
    const squares = points.reduce((sum, { size, cost }) => sum + (cost - slope * size - intercept) ** 2, 0);
    const largest = points[points.length - 1];
    const smaller = lineOf(points.slice(0, -1));
    const expected = smaller.slope * largest.size + smaller.intercept;
    return {
        points,
        slope,
        intercept,
        residual: Math.sqrt(squares / points.length),
        // Avoids 0 / 0 when the cost is 0 at every size.
        excessAtLargest: largest.cost === expected ? 0 : (largest.cost - expected) / Math.abs(largest.cost),
    };
};
