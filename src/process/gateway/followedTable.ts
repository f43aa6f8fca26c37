import type { KeyChange } from "./keyChange.js";
import type { StoredRow } from "./rowStore.js";

/** Callbacks for what a follower reads. */
export interface FollowedTable {
    /** Called with a snapshot of all rows; rows that aren't included don't exist. */
    replaced(rows: StoredRow[]): void;
    /**
     * Applies a changed row. Returns what distinguishes it from the known one, if that is smaller and known, or `same` if it
     * says nothing new that other instances need.
     */
    changed(row: StoredRow): KeyChange | "same" | undefined;
    /** Applies a relayed change of a row; `false` if it doesn't follow on from the known row. */
    patched?(change: KeyChange): boolean;
    /**
     * Called instead of `replaced` with the first snapshot after the store was restored from a copy. A row may be that of the
     * copy, which is older than one that was read before, or may have been written since the restore.
     */
    restored(rows: StoredRow[]): void;
    /** Called when an answer shows that the store has been restored; `restored` follows when the table has been read. */
    eraBegan(era: number): void;
    /** Called when the store answers again after `silentMs` milliseconds without an answer. */
    recovered(silentMs: number): void;
}
