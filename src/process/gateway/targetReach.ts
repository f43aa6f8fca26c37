import type { Clock } from "../runtime/clock.js";

/** An attempt of a request over the direct path to a target. */
export interface PathAttempt {
    /** The request is being written, so the connection is established. */
    sent(): void;
    /** Bytes of the answer have come. */
    heard(): void;
    end(): void;
}

interface AttemptState {
    /** Monotonic time in milliseconds since which it waits for a connection or, once sent, for the answer. */
    since: number;
    wasSent: boolean;
    onCut: () => void;
}

/** What this instance observes of its own path to one target, which other instances may still reach. */
export class TargetReach {
    private readonly attempts = new Set<AttemptState>();
    private foundCutAt: number | undefined;
    private lastHeardAt = -Infinity;
    /** Monotonic time in milliseconds of the last check whose connection was established. */
    private checkedAt = -Infinity;

    constructor(private readonly clock: Clock) {}

    /** Monotonic time in milliseconds at which the path was found to be cut; `undefined` while it isn't. */
    get cutAt(): number | undefined {
        return this.foundCutAt;
    }

    get isCut(): boolean {
        return this.foundCutAt !== undefined;
    }

    /** Whether an attempt is under way. */
    get isWaiting(): boolean {
        return this.attempts.size > 0;
    }

    /** Monotonic time in milliseconds at which the target was last heard from on the direct path. */
    get heardAt(): number {
        return Math.max(this.lastHeardAt, this.checkedAt);
    }

    /** Whether the path was cut after a monotonic time in milliseconds. */
    wasCutAfter(time: number): boolean {
        return this.foundCutAt !== undefined && this.foundCutAt >= time;
    }

    /** Begins an attempt; `onCut` is called if the path is found to be cut before its end. */
    begin(onCut: () => void): PathAttempt {
        const attempt: AttemptState = { since: this.clock.monotonicMs(), wasSent: false, onCut };
        this.attempts.add(attempt);
        return {
            sent: () => {
                attempt.since = this.clock.monotonicMs();
                attempt.wasSent = true;
            },
            heard: () => this.heard(),
            end: () => this.attempts.delete(attempt),
        };
    }

    /** Longest time for which an attempt has waited for its connection, in milliseconds; 0 if none waits. */
    connectingMs(): number {
        return this.longestWait(({ wasSent }) => !wasSent, -Infinity);
    }

    /** Longest time for which an attempt has waited for an answer while the target wasn't heard, in milliseconds. */
    waitingMs(): number {
        return this.longestWait(({ wasSent }) => wasSent, this.lastHeardAt);
    }

    /** Time since the last successful check, in milliseconds. */
    sinceCheckMs(): number {
        return this.clock.monotonicMs() - this.checkedAt;
    }

    /** Records bytes of the target on the direct path. */
    heard(): void {
        this.lastHeardAt = this.clock.monotonicMs();
    }

    /** Records a check whose connection was established. */
    checked(): void {
        this.checkedAt = this.clock.monotonicMs();
        this.foundCutAt = undefined;
    }

    /** Marks the path as cut. Returns whether it wasn't before. */
    cut(): boolean {
        if (this.foundCutAt !== undefined) {
            return false;
        }
        this.foundCutAt = this.clock.monotonicMs();
        [...this.attempts].forEach(({ onCut }) => onCut());
        return true;
    }

    /** Has the attempts wait anew, because this process didn't run and couldn't read. */
    resume(): void {
        const now = this.clock.monotonicMs();
        this.attempts.forEach(attempt => (attempt.since = now));
    }

    private longestWait(isMeant: (attempt: AttemptState) => boolean, since: number): number {
        const now = this.clock.monotonicMs();
        let longest = 0;
        for (const attempt of this.attempts) {
            if (isMeant(attempt)) {
                longest = Math.max(longest, now - Math.max(attempt.since, since));
            }
        }
        return longest;
    }
}
