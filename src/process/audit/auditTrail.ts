import type { Result } from "neverthrow";
import {
    auditChainStart,
    withAuditDigest,
    auditRecordSchema,
    auditRowKey,
    makeAuditRecord,
    type AuditChain,
    type AuditChange,
    type AuditRecord,
} from "./auditRecord.js";
import type { Clock, TimerCancellation } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import type { PlatformError } from "../store/platformError.js";
import type { VersionedRow } from "../store/rows.js";
import type { RowCondition, RowWrite, TransactionResult } from "../store/platformTable.js";

/** Delay between a change and the write of its batch, so that changes made together share a transaction. */
export const DEFAULT_AUDIT_BATCH_MS = 200;
/** Maximum number of records in a transaction. */
export const DEFAULT_AUDIT_BATCH_RECORDS = 64;
/** Maximum number of records buffered while the platform is down. At about 1 KB each, they take 2 MB. */
export const DEFAULT_AUDIT_BUFFER_RECORDS = 2_000;
/** Delay after a failed write; doubled with each failure up to {@link MAX_AUDIT_RETRY_MS}. */
export const DEFAULT_AUDIT_RETRY_MS = 500;
export const MAX_AUDIT_RETRY_MS = 10_000;

/** Writes rows under conditions; implemented by `PlatformTable.transact`. */
export type AuditRowsWriter = (
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
) => Promise<Result<TransactionResult, PlatformError>>;

/** State of a chain and its buffer. */
export interface AuditHead {
    chain: AuditChain;
    /** Number of records known to be in the table. */
    written: number;
    /** Number of records created but not yet known to be in the table. */
    buffered: number;
    /** Number of records dropped since the last gap record was created. */
    dropped: number;
}

/**
 * The audit trail of one incarnation of an instance. Records are chained when they are created and written in order,
 * each under the condition that its row is absent.
 *
 * A write whose result is unknown is repeated. If the first write took effect, the repetition conflicts with its rows,
 * which are recognized by their digests, so that no record is lost or written twice. While the platform is down,
 * records are kept in a bounded buffer; records that don't fit are dropped, and a gap record states their number.
 *
 * If a row of the chain holds a foreign record, the remaining records go to a new chain, whose incarnation has the
 * suffix `.2`, `.3` and so on.
 *
 * @example
 * const trail = new AuditTrail({ chain, clock, logger, write: (conditions, writes) => table.transact(conditions, writes) });
 * trail.append({ action: "takeover", subject: "target/stock/t1", actor: "a1", cause: "a2 is silent.", before, after });
 */
export class AuditTrail {
    private chain: AuditChain;
    private readonly firstIncarnation: string;
    private chainNumber = 1;
    private readonly clock: Clock;
    private readonly logger: Logger;
    private readonly write: AuditRowsWriter;
    private readonly batchMs: number;
    private readonly batchRecords: number;
    private readonly bufferRecords: number;
    private buffer: AuditRecord[] = [];
    private sequence = 0;
    private previous: string;
    private dropped = 0;
    private written = 0;
    private retryMs = DEFAULT_AUDIT_RETRY_MS;
    private cancelTimer: TimerCancellation | undefined;
    private flushing: Promise<boolean> | undefined;
    private closed = false;
    /** True once the closing record has been created. */
    private hasClosingRecord = false;

    constructor(options: {
        chain: AuditChain;
        clock: Clock;
        logger: Logger;
        write: AuditRowsWriter;
        batchMs?: number;
        batchRecords?: number;
        bufferRecords?: number;
    }) {
        this.chain = options.chain;
        this.firstIncarnation = options.chain.incarnation;
        this.clock = options.clock;
        this.logger = options.logger;
        this.write = options.write;
        this.batchMs = options.batchMs ?? DEFAULT_AUDIT_BATCH_MS;
        this.batchRecords = options.batchRecords ?? DEFAULT_AUDIT_BATCH_RECORDS;
        this.bufferRecords = options.bufferRecords ?? DEFAULT_AUDIT_BUFFER_RECORDS;
        this.previous = auditChainStart(options.chain);
        this.appendChainRecord("opened", "The instance has started.");
    }

    /** Records a change. Never fails or blocks; the record is written later. */
    append(change: AuditChange): void {
        if (this.closed || this.buffer.length >= this.bufferRecords) {
            if (this.dropped === 0) {
                this.logger.error("Audit records are being dropped.", { buffered: this.buffer.length });
            }
            this.dropped++;
            return;
        }
        this.addRecord(change, 0);
        this.schedule(this.batchMs);
    }

    /**
     * Records a change and waits until it is in the table. Returns false if that is uncertain; the record may still be
     * written.
     */
    async appendWritten(change: AuditChange): Promise<boolean> {
        const { chain, sequence } = this;
        this.append(change);
        if (this.sequence === sequence) {
            return false;
        }
        while (this.chain === chain && this.written <= sequence) {
            if (!(await this.flush())) {
                return false;
            }
        }
        return this.chain === chain;
    }

    /** Current state of the chain. */
    head(): AuditHead {
        const { chain, written, dropped } = this;
        return { chain, written, dropped, buffered: this.buffer.length };
    }

    /**
     * Adds the closing record and tries to write all buffered records within `limitMs` milliseconds. Returns the number
     * of records that are not known to be in the table. Changes reported later are counted as dropped.
     */
    async close(limitMs: number): Promise<number> {
        this.closed = true;
        this.cancelTimer?.();
        const giveUpAt = this.clock.monotonicMs() + limitMs;
        while (this.clock.monotonicMs() < giveUpAt) {
            // The closing record is created once the buffer has room for it, after any gap record.
            if (!this.hasClosingRecord && this.buffer.length < this.bufferRecords) {
                this.appendChainRecord("closed", "The instance has shut down.");
                this.hasClosingRecord = true;
            }
            if (this.buffer.length === 0) {
                break;
            }
            const advanced = await this.flush();
            if (!advanced) {
                await new Promise<void>(resolve => this.clock.setTimer(DEFAULT_AUDIT_RETRY_MS, resolve));
            }
        }
        this.cancelTimer?.();
        return this.buffer.length + this.dropped;
    }

    /** Writes one batch now. Returns whether the trail advanced or nothing was buffered. */
    flush(): Promise<boolean> {
        this.flushing ??= this.writeBatch().finally(() => {
            this.flushing = undefined;
        });
        return this.flushing;
    }

    private addRecord(change: AuditChange, dropped: number): void {
        const position = { sequence: this.sequence, previous: this.previous, at: this.clock.wallMs(), dropped };
        const record = makeAuditRecord(this.chain, position, change);
        this.sequence++;
        this.previous = record.digest;
        this.buffer.push(record);
    }

    private appendChainRecord(action: "opened" | "closed" | "gap", cause: string, dropped = 0): void {
        const { domain, instance } = this.chain;
        this.addRecord({ action, subject: `member/${domain}/${instance}`, actor: instance, cause }, dropped);
        this.schedule(this.batchMs);
    }

    private schedule(delayMs: number): void {
        if (this.cancelTimer !== undefined || this.closed) {
            return;
        }
        this.cancelTimer = this.clock.setTimer(delayMs, () => {
            this.cancelTimer = undefined;
            void this.flush().then(advanced => {
                if (this.buffer.length === 0) {
                    return;
                }
                this.schedule(advanced ? 0 : this.retryMs);
                this.retryMs = advanced ? DEFAULT_AUDIT_RETRY_MS : Math.min(MAX_AUDIT_RETRY_MS, this.retryMs * 2);
            });
        });
    }

    private async writeBatch(): Promise<boolean> {
        const batch = this.buffer.slice(0, this.batchRecords);
        if (batch.length === 0) {
            return true;
        }
        const result = await this.write(
            batch.map(record => ({ key: auditRowKey(record, record.sequence), version: 0 })),
            batch.map(record => ({ key: auditRowKey(record, record.sequence), value: record })),
        );
        if (result.isErr()) {
            this.logger.warn("Audit records couldn't be written.", {
                reason: result.error.type,
                buffered: this.buffer.length,
            });
            return false;
        }
        if (result.value.type === "committed") {
            this.markWritten(batch.length);
            return true;
        }
        return this.resolveConflict(batch, result.value.rows);
    }

    /** Marks the records as written whose rows are among the conflicting ones. Returns whether the trail advanced. */
    private resolveConflict(batch: readonly AuditRecord[], rows: readonly VersionedRow[]): boolean {
        const present = new Map(rows.map(row => [row.key, auditRecordSchema.safeParse(row.value).data?.digest]));
        const keyOf = (record: AuditRecord) => auditRowKey(record, record.sequence);
        const firstAbsent = batch.findIndex(record => present.get(keyOf(record)) !== record.digest);
        const presentCount = firstAbsent === -1 ? batch.length : firstAbsent;
        this.markWritten(presentCount);
        const foreign = batch.slice(presentCount).find(record => present.has(keyOf(record)));
        if (foreign !== undefined) {
            this.startNewChain(keyOf(foreign));
            return true;
        }
        return presentCount > 0;
    }

    private startNewChain(foreignKey: string): void {
        this.logger.error("A row of the audit trail holds a foreign record; a new chain begins.", { row: foreignKey });
        const unwritten = this.buffer;
        this.chainNumber++;
        this.chain = { ...this.chain, incarnation: `${this.firstIncarnation}.${this.chainNumber}` };
        this.buffer = [];
        this.sequence = 0;
        this.written = 0;
        this.previous = auditChainStart(this.chain);
        this.appendChainRecord("opened", `Row ${foreignKey} held a foreign record.`);
        for (const record of unwritten) {
            const { sequence, previous } = this;
            const moved = withAuditDigest({ ...record, ...this.chain, sequence, previous });
            this.sequence++;
            this.previous = moved.digest;
            this.buffer.push(moved);
        }
    }

    private markWritten(count: number): void {
        this.buffer.splice(0, count);
        this.written += count;
        if (this.dropped > 0 && !this.hasClosingRecord && this.buffer.length < this.bufferRecords) {
            const dropped = this.dropped;
            this.dropped = 0;
            this.appendChainRecord("gap", `${dropped} records were dropped while the platform was down.`, dropped);
        }
    }
}
