import type { Clock } from "../runtime/clock.js";

interface HeldPromise {
    /** Monotonic milliseconds until which the promise holds, measured from when the heartbeat was sent. */
    until: number;
    /** Unanswered heartbeats by sequence: when each was sent, and whether it told the receiver that it is counted. */
    sent: Map<number, { at: number; countsReceiver: boolean }>;
    /** Sequence of the latest heartbeat that told the receiver that it is counted; -1 without one. */
    lastCountedSequence: number;
}

/**
 * The lease of this instance in its domain: the promises that it holds from its observers, and the ones that it
 * has given. The counted members are those on whose promises the lease depends; it is valid while each of them has
 * promised not to take over.
 *
 * @example
 * lease.heartbeatSent("a2.1f", 7);
 * lease.promiseReceived("a2.1f", 7, 1200);
 * if (clock.monotonicMs() < lease.validUntil()) { dispatch(); }
 */
export class DomainLease {
    private readonly held = new Map<string, HeldPromise>();
    private readonly counted = new Set<string>();
    private readonly given = new Map<string, number>();
    private readonly withheld = new Set<string>();
    private members = new Set<string>();
    private observers = new Set<string>();
    private ended = false;

    constructor(
        private readonly clock: Clock,
        private readonly promiseMs: number,
    ) {}

    /**
     * Sets the other registered members by incarnation, and those of them that observe this instance. With `countAll`,
     * as at this instance's own registration, the observers are counted at once. A later one is counted from its first
     * promise on; it may not take over before a heartbeat has told it that it is counted, so the lease needs no gap
     * when it joins. A former observer is counted until it has acknowledged that it no longer is.
     */
    setMembers(incarnations: readonly string[], countAll: boolean, observers: readonly string[] = incarnations): void {
        this.members = new Set(incarnations);
        this.observers = new Set(observers);
        if (countAll) {
            // Promises in reply to heartbeats of an earlier incarnation were given to that incarnation.
            this.held.clear();
            observers.forEach(incarnation => this.counted.add(incarnation));
        }
        for (const incarnation of [...this.counted]) {
            if (!this.members.has(incarnation)) {
                this.counted.delete(incarnation);
            }
        }
        for (const incarnation of [...this.held.keys()]) {
            if (!this.members.has(incarnation)) {
                this.held.delete(incarnation);
            }
        }
    }

    /** Whether the lease depends on the promise of this member and will continue to. */
    counts(incarnation: string): boolean {
        return this.counted.has(incarnation) && this.observers.has(incarnation);
    }

    /** Members on which the lease depends, including former observers. */
    countedMembers(): string[] {
        return [...this.counted];
    }

    /** Members that need heartbeats: the observers, and former ones that are still counted. */
    receivers(): Set<string> {
        return new Set([...this.observers, ...this.counted]);
    }

    heartbeatSent(incarnation: string, sequence: number): void {
        const held = this.held.get(incarnation) ?? { until: -Infinity, sent: new Map(), lastCountedSequence: -1 };
        const countsReceiver = this.counts(incarnation);
        held.sent.set(sequence, { at: this.clock.monotonicMs(), countsReceiver });
        if (countsReceiver) {
            held.lastCountedSequence = sequence;
        }
        // A reply to such an old heartbeat would carry a promise that has lapsed.
        held.sent.delete(sequence - Math.ceil(this.promiseMs / 50));
        this.held.set(incarnation, held);
    }

    /** Records the promise in the reply to a heartbeat. It is measured from when that heartbeat was sent. */
    promiseReceived(incarnation: string, sequence: number, promiseMs: number): void {
        const held = this.held.get(incarnation);
        const sent = held?.sent.get(sequence);
        // A member that gives no promise may be about to take over, so its reply doesn't acknowledge anything either.
        if (held === undefined || sent === undefined || promiseMs === 0 || !this.members.has(incarnation)) {
            return;
        }
        held.sent.delete(sequence);
        held.until = Math.max(held.until, sent.at + promiseMs);
        if (this.observers.has(incarnation)) {
            this.counted.add(incarnation);
        } else if (!sent.countsReceiver && sequence > held.lastCountedSequence) {
            this.counted.delete(incarnation);
        }
    }

    /** Ends the lease permanently, before this instance gives up its membership. */
    end(): void {
        this.ended = true;
    }

    /** Monotonic milliseconds until which every counted member has promised; infinite without counted members. */
    validUntil(): number {
        let until = this.ended ? -Infinity : Infinity;
        for (const incarnation of this.counted) {
            until = Math.min(until, this.held.get(incarnation)?.until ?? -Infinity);
        }
        return until;
    }

    /** Monotonic milliseconds until which more than half of the members, this one included, have promised. */
    majorityUntil(): number {
        if (this.ended) {
            return -Infinity;
        }
        const untils = [...this.counted].map(incarnation => this.held.get(incarnation)?.until ?? -Infinity);
        // More than half of (others + 1), minus the promise that this instance gives itself.
        const needed = Math.floor((untils.length + 1) / 2);
        if (needed === 0) {
            return Infinity;
        }
        return untils.sort((a, b) => b - a)[needed - 1] ?? -Infinity;
    }

    /**
     * Promises to a member that sent a heartbeat. Returns the length in milliseconds, 0 while promises are withheld.
     */
    promise(incarnation: string): number {
        if (this.withheld.has(incarnation)) {
            return 0;
        }
        this.given.set(incarnation, this.clock.monotonicMs() + this.promiseMs);
        return this.promiseMs;
    }

    /** Monotonic milliseconds until which the promise given to a member holds, or `undefined` if none was given. */
    promisedUntil(incarnation: string): number | undefined {
        return this.given.get(incarnation);
    }

    /** Gives no further promises to a member from which this instance is about to take over. */
    withhold(incarnation: string): void {
        this.withheld.add(incarnation);
    }

    /** Resumes promises to a member after a takeover that didn't happen. */
    release(incarnation: string): void {
        this.withheld.delete(incarnation);
    }
}
