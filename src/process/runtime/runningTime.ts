import { repeat, type Clock, type TimerCancellation } from "./clock.js";

/** Interval between samples of the clock, in milliseconds. */
export const SAMPLING_PERIOD_MS = 100;
/**
 * Maximum gap between two samples that counts as running time, in milliseconds. A gap up to this is attributed to a busy
 * event loop; the excess of a longer one is attributed to a halted process.
 */
export const DEFAULT_MAX_RUNNING_GAP_MS = 250;

/**
 * Time for which this process has run. After the process was paused or got no CPU time, messages that arrived meanwhile
 * are still unread, so timeouts for the silence of others use this time instead of the clock. This can only lengthen
 * such timeouts; leases and promises use the clock.
 *
 * @example
 * const running = new RunningTime(clock);
 * const lastReplyAt = running.ms();
 * running.ms() - lastReplyAt; // at most 250 right after a pause of 3 s
 */
export class RunningTime {
    private lastSampledAt: number;
    private haltedMs = 0;
    private readonly cancel: TimerCancellation;

    constructor(
        private readonly clock: Clock,
        /** Clock whose timers take the periodic samples. */
        samplingClock: Clock = clock,
        private readonly maxGapMs: number = DEFAULT_MAX_RUNNING_GAP_MS,
    ) {
        this.lastSampledAt = clock.monotonicMs();
        this.cancel = repeat(samplingClock, SAMPLING_PERIOD_MS, () => void this.ms());
    }

    /** Monotonic running time in milliseconds; comparable only with other values of this object. */
    ms(): number {
        const now = this.clock.monotonicMs();
        this.haltedMs += Math.max(0, now - this.lastSampledAt - this.maxGapMs);
        this.lastSampledAt = now;
        return now - this.haltedMs;
    }

    dispose(): void {
        this.cancel();
    }
}
