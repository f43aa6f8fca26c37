import { seededRandom } from "./seededRandom.js";

/** Seeded random numbers, which make the results of an experiment reproducible. */
export interface RandomNumbers {
    /** Uniform in [0, 1). */
    uniform(): number;
    /** Exponential with mean 1. */
    exponential(): number;
}

/**
 * Creates a generator of seeded random numbers.
 *
 * @example
 * const random = randomNumbers(7);
 * const gapMs = random.exponential() * meanGapMs;
 */
export const randomNumbers = (seed: number): RandomNumbers => {
    // Multiplies the seed, so that adjacent seeds give unrelated sequences.
    const uniform = seededRandom(Math.imul(seed, 0x9e3779b9));
    return { uniform, exponential: () => -Math.log(1 - uniform()) };
};
