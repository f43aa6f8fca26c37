import type { Clock } from "../runtime/clock.js";

interface HeldPromise {
    /** Monotonic milliseconds until which the promise holds, counted from the sending of the heartbeat. */
    until: number;
    /** Heartbeats without an answer by sequence: when each was sent, and whether it said that the receiver counts. */
    sent: Map<number, { at: number; countsReceiver: boolean }>;
    /** Sequence of the latest heartbeat that told the receiver that it counts; -1 without one. */
    toldAt: number;
}

/**
 * The lease of this instance in its domain: the promises that it holds from its observers, and the ones that it
 * has given. The lease is valid while every counted member has promised not to take over.
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
     * Sets the other registered members by incarnation, and those of them that observe this instance. The observers of
     * the first call, made at this instance's own registration, count at once. A later one counts from its first promise;
     * it may not take over before it has been told that it counts, so the lease needs no gap when it joins. A member that
     * no longer observes counts until it has acknowledged that it doesn't.
     */
    setMembers(incarnations: readonly string[], countAll: boolean, observers: readonly string[] = incarnations): void {
        this.members = new Set(incarnations);
        this.observers = new Set(observers);
        if (countAll) {
            // Promises in answer to heartbeats of an earlier incarnation were given to that one.
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

    /** Whether the lease depends on the promise of this member, and will go on to do so. */
    counts(incarnation: string): boolean {
        return this.counted.has(incarnation) && this.observers.has(incarnation);
    }

    /** Members on which the lease depends, those included that don't observe any more. */
    countedMembers(): string[] {
        return [...this.counted];
    }

    /** Members that need heartbeats: the observers, and former ones that still count. */
    receivers(): Set<string> {
        return new Set([...this.observers, ...this.counted]);
    }

    heartbeatSent(incarnation: string, sequence: number): void {
        const held = this.held.get(incarnation) ?? { until: -Infinity, sent: new Map(), toldAt: -1 };
        const countsReceiver = this.counts(incarnation);
        held.sent.set(sequence, { at: this.clock.monotonicMs(), countsReceiver });
        if (countsReceiver) {
            held.toldAt = sequence;
        }
        // A reply this late carries a promise that has lapsed.
        held.sent.delete(sequence - Math.ceil(this.promiseMs / 50));
        this.held.set(incarnation, held);
    }

    /** Takes the promise in the reply to a heartbeat. It counts from the sending of that heartbeat. */
    promiseReceived(incarnation: string, sequence: number, promiseMs: number): void {
        const held = this.held.get(incarnation);
        const sent = held?.sent.get(sequence);
        // A member that gives no promise may be about to act, so its answer doesn't acknowledge anything either.
        if (held === undefined || sent === undefined || promiseMs === 0 || !this.members.has(incarnation)) {
            return;
        }
        held.sent.delete(sequence);
        held.until = Math.max(held.until, sent.at + promiseMs);
        if (this.observers.has(incarnation)) {
            this.counted.add(incarnation);
        } else if (!sent.countsReceiver && sequence > held.toldAt) {
            this.counted.delete(incarnation);
        }
    }

    /** Ends the lease for good, before this instance gives up its membership. */
    end(): void {
        this.ended = true;
    }

    /** Monotonic milliseconds until which every counted member has promised; infinite without other members. */
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
        // More than half of (others + 1), less the promise that this instance gives itself.
        const needed = Math.floor((untils.length + 1) / 2);
        if (needed === 0) {
            return Infinity;
        }
        return untils.sort((a, b) => b - a)[needed - 1] ?? -Infinity;
    }

    /** Gives a promise to a member that sent a heartbeat: its length in milliseconds, 0 while it is withheld. */
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

    /** Gives promises again after a takeover that didn't happen. */
    release(incarnation: string): void {
        this.withheld.delete(incarnation);
    }
}
