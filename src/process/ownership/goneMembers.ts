import type { DispatcherState } from "./takeover.js";

/**
 * Tracks since when dispatchers have been suspected or gone. The times of members that are gone are kept for as long as
 * a target's row names them.
 *
 * @example
 * const gone = new GoneMembers({ now, isMember, suspectedAt, mayActOn });
 * gone.state("a1.9c"); // { type: "gone", since: 5_000 }
 */
export class GoneMembers {
    private readonly times = new Map<string, number>();
    /**
     * Result of `leaseAfterEndMs` when a member was first seen to be gone. It is stored because the domain may grow
     * later, which would change the result.
     */
    private readonly leases = new Map<string, number | undefined>();

    constructor(
        private readonly view: {
            /** Monotonic time in milliseconds. */
            now: () => number;
            isMember: (incarnation: string) => boolean;
            suspectedAt: (incarnation: string) => number | undefined;
            mayActOn: (incarnation: string) => boolean;
            /** Whether the lease of a member depends on a promise of this instance. */
            isCountedBy: (incarnation: string) => boolean;
            /**
             * Time for which a member's lease may last after the end of its membership, in milliseconds. `undefined` if
             * that follows from the promise that this instance gave or, without one, from the configured length of a
             * promise.
             */
            leaseAfterEndMs: (incarnation: string) => number | undefined;
        },
    ) {}

    /** State of the dispatcher that a row names. */
    state(incarnation: string): DispatcherState {
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
            // The lease of a member that doesn't depend on this instance's promise may last until the member's removal.
            this.times.delete(incarnation);
        }
        return { type: "suspected", since: suspectedAt, mayAct: this.view.mayActOn(incarnation) };
    }

    /** Monotonic time in milliseconds at which a dispatcher was first suspected or seen to be gone. */
    since(incarnation: string): number | undefined {
        return this.times.get(incarnation);
    }

    /** Removes the state of all dispatchers except those that rows name. */
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
