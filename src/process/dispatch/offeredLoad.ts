import type { Clock } from "../runtime/clock.js";

/**
 * Exponentially decaying average of the offered work per unit of time. Milliseconds of service per millisecond equal
 * the number of slots that the work keeps busy.
 *
 * @example
 * const load = new OfferedLoad(clock, 2_000);
 * load.add(9); // a request that takes 9 ms
 * load.slots();
 */
export class OfferedLoad {
    private work = 0;
    private updatedAt: number;

    /** @param windowMs time constant of the average in milliseconds */
    constructor(
        private readonly clock: Clock,
        private readonly windowMs: number,
    ) {
        this.updatedAt = clock.monotonicMs();
    }

    /** Adds work, in milliseconds of service time. */
    add(serviceMs: number): void {
        this.decay();
        this.work += serviceMs;
    }

    /** Average number of slots that the offered work keeps busy. */
    slots(): number {
        this.decay();
        return this.work / this.windowMs;
    }

    private decay(): void {
        const now = this.clock.monotonicMs();
        if (now > this.updatedAt) {
            this.work *= Math.exp((this.updatedAt - now) / this.windowMs);
            this.updatedAt = now;
        }
    }
}
