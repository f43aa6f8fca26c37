import { err, type Result } from "neverthrow";
import type { Clock } from "../runtime/clock.js";
import type { Transact } from "../membership/membership.js";
import type { PlatformError } from "./platformError.js";
import type { TransactionResult } from "./platformTable.js";

/** Delay before a transaction with an unknown result is sent again, in milliseconds. */
export const RETRY_DELAY_MS = 200;

/**
 * Sends a transaction and resends it with the same conditions for as long as its result is unknown. If an earlier
 * attempt was committed, a later one ends as a conflict with the rows that the transaction wrote. At least one
 * condition must be on a row that it writes. An error therefore means that nothing was written. The result also counts
 * as unknown after a response that doesn't follow the protocol.
 *
 * @example
 * const result = await transactUntilDecided(transact, clock, conditions, writes);
 * result.map(({ rows }) => replica.apply(rows));
 */
export const transactUntilDecided = async (
    transact: Transact,
    clock: Clock,
    ...[conditions, writes]: Parameters<Transact>
): Promise<Result<TransactionResult, PlatformError>> => {
    let isUnknown = false;
    for (;;) {
        const result = await transact(conditions, writes);
        if (result.isOk()) {
            return result;
        }
        // After an attempt with an unknown result, the refusal of a later one doesn't determine the earlier result.
        isUnknown ||= result.error.type !== "platform-unavailable";
        if (!isUnknown) {
            return err(result.error);
        }
        await new Promise<void>(resolve => clock.setTimer(RETRY_DELAY_MS, resolve));
    }
};
