import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { refuse, type Refusal } from "../../request/refusal.js";
import type { Clock } from "../runtime/clock.js";
import { recordedIdentifierSchema, type RecordedIdentifier } from "./identifierRecord.js";
import type { PlatformError } from "../store/platformError.js";
import type { RowCondition, RowWrite, TransactionResult } from "../store/platformTable.js";
import { targetRowKey, targetRowSchema, type TargetRow, type VersionedRow } from "../store/rows.js";

/** Longest wait of an identifier before its batch is written. With 40 ms, ten busy targets make 250 writes/s. */
export const DEFAULT_BATCH_DELAY_MS = 40;
/** Maximum number of identifiers in a batch, and therefore in a row. */
export const DEFAULT_BATCH_SIZE = 64;
/** Maximum number of concurrent batch writes, so that a write whose reply is lost doesn't delay the others. */
export const DEFAULT_BATCHES_IN_FLIGHT = 4;
/** Maximum number of identifiers that wait for a batch; further requests are refused. */
export const DEFAULT_WAITING_IDENTIFIERS = 1_024;
/** Maximum number of old rows deleted in the transaction of a batch. With less than 1, rows would accumulate. */
export const DEFAULT_DELETIONS_PER_BATCH = 2;
/** Maximum number of old rows deleted in a separate transaction while no batches are written. */
export const DELETIONS_PER_PRUNING = 32;
/** Minimum time between two separate transactions that delete old rows. */
export const DEFAULT_PRUNING_PAUSE_MS = 10_000;

/** Sends a conditional transaction with the guarantees of `PlatformTable.transact`. */
export type Transact = (
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
) => Promise<Result<TransactionResult, PlatformError>>;

/** Reads all rows under a prefix, as `PlatformTable.scan` does. */
export type Scan = (prefix: string) => Promise<Result<{ rows: VersionedRow[] }, PlatformError>>;

/** Row `record/<service>/<target>/<term>-<n>`: identifiers that were recorded before their dispatch. */
export const recordRowSchema = z.object({
    /** Time of the newest identifier of the row, in milliseconds since the Unix epoch. */
    newestMs: z.number().int().min(0),
    identifiers: z.array(recordedIdentifierSchema.omit({ answer: true })),
    attempt: z.string(),
});
export type RecordRow = z.infer<typeof recordRowSchema>;

/** A row of the record and the time of its newest identifier. */
export interface RecordRowAge {
    key: string;
    newestMs: number;
}

/** An identifier to be recorded before its request is dispatched. */
export interface DurableEntry {
    recorded: Omit<RecordedIdentifier, "answer">;
    timeMs: number;
    /**
     * Version of the target's row under which the identifier record admitted the request. A batch under a later version
     * omits it, since another dispatcher may have run the request in between.
     */
    rowVersion: number;
    /** Called just before the batch is written; an abandoned request is omitted and refused as not run. */
    isWanted: () => boolean;
}

/** Why an identifier was not recorded for dispatch. None of these requests runs for this submission. */
export type DurableRefusal =
    /** The target's row changed. The request is to be routed again by the newer row, if the table returned one. */
    | { type: "row-changed"; row: VersionedRow | undefined; refusal: Refusal }
    | { type: "record-unavailable"; refusal: Refusal }
    | { type: "given-up"; refusal: Refusal };

/** The target's row as this dispatcher holds it. */
export interface HeldTargetRow {
    version: number;
    value: TargetRow;
}

interface TrackedRow extends RecordRowAge {
    /** Monotonic time before which the row is kept even if the wall clock was set forward. */
    keptUntil: number;
}

interface WaitingEntry {
    entry: DurableEntry;
    settle: (result: Result<void, DurableRefusal>) => void;
}

/** Why the durable record could not be read. */
export type DurableReadError = PlatformError | { type: "record-malformed"; key: string; detail: string };

/** The durable record of a service as read back. */
export interface DurableContents {
    identifiers: RecordedIdentifier[];
    rows: RecordRowAge[];
}

const recordPrefix = (service: string) => `record/${service}/`;
const PRUNING_MARKER = "pruned";

/**
 * Reads the recorded identifiers of a service. All targets are included, because slices move between them, and so are
 * old identifiers that haven't been deleted yet; `IdentifierRecord.importIdentifiers` keeps those within the window. To
 * be called after the commit of the transaction that made this instance the dispatcher, since no earlier dispatcher can
 * add to the record from then on. A row that can't be parsed is an error, since skipping it could let a request run
 * twice.
 *
 * @example
 * const contents = await readDurableRecord(prefix => table.scan(prefix), "payout");
 * contents.map(({ identifiers }) => record.importIdentifiers("payout", identifiers));
 */
export const readDurableRecord = async (
    scan: Scan,
    service: string,
): Promise<Result<DurableContents, DurableReadError>> => {
    const scanned = await scan(recordPrefix(service));
    if (scanned.isErr()) {
        return err(scanned.error);
    }
    const contents: DurableContents = { identifiers: [], rows: [] };
    for (const { key, value } of scanned.value.rows) {
        if (key.endsWith(`/${PRUNING_MARKER}`) || value === undefined) {
            continue;
        }
        const row = recordRowSchema.safeParse(value);
        if (!row.success) {
            return err({ type: "record-malformed", key, detail: row.error.message });
        }
        contents.rows.push({ key, newestMs: row.data.newestMs });
        contents.identifiers.push(...row.data.identifiers);
    }
    return ok(contents);
};

/**
 * Records identifiers of one target in the platform's table before their requests are dispatched, in batches.
 *
 * A batch is conditional on the version of the target's row, so a superseded dispatcher can't record anything. A
 * request is dispatched only after a confirmed commit; results that become known later are not used. A request that is
 * refused here therefore never runs for this submission, even if its batch turns out to be committed. The table may
 * still contain its identifier: a resend through this dispatcher is recorded again and runs, and a resend through a
 * later dispatcher is refused as already run, which is safe.
 *
 * @example
 * const recorded = await durable.commit({ recorded, timeMs, isWanted: () => !request.aborted });
 * recorded.match(dispatch, ({ refusal }) => answer(refusal));
 */
export class DurableRecord {
    private readonly clock: Clock;
    private readonly transact: Transact;
    private readonly heldRow: () => HeldTargetRow | undefined;
    private readonly retentionMs: number;
    private readonly limits: { delayMs: number; size: number; inFlight: number; waiting: number; deletions: number };
    private waiting: WaitingEntry[] = [];
    private inFlight = 0;
    private nextNumber = 0;
    private isTimerSet = false;
    private hasDelayPassed = false;
    /** Rows to be deleted once they are old enough, roughly the oldest first. */
    private readonly rows: TrackedRow[] = [];
    private prunedAt = -Infinity;
    /** Batches and identifiers written, rows deleted, and batches with an unknown result, for the capacity figures. */
    readonly counters = { batches: 0, identifiers: 0, deletions: 0, unknownBatches: 0 };

    constructor(options: {
        clock: Clock;
        transact: Transact;
        /** The target's row while this instance is its dispatcher. */
        heldRow: () => HeldTargetRow | undefined;
        /** Age at which rows are deleted: the identifier window and a margin of 4 clock skews. */
        retentionMs: number;
        batchDelayMs?: number;
        batchSize?: number;
        batchesInFlight?: number;
        waitingIdentifiers?: number;
        deletionsPerBatch?: number;
    }) {
        this.clock = options.clock;
        this.transact = options.transact;
        this.heldRow = options.heldRow;
        this.retentionMs = options.retentionMs;
        this.limits = {
            delayMs: options.batchDelayMs ?? DEFAULT_BATCH_DELAY_MS,
            size: options.batchSize ?? DEFAULT_BATCH_SIZE,
            inFlight: options.batchesInFlight ?? DEFAULT_BATCHES_IN_FLIGHT,
            waiting: options.waitingIdentifiers ?? DEFAULT_WAITING_IDENTIFIERS,
            deletions: options.deletionsPerBatch ?? DEFAULT_DELETIONS_PER_BATCH,
        };
    }

    /** Makes this dispatcher delete rows that an earlier one wrote, once they are old enough. */
    adoptRows(rows: readonly RecordRowAge[]): void {
        [...rows].sort((a, b) => a.newestMs - b.newestMs).forEach(row => this.trackRow(row));
    }

    /** Records an identifier. The request may be dispatched only if the result is ok. */
    commit(entry: DurableEntry): Promise<Result<void, DurableRefusal>> {
        if (this.waiting.length >= this.limits.waiting) {
            return Promise.resolve(err(unavailable(`${this.waiting.length} identifiers wait to be recorded.`)));
        }
        return new Promise(settle => {
            this.waiting.push({ entry, settle });
            this.isTimerSet ||= this.startDelay();
            this.flush();
        });
    }

    /**
     * Deletes old rows while no batches are written. To be called periodically; it writes at most once per
     * `DEFAULT_PRUNING_PAUSE_MS`, in one transaction that deletes at most `DELETIONS_PER_PRUNING` rows.
     */
    async prune(): Promise<void> {
        const held = this.heldRow();
        const nowMs = this.clock.monotonicMs();
        if (held === undefined || nowMs - this.prunedAt < DEFAULT_PRUNING_PAUSE_MS) {
            return;
        }
        const old = this.takeExpiredRows(DELETIONS_PER_PRUNING);
        if (old.length === 0) {
            return;
        }
        this.prunedAt = nowMs;
        const { service, target } = held.value;
        // At least one written row must have a value, which holds the identifier of the transaction.
        const marker = {
            key: `${recordPrefix(service)}${target}/${PRUNING_MARKER}`,
            value: { prunedAtMs: this.clock.wallMs() },
        };
        const result = await this.transact([], [marker, ...deletionsOf(old)]);
        this.finishDeletions(old, result.isOk() && result.value.type === "committed");
    }

    private startDelay(): boolean {
        this.clock.setTimer(this.limits.delayMs, () => {
            this.isTimerSet = false;
            this.hasDelayPassed = true;
            this.flush();
        });
        return true;
    }

    /** Writes full batches, and a partial one after the batch delay, up to the limit of writes in flight. */
    private flush(): void {
        while (this.inFlight < this.limits.inFlight) {
            if (this.waiting.length < this.limits.size && !(this.hasDelayPassed && this.waiting.length > 0)) {
                break;
            }
            const batch = this.waiting.splice(0, this.limits.size);
            this.inFlight++;
            void this.write(batch).finally(() => {
                this.inFlight--;
                this.flush();
            });
        }
        if (this.waiting.length === 0) {
            this.hasDelayPassed = false;
        }
    }

    private async write(batch: readonly WaitingEntry[]): Promise<void> {
        const held = this.heldRow();
        const current: WaitingEntry[] = [];
        for (const waiting of batch) {
            if (held?.version !== waiting.entry.rowVersion) {
                waiting.settle(err(rowChanged(undefined)));
            } else if (!waiting.entry.isWanted()) {
                const refusal = refuse("deadline-passed", "It was given up before it was recorded.");
                waiting.settle(err({ type: "given-up", refusal }));
            } else {
                current.push(waiting);
            }
        }
        if (held === undefined || current.length === 0) {
            return;
        }
        const entries = current.map(({ entry }) => entry);
        const result = await this.writeEntries(held, entries).catch((error: unknown) =>
            err(unavailable(error instanceof Error ? error.message : String(error))),
        );
        current.forEach(({ settle }) => settle(result));
    }

    private async writeEntries(
        held: HeldTargetRow,
        entries: readonly DurableEntry[],
    ): Promise<Result<void, DurableRefusal>> {
        const { service, target, term } = held.value;
        const targetKey = targetRowKey(service, target);
        // Numbers are never reused, not even after a write with an unknown result, which may still be committed.
        const key = `${recordPrefix(service)}${target}/${term}-${this.nextNumber++}`;
        const newestMs = Math.max(...entries.map(({ timeMs }) => timeMs));
        const old = this.takeExpiredRows(this.limits.deletions);
        const result = await this.transact(
            [
                { key: targetKey, version: held.version },
                { key, version: 0 },
            ],
            [{ key, value: { newestMs, identifiers: entries.map(({ recorded }) => recorded) } }, ...deletionsOf(old)],
        );
        this.finishDeletions(old, result.isOk() && result.value.type === "committed");
        if (result.isErr()) {
            if (result.error.type !== "platform-unavailable") {
                this.counters.unknownBatches++;
                // The row may be in the table, so it must be deleted once it is old enough.
                this.trackRow({ key, newestMs });
            }
            return err(unavailable(result.error.detail));
        }
        if (result.value.type === "conflict") {
            const changed = result.value.rows.find(row => row.key === targetKey);
            return changed === undefined && result.value.rows.some(row => row.key === key)
                ? err(unavailable(`Row ${key} exists already.`))
                : err(rowChanged(changed));
        }
        this.counters.batches++;
        this.counters.identifiers += entries.length;
        this.trackRow({ key, newestMs });
        return ok(undefined);
    }

    private trackRow(row: RecordRowAge): void {
        this.rows.push({ ...row, keptUntil: this.clock.monotonicMs() + this.retentionMs });
    }

    private takeExpiredRows(most: number): TrackedRow[] {
        const oldestMs = this.clock.wallMs() - this.retentionMs;
        const nowMs = this.clock.monotonicMs();
        let count = 0;
        while (count < Math.min(most, this.rows.length)) {
            const { newestMs, keptUntil } = this.rows[count];
            if (newestMs >= oldestMs || keptUntil > nowMs) {
                break;
            }
            count++;
        }
        return this.rows.splice(0, count);
    }

    private finishDeletions(old: readonly TrackedRow[], deleted: boolean): void {
        if (deleted) {
            this.counters.deletions += old.length;
        } else {
            this.rows.unshift(...old);
        }
    }
}

const deletionsOf = (rows: readonly RecordRowAge[]): RowWrite[] => rows.map(({ key }) => ({ key, value: undefined }));

const unavailable = (detail: string): DurableRefusal => ({
    type: "record-unavailable",
    refusal: refuse("record-unavailable", detail),
});

const rowChanged = (row: VersionedRow | undefined): DurableRefusal => {
    const parsed = targetRowSchema.safeParse(row?.value);
    const now = parsed.success ? `dispatcher ${parsed.data.dispatcher}, term ${parsed.data.term}` : "not known";
    return {
        type: "row-changed",
        row,
        refusal: refuse("not-dispatcher", `The target's row changed before the request was recorded; now: ${now}.`),
    };
};
