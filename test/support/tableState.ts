import { z } from "zod";

export const transactionSchema = z.strictObject({
    attempt: z.string(),
    conditions: z.array(z.strictObject({ key: z.string(), version: z.number().int().min(0) })),
    writes: z.array(
        z.union([
            z.strictObject({ key: z.string(), delete: z.literal(true) }),
            z.strictObject({ key: z.string(), value: z.unknown() }),
        ]),
    ),
});
export type Transaction = z.infer<typeof transactionSchema>;

/** A row in the table's wire format; a deleted row has no value. */
export interface TableRow {
    key: string;
    version: number;
    value?: unknown;
}

/** Result of a transaction. A failed condition on a row that never existed is listed with version 0. */
export type TransactionAnswer =
    { type: "committed"; revision: number; rows: TableRow[] } | { type: "conflict"; conflicts: TableRow[] };

const matchesPrefix = (key: string, prefixes: readonly string[]): boolean =>
    prefixes.length === 0 || prefixes.some(prefix => key.startsWith(prefix));

/** The rows of the table service. All rows written by one transaction get the same version, the new revision. */
export class TableState {
    private readonly rows = new Map<string, TableRow>();
    /** Key and version of each write in order; entries of overwritten rows are removed from time to time. */
    private history: { key: string; version: number }[] = [];
    revision = 0;

    /** Number of rows, excluding deleted ones. */
    liveRows(): number {
        let count = 0;
        this.rows.forEach(row => (count += row.value === undefined ? 0 : 1));
        return count;
    }

    transact(transaction: Transaction): TransactionAnswer {
        const conflicts = transaction.conditions
            .filter(({ key, version }) => this.liveVersion(key) !== version)
            .map(({ key }) => this.rows.get(key) ?? { key, version: 0 });
        if (conflicts.length > 0) {
            return { type: "conflict", conflicts };
        }
        this.revision++;
        const rows = transaction.writes.map((write): TableRow => {
            const row = {
                key: write.key,
                version: this.revision,
                ...("delete" in write ? {} : { value: write.value }),
            };
            this.rows.set(row.key, row);
            this.history.push({ key: row.key, version: row.version });
            return row;
        });
        if (this.history.length > 1_000 && this.history.length > 2 * this.rows.size) {
            this.history = this.history.filter(({ key, version }) => this.rows.get(key)?.version === version);
        }
        return { type: "committed", revision: this.revision, rows };
    }

    /** The rows of the keys; missing and deleted rows are omitted. */
    read(keys: readonly string[]): TableRow[] {
        return keys.flatMap(key => {
            const row = this.rows.get(key);
            return row?.value === undefined ? [] : [row];
        });
    }

    /** A page of the live rows under a prefix in key order; `next` is the `after` parameter of the next page. */
    scan(prefix: string, after: string, limit: number): { rows: TableRow[]; next: string | undefined } {
        const keys = [...this.rows.values()]
            .filter(row => row.value !== undefined && row.key.startsWith(prefix) && row.key > after)
            .map(row => row.key)
            .sort();
        const page = keys.slice(0, limit);
        return { rows: this.read(page), next: keys.length > limit ? page[page.length - 1] : undefined };
    }

    /** The rows changed after a revision, in their current state and including deleted ones. */
    changes(since: number, prefixes: readonly string[]): TableRow[] {
        let low = 0;
        let high = this.history.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (this.history[middle].version <= since) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return this.history.slice(low).flatMap(({ key, version }) => {
            const row = this.rows.get(key);
            return row?.version === version && matchesPrefix(key, prefixes) ? [row] : [];
        });
    }

    private liveVersion(key: string): number {
        const row = this.rows.get(key);
        return row?.value === undefined ? 0 : row.version;
    }
}
