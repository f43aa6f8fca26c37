/** Cancels a timer that has not fired yet. */
export type TimerCancellation = () => void;

/**
 * Source of time and timers. Everything that decides by time takes one, so that tests can drive it by hand.
 *
 * @example
 * const started = clock.monotonicMs();
 * const cancel = clock.setTimer(250, () => renew());
 */
export interface Clock {
    /** Milliseconds that never run backwards; comparable only within this process. */
    monotonicMs(): number;
    /** Milliseconds since the Unix epoch; may jump. */
    wallMs(): number;
    /** Runs `callback` once after `delayMs` milliseconds. */
    setTimer(delayMs: number, callback: () => void): TimerCancellation;
}

/** The clock of the running process. Its timers don't keep the process alive. */
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
 * Calls `callback` every `periodMs` milliseconds until cancelled. The period counts from the end of a call.
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
