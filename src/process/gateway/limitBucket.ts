import type { Clock } from "../runtime/clock.js";

/** Time whose requests may be saved up while nobody asks, in seconds. */
const BURST_S = 1;
/** Time after which a refused caller isn't expected to return, in seconds. */
const MAX_TURN_S = 5;

/** Whether a request may be sent now, and otherwise when it could be. Times are in milliseconds. */
export type LimitDecision =
    | { type: "admitted" }
    | {
          type: "refused";
          /** Time until the next request can be admitted. */
          freeInMs: number;
          /** Time until this caller's turn, behind those that were refused before it. */
          retryAfterMs: number;
      };

/**
 * Meters the requests to a target that has stated a limit: a token bucket that starts empty, so that buckets that follow each
 * other admit no more than one. In a window of `t` seconds it admits at most `perSecond * t` requests and one burst, which is
 * `perSecond`, or 1 if that is more.
 *
 * Refused callers get consecutive turns, because the limit couldn't serve them together.
 *
 * @example
 * const bucket = new LimitBucket(clock, 2);
 * bucket.take(); // { type: "refused", freeInMs: 500, retryAfterMs: 500 }
 */
export class LimitBucket {
    private tokens = 0;
    /** Refused callers whose turn has not come. */
    private waiting = 0;
    private updatedAt: number;

    /**
     * @param rate limit in requests per second
     * @param maxBurst number of requests that may be saved up; by default those of a second
     */
    constructor(
        private readonly clock: Clock,
        private rate: number,
        private maxBurst?: number,
    ) {
        this.updatedAt = clock.monotonicMs();
    }

    get perSecond(): number {
        return this.rate;
    }

    /** Whether callers were refused whose turn has not come. */
    isExceeded(): boolean {
        this.update();
        return this.waiting >= 1;
    }

    /** Applies a changed limit from now on. */
    setRate(perSecond: number, maxBurst?: number): void {
        this.update();
        this.rate = perSecond;
        this.maxBurst = maxBurst;
        this.tokens = Math.min(this.tokens, this.burst());
    }

    /** Counts callers that were refused elsewhere. */
    addRefused(count: number): void {
        this.waiting = Math.min(this.rate * MAX_TURN_S, this.waiting + count);
    }

    take(): LimitDecision {
        this.update();
        if (this.tokens >= 1) {
            this.tokens--;
            return { type: "admitted" };
        }
        const msPerRequest = 1_000 / this.rate;
        const freeInMs = (1 - this.tokens) * msPerRequest;
        const retryAfterMs = freeInMs + this.waiting * msPerRequest;
        this.addRefused(1);
        return { type: "refused", freeInMs, retryAfterMs };
    }

    /** Returns what `take` has just admitted, because the request isn't sent. */
    giveBack(): void {
        this.tokens = Math.min(this.burst(), this.tokens + 1);
    }

    private burst(): number {
        return this.maxBurst ?? Math.max(1, this.rate * BURST_S);
    }

    private update(): void {
        const now = this.clock.monotonicMs();
        const earned = ((now - this.updatedAt) / 1_000) * this.rate;
        this.updatedAt = now;
        this.tokens = Math.min(this.burst(), this.tokens + earned);
        this.waiting = Math.max(0, this.waiting - earned);
    }
}
