/** Time for which a stopping instance still accepts requests, in milliseconds; the balancer needs it to notice the state. */
const BALANCER_NOTICE_MS = 3_000;
/** Maximum part of the grace period in which requests are accepted, so that there is time for their answers. */
const ACCEPTING_SHARE = 0.6;
/** Part of the grace period at its end in which the last answers are delivered, also over slow links. */
const DELIVERY_SHARE = 0.1;

/** Times of a stop, in milliseconds after its beginning. */
export interface StopSchedule {
    /** Time for which requests are accepted. */
    acceptsForMs: number;
    /** Time until which targets may answer. Then each request gets a final answer. */
    answersForMs: number;
    /** Time at which the process ends at the latest, also while answers are being forwarded. */
    endsAfterMs: number;
}

/**
 * Divides the grace period of a stop. Callers with long deadlines would still be waiting at its end, so requests whose targets
 * haven't answered get their final answer shortly before.
 *
 * @param graceMs time allowed for the stop, in milliseconds
 *
 * @example
 * stopSchedule(10_000); // { acceptsForMs: 3000, answersForMs: 9000, endsAfterMs: 10000 }
 */
export const stopSchedule = (graceMs: number): StopSchedule => ({
    acceptsForMs: Math.min(BALANCER_NOTICE_MS, graceMs * ACCEPTING_SHARE),
    answersForMs: graceMs * (1 - DELIVERY_SHARE),
    endsAfterMs: graceMs,
});
