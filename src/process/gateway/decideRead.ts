/** Time without an answer after which a row may have come and gone, in milliseconds. */
const UNSEEN_AFTER_MS = 3_000;
/** Minimum time in which the changes of a table may arrive, in milliseconds. */
const MIN_CHANGES_MS = 300;
/** Maximum time in which the changes of a table may arrive, as a multiple of that of the whole table. */
const MAX_CHANGES_SHARE = 1.5;
/** Limits of the pause between readings of a whole table, in milliseconds; changes are noticed that much later. */
const MIN_WHOLE_PAUSE_MS = 500;
const MAX_WHOLE_PAUSE_MS = 700;

/** State of a table before it is read. */
export interface ReadState {
    /** Whether the changes took too long to arrive, or come faster than they are read. */
    isLagging: boolean;
    /** Whether another instance has shown that there are changes. */
    isBehind: boolean;
    /** Whether the last call failed. */
    isFailing: boolean;
    /** Time since the last answer, in milliseconds. */
    silentMs: number;
}

/**
 * Decides how to read a table of which only the newest rows matter. The store sends each version in full, so the changes since
 * some time ago can be many times as large as the table, and the answer take longer the longer it takes. The changes are read
 * first after a long silence, since only they show a row that has come and gone.
 *
 * @example
 * decideRead({ isLagging: false, isBehind: true, isFailing: false, silentMs: 400 }); // "whole"
 */
export const decideRead = ({ isLagging, isBehind, isFailing, silentMs }: ReadState): "whole" | "changes" => {
    const mayHaveUnseen = isFailing || silentMs > UNSEEN_AFTER_MS;
    return isLagging || (isBehind && !mayHaveUnseen) ? "whole" : "changes";
};

/**
 * Time in milliseconds in which the changes of a table may arrive from the first part of the answer on; after it, the whole table
 * is read instead.
 *
 * @example
 * maxChangesMs(400); // 600
 */
export const maxChangesMs = (wholeMs: number): number => Math.max(MIN_CHANGES_MS, MAX_CHANGES_SHARE * wholeMs);

/**
 * Pause after a reading of a whole table that has changed, in milliseconds. Reading takes at most about half of the time, so
 * that a narrow path also carries requests.
 *
 * @example
 * wholePauseMs(620); // 620
 */
export const wholePauseMs = (readMs: number): number =>
    Math.min(MAX_WHOLE_PAUSE_MS, Math.max(MIN_WHOLE_PAUSE_MS, readMs));
