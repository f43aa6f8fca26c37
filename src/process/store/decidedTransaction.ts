import { err, type Result } from "neverthrow";
import type { Clock } from "../runtime/clock.js";
import type { Transact } from "../membership/membership.js";
import type { PlatformError } from "./platformError.js";
import type { TransactionResult } from "./platformTable.js";

/** Pause before a transaction whose result is open is sent again, in milliseconds. */
export const DECISION_PAUSE_MS = 200;

/**
 * Sends a transaction, and sends it again under the same conditions for as long as its result is open. If the first
 * attempt had been committed, a later one ends as a conflict with the rows that it wrote. At least one condition must be
 * on a row that it writes. An error therefore means that nothing was written. Answers that don't follow the protocol
 * leave the result open, too.
 *
 * @example
 * const result = await decidedTransaction(transact, clock, conditions, writes);
 * result.map(({ rows }) => replica.apply(rows));
 */
export const decidedTransaction = async (
    transact: Transact,
    clock: Clock,
    ...[conditions, writes]: Parameters<Transact>
): Promise<Result<TransactionResult, PlatformError>> => {
    let isOpen = false;
    for (;;) {
        const result = await transact(conditions, writes);
        if (result.isOk()) {
            return result;
        }
        // After an open attempt, a later one that was refused says nothing about the first.
        isOpen ||= result.error.type !== "platform-unavailable";
        if (!isOpen) {
            return err(result.error);
        }
        await new Promise<void>(resolve => clock.setTimer(DECISION_PAUSE_MS, resolve));
    }
};
