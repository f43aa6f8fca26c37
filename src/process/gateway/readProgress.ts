import type { Clock } from "../runtime/clock.js";

/** A call that reads a table, from its beginning to its answer. */
export interface ReadCall {
    /** Time since the call should have been answered if the path were fast, in milliseconds. */
    ms: number;
    /** Bytes of the answer's body that have arrived. */
    bytes: number;
}

/**
 * Observes the calls that read one table, of which at most one is under way. It shows whether a call without an answer yet
 * receives anything.
 *
 * @example
 * progress.begin(1_500);
 * await store.changes("op", 17, 1_500, signal, progress.received);
 * progress.end(); // { ms: 730, bytes: 612_004 }
 */
export class ReadProgress {
    private expectedAt: number | undefined;
    private bytes = 0;

    constructor(private readonly clock: Clock) {}

    /** Counts further bytes of the answer's body. */
    readonly received = (bytes: number): void => {
        if (this.bytes === 0 && this.expectedAt !== undefined) {
            // A held call has been answered before the end of the hold.
            this.expectedAt = Math.min(this.expectedAt, this.clock.monotonicMs());
        }
        this.bytes += bytes;
    };

    /** Begins a call which the store may hold for `heldMs` milliseconds. */
    begin(heldMs: number): void {
        this.expectedAt = this.clock.monotonicMs() + heldMs;
        this.bytes = 0;
    }

    /** Ends the call under way and returns what it was like. */
    end(): ReadCall {
        const call = this.current;
        this.expectedAt = undefined;
        return call;
    }

    /** The call under way; without one, `ms` is 0 and `bytes` are those of the last one. */
    get current(): ReadCall {
        const { expectedAt, bytes } = this;
        return { ms: expectedAt === undefined ? 0 : Math.max(0, this.clock.monotonicMs() - expectedAt), bytes };
    }
}
