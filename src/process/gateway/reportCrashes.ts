import type { Logger } from "../observability/logger.js";
import { CRASH_TABLE } from "./crashSuspects.js";
import type { RowStore } from "./rowStore.js";

/**
 * Writes an instance's row of observed crashes. A failed write isn't retried: a lost report costs at most one more crash
 * before the request is refused.
 *
 * @example
 * await reportCrashes(store, "a1", value, logger);
 */
export const reportCrashes = async (store: RowStore, key: string, value: Buffer, logger: Logger): Promise<void> => {
    const row = await store.row(CRASH_TABLE, key);
    if (row.isErr()) {
        logger.warn("Crashes couldn't be reported.", { cause: row.error.type });
        return;
    }
    const expected = [{ table: CRASH_TABLE, key, version: row.value.row?.version ?? 0 }];
    const written = await store.transact({ expected, puts: [{ table: CRASH_TABLE, key, value }] });
    if (written.isErr() || written.value.type !== "committed") {
        logger.warn("Crashes may not have been reported.", { row: key });
    }
};
