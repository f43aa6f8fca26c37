/**
 * Time after the deadline for which a target may still run a request that can't be repeated and whose caller has gone, in
 * milliseconds.
 */
export const RUN_OUT_MS = 1_000;
/** Maximum idle time of a connection that is used for a request that can't be repeated, in milliseconds. */
const NON_IDEMPOTENT_MAX_IDLE_MS = 3_000;
/** Maximum idle time of a connection that is used for a request that can be repeated, in milliseconds. */
const IDEMPOTENT_MAX_IDLE_MS = 8_000;

/**
 * Maximum idle time of a connection to a target that is used for a request, in milliseconds. The target may be about to close it,
 * and a request that can't be repeated is lost then.
 *
 * @example
 * connections.send(request, answer, { fresh: false, maxIdleMs: maxIdleMs(true) });
 */
export const maxIdleMs = (isIdempotent: boolean): number =>
    isIdempotent ? IDEMPOTENT_MAX_IDLE_MS : NON_IDEMPOTENT_MAX_IDLE_MS;
