const SECONDS = 60;

/**
 * Counts requests and answers within their deadline per second of the last minute, and tells the share of the second
 * with the most requests. An answer counts for the second in which its request arrived.
 *
 * @example
 * const arrivedAt = clock.monotonicMs();
 * window.arrived(arrivedAt);
 * window.answeredInTime(arrivedAt);
 * gauge.set(window.ratioAtPeak(clock.monotonicMs()));
 */
export class PeakWindow {
    private readonly seconds = new Float64Array(SECONDS).fill(-1);
    private readonly requests = new Uint32Array(SECONDS);
    private readonly inTime = new Uint32Array(SECONDS);

    /** Counts a request that arrived at a monotonic time in milliseconds. */
    arrived(arrivedAtMs: number): void {
        const second = Math.floor(arrivedAtMs / 1000);
        const index = second % SECONDS;
        if (this.seconds[index] !== second) {
            this.seconds[index] = second;
            this.requests[index] = 0;
            this.inTime[index] = 0;
        }
        this.requests[index]++;
    }

    /** Counts an answer within its deadline to a request that arrived then. */
    answeredInTime(arrivedAtMs: number): void {
        const second = Math.floor(arrivedAtMs / 1000);
        const index = second % SECONDS;
        if (this.seconds[index] === second) {
            this.inTime[index]++;
        }
    }

    /** Share of the busiest finished second of the last minute; 1 when there were no requests. */
    ratioAtPeak(nowMs: number): number {
        const present = Math.floor(nowMs / 1000);
        let peak = -1;
        for (let index = 0; index < SECONDS; index++) {
            const age = present - this.seconds[index];
            const counts = this.seconds[index] >= 0 && age > 0 && age < SECONDS;
            if (counts && (peak === -1 || this.requests[index] > this.requests[peak])) {
                peak = index;
            }
        }
        return peak === -1 ? 1 : this.inTime[peak] / this.requests[peak];
    }
}
