import type { Clock } from "../runtime/clock.js";

/**
 * Since when the platform's list has not shown instances. The list lags, so a single look at it proves nothing.
 *
 * @example
 * unlisted.follow("a1", live.has("a1"));
 * unlisted.isLongerThan("a1", 2_200);
 */
export class UnlistedTimes {
    private readonly since = new Map<string, number>();

    constructor(private readonly clock: Clock) {}

    /** Notes whether the list shows an instance as live now. */
    follow(name: string, isListed: boolean): void {
        if (isListed) {
            this.since.delete(name);
        } else if (!this.since.has(name)) {
            this.since.set(name, this.clock.monotonicMs());
        }
    }

    /** Whether the list has not shown an instance for a time in milliseconds. */
    isLongerThan(name: string, durationMs: number): boolean {
        return this.clock.monotonicMs() - (this.since.get(name) ?? Infinity) >= durationMs;
    }

    clear(): void {
        this.since.clear();
    }
}
