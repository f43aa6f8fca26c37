/** Time without an answer from which several changes may have been missed, in milliseconds. */
const MISSED_AFTER_MS = 1_000;
/** Limits of the pause between readings of a whole table, in milliseconds; changes are noticed that much later. */
const MIN_WHOLE_PAUSE_MS = 500;
const MAX_WHOLE_PAUSE_MS = 700;

/** State of a table before it is read. */
export interface ReadState {
    /** Whether the last call failed, or its answer showed that the table changes faster than it can be read. */
    isLagging: boolean;
    /** Whether another instance has shown that there are changes. */
    isBehind: boolean;
    /** Time since the last answer, in milliseconds. */
    silentMs: number;
    /** Time from the last change to that answer, in milliseconds. */
    unchangedMs: number;
}

/**
 * Decides how to read a table of which only the newest rows matter. The store sends each version in full, so the changes since
 * some time ago can be many times as large as the table, and the answer take longer the longer it takes.
 *
 * @example
 * decideRead({ isLagging: false, isBehind: false, silentMs: 6_000, unchangedMs: 400 }); // "whole"
 */
export const decideRead = ({ isLagging, isBehind, silentMs, unchangedMs }: ReadState): "whole" | "changes" => {
    const hasProbablyMissed = silentMs > MISSED_AFTER_MS && silentMs > unchangedMs;
    return isLagging || isBehind || hasProbablyMissed ? "whole" : "changes";
};

/**
 * Pause after a reading of a whole table that has changed, in milliseconds. Reading takes at most about half of the time, so
 * that a narrow path also carries requests.
 *
 * @example
 * wholePauseMs(620); // 620
 */
export const wholePauseMs = (readMs: number): number =>
    Math.min(MAX_WHOLE_PAUSE_MS, Math.max(MIN_WHOLE_PAUSE_MS, readMs));
