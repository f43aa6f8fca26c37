import type { TimerCancellation } from "../process/runtime/clock.js";

/**
 * Requests that wait for one of a limited number of connections, in their order. A connection that becomes free is reserved for
 * the first of them until the request has used it or given it up, so that later requests don't take it.
 *
 * @example
 * const leave = queue.join(() => setImmediate(() => sendAndThen(leave)));
 */
export class ConnectionQueue {
    private readonly waiting: (() => void)[] = [];
    private reserved = 0;

    /** @param freeCount number of connections on which a request could be sent now */
    constructor(private readonly freeCount: () => number) {}

    /** Number of requests that wait. */
    get size(): number {
        return this.waiting.length;
    }

    /** Whether a request that hasn't waited can be sent now. */
    hasFree(): boolean {
        return this.freeCount() > this.reserved;
    }

    /**
     * Adds a request to the end. `callback` is called when a connection is reserved for it, and must not send at once.
     *
     * @returns takes the request out, and ends its reservation
     */
    join(callback: () => void): TimerCancellation {
        const entry = () => callback();
        this.waiting.push(entry);
        let hasLeft = false;
        return () => {
            if (hasLeft) {
                return;
            }
            hasLeft = true;
            const index = this.waiting.indexOf(entry);
            if (index >= 0) {
                this.waiting.splice(index, 1);
            } else {
                this.reserved--;
                this.serve();
            }
        };
    }

    /** Reserves the connections that are free for the first requests. */
    serve(): void {
        while (this.waiting.length > 0 && this.hasFree()) {
            this.reserved++;
            this.waiting.shift()?.();
        }
    }
}
