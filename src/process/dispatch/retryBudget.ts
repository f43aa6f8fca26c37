import type { Clock } from "../runtime/clock.js";

/** Maximum number of retries as a share of recent requests. */
export const DEFAULT_RETRY_SHARE = 0.1;
/** Time over which requests count as recent, in milliseconds. */
export const DEFAULT_RETRY_WINDOW_MS = 10_000;
/** Retries available to an idle service, so that an infrequent request can be retried. */
export const DEFAULT_MINIMUM_RETRIES = 10;
/** Retries per second that accrue without any requests, up to `DEFAULT_MINIMUM_RETRIES`. */
const IDLE_RETRIES_PER_SECOND = 1;

/**
 * Token bucket for retries that is refilled by a share of the requests, so that retries can't amplify an overload.
 *
 * @example
 * budget.request(); // for each request of a caller
 * if (budget.take()) { sendAgain(); }
 */
export class RetryBudget {
    private tokens: number;
    /** Exponentially decaying count of the requests of the window. */
    private recent = 0;
    private updatedAt: number;
    private readonly share: number;
    private readonly windowMs: number;
    private readonly minimum: number;
    private readonly idlePerSecond: number;

    constructor(
        private readonly clock: Clock,
        options: { share?: number; windowMs?: number; minimum?: number; idlePerSecond?: number } = {},
    ) {
        this.share = options.share ?? DEFAULT_RETRY_SHARE;
        this.windowMs = options.windowMs ?? DEFAULT_RETRY_WINDOW_MS;
        this.minimum = options.minimum ?? DEFAULT_MINIMUM_RETRIES;
        this.idlePerSecond = options.idlePerSecond ?? IDLE_RETRIES_PER_SECOND;
        this.tokens = this.minimum;
        this.updatedAt = clock.monotonicMs();
    }

    /** Counts a request of a caller. Retries must not be counted, because they would refill their own budget. */
    request(): void {
        this.update();
        this.recent++;
        this.tokens = Math.min(this.capacity(), this.tokens + this.share);
    }

    /** Takes one retry from the budget. Returns `false` when none is available. */
    take(): boolean {
        this.update();
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Number of retries available now. */
    available(): number {
        this.update();
        return Math.floor(this.tokens);
    }

    private capacity(): number {
        return Math.max(this.minimum, this.share * this.recent);
    }

    private update(): void {
        const now = this.clock.monotonicMs();
        const elapsedMs = now - this.updatedAt;
        if (elapsedMs <= 0) {
            return;
        }
        this.updatedAt = now;
        this.recent *= Math.exp(-elapsedMs / this.windowMs);
        if (this.tokens < this.minimum) {
            this.tokens = Math.min(this.minimum, this.tokens + (this.idlePerSecond * elapsedMs) / 1_000);
        }
        this.tokens = Math.min(this.capacity(), this.tokens);
    }
}
