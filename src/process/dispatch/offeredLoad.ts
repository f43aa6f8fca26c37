import type { Clock } from "../runtime/clock.js";

/**
 * Work offered per time, as an exponentially decaying average. Work in milliseconds of service per millisecond is the
 * number of slots that the work keeps busy.
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

    /** Adds work in milliseconds of service. */
    add(serviceMs: number): void {
        this.decay();
        this.work += serviceMs;
    }

    /** Slots that the offered work keeps busy on average. */
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
