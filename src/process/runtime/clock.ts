/** Cancels a timer that has not fired yet. */
export type TimerCancellation = () => void;

/**
 * Source of time and timers. Code that depends on time takes a clock as an argument, so that tests can control it.
 *
 * @example
 * const started = clock.monotonicMs();
 * const cancel = clock.setTimer(250, () => renew());
 */
export interface Clock {
    /** Monotonic time in milliseconds; comparable only within this process. */
    monotonicMs(): number;
    /** Milliseconds since the Unix epoch; may jump in either direction. */
    wallMs(): number;
    /** Runs `callback` once after `delayMs` milliseconds. */
    setTimer(delayMs: number, callback: () => void): TimerCancellation;
}

/** System clock. Its timers don't keep the process alive. */
export const systemClock: Clock = {
    monotonicMs: () => performance.now(),
    wallMs: () => Date.now(),
    setTimer: (delayMs, callback) => {
        const timer = setTimeout(callback, delayMs);
        timer.unref();
        return () => clearTimeout(timer);
    },
};

/**
 * Calls `callback` every `periodMs` milliseconds until cancelled. The period starts at the end of the previous call.
 *
 * @example
 * store.add(repeat(clock, 200, () => sendHeartbeats()));
 */
export const repeat = (clock: Clock, periodMs: number, callback: () => void | Promise<void>): TimerCancellation => {
    let cancelled = false;
    let cancelTimer: TimerCancellation = () => undefined;
    const schedule = () => {
        if (cancelled) {
            return;
        }
        cancelTimer = clock.setTimer(periodMs, () => {
            void Promise.resolve(callback()).finally(schedule);
        });
    };
    schedule();
    return () => {
        cancelled = true;
        cancelTimer();
    };
};
