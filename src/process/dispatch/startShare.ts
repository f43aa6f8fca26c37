/** A lower priority with waiting requests gets one of this many starts, so that higher priorities can't starve it. */
export const STARTS_PER_LOWER_START = 10;

/**
 * Whether a lower priority with waiting requests gets the next start.
 *
 * @param higherStarts starts of higher priorities since the last one of this priority, counted while its requests wait
 *
 * @example
 * isLowerStartDue(9); // true
 */
export const isLowerStartDue = (higherStarts: number): boolean => higherStarts >= STARTS_PER_LOWER_START - 1;
