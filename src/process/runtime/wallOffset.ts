import type { Clock } from "./clock.js";

/** Change of the wall clock against the monotonic clock that is treated as a suspension of the machine, in milliseconds. */
export const SUSPENSION_MS = 250;

/**
 * Wall time minus monotonic time, in milliseconds. It grows by the duration of a suspension, in which the monotonic clock
 * stands still, and changes when the wall clock is set.
 *
 * @example
 * const before = wallOffsetMs(clock);
 * Math.abs(wallOffsetMs(clock) - before) > SUSPENSION_MS; // true after a suspension
 */
export const wallOffsetMs = (clock: Clock): number => clock.wallMs() - clock.monotonicMs();
