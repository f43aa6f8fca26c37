import { RetryBudget } from "../dispatch/retryBudget.js";
import type { Clock } from "../runtime/clock.js";
import type { RetryLimit } from "./retryLimit.js";

/**
 * Creates an instance's retry budget for a service, which keeps the limit without knowledge of the other instances. A request
 * earns half of `ratio`, and an earned retry expires after half a window. The retries of a window are therefore earned by
 * the requests of at most one and a half windows. If reading a request late and sending its retry late take less than the
 * other half, these requests lie in the window and the one before it, whose larger one allows as many retries.
 *
 * @param random returns a number in [0, 1)
 *
 * @example
 * const budget = createRetryBudget(clock, { ratio: 0.2, windowMs: 10_000 });
 */
export const createRetryBudget = (clock: Clock, { ratio, windowMs }: RetryLimit, random = Math.random): RetryBudget =>
    new RetryBudget(clock, { share: ratio / 2, validityMs: windowMs / 2, minimum: 0, random });
