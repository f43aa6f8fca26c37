/**
 * The members whose lease depends on this instance's promise, as they report in their heartbeats. Once a member has
 * reported that its lease no longer does and this instance has replied, it must not act on that member's silence.
 *
 * @example
 * dependents.record("a2.1f", 7, true);
 * dependents.includes("a2.1f"); // true
 */
export class LeaseDependents {
    private readonly latest = new Map<string, { sequence: number; counts: boolean }>();

    /**
     * Records the report of a heartbeat. A heartbeat that arrives after a later one, on a stream that has been
     * replaced, is ignored: it could revert a report that this instance has acknowledged.
     */
    record(incarnation: string, sequence: number, counts: boolean): void {
        if (sequence > (this.latest.get(incarnation)?.sequence ?? -1)) {
            this.latest.set(incarnation, { sequence, counts });
        }
    }

    /** Whether the member's lease depends on this instance; `undefined` if it never reported that. */
    includes(incarnation: string): boolean | undefined {
        return this.latest.get(incarnation)?.counts;
    }

    /** Removes all reports, since they were sent to an earlier incarnation of this instance. */
    clear(): void {
        this.latest.clear();
    }
}
