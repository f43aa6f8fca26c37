/** Time for which keys are granted, in milliseconds. Long, so that owners outlive cuts and outages of the store. */
export const DEFAULT_HOLD_MS = 8_000;
/** How much slower than ours a target's clock may run. */
const TARGET_CLOCK_DRIFT = 0.02;
/** Time for which a target that didn't answer isn't given further keys, in milliseconds. */
const SILENCE_MS = 8_000;
/** Allowance for a grant that is on its way when the wait for it starts, in milliseconds. */
const TRANSFER_MS = 400;

/**
 * When the last grant to one target ends at the latest. Its time counts from the arrival of the call, so an unanswered
 * one counts from the end of the wait for its answer.
 *
 * @example
 * record.answered(clock.monotonicMs());
 * record.endsAt(); // monotonic milliseconds
 */
export class GrantRecord {
    private lastArrivalAt: number;
    private lastAnswerAt = -Infinity;
    private isLastAnswered = true;

    /** @param since monotonic time in milliseconds until which another instance may have granted keys */
    constructor(
        private readonly since: number,
        private readonly holdMs: number,
    ) {
        this.lastArrivalAt = since;
    }

    /** A grant was answered, so it has arrived by now. */
    answered(now: number): void {
        this.lastArrivalAt = Math.max(this.lastArrivalAt, now);
        this.lastAnswerAt = now;
        this.isLastAnswered = true;
    }

    /** A grant got no answer until now. */
    unanswered(now: number): void {
        this.lastArrivalAt = Math.max(this.lastArrivalAt, now + TRANSFER_MS);
        this.isLastAnswered = false;
    }

    /** Monotonic time in milliseconds at which the target has no grant any more. */
    endsAt(): number {
        return this.lastArrivalAt + this.holdMs * (1 + TARGET_CLOCK_DRIFT) + TRANSFER_MS;
    }

    /**
     * Whether a renewal is of use. Each unanswered one puts off the time from which the keys can be given to another
     * target, so a target is left alone when its grants have ended, or when it is gone and doesn't answer.
     */
    isRenewable(now: number, isGone: boolean): boolean {
        return isGone ? this.isLastAnswered : now < Math.max(this.lastAnswerAt, this.since) + this.holdMs;
    }

    /** Whether the target left the last grant unanswered, not long ago. */
    isSilent(now: number): boolean {
        return !this.isLastAnswered && now < this.lastArrivalAt + SILENCE_MS;
    }

    /** Monotonic time in milliseconds of the last answer; `-Infinity` without one. */
    answeredAt(): number {
        return this.lastAnswerAt;
    }
}
