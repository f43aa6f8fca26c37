import { repeat, type Clock, type TimerCancellation } from "./clock.js";

/** Time between two readings of the clock, in milliseconds. */
export const DEFAULT_READING_PERIOD_MS = 100;
/** Longest gap between two readings that counts as running, in milliseconds: a busy event loop, not a halted process. */
export const DEFAULT_LONGEST_RUNNING_GAP_MS = 250;

/**
 * Time for which this process has run. After the process was paused or got no CPU time, what others sent meanwhile is
 * still unread, so their silence is judged by this time and not by the clock. It only ever lengthens the wait for others;
 * leases and promises are counted by the clock.
 *
 * @example
 * const running = new RunningTime(clock);
 * const heardAt = running.ms();
 * running.ms() - heardAt; // at most 250 right after a pause of 3 s
 */
export class RunningTime {
    private lastReadAt: number;
    private halted = 0;
    private readonly cancel: TimerCancellation;

    constructor(
        private readonly clock: Clock,
        /** Clock of the periodic readings. */
        readings: Clock = clock,
        private readonly longestGapMs: number = DEFAULT_LONGEST_RUNNING_GAP_MS,
    ) {
        this.lastReadAt = clock.monotonicMs();
        this.cancel = repeat(readings, DEFAULT_READING_PERIOD_MS, () => void this.ms());
    }

    /** Milliseconds that never run backwards; comparable only with other readings of this object. */
    ms(): number {
        const now = this.clock.monotonicMs();
        this.halted += Math.max(0, now - this.lastReadAt - this.longestGapMs);
        this.lastReadAt = now;
        return now - this.halted;
    }

    dispose(): void {
        this.cancel();
    }
}
