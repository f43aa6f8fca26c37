import type { Result } from "neverthrow";
import type { PlatformError } from "../store/platformError.js";

/** A row of the store. `value` is `undefined` for a deleted row. */
export interface StoredRow {
    key: string;
    value: Buffer | undefined;
    version: number;
}

/**
 * What every answer of the store says. The era increases each time the store is restored from an older copy, which loses the
 * latest writes: versions then go back and are given out again, so versions of different eras can't be compared.
 */
export interface StoreAnswer {
    era: number;
}

/** All rows of a table at one point in time. */
export interface TableSnapshot extends StoreAnswer {
    rows: StoredRow[];
    /** Version of the store at that point. */
    version: number;
}

/** Rows that changed after a version, in order. */
export type TableChanges = StoreAnswer &
    (
        | { type: "changes"; rows: StoredRow[]; version: number }
        /** The store no longer has the history since that version; read a snapshot. */
        | { type: "history-lost" }
    );

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

/** The era is that in which the store has decided; the expected versions may be those of an earlier one. */
export type TransactionOutcome = StoreAnswer &
    (
        | /** `storeMs` is the store's monotonic clock in milliseconds. */
          { type: "committed"; version: number; storeMs: number }
        | { type: "conflict" }
    );

/** A row, if it exists, with the store's monotonic clock in milliseconds at the read. */
export interface RowReading extends StoreAnswer {
    row: StoredRow | undefined;
    storeMs: number;
}

/** Interface to the platform's table service. */
export interface RowStore {
    /** Reads all rows of a table. `received` is called with the number of bytes whenever a part of the answer arrives. */
    snapshot(table: string, received?: (bytes: number) => void): Promise<Result<TableSnapshot, PlatformError>>;
    row(table: string, key: string): Promise<Result<RowReading, PlatformError>>;
    /**
     * Waits up to `waitMs` milliseconds for a change after `after`, or until the signal ends the call. `received` is called
     * with the number of bytes whenever a part of the answer arrives.
     */
    changes(
        table: string,
        after: number,
        waitMs: number,
        signal?: AbortSignal,
        received?: (bytes: number) => void,
    ): Promise<Result<TableChanges, PlatformError>>;
    transact(transaction: RowTransaction): Promise<Result<TransactionOutcome, PlatformError>>;
}
