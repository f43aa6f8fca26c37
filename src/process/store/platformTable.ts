import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import { v7 as uuidv7 } from "uuid";
import { z } from "zod";
import type { Clock } from "../runtime/clock.js";
import type { PlatformError } from "./platformError.js";
import { MAX_PLATFORM_RESPONSE_BYTES } from "./platformResponse.js";
import type { VersionedRow } from "./rows.js";

/** Timeout of a request to the table service, in milliseconds. */
export const DEFAULT_TABLE_TIMEOUT_MS = 1_000;
/** Time limit for determining the result of a transaction whose reply was lost, in milliseconds. */
export const DEFAULT_RESOLUTION_LIMIT_MS = 10_000;
/** Number of rows that a scan reads per request. */
const SCAN_PAGE_ROWS = 500;
/** Delay between two attempts to determine the result of a transaction, in milliseconds. */
export const RESOLUTION_PAUSE_MS = 100;

const rowSchema = z.object({ key: z.string(), version: z.number().int(), value: z.unknown().optional() });
const rowsAnswerSchema = z.object({
    revision: z.number().int(),
    rows: z.array(rowSchema),
    next: z.string().optional(),
});
const conflictAnswerSchema = z.object({ conflicts: z.array(rowSchema) });

/** A condition of a transaction: the row must have this version; 0 means that it must be absent or deleted. */
export interface RowCondition {
    key: string;
    version: number;
}

/** A write of a transaction. Without a value the row is deleted. The table client adds `attempt` to the value. */
export interface RowWrite {
    key: string;
    value: Record<string, unknown> | undefined;
}

/** The result of a transaction that the table decided. */
export type TransactionResult =
    { type: "committed"; rows: VersionedRow[] } | { type: "conflict"; rows: VersionedRow[] };

/** Rows read from the table, and the revision up to which they are complete. */
export interface TableRows {
    revision: number;
    rows: VersionedRow[];
}

interface TableAnswer {
    status: number;
    body: unknown;
}

const toVersionedRow = (row: z.infer<typeof rowSchema>): VersionedRow => ({
    key: row.key,
    version: row.version,
    value: row.value,
});

const attemptOf = (row: VersionedRow | undefined): unknown => {
    const value = row?.value;
    return typeof value === "object" && value !== null && "attempt" in value ? value.attempt : undefined;
};

/**
 * Client of the platform's table service.
 *
 * @example
 * const table = new PlatformTable({ url: "http://127.0.0.1:7000", clock: systemClock });
 * const result = await table.transact([{ key: "service/stock", version: 0 }], [{ key: "service/stock", value: {} }]);
 */
export class PlatformTable {
    private readonly pool: Pool;
    private readonly clock: Clock;
    private readonly timeoutMs: number;
    private readonly resolutionLimitMs: number;
    /** Numbers of reads and writes sent and of failures, for the capacity figures. */
    readonly counters = { reads: 0, writes: 0, failures: 0 };
    private lastSuccessAt: number | undefined;

    constructor(options: { url: string; clock: Clock; timeoutMs?: number; resolutionLimitMs?: number }) {
        this.pool = new Pool(options.url, {
            connections: 8,
            pipelining: 1,
            maxResponseSize: MAX_PLATFORM_RESPONSE_BYTES,
        });
        this.clock = options.clock;
        this.timeoutMs = options.timeoutMs ?? DEFAULT_TABLE_TIMEOUT_MS;
        this.resolutionLimitMs = options.resolutionLimitMs ?? DEFAULT_RESOLUTION_LIMIT_MS;
    }

    /** Milliseconds since the table last answered, or `undefined` before the first answer. */
    silenceMs(): number | undefined {
        return this.lastSuccessAt === undefined ? undefined : this.clock.monotonicMs() - this.lastSuccessAt;
    }

    async dispose(): Promise<void> {
        await this.pool.destroy();
    }

    /** Reads rows by key. Absent rows are omitted. */
    async read(keys: readonly string[]): Promise<Result<TableRows, PlatformError>> {
        const query = keys.map(key => `key=${encodeURIComponent(key)}`).join("&");
        return this.readRows(`/table/rows?${query}`);
    }

    /** Reads all rows whose keys start with `prefix`, page by page. Deleted rows are omitted. */
    async scan(prefix: string): Promise<Result<TableRows, PlatformError>> {
        const rows: VersionedRow[] = [];
        let after = "";
        let revision: number | undefined;
        for (;;) {
            const answer = await this.page(prefix, after, SCAN_PAGE_ROWS);
            if (answer.isErr()) {
                return err(answer.error);
            }
            rows.push(...answer.value.rows);
            // Later pages may contain newer rows; the rows are complete only up to the first page's revision.
            revision ??= answer.value.revision;
            if (answer.value.next === undefined) {
                return ok({ revision, rows });
            }
            after = answer.value.next;
        }
    }

    /** Reads up to `limit` rows under a prefix with keys greater than `after`. `next` is unset on the last page. */
    async page(
        prefix: string,
        after: string,
        limit: number,
    ): Promise<Result<TableRows & { next: string | undefined }, PlatformError>> {
        const query = `prefix=${encodeURIComponent(prefix)}&after=${encodeURIComponent(after)}&limit=${limit}`;
        return this.readPage(`/table/rows?${query}`);
    }

    /** Reads the rows under the prefixes that changed after a revision, deleted ones included. */
    async changes(since: number, prefixes: readonly string[]): Promise<Result<TableRows, PlatformError>> {
        const query = prefixes.map(prefix => `&prefix=${encodeURIComponent(prefix)}`).join("");
        return this.readRows(`/table/changes?since=${since}${query}`);
    }

    /**
     * Applies all writes if all conditions hold. If the reply is lost, the transaction is sent again and the rows are
     * read back until the result is known or the resolution limit has passed; `platform-unknown` then means that both
     * results are possible. At least one written row must have a value, because the attempt identifier is stored there,
     * and at least one condition must be on a written row, so that a resent transaction can't be applied twice. A
     * `conflict` after a lost reply may also mean that the writes were applied and all of them have been overwritten
     * since.
     */
    async transact(
        conditions: readonly RowCondition[],
        writes: readonly RowWrite[],
    ): Promise<Result<TransactionResult, PlatformError>> {
        const attempt = uuidv7();
        const body = JSON.stringify({
            attempt,
            conditions,
            writes: writes.map(({ key, value }) =>
                value === undefined ? { key, delete: true } : { key, value: { ...value, attempt } },
            ),
        });
        const giveUpAt = this.clock.monotonicMs() + this.resolutionLimitMs;
        let isResultUnknown = false;
        for (;;) {
            this.counters.writes++;
            const answer = await this.send("POST", "/table/transactions", body);
            if (answer.isOk()) {
                const decided = this.parseTransactionAnswer(answer.value);
                if (decided?.isOk() && decided.value.type === "conflict" && isResultUnknown) {
                    const resolved = await this.resolveUnknownConflict(decided.value.rows, attempt, writes);
                    if (resolved !== undefined) {
                        return ok(resolved);
                    }
                } else if (decided !== undefined) {
                    return decided;
                }
            }
            if (answer.isOk() && answer.value.status === 503 && !isResultUnknown) {
                return err({ type: "platform-unavailable", detail: "The table service answered 503." });
            }
            if (answer.isErr() && answer.error.type === "platform-unavailable" && !isResultUnknown) {
                return err(answer.error);
            }
            isResultUnknown = true;
            if (this.clock.monotonicMs() >= giveUpAt) {
                return err({ type: "platform-unknown", detail: "The reply to a transaction was lost." });
            }
            await new Promise<void>(resolve => this.clock.setTimer(RESOLUTION_PAUSE_MS, resolve));
            // Resending the same conditional transaction resolves an unknown result: it either commits now, or it
            // conflicts, and then the written rows show whether it had committed before.
        }
    }

    /**
     * Resolves a conflict of a transaction that may have committed before. The conflicting rows aren't sufficient: a
     * deleted row carries no attempt, and a row written without a condition isn't among them. Returns `undefined` if
     * the rows couldn't be read back.
     */
    private async resolveUnknownConflict(
        conflicts: VersionedRow[],
        attempt: string,
        writes: readonly RowWrite[],
    ): Promise<TransactionResult | undefined> {
        const answer = await this.read(writes.filter(({ value }) => value !== undefined).map(({ key }) => key));
        if (answer.isErr()) {
            return undefined;
        }
        const present = answer.value.rows;
        if (!present.some(row => attemptOf(row) === attempt)) {
            return { type: "conflict", rows: conflicts };
        }
        const deleted = conflicts.filter(row =>
            writes.some(({ key, value }) => key === row.key && value === undefined),
        );
        return { type: "committed", rows: [...present, ...deleted] };
    }

    private parseTransactionAnswer(answer: TableAnswer): Result<TransactionResult, PlatformError> | undefined {
        if (answer.status === 200) {
            const parsed = rowsAnswerSchema.safeParse(answer.body);
            if (!parsed.success) {
                return err({ type: "platform-protocol", detail: parsed.error.message });
            }
            return ok({ type: "committed", rows: parsed.data.rows.map(toVersionedRow) });
        }
        if (answer.status === 409) {
            const parsed = conflictAnswerSchema.safeParse(answer.body);
            if (!parsed.success) {
                return err({ type: "platform-protocol", detail: parsed.error.message });
            }
            return ok({ type: "conflict", rows: parsed.data.conflicts.map(toVersionedRow) });
        }
        if (answer.status === 503) {
            return undefined;
        }
        return err({ type: "platform-protocol", detail: `The table service answered ${answer.status}.` });
    }

    private async readRows(path: string): Promise<Result<TableRows, PlatformError>> {
        const page = await this.readPage(path);
        return page.map(({ revision, rows }) => ({ revision, rows }));
    }

    private async readPage(path: string): Promise<Result<TableRows & { next: string | undefined }, PlatformError>> {
        this.counters.reads++;
        const answer = await this.send("GET", path, undefined);
        if (answer.isErr()) {
            return err(answer.error);
        }
        if (answer.value.status !== 200) {
            return err({ type: "platform-unavailable", detail: `The table service answered ${answer.value.status}.` });
        }
        const parsed = rowsAnswerSchema.safeParse(answer.value.body);
        if (!parsed.success) {
            return err({ type: "platform-protocol", detail: parsed.error.message });
        }
        const { revision, rows, next } = parsed.data;
        return ok({ revision, rows: rows.map(toVersionedRow), next });
    }

    private async send(
        method: "GET" | "POST",
        path: string,
        body: string | undefined,
    ): Promise<Result<TableAnswer, PlatformError>> {
        try {
            const response = await this.pool.request({
                method,
                path,
                body,
                headers: body === undefined ? {} : { "content-type": "application/json" },
                signal: AbortSignal.timeout(this.timeoutMs),
            });
            // A 503 may come from a load balancer, so its body need not be JSON. It still means that nothing was done.
            const parsed: unknown =
                response.statusCode === 503 ? await response.body.text() : await response.body.json();
            if (response.statusCode < 500) {
                this.lastSuccessAt = this.clock.monotonicMs();
            }
            return ok({ status: response.statusCode, body: parsed });
        } catch (error) {
            this.counters.failures++;
            // Not `instanceof Error`, which is false for errors of Node's own realm if a test runner uses another
            // realm.
            const { code, message } = error as Partial<NodeJS.ErrnoException>;
            const detail = message ?? "The table service gave no answer.";
            // Only a refused connection proves that nothing was sent.
            return code === "ECONNREFUSED"
                ? err({ type: "platform-unavailable", detail })
                : err({ type: "platform-unknown", detail });
        }
    }
}
