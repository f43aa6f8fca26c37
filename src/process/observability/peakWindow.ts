const WINDOW_SECONDS = 60;

/**
 * Counts requests, and answers within the deadline, for each second of the last minute. Computes the share of requests
 * answered in time for the second with the most requests. An answer counts for the second in which its request arrived.
 *
 * @example
 * const arrivedAt = clock.monotonicMs();
 * window.arrived(arrivedAt);
 * window.answeredInTime(arrivedAt);
 * gauge.set(window.ratioAtPeak(clock.monotonicMs()));
 */
export class PeakWindow {
    private readonly seconds = new Float64Array(WINDOW_SECONDS).fill(-1);
    private readonly requests = new Uint32Array(WINDOW_SECONDS);
    private readonly inTime = new Uint32Array(WINDOW_SECONDS);

    /** Counts a request that arrived at a monotonic time in milliseconds. */
    arrived(arrivedAtMs: number): void {
        const second = Math.floor(arrivedAtMs / 1000);
        const index = second % WINDOW_SECONDS;
        if (this.seconds[index] !== second) {
            this.seconds[index] = second;
            this.requests[index] = 0;
            this.inTime[index] = 0;
        }
        this.requests[index]++;
    }

    /** Counts an answer within the deadline to a request that arrived at `arrivedAtMs`. */
    answeredInTime(arrivedAtMs: number): void {
        const second = Math.floor(arrivedAtMs / 1000);
        const index = second % WINDOW_SECONDS;
        if (this.seconds[index] === second) {
            this.inTime[index]++;
        }
    }

    /** Share answered in time in the busiest completed second of the last minute; 1 if there were no requests. */
    ratioAtPeak(nowMs: number): number {
        const currentSecond = Math.floor(nowMs / 1000);
        let peak = -1;
        for (let index = 0; index < WINDOW_SECONDS; index++) {
            const age = currentSecond - this.seconds[index];
            const isInWindow = this.seconds[index] >= 0 && age > 0 && age < WINDOW_SECONDS;
            if (isInWindow && (peak === -1 || this.requests[index] > this.requests[peak])) {
                peak = index;
            }
        }
        return peak === -1 ? 1 : this.inTime[peak] / this.requests[peak];
    }
}
