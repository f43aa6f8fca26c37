/**
 * Retries as a share of requests. Half of what targets put up with, since a burst may use what the quiet time before it
 * has saved.
 */
export const RETRY_SHARE = 0.1;
/** Retries that an instance has at least; small, as all instances have them. */
export const MINIMUM_RETRIES = 1;
/** Retries that accrue a second without requests, up to the least number. */
export const IDLE_RETRIES_PER_SECOND = 0.1;
