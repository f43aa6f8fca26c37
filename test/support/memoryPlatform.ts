import { err, ok, type Result } from "neverthrow";
import type { BundleObjects, BundleTable } from "../../src/process/bundles/bundleRows.js";
import type { Clock } from "../../src/process/runtime/clock.js";
import type { PlatformError } from "../../src/process/store/platformError.js";
import type { RowCondition, RowWrite, TableRows, TransactionResult } from "../../src/process/store/platformTable.js";
import type { VersionedRow } from "../../src/process/store/rows.js";

const UNAVAILABLE: PlatformError = { type: "platform-unavailable", detail: "The stand-in is down." };

/** An in-memory table service with conditional writes and fault injection. Latency is measured by the given clock. */
export class MemoryTable implements BundleTable {
    private readonly rows = new Map<string, VersionedRow>();
    private revision = 0;
    private attempts = 0;
    down = false;
    /** Transactions that are committed but whose reply is lost. */
    losesReply: (writes: readonly RowWrite[]) => boolean = () => false;
    /** Delay, in milliseconds, of transactions that get no reply and reach the table later. */
    postponesMs: (writes: readonly RowWrite[]) => number | undefined = () => undefined;
    latencyMs: () => number = () => 0;
    /** Called for each row when it is committed. */
    committed: (row: VersionedRow) => void = () => undefined;
    /** Every committed value of every row, in order. */
    readonly history: VersionedRow[] = [];

    constructor(private readonly clock: Clock) {}

    async scan(prefix: string): Promise<Result<TableRows, PlatformError>> {
        return this.reading(row => row.key.startsWith(prefix) && row.value !== undefined);
    }

    async read(keys: readonly string[]): Promise<Result<TableRows, PlatformError>> {
        return this.reading(row => keys.includes(row.key) && row.value !== undefined);
    }

    async changes(since: number, prefixes: readonly string[]): Promise<Result<TableRows, PlatformError>> {
        return this.reading(row => row.version > since && prefixes.some(prefix => row.key.startsWith(prefix)));
    }

    async transact(
        conditions: readonly RowCondition[],
        writes: readonly RowWrite[],
    ): Promise<Result<TransactionResult, PlatformError>> {
        await this.delay();
        if (this.down) {
            return err(UNAVAILABLE);
        }
        const postponedMs = this.postponesMs(writes);
        if (postponedMs !== undefined) {
            this.clock.setTimer(postponedMs, () => this.decide(conditions, writes));
            return err({ type: "platform-unknown", detail: "The stand-in has not replied." });
        }
        const result = this.decide(conditions, writes);
        await this.delay();
        return result.type === "committed" && this.losesReply(writes)
            ? err({ type: "platform-unknown", detail: "The stand-in lost the reply." })
            : ok(result);
    }

    /** All rows at once, without latency or faults. */
    all(): VersionedRow[] {
        return [...this.rows.values()];
    }

    private decide(conditions: readonly RowCondition[], writes: readonly RowWrite[]): TransactionResult {
        const failed = conditions.filter(({ key, version }) => {
            const row = this.rows.get(key);
            return version !== (row?.value === undefined ? 0 : row.version);
        });
        if (failed.length > 0) {
            const rows = failed.map(({ key }) => this.rows.get(key) ?? { key, version: 0, value: undefined });
            return { type: "conflict", rows };
        }
        this.revision++;
        const attempt = String(this.attempts++);
        const rows = writes.map(({ key, value }) => {
            const row = { key, version: this.revision, value: value === undefined ? undefined : { ...value, attempt } };
            this.rows.set(key, row);
            this.history.push(row);
            this.committed(row);
            return row;
        });
        return { type: "committed", rows };
    }

    private async reading(wanted: (row: VersionedRow) => boolean): Promise<Result<TableRows, PlatformError>> {
        await this.delay();
        if (this.down) {
            return err(UNAVAILABLE);
        }
        const answer = { revision: this.revision, rows: this.all().filter(wanted) };
        await this.delay();
        return ok(answer);
    }

    private async delay(): Promise<void> {
        const latencyMs = this.latencyMs();
        if (latencyMs > 0) {
            await new Promise<void>(resolve => this.clock.setTimer(latencyMs, resolve));
        }
    }
}

/** An in-memory object store. */
export class MemoryObjects implements BundleObjects {
    readonly contents = new Map<string, Buffer>();
    down = false;
    delayMs = 0;

    constructor(private readonly clock: Clock) {}

    async get(name: string): Promise<Result<Buffer | undefined, PlatformError>> {
        if (this.delayMs > 0) {
            await new Promise<void>(resolve => this.clock.setTimer(this.delayMs, resolve));
        }
        return this.down ? err(UNAVAILABLE) : ok(this.contents.get(name));
    }

    async put(name: string, content: Buffer): Promise<Result<void, PlatformError>> {
        if (this.down) {
            return err(UNAVAILABLE);
        }
        this.contents.set(name, content);
        return ok(undefined);
    }
}
