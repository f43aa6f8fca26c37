/** Time without an answer from the store after which it counts as unreachable, in milliseconds. */
const OUTAGE_MS = 1_000;

/** How reading a table of the store goes. */
export interface TableReading {
    /** Whether the last call failed. */
    readonly isFailing: boolean;
    /** Milliseconds since the table's state was last read, from the store or relayed. */
    silentMs(): number;
}

/**
 * Whether entries of targets may be missing because the store is away, and not because the targets have left. It isn't while
 * the entries are read, even if calls for other tables fail.
 *
 * @example
 * isStoreAway({ targets: targetsFollower, all: [targetsFollower, ownersFollower] });
 */
export const isStoreAway = ({
    targets,
    all,
}: {
    /** The table with the entries. */
    targets: TableReading;
    all: Iterable<TableReading>;
}): boolean =>
    targets.silentMs() > OUTAGE_MS && [...all].some(table => table.isFailing && table.silentMs() > OUTAGE_MS);
