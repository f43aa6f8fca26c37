import type { StoredRow } from "./rowStore.js";

/**
 * The versions of a table's rows that were read last. A row that was read before isn't applied again, and one that a reading
 * of the whole table lacks counts as deleted.
 *
 * @example
 * versions.reset(snapshot.rows, snapshot.version);
 * versions.isNew({ key: "a", version: 7 }); // false if the snapshot is of version 7 or later
 */
export class TableVersions {
    private readonly versions = new Map<string, number>();
    /** Keys of the rows that exist. */
    private readonly existing = new Set<string>();
    /** Version at which the whole table was read last. */
    private wholeAt = 0;

    /** Whether a row is newer than the one that was read last. */
    isNew({ key, version }: Pick<StoredRow, "key" | "version">): boolean {
        return version > (this.versions.get(key) ?? this.wholeAt);
    }

    /** Records that a row has been read; `exists` is `false` if it was deleted. */
    add({ key, version }: Pick<StoredRow, "key" | "version">, exists: boolean): void {
        this.versions.set(key, version);
        if (exists) {
            this.existing.add(key);
        } else {
            this.existing.delete(key);
        }
    }

    /** Begins anew with all rows of the table at a version. Returns those that aren't older than the known ones. */
    reset(rows: readonly StoredRow[], version: number): StoredRow[] {
        const fresh = rows.filter(row => row.version >= (this.versions.get(row.key) ?? 0));
        this.clear();
        this.wholeAt = version;
        fresh.forEach(row => this.add(row, true));
        return fresh;
    }

    /** The changes that lead from the known rows to all rows of the table at a version. */
    changesTo(rows: readonly StoredRow[], version: number): StoredRow[] {
        const read = new Set(rows.map(({ key }) => key));
        const deleted = [...this.existing].filter(key => !read.has(key));
        return [...rows.filter(row => this.isNew(row)), ...deleted.map(key => ({ key, value: undefined, version }))];
    }

    clear(): void {
        this.versions.clear();
        this.existing.clear();
        this.wholeAt = 0;
    }
}

/** The newest version of each row, in the order of their versions. */
export const newestRows = (rows: readonly StoredRow[]): StoredRow[] => {
    const newest = new Map(rows.map(row => [row.key, row]));
    return rows.filter(row => newest.get(row.key) === row);
};
