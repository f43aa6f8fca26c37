/** Number of fencing tokens in each era of the store. */
const TOKENS_PER_ERA = 2 ** 32;

/**
 * The fencing token after the highest known one. A store that was restored from a copy has lost the latest tokens, so those of
 * each era are above all of earlier eras.
 *
 * @example
 * nextToken(7, 0); // 8
 * nextToken(7, 1); // 4294967297
 */
export const nextToken = (highest: number, era: number): number => Math.max(highest, era * TOKENS_PER_ERA) + 1;

/**
 * The era of the store in which a fencing token was given out.
 *
 * @example
 * eraOfToken(nextToken(7, 1)); // 1
 */
export const eraOfToken = (token: number): number => Math.floor(token / TOKENS_PER_ERA);
