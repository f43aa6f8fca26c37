import type { Clock, TimerCancellation } from "./clock.js";

/** Time between two wake-ups of a coarse clock, in milliseconds. */
export const DEFAULT_COARSE_TICK_MS = 50;

/**
 * A clock whose timers fire together at common ticks, each at the tick nearest to its time. A wake-up of an idle process
 * costs about 0.1 ms of CPU time whatever is done in it, so periodic work that needs no exact time shares wake-ups. No
 * tick without a timer wakes the process.
 *
 * @example
 * const coarse = new CoarseClock(systemClock, 50);
 * store.add(repeat(coarse, 100, () => poller.tick()));
 */
export class CoarseClock implements Clock {
    /** Callbacks by the number of their tick. */
    private readonly due = new Map<number, Set<() => void>>();
    private armed: { tick: number; cancel: TimerCancellation } | undefined;

    constructor(
        private readonly clock: Clock,
        private readonly tickMs: number = DEFAULT_COARSE_TICK_MS,
    ) {}

    monotonicMs(): number {
        return this.clock.monotonicMs();
    }

    wallMs(): number {
        return this.clock.wallMs();
    }

    setTimer(delayMs: number, callback: () => void): TimerCancellation {
        const now = this.clock.monotonicMs();
        const tick = Math.max(Math.floor(now / this.tickMs) + 1, Math.round((now + delayMs) / this.tickMs));
        // One entry per timer: the same function may wait twice.
        const entry = () => callback();
        const entries = this.due.get(tick) ?? new Set();
        this.due.set(tick, entries.add(entry));
        this.arm();
        return () => {
            entries.delete(entry);
            if (entries.size === 0 && this.due.get(tick) === entries) {
                this.due.delete(tick);
                this.arm();
            }
        };
    }

    /** Sets the timer to the earliest tick that has callbacks. */
    private arm(): void {
        const tick = this.due.size === 0 ? undefined : Math.min(...this.due.keys());
        if (tick === this.armed?.tick) {
            return;
        }
        this.armed?.cancel();
        this.armed = undefined;
        if (tick !== undefined) {
            const delayMs = Math.max(0, tick * this.tickMs - this.clock.monotonicMs());
            // Rounded up, since timers drop fractions of milliseconds and would fire before the tick.
            this.armed = { tick, cancel: this.clock.setTimer(Math.ceil(delayMs), () => this.fire(tick)) };
        }
    }

    private fire(tick: number): void {
        this.armed = undefined;
        const reached = Math.max(tick, Math.floor(this.clock.monotonicMs() / this.tickMs));
        const ticks = [...this.due.keys()].filter(one => one <= reached).sort((a, b) => a - b);
        try {
            for (const one of ticks) {
                const entries = this.due.get(one) ?? new Set();
                this.due.delete(one);
                for (const entry of entries) {
                    // Removed first, so that a cancellation during the callbacks has an effect on the rest only.
                    entries.delete(entry);
                    entry();
                }
            }
        } finally {
            this.arm();
        }
    }
}
