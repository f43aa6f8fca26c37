import { err, ok, type Result } from "neverthrow";
import type { PlatformError } from "../../src/process/store/platformError.js";
import type {
    RowReading,
    RowStore,
    RowTransaction,
    StoreAnswer,
    StoredRow,
    TableChanges,
    TableSnapshot,
    TransactionOutcome,
} from "../../src/process/gateway/rowStore.js";

/** How calls to a memory row store fail. */
export type StoreFault = "down" | "answer-lost";

/** An in-memory row store. */
export class MemoryRowStore implements RowStore {
    private readonly tables = new Map<string, Map<string, StoredRow>>();
    /** Each written version of the rows, by table, in order. */
    private readonly histories = new Map<string, StoredRow[]>();
    private version = 0;
    private era = 0;
    /** Copies from which the store can be restored. */
    private readonly copies: { version: number; tables: Map<string, Map<string, StoredRow>> }[] = [];
    /** The store's clock in milliseconds. */
    storeMs: () => number = () => performance.now();
    private readonly waiting = new Set<() => void>();
    /** Fault that applies to calls from now on. */
    fault: StoreFault | undefined;
    /** Whether held calls stay unanswered when the store is restored. */
    isSilentAtRestore = false;
    /** Number of calls by kind. */
    readonly calls = { snapshot: 0, row: 0, changes: 0, transact: 0 };
    /** Whether the next call for changes reports a lost history, after which the caller must read a snapshot. */
    historyLost = false;

    /** Writes a row unconditionally, as another writer would. */
    put(table: string, key: string, value: unknown): void {
        this.nextVersion();
        this.write(table, key, Buffer.from(JSON.stringify(value)));
    }

    drop(table: string, key: string): void {
        this.nextVersion();
        this.write(table, key, undefined);
    }

    /** Makes a copy and returns its number. */
    copy(): number {
        const tables = new Map([...this.tables].map(([name, rows]) => [name, new Map(rows)]));
        return this.copies.push({ version: this.version, tables }) - 1;
    }

    /** Goes back to a copy: what was written since is lost, and its versions are given out again. */
    restore(copy: number): void {
        const { version, tables } = this.copies[copy];
        this.tables.clear();
        tables.forEach((rows, name) => this.tables.set(name, new Map(rows)));
        this.histories.forEach((history, name) =>
            this.histories.set(
                name,
                history.filter(row => row.version <= version),
            ),
        );
        this.version = version;
        this.era++;
        if (!this.isSilentAtRestore) {
            queueMicrotask(() => this.waiting.forEach(wake => wake()));
        }
    }

    /** Gives a row a version, as if it had been written then. */
    setVersion(table: string, key: string, version: number): void {
        const row = this.rowsOf(table).get(key);
        if (row !== undefined) {
            this.rowsOf(table).set(key, { ...row, version });
            const others = this.historyOf(table).filter(written => written !== row);
            this.histories.set(
                table,
                [...others, { ...row, version }].sort((a, b) => a.version - b.version),
            );
        }
    }

    /** The latest version. */
    get latestVersion(): number {
        return this.version;
    }

    read(table: string, key: string): unknown {
        const value = this.rowsOf(table).get(key)?.value;
        return value === undefined ? undefined : JSON.parse(value.toString());
    }

    snapshot(table: string): Promise<Result<TableSnapshot, PlatformError>> {
        this.calls.snapshot++;
        const rows = [...this.rowsOf(table).values()].filter(({ value }) => value !== undefined);
        return this.reply(() => ({ rows, version: this.version }));
    }

    row(table: string, key: string): Promise<Result<RowReading, PlatformError>> {
        this.calls.row++;
        const row = this.rowsOf(table).get(key);
        const storeMs = this.storeMs();
        return this.reply(() => ({ row: row?.value === undefined ? undefined : row, storeMs }));
    }

    async changes(
        table: string,
        after: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<Result<TableChanges, PlatformError>> {
        this.calls.changes++;
        if (this.historyLost) {
            this.historyLost = false;
            return this.reply(() => ({ type: "history-lost" }));
        }
        if (after > this.version) {
            return this.reply(() => ({ type: "history-lost" }));
        }
        const changed = () => {
            const history = this.historyOf(table);
            const first = history.findLastIndex(({ version }) => version <= after) + 1;
            return history.slice(first);
        };
        if (changed().length === 0 && this.fault === undefined) {
            await this.waitForChange(waitMs, signal);
        }
        if (signal?.aborted === true) {
            return err({ type: "platform-unknown", detail: "aborted" });
        }
        if (after > this.version) {
            return this.reply(() => ({ type: "history-lost" }));
        }
        const rows = changed();
        return this.reply(() => ({ type: "changes", rows, version: this.version }));
    }

    private waitForChange(waitMs: number, signal: AbortSignal | undefined): Promise<void> {
        if (waitMs <= 0) {
            // A timer takes a millisecond or more of real time, in which a manual clock may pass any time.
            return new Promise(resolve => setImmediate(resolve));
        }
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, waitMs);
            timer.unref();
            signal?.addEventListener("abort", wake);
            this.waiting.add(wake);
        });
    }

    /** Increments the version and wakes the calls that wait for changes. */
    private nextVersion(): void {
        this.version++;
        queueMicrotask(() => this.waiting.forEach(wake => wake()));
    }

    transact(transaction: RowTransaction): Promise<Result<TransactionOutcome, PlatformError>> {
        this.calls.transact++;
        if (this.fault === "down") {
            return this.reply(() => ({ type: "conflict" }));
        }
        const holds = transaction.expected.every(({ table, key, version }) => {
            const row = this.rowsOf(table).get(key);
            return (row?.value === undefined ? 0 : row.version) === version;
        });
        if (!holds) {
            return this.reply(() => ({ type: "conflict" }));
        }
        this.nextVersion();
        transaction.puts.forEach(({ table, key, value }) => this.write(table, key, value));
        transaction.deletes?.forEach(({ table, key }) => this.write(table, key, undefined));
        const committed = this.version;
        const storeMs = this.storeMs();
        return this.reply(() => ({ type: "committed", version: committed, storeMs }));
    }

    private write(table: string, key: string, value: Buffer | undefined): void {
        const row = { key, value, version: this.version };
        this.rowsOf(table).set(key, row);
        this.historyOf(table).push(row);
    }

    private historyOf(table: string): StoredRow[] {
        const history = this.histories.get(table) ?? [];
        this.histories.set(table, history);
        return history;
    }

    private rowsOf(table: string): Map<string, StoredRow> {
        const rows = this.tables.get(table) ?? new Map<string, StoredRow>();
        this.tables.set(table, rows);
        return rows;
    }

    private reply<Value>(value: () => Value): Promise<Result<Value & StoreAnswer, PlatformError>> {
        switch (this.fault) {
            case "down":
                return Promise.resolve(err({ type: "platform-unavailable", detail: "down" }));
            case "answer-lost":
                return Promise.resolve(err({ type: "platform-unknown", detail: "no answer" }));
            default:
                return Promise.resolve(ok({ ...value(), era: this.era }));
        }
    }
}
