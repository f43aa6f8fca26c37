import type { Clock } from "../runtime/clock.js";

/** Least limit that is kept, in requests per second. Without any answers, the end of a limit wouldn't be noticed. */
const MIN_LIMIT_PER_SECOND = 0.1;
/** Longest rest that one statement gives, in milliseconds; a target with an odd value isn't left out for hours. */
export const MAX_REST_MS = 300_000;

/** A limit that a target has stated. */
export interface StatedLimit {
    /** Requests that it takes from all instances together, per second. */
    perSecond: number;
    /** Monotonic time in milliseconds at which it was last stated. */
    statedAt: number;
}

/** A rest that a target has stated. Times are monotonic, in milliseconds. */
export interface StatedRest {
    /** Time until which it gets no requests. */
    until: number;
    /** End of the rest as stated; later than `until` if the statement is longer than a rest may be. */
    statedUntil: number;
}

/**
 * What the answers of one target process have stated about the requests that it takes: that it leaves, that it rests, and how
 * many requests it takes per second. A leaving target doesn't come back, whatever its entry in the store says.
 *
 * @example
 * const intake = new TargetIntake();
 * intake.stateRest(2_000, clock);
 * intake.rest; // { until: 2_000, statedUntil: 2_000 }
 */
export class TargetIntake {
    private statedLimit: StatedLimit | undefined;
    private statedRest: StatedRest | undefined;
    private statedLeavingAt: number | undefined;

    /** Monotonic time in milliseconds at which it first stated that it leaves. */
    get leavingAt(): number | undefined {
        return this.statedLeavingAt;
    }

    /** The limit that it states; `undefined` while it states none. */
    get limit(): StatedLimit | undefined {
        return this.statedLimit;
    }

    /** The rest that ends last; `undefined` if it has stated none, or has answered otherwise since its end. */
    get rest(): StatedRest | undefined {
        return this.statedRest;
    }

    /** Applies the statement that it leaves. Returns whether it is the first one. */
    stateLeaving(clock: Clock): boolean {
        if (this.statedLeavingAt !== undefined) {
            return false;
        }
        this.statedLeavingAt = clock.monotonicMs();
        return true;
    }

    /** Applies a stated rest in milliseconds. It doesn't shorten an earlier one. Returns whether a rest begins. */
    stateRest(restMs: number, clock: Clock): boolean {
        const now = clock.monotonicMs();
        const known = this.statedRest;
        this.statedRest = {
            until: Math.max(known?.until ?? 0, now + Math.min(MAX_REST_MS, restMs)),
            statedUntil: Math.max(known?.statedUntil ?? 0, now + restMs),
        };
        return known === undefined || known.until <= now;
    }

    /** Ends a rest that is over, because of an answer without one to a request that was sent at `sentAt`. */
    endRest(sentAt: number): void {
        if (this.statedRest !== undefined && this.statedRest.until <= sentAt) {
            this.statedRest = undefined;
        }
    }

    /** Applies a stated limit in requests per second. Returns whether it has changed. */
    stateLimit(stated: number, clock: Clock): boolean {
        const perSecond = Math.max(MIN_LIMIT_PER_SECOND, stated);
        const hasChanged = this.statedLimit?.perSecond !== perSecond;
        this.statedLimit = { perSecond, statedAt: clock.monotonicMs() };
        return hasChanged;
    }

    /**
     * Drops the limit because of an answer without one to a request that was sent at `sentAt`. Returns whether there was a
     * limit; one that was stated after the request was sent holds.
     */
    endLimit(sentAt: number): boolean {
        if (this.statedLimit === undefined || this.statedLimit.statedAt >= sentAt) {
            return false;
        }
        this.statedLimit = undefined;
        return true;
    }
}
