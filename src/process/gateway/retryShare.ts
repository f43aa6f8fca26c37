/**
 * Ratio of retries to requests. It is half of what targets tolerate, since a burst may also spend retries that were saved up
 * in the quiet time before it.
 */
export const RETRY_SHARE = 0.1;
/** Minimum retry budget of an instance; small, because every instance has it. */
export const MIN_RETRIES = 1;
/** Retries that accrue per second without requests, up to `MIN_RETRIES`. */
export const IDLE_RETRIES_PER_SECOND = 0.1;
