import type { Clock, TimerCancellation } from "./clock.js";

/** Interval between the ticks of a coarse clock, in milliseconds. */
export const DEFAULT_COARSE_TICK_MS = 50;

/**
 * Clock whose timers fire at common ticks, each at the tick nearest to its due time. A wake-up of an idle process costs
 * about 0.1 ms of CPU time regardless of the work done, so periodic work that needs no exact timing shares wake-ups.
 * Ticks without timers don't wake the process.
 *
 * @example
 * const coarse = new CoarseClock(systemClock, 50);
 * store.add(repeat(coarse, 100, () => poller.tick()));
 */
export class CoarseClock implements Clock {
    /** Callbacks by tick number. */
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
        // A separate function per timer, because the same callback may be scheduled twice.
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

    /** Schedules the underlying timer for the earliest tick with callbacks. */
    private arm(): void {
        const tick = this.due.size === 0 ? undefined : Math.min(...this.due.keys());
        if (tick === this.armed?.tick) {
            return;
        }
        this.armed?.cancel();
        this.armed = undefined;
        if (tick !== undefined) {
            const delayMs = Math.max(0, tick * this.tickMs - this.clock.monotonicMs());
            // Rounded up, because timers truncate fractions of milliseconds and would fire before the tick.
            this.armed = { tick, cancel: this.clock.setTimer(Math.ceil(delayMs), () => this.fire(tick)) };
        }
    }

    private fire(tick: number): void {
        this.armed = undefined;
        const reached = Math.max(tick, Math.floor(this.clock.monotonicMs() / this.tickMs));
        const ticks = [...this.due.keys()].filter(dueTick => dueTick <= reached).sort((a, b) => a - b);
        try {
            for (const dueTick of ticks) {
                const entries = this.due.get(dueTick) ?? new Set();
                this.due.delete(dueTick);
                for (const entry of entries) {
                    // Removed before the call, so that a cancellation by a callback affects only the remaining entries.
                    entries.delete(entry);
                    entry();
                }
            }
        } finally {
            this.arm();
        }
    }
}
