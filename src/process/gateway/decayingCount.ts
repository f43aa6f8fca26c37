/**
 * Count of recent events: each one counts half after every half-life.
 *
 * @example
 * const sends = new DecayingCount(3_000);
 * sends.add(now);
 * sends.at(now + 3_000); // 0.5
 */
export class DecayingCount {
    private sum = 0;
    private countedAt = 0;

    constructor(private readonly halfLifeMs: number) {}

    add(now: number, events = 1): void {
        this.sum = this.at(now) + events;
        this.countedAt = now;
    }

    /** The count at a monotonic time in milliseconds. */
    at(now: number): number {
        return this.sum === 0 ? 0 : this.sum * 2 ** ((this.countedAt - now) / this.halfLifeMs);
    }

    /** Time in milliseconds in which as many events occur at a constant rate as the count shows. */
    get windowMs(): number {
        return this.halfLifeMs / Math.LN2;
    }
}
