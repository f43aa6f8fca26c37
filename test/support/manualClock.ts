import type { Clock } from "../../src/process/runtime/clock.js";

interface ManualTimer {
    at: number;
    callback: () => void;
}

/** A clock that only advances on request; timers fire in order of their time. */
export class ManualClock implements Clock {
    private now = 0;
    private wallOffset: number;
    private timers: ManualTimer[] = [];

    constructor(startWallMs = 1_800_000_000_000) {
        this.wallOffset = startWallMs;
    }

    monotonicMs(): number {
        return this.now;
    }

    wallMs(): number {
        return this.now + this.wallOffset;
    }

    setTimer(delayMs: number, callback: () => void): () => void {
        const timer = { at: this.now + delayMs, callback };
        this.timers.push(timer);
        return () => {
            this.timers = this.timers.filter(other => other !== timer);
        };
    }

    /** Shifts only the wall clock, as a clock correction does. */
    shiftWall(byMs: number): void {
        this.wallOffset += byMs;
    }

    /** Advances both clocks and fires the timers that become due. */
    advance(byMs: number): void {
        const end = this.now + byMs;
        while (this.fireNext(end)) {
            // All timers up to the end fire.
        }
        this.now = end;
    }

    /** Advances both clocks to the next timer that is due by `end` and fires it alone; `false` if there is none. */
    fireNext(end: number): boolean {
        const due = this.timers.filter(timer => timer.at <= end).sort((a, b) => a.at - b.at)[0];
        if (due === undefined) {
            return false;
        }
        this.timers = this.timers.filter(timer => timer !== due);
        this.now = Math.max(this.now, due.at);
        due.callback();
        return true;
    }
}
