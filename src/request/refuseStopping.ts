import { refuse, type Refusal } from "./refusal.js";

/** Retry pause that a stopping instance gives callers, in seconds; other instances can serve them immediately. */
const STOPPING_PAUSE_S = 0.1;

/**
 * Refuses a request that hasn't run because its instance stops.
 *
 * @example
 * reply.refuse(refuseStopping());
 */
export const refuseStopping = (): Refusal => refuse("shutting-down", "The instance is stopping.", STOPPING_PAUSE_S);
