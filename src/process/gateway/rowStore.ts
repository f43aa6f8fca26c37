import type { Result } from "neverthrow";
import type { PlatformError } from "../store/platformError.js";

/** A row of the store. `value` is `undefined` for a deleted row. */
export interface StoredRow {
    key: string;
    value: Buffer | undefined;
    version: number;
}

/** All rows of a table at one point in time. */
export interface TableSnapshot {
    rows: StoredRow[];
    /** Version of the store at that point. */
    version: number;
}

/** Rows that changed after a version, in order. */
export type TableChanges =
    | { type: "changes"; rows: StoredRow[]; version: number }
    /** The store no longer has the history since that version; read a snapshot. */
    | { type: "history-lost" };

/** A row named by a transaction. */
export interface RowName {
    table: string;
    key: string;
}

/** An atomic change of rows, applied only if every expected version matches. */
export interface RowTransaction {
    /** Version 0 means that the row doesn't exist. */
    expected: (RowName & { version: number })[];
    puts: (RowName & { value: Buffer })[];
    deletes?: RowName[];
}

export type TransactionOutcome =
    /** `storeMs` is the store's monotonic clock in milliseconds. */
    { type: "committed"; version: number; storeMs: number } | { type: "conflict" };

/** A row, if it exists, with the store's monotonic clock in milliseconds at the read. */
export interface RowReading {
    row: StoredRow | undefined;
    storeMs: number;
}

/** Interface to the platform's table service. */
export interface RowStore {
    snapshot(table: string): Promise<Result<TableSnapshot, PlatformError>>;
    row(table: string, key: string): Promise<Result<RowReading, PlatformError>>;
    /** Waits up to `waitMs` milliseconds for a change after `after`. */
    changes(table: string, after: number, waitMs: number): Promise<Result<TableChanges, PlatformError>>;
    transact(transaction: RowTransaction): Promise<Result<TransactionOutcome, PlatformError>>;
}
