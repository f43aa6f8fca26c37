import type { Clock } from "../runtime/clock.js";
import { SUSPENSION_MS, wallOffsetMs } from "../runtime/wallOffset.js";

/** Number of retries that a request earns. */
export const DEFAULT_RETRY_SHARE = 0.1;
/** Time after which an earned retry expires, in milliseconds. */
export const DEFAULT_RETRY_VALIDITY_MS = 10_000;
/** Retries available to an idle service, so that an infrequent request can be retried. */
export const DEFAULT_MINIMUM_RETRIES = 10;
/** Retries per second that accrue without any requests, up to the minimum. */
const IDLE_RETRIES_PER_SECOND = 1;
/** Number of parts of the validity that earned retries are counted by. */
const VALIDITY_PARTS = 20;

/** Retries that were earned at about the same time. */
interface EarnedRetries {
    /** Monotonic time in milliseconds at which they expire. */
    expiresAt: number;
    count: number;
}

/**
 * Budget of retries that are earned by requests and expire soon, so that retries can't amplify an overload.
 *
 * With a minimum of 0, an instance takes at most as many retries in any period as were earned in it and in one validity before
 * it. This holds for the sum over all instances too, however many there are and however often they start: a new budget is
 * empty. Requests earn fractions of a retry, and each budget starts at a random fraction, so that the retries of many
 * instances with few requests add up to their share of the requests instead of none.
 *
 * @example
 * budget.request(); // for each request of a caller
 * if (budget.take()) { sendAgain(); }
 */
export class RetryBudget {
    private earned: EarnedRetries[] = [];
    /** Part of the next retry that was earned, from 0 to 1. */
    private fraction: number;
    /** Retries that don't depend on requests. */
    private reserve: number;
    private updatedAt: number;
    private offsetMs: number;
    private readonly share: number;
    private readonly validityMs: number;
    private readonly minimum: number;

    constructor(
        private readonly clock: Clock,
        options: {
            share?: number;
            validityMs?: number;
            /** Number of retries that are available without requests. The sum of all instances grows with it. */
            minimum?: number;
            /** Returns a number in [0, 1). */
            random?: () => number;
        } = {},
    ) {
        this.share = options.share ?? DEFAULT_RETRY_SHARE;
        this.validityMs = options.validityMs ?? DEFAULT_RETRY_VALIDITY_MS;
        this.minimum = options.minimum ?? DEFAULT_MINIMUM_RETRIES;
        this.reserve = this.minimum;
        this.fraction = (options.random ?? Math.random)();
        this.updatedAt = clock.monotonicMs();
        this.offsetMs = wallOffsetMs(clock);
    }

    /** Counts a request of a caller. Retries must not be counted, because they would refill their own budget. */
    request(): void {
        this.update();
        this.fraction += this.share;
        const whole = Math.floor(this.fraction);
        if (whole === 0) {
            return;
        }
        this.fraction -= whole;
        const partMs = this.validityMs / VALIDITY_PARTS;
        const expiresAt = Math.floor(this.updatedAt / partMs) * partMs + this.validityMs;
        const newest = this.earned.at(-1);
        if (newest?.expiresAt === expiresAt) {
            newest.count += whole;
        } else {
            this.earned.push({ expiresAt, count: whole });
        }
    }

    /** Takes one retry from the budget. Returns `false` when none is available. */
    take(): boolean {
        this.update();
        const oldest = this.earned.find(({ count }) => count > 0);
        if (oldest !== undefined) {
            oldest.count--;
            return true;
        }
        if (this.reserve < 1) {
            return false;
        }
        this.reserve--;
        return true;
    }

    /** Number of retries available now. */
    available(): number {
        this.update();
        return this.earnedCount() + Math.floor(this.reserve);
    }

    private earnedCount(): number {
        return this.earned.reduce((sum, { count }) => sum + count, 0);
    }

    private update(): void {
        const now = this.clock.monotonicMs();
        const offsetMs = wallOffsetMs(this.clock);
        if (Math.abs(offsetMs - this.offsetMs) > SUSPENSION_MS) {
            // The monotonic clock doesn't tell the age of what was earned before a suspension.
            this.earned = [];
        }
        this.offsetMs = offsetMs;
        while (this.earned.length > 0 && this.earned[0].expiresAt <= now) {
            this.earned.shift();
        }
        const elapsedMs = now - this.updatedAt;
        this.updatedAt = now;
        const missing = this.minimum - this.earnedCount();
        if (this.reserve < missing) {
            this.reserve = Math.min(missing, this.reserve + (IDLE_RETRIES_PER_SECOND * elapsedMs) / 1_000);
        }
    }
}
