import type { Clock } from "../../src/process/runtime/clock.js";
import type { ManualClock } from "./manualClock.js";

/** Difference in milliseconds below which times of the two clocks are the same. */
const ROUNDING_MS = 0.001;

/** A freeze stops a process. A suspension also stops its monotonic clock. */
export type Freeze = "freeze" | "suspension";

/**
 * The clock of one process on a clock that several share. While the process is frozen, none of its timers fires and no answer
 * reaches it; they follow when it resumes. After its end nothing follows.
 *
 * @example
 * const clock = new FreezableClock(shared);
 * clock.freeze("suspension");
 */
export class FreezableClock implements Clock {
    /** Shared time in milliseconds at which the process last resumed. */
    resumedAt = -Infinity;
    private frozenBy: Freeze | undefined;
    private frozenAt = 0;
    /** Time that the monotonic clock hasn't counted, in milliseconds. */
    private uncountedMs = 0;
    private wallShiftMs = 0;
    private isEnded = false;
    private readonly waiting: (() => void)[] = [];

    constructor(private readonly shared: ManualClock) {}

    get isFrozen(): boolean {
        return this.frozenBy !== undefined;
    }

    get hasEnded(): boolean {
        return this.isEnded;
    }

    monotonicMs(): number {
        const now = this.frozenBy === "suspension" ? this.frozenAt : this.shared.monotonicMs();
        return now - this.uncountedMs;
    }

    wallMs(): number {
        return this.shared.wallMs() + this.wallShiftMs;
    }

    shiftWall(byMs: number): void {
        this.wallShiftMs += byMs;
    }

    setTimer(delayMs: number, callback: () => void): () => void {
        // A shorter delay could leave the time as it is, and a caller that sets such timers again would never end.
        const delay = delayMs > 0 ? Math.max(delayMs, 2 * ROUNDING_MS) : 0;
        const at = this.monotonicMs() + delay;
        let isCancelled = false;
        const fire = () => {
            if (isCancelled) {
                return;
            }
            const leftMs = at - this.monotonicMs();
            if (leftMs > ROUNDING_MS) {
                this.shared.setTimer(leftMs, () => this.deliver(fire));
            } else {
                isCancelled = true;
                callback();
            }
        };
        this.shared.setTimer(delay, () => this.deliver(fire));
        return () => {
            isCancelled = true;
        };
    }

    /** Runs what reaches the process from outside: now, when it resumes, or never if it has ended. */
    deliver(callback: () => void): void {
        if (this.isEnded) {
            return;
        }
        if (this.isFrozen) {
            this.waiting.push(callback);
        } else {
            callback();
        }
    }

    freeze(kind: Freeze): void {
        if (!this.isFrozen) {
            this.frozenBy = kind;
            this.frozenAt = this.shared.monotonicMs();
        }
    }

    resume(): void {
        const now = this.shared.monotonicMs();
        if (this.frozenBy === "suspension") {
            this.uncountedMs += now - this.frozenAt;
        }
        if (this.isFrozen) {
            this.resumedAt = now;
        }
        this.frozenBy = undefined;
        // One after the other, so that each one's consequences settle before the next.
        this.waiting.splice(0).forEach(callback => this.shared.setTimer(0, () => this.deliver(callback)));
    }

    /** Ends the process. */
    end(): void {
        this.isEnded = true;
        this.waiting.splice(0);
    }
}
