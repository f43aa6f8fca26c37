import type { Clock, TimerCancellation } from "../../src/process/runtime/clock.js";

/**
 * A clock that advances in whole milliseconds on request. Setting and firing a timer take constant time, so that replays may have
 * thousands of timers at once; with `ManualClock` each timer costs as much as there are others.
 */
export class TickClock implements Clock {
    private now = 0;
    private readonly due = new Map<number, { callback: () => void; isCancelled: boolean }[]>();

    monotonicMs(): number {
        return this.now;
    }

    wallMs(): number {
        return this.now + 1_800_000_000_000;
    }

    setTimer(delayMs: number, callback: () => void): TimerCancellation {
        const at = Math.max(this.now + 1, Math.ceil(this.now + delayMs));
        const timer = { callback, isCancelled: false };
        const timers = this.due.get(at);
        if (timers === undefined) {
            this.due.set(at, [timer]);
        } else {
            timers.push(timer);
        }
        return () => {
            timer.isCancelled = true;
        };
    }

    /** Advances and fires the timers that become due. */
    advance(byMs: number): void {
        const end = this.now + byMs;
        while (this.now < end) {
            this.now++;
            const timers = this.due.get(this.now) ?? [];
            this.due.delete(this.now);
            for (const timer of timers) {
                if (!timer.isCancelled) {
                    timer.callback();
                }
            }
        }
    }
}
