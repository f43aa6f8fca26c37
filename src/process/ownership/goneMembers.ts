import type { HolderState } from "./takeover.js";

/**
 * Since when dispatchers have been suspected or gone. The times of members that are gone are needed for as long as a
 * target's row names them.
 *
 * @example
 * const gone = new GoneMembers({ now, isMember, suspectedAt, mayActOn });
 * gone.state("a1.9c"); // { type: "gone", since: 5_000 }
 */
export class GoneMembers {
    private readonly times = new Map<string, number>();
    /** What was known of the leases of members when they were first seen to be gone; a domain may grow later. */
    private readonly leases = new Map<string, number | undefined>();

    constructor(
        private readonly view: {
            /** Monotonic milliseconds. */
            now: () => number;
            isMember: (incarnation: string) => boolean;
            suspectedAt: (incarnation: string) => number | undefined;
            mayActOn: (incarnation: string) => boolean;
            /** Whether the lease of a member depends on the promise of this instance. */
            isCountedBy: (incarnation: string) => boolean;
            /**
             * Time after the end of a membership for which its lease may last, in milliseconds; `undefined` where the promise
             * that this instance gave, or the configured one, tells.
             */
            leaseAfterEndMs: (incarnation: string) => number | undefined;
        },
    ) {}

    /** State of the dispatcher that a row names. */
    state(incarnation: string): HolderState {
        if (incarnation === "") {
            return { type: "none" };
        }
        if (!this.view.isMember(incarnation)) {
            const since = this.times.get(incarnation) ?? this.view.now();
            this.times.set(incarnation, since);
            if (!this.leases.has(incarnation)) {
                this.leases.set(incarnation, this.view.leaseAfterEndMs(incarnation));
            }
            return { type: "gone", since, leaseMs: this.leases.get(incarnation) };
        }
        const suspectedAt = this.view.suspectedAt(incarnation);
        if (suspectedAt === undefined) {
            this.times.delete(incarnation);
            return { type: "alive" };
        }
        if (this.view.isCountedBy(incarnation)) {
            this.times.set(incarnation, suspectedAt);
        } else {
            // The lease of a member that doesn't count this one may last until its removal.
            this.times.delete(incarnation);
        }
        return { type: "suspected", since: suspectedAt, mayAct: this.view.mayActOn(incarnation) };
    }

    /** When a dispatcher was first suspected or seen to be gone, in monotonic milliseconds. */
    since(incarnation: string): number | undefined {
        return this.times.get(incarnation);
    }

    /** Forgets all dispatchers but those that rows name. */
    keepOnly(named: ReadonlySet<string>): void {
        for (const incarnation of this.leases.keys()) {
            if (!named.has(incarnation)) {
                this.leases.delete(incarnation);
            }
        }
        for (const incarnation of this.times.keys()) {
            if (!named.has(incarnation)) {
                this.times.delete(incarnation);
            }
        }
    }
}
