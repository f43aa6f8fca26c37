/**
 * Limit on retries: in any window, all instances together may send at most `ratio` times the requests of a service to
 * further targets. The requests are those of the window or of one that ends up to a window earlier.
 */
export interface RetryLimit {
    ratio: number;
    windowMs: number;
}
