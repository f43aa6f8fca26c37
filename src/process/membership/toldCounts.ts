/**
 * What the members said about this instance in their heartbeats: whether their lease counts its promise. A member that
 * is told that it isn't counted any more, and has answered, must not act on the sender's silence from then on.
 *
 * @example
 * told.heard("a2.1f", 7, true);
 * told.isCounted("a2.1f"); // true
 */
export class ToldCounts {
    private readonly latest = new Map<string, { sequence: number; counts: boolean }>();

    /**
     * Takes the statement of a heartbeat. One that arrives after a later one, on a stream that has been replaced, is
     * ignored: it could take back the acknowledgement that this instance isn't counted.
     */
    heard(incarnation: string, sequence: number, counts: boolean): void {
        if (sequence > (this.latest.get(incarnation)?.sequence ?? -1)) {
            this.latest.set(incarnation, { sequence, counts });
        }
    }

    /** Whether the member counts this instance; `undefined` if it has never said. */
    isCounted(incarnation: string): boolean | undefined {
        return this.latest.get(incarnation)?.counts;
    }

    /** Forgets all statements; they were made to an earlier incarnation of this instance. */
    clear(): void {
        this.latest.clear();
    }
}
