/**
 * Time for which keys are granted, in milliseconds. It is long so that ownership survives network partitions and store
 * outages.
 */
export const DEFAULT_HOLD_MS = 8_000;
/**
 * Time after which a grant counts as unanswered, in milliseconds. It may wait as long for a connection, so it may be sent that
 * long after the lease was checked.
 */
export const GRANT_TIMEOUT_MS = 800;
/** Allowed relative drift of a target's clock: how much slower than this process's it may run. */
const TARGET_CLOCK_DRIFT = 0.02;
/** Time for which a target that didn't answer its last grant isn't assigned further keys, in milliseconds. */
const SILENCE_MS = 8_000;
/** The same after a refused grant. It is shorter, since a refused grant keeps its keys from other targets for a moment only. */
const REFUSAL_PAUSE_MS = 2_000;
/** Allowance for a grant that is still in transit when the wait for its end starts, in milliseconds. */
const TRANSFER_MS = 400;

/**
 * Upper bound of the time at which the last grant to one target expires. A grant runs from the arrival of the call, so an
 * unanswered one is counted from the end of the wait for its answer.
 *
 * @example
 * record.answered(clock.monotonicMs());
 * record.endsAt(); // monotonic milliseconds
 */
export class GrantRecord {
    private lastArrivalAt: number;
    private lastAnswerAt = -Infinity;
    private isLastAnswered = true;
    /** Monotonic time in milliseconds of the first and the last grant that wasn't taken, if none was taken since. */
    private failures: { firstAt: number; lastAt: number } | undefined;

    /** @param since monotonic time in milliseconds until which another instance may have granted keys */
    constructor(
        private readonly since: number,
        private readonly holdMs: number,
    ) {
        this.lastArrivalAt = since;
    }

    /**
     * The record of grants of former holders of the lease, which had ended by `endedAt`.
     *
     * @param endedAt monotonic time in milliseconds
     */
    static ofFormerHolders(endedAt: number, holdMs: number): GrantRecord {
        return new GrantRecord(endedAt + GRANT_TIMEOUT_MS, holdMs);
    }

    /**
     * The record of a new process at the same address, which the grants so far may have reached. A process has the time of a hold
     * for its first answer. The successors of one that has answered nothing share that time, since each unanswered grant puts off
     * the end of the grants.
     */
    forNewProcess(): GrantRecord {
        const since = this.lastAnswerAt === -Infinity ? this.since : this.lastArrivalAt;
        const record = new GrantRecord(since, this.holdMs);
        record.lastArrivalAt = this.lastArrivalAt;
        return record;
    }

    /** Records that a grant was answered, so it has arrived by `now`. */
    answered(now: number): void {
        this.lastArrivalAt = Math.max(this.lastArrivalAt, now);
        this.lastAnswerAt = now;
        this.isLastAnswered = true;
        this.failures = undefined;
    }

    /** Records that a grant wasn't answered by `now`. */
    unanswered(now: number): void {
        this.lastArrivalAt = Math.max(this.lastArrivalAt, now + TRANSFER_MS);
        this.isLastAnswered = false;
        this.failed(now);
    }

    /** Records that the target or its machine refused a grant by `now`. It hasn't been taken, so it prolongs no hold. */
    refused(now: number): void {
        this.failed(now);
    }

    private failed(now: number): void {
        this.failures = { firstAt: this.failures?.firstAt ?? now, lastAt: now };
    }

    /** Monotonic time in milliseconds at which all grants to the target have expired. */
    endsAt(): number {
        return this.lastArrivalAt + this.holdMs * (1 + TARGET_CLOCK_DRIFT) + TRANSFER_MS;
    }

    /**
     * Whether a renewal is useful. Each unanswered renewal postpones the time from which the keys can be assigned to another
     * target, so none is sent once the grants have expired, or while the target is gone and doesn't answer.
     */
    isRenewable(now: number, isGone: boolean): boolean {
        return isGone ? this.isLastAnswered : now < Math.max(this.lastAnswerAt, this.since) + this.holdMs;
    }

    /**
     * Whether a grant that wasn't taken is worth repeating. It isn't once no grant can be in force, since another target can then
     * have the keys, nor when none was taken for as long as a hold, since each unanswered one puts off the end of the grants.
     */
    isRepeatable(now: number): boolean {
        return now < this.endsAt() && now < (this.failures?.firstAt ?? now) + this.holdMs;
    }

    /** Whether the last grant wasn't taken. */
    isFailing(): boolean {
        return this.failures !== undefined;
    }

    /** Whether the last grant wasn't taken, and that recently. */
    isSilent(now: number): boolean {
        return (
            this.failures !== undefined &&
            now < Math.max(this.failures.lastAt + REFUSAL_PAUSE_MS, this.lastArrivalAt + SILENCE_MS)
        );
    }

    /** Monotonic time in milliseconds of the last answer; `-Infinity` if there was none. */
    answeredAt(): number {
        return this.lastAnswerAt;
    }
}
