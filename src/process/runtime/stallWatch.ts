import { repeat, type Clock, type TimerCancellation } from "./clock.js";

/** Interval of the checks for stalls, in milliseconds. */
const CHECK_PERIOD_MS = 250;
/** Delay of a check from which on the event loop counts as stalled, in milliseconds. */
const MIN_STALL_MS = 150;
/** Time after a stall in which input that arrived during it may still be read, in milliseconds. */
const BACKLOG_MS = 1_000;

/**
 * Watches the event loop for stalls, during which input waits unread in the sockets.
 *
 * @example
 * const watch = new StallWatch(clock, stallMs => logger.warn("The process stalled.", { stallMs }));
 * store.add(watch.start());
 * const ageMs = clock.monotonicMs() - watch.unreadSince();
 */
export class StallWatch {
    private checkedAt: number;
    private stall = { from: -Infinity, until: -Infinity };

    constructor(
        private readonly clock: Clock,
        private readonly stalled: (stallMs: number) => void,
    ) {
        this.checkedAt = clock.monotonicMs();
    }

    start(): TimerCancellation {
        this.checkedAt = this.clock.monotonicMs();
        return repeat(this.clock, CHECK_PERIOD_MS, () => this.check());
    }

    /** Monotonic time in milliseconds since which input that is read now may have waited. */
    unreadSince(): number {
        const now = this.clock.monotonicMs();
        if (this.isStall(now)) {
            return this.checkedAt;
        }
        return now - this.stall.until <= BACKLOG_MS ? this.stall.from : now;
    }

    private check(): void {
        const now = this.clock.monotonicMs();
        if (this.isStall(now)) {
            this.stall = { from: this.checkedAt, until: now };
            this.stalled(now - this.checkedAt);
        }
        this.checkedAt = now;
    }

    private isStall(now: number): boolean {
        return now - this.checkedAt > CHECK_PERIOD_MS + MIN_STALL_MS;
    }
}
