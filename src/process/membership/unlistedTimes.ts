import type { Clock } from "../runtime/clock.js";

/**
 * Since when instances have been missing from the platform's instance list. The list lags behind, so a single read of
 * it proves nothing.
 *
 * @example
 * unlisted.update("a1", live.has("a1"));
 * unlisted.isLongerThan("a1", 2_200);
 */
export class UnlistedTimes {
    private readonly since = new Map<string, number>();

    constructor(private readonly clock: Clock) {}

    /** Records whether the list currently shows an instance as live. */
    update(name: string, isListed: boolean): void {
        if (isListed) {
            this.since.delete(name);
        } else if (!this.since.has(name)) {
            this.since.set(name, this.clock.monotonicMs());
        }
    }

    /** Whether the list hasn't shown an instance for at least `durationMs`. */
    isLongerThan(name: string, durationMs: number): boolean {
        return this.clock.monotonicMs() - (this.since.get(name) ?? Infinity) >= durationMs;
    }

    clear(): void {
        this.since.clear();
    }
}
