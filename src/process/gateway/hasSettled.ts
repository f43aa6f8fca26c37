import type { DirectoryTarget } from "./targetDirectory.js";

/** Time without a new target before keys are assigned for the first time, in milliseconds. */
const SETTLING_MS = 1_000;
/** Minimum time from the first target to the first assignment, in which other targets can register, in milliseconds. */
const FIRST_ASSIGNMENT_MS = 2_500;

/**
 * Whether most targets are likely to have registered; keys would have to be moved to those that register later.
 *
 * @param now monotonic time in milliseconds
 *
 * @example
 * hasSettled([{ ...target, seenAt: 1_000 }, { ...target, seenAt: 2_000 }], 3_501); // true
 */
export const hasSettled = (targets: readonly Pick<DirectoryTarget, "seenAt">[], now: number): boolean => {
    const times = targets.map(({ seenAt }) => seenAt);
    return now - Math.max(...times) > SETTLING_MS && now - Math.min(...times) > FIRST_ASSIGNMENT_MS;
};
