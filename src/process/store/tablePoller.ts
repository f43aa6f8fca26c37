import type { Clock } from "../runtime/clock.js";
import type { ListedInstance } from "./instanceList.js";
import type { Logger } from "../observability/logger.js";
import type { PlatformTable } from "./platformTable.js";
import type { Result } from "neverthrow";
import type { PlatformError } from "./platformError.js";
import { REPLICATED_PREFIXES, type TableReplica } from "./tableReplica.js";
import type { VersionedRow } from "./rows.js";

/**
 * Polls the platform for the changes of the table and the instance list. One member per domain polls frequently and
 * sends the results to the others, which poll at a longer period in case it fails.
 *
 * @example
 * store.add(repeat(clock, 100, () => poller.tick()));
 */
export class TablePoller {
    private complete = 0;
    private lastTableAt = -Infinity;
    private lastListAt = -Infinity;
    private listed: ListedInstance[] | undefined;
    private isTicking = false;

    constructor(
        private readonly options: {
            clock: Clock;
            log: Logger;
            table: Pick<PlatformTable, "changes">;
            readList: () => Promise<Result<ListedInstance[], PlatformError>>;
            replica: TableReplica;
            /** Whether this member polls for its domain. */
            isPoller: () => boolean;
            changed: (rows: VersionedRow[]) => void;
            listChanged: (listed: ListedInstance[]) => void;
            pollMs: number;
            /** Period in which the polling member reads the instance list, in milliseconds. */
            listPollMs: number;
            fallbackPollMs: number;
        },
    ) {}

    /** Table revision up to which the replica is complete. */
    completeRevision(): number {
        return this.complete;
    }

    /** The last known instance list; `undefined` before the first response. */
    instances(): ListedInstance[] | undefined {
        return this.listed;
    }

    /** Receives a list that the polling member sent. */
    receiveList(listed: ListedInstance[]): void {
        this.listed = listed;
        this.lastListAt = this.options.clock.monotonicMs();
    }

    async tick(): Promise<void> {
        if (this.isTicking) {
            return;
        }
        this.isTicking = true;
        try {
            const now = this.options.clock.monotonicMs();
            const { pollMs, listPollMs, fallbackPollMs, isPoller } = this.options;
            const isFrequent = isPoller() || this.listed === undefined;
            await Promise.all([
                now - this.lastTableAt >= (isFrequent ? pollMs : fallbackPollMs) ? this.pollTable() : undefined,
                now - this.lastListAt >= (isFrequent ? listPollMs : fallbackPollMs) ? this.pollList() : undefined,
            ]);
        } finally {
            this.isTicking = false;
        }
    }

    /** Reads the changes since the last poll. */
    async pollTable(): Promise<boolean> {
        this.lastTableAt = this.options.clock.monotonicMs();
        const answer = await this.options.table.changes(this.complete, REPLICATED_PREFIXES);
        if (answer.isErr()) {
            this.options.log.warn("The table can't be read.", { cause: answer.error.type });
            return false;
        }
        const changed = this.options.replica.apply(answer.value.rows);
        this.complete = Math.max(this.complete, answer.value.revision);
        if (changed.length > 0) {
            this.options.changed(changed);
        }
        return true;
    }

    private async pollList(): Promise<void> {
        this.lastListAt = this.options.clock.monotonicMs();
        const answer = await this.options.readList();
        if (answer.isErr()) {
            this.options.log.warn("The instance list can't be read.", { cause: answer.error.type });
            return;
        }
        const differs = JSON.stringify(answer.value) !== JSON.stringify(this.listed);
        this.listed = answer.value;
        if (differs) {
            this.options.listChanged(answer.value);
        }
    }
}
