import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { RequestIdentifier } from "../../request/identifier.js";
import { refuse, type Refusal } from "../../request/refusal.js";
import { DEFAULT_CLOCK_SKEW_MS, DEFAULT_IDENTIFIER_WINDOW_MS } from "../../version/bundle.js";
import type { Clock } from "../runtime/clock.js";
import { IdentifierTable, type EntryKey, type TableEntry } from "./identifierTable.js";
import type { Slice } from "../store/rows.js";
import { slicesContain } from "../ownership/sliceMap.js";

/**
 * Maximum number of identifiers kept. Beyond it new non-idempotent requests are refused, so that no identifier is
 * dropped early. About 11 MB at the measured 56 bytes per entry.
 */
export const DEFAULT_RECORDED_IDENTIFIERS = 200_000;
/** Largest answer that is kept for replay to a resent request, in bytes. */
export const DEFAULT_RECORDED_ANSWER_BYTES = 16_384;
/** Memory for kept answers, in bytes. Beyond it the oldest answers are dropped; their identifiers stay. */
export const DEFAULT_RECORDED_ANSWERS_BYTES = 16 * 1024 * 1024;
/** Bytes counted for an answer besides its headers and body. */
const ANSWER_OVERHEAD_BYTES = 256;
/** Number of buckets that cover the identifier window; the identifiers of a bucket are dropped together. */
const BUCKETS_PER_WINDOW = 16;

/** A target's answer as kept for replay to a resent request. */
export interface RecordedAnswer {
    status: number;
    headers: [string, string][];
    body: Uint8Array;
}

/** Outcome of an admitted request. The answer is absent if it was too large to be kept. */
export type Settlement =
    { type: "answered"; answer: RecordedAnswer | undefined } | { type: "not-run" } | { type: "unknown" };

/** Permission to run a request once. It must be settled; calls after the first have no effect. */
export interface RunHandle {
    settle(settlement: Settlement): void;
    /** Sets the function that tells whether the request may have run. Until then it is assumed to. */
    setMayHaveRun(mayHaveRun: () => boolean): void;
}

/** Decision about a non-idempotent request. */
export type Admission =
    | { type: "run"; handle: RunHandle }
    /** The same request is running; its settlement also applies to this send. */
    | { type: "join"; settlement: Promise<Settlement> }
    | { type: "replay"; answer: RecordedAnswer }
    | { type: "refuse"; refusal: Refusal };

/** A non-idempotent request as presented to the record. */
export interface IdentifiedRequest {
    service: string;
    /** Position of the key, or of the identifier for services that are not divided by key. */
    position: number;
    identifier: RequestIdentifier;
    /** SHA-256 of method, path and body; at least 8 bytes. */
    fingerprint: Uint8Array;
    /** Wall time from which this dispatcher's record of the position is complete; see `RecordAuthority`. */
    authoritySinceMs: number;
}

/** An identifier in a handover or the durable record. */
export const recordedIdentifierSchema = z.object({
    position: z.number().int().min(0).max(0xffff_ffff),
    identifier: z.string().regex(/^[0-9a-f]{32}$/),
    fingerprint: z.string().regex(/^[0-9a-f]{16}$/),
    answer: z
        .object({
            status: z.number().int().min(100).max(999),
            headers: z.array(z.tuple([z.string(), z.string()])),
            body: z.base64(),
        })
        .optional(),
});
export type RecordedIdentifier = z.infer<typeof recordedIdentifierSchema>;

/** Reason why identifiers were not imported. */
export type ImportError = { type: "record-full"; limit: number; offered: number };

interface StoredAnswer {
    bucket: Bucket;
    index: number;
    answer: RecordedAnswer;
    bytes: number;
}

interface RunningRequest {
    settlement: Promise<Settlement>;
    settle: (settlement: Settlement) => void;
    mayHaveRun: () => boolean;
}

/** The identifiers of one time span of the window, which are dropped together. */
interface Bucket {
    table: IdentifierTable;
    running: Map<number, RunningRequest>;
    answers: Map<number, StoredAnswer>;
    dropped: boolean;
}

const timeOf = (identifier: Uint8Array): number => Buffer.from(identifier).readUIntBE(0, 6);

const answerBytes = ({ headers, body }: RecordedAnswer): number =>
    headers.reduce((sum, [name, value]) => sum + name.length + value.length, body.length + ANSWER_OVERHEAD_BYTES);

/**
 * The non-idempotent requests that one dispatcher has admitted within the identifier window.
 *
 * Identifiers are never dropped within the window: a full record refuses new requests instead. If the wall clock is set
 * back after identifiers were dropped, identifiers from the dropped time are still refused.
 *
 * @example
 * const admission = record.admit({ service, position, identifier, fingerprint, authoritySinceMs });
 * if (admission.type === "run") {
 *     admission.handle.settle(await dispatch());
 * }
 */
export class IdentifierRecord {
    private readonly clock: Clock;
    private readonly windowMs: number;
    private readonly skewMs: number;
    private readonly limits: { identifiers: number; answerBytes: number; answersBytes: number };
    private readonly bucketMs: number;
    private readonly buckets = new Map<number, Bucket>();
    private readonly services = new Map<string, number>();
    /** Kept answers, the oldest first. */
    private readonly answers = new Set<StoredAnswer>();
    private answersBytes = 0;
    private count = 0;
    private droppedBeforeMs = 0;

    constructor(options: {
        clock: Clock;
        windowMs?: number;
        skewMs?: number;
        maximumIdentifiers?: number;
        maximumAnswerBytes?: number;
        maximumAnswersBytes?: number;
    }) {
        this.clock = options.clock;
        this.windowMs = options.windowMs ?? DEFAULT_IDENTIFIER_WINDOW_MS;
        this.skewMs = options.skewMs ?? DEFAULT_CLOCK_SKEW_MS;
        this.limits = {
            identifiers: options.maximumIdentifiers ?? DEFAULT_RECORDED_IDENTIFIERS,
            answerBytes: options.maximumAnswerBytes ?? DEFAULT_RECORDED_ANSWER_BYTES,
            answersBytes: options.maximumAnswersBytes ?? DEFAULT_RECORDED_ANSWERS_BYTES,
        };
        this.bucketMs = Math.max(1, Math.ceil((this.windowMs + this.skewMs) / BUCKETS_PER_WINDOW));
    }

    /** Number of identifiers held, and sizes of the compact tables and of the kept answers in bytes. */
    usage(): { identifiers: number; tableBytes: number; answerBytes: number } {
        const tables = [...this.buckets.values()].map(({ table }) => table.byteLength);
        return {
            identifiers: this.count,
            tableBytes: tables.reduce((sum, bytes) => sum + bytes, 0),
            answerBytes: this.answersBytes,
        };
    }

    /** Wall time before which identifiers have been dropped. It never decreases, even if the wall clock is set back. */
    get completeSinceMs(): number {
        this.dropOld();
        return this.droppedBeforeMs;
    }

    /** Decides whether a request runs, joins a running one, is answered from the record or is refused. */
    admit(request: IdentifiedRequest): Admission {
        this.dropOld();
        const { identifier, fingerprint, position } = request;
        const key = { service: this.serviceNumber(request.service), position, identifier: identifier.bytes };
        const bucket = this.buckets.get(this.bucketNumber(identifier.timeMs));
        const index = bucket?.table.find(key);
        // Checked before the times, since an entry in the record is more reliable than the clocks.
        if (bucket !== undefined && index !== undefined) {
            return this.admitRepeated(bucket, index, fingerprint);
        }
        const refusal = this.refuseByTime(identifier.timeMs, request.authoritySinceMs);
        if (refusal !== undefined) {
            return { type: "refuse", refusal };
        }
        if (this.count >= this.limits.identifiers) {
            return { type: "refuse", refusal: refuse("overloaded", `${this.count} identifiers are recorded.`) };
        }
        return { type: "run", handle: this.start(key, identifier.timeMs, fingerprint) };
    }

    /**
     * Exports the identifiers of slices for a handover. Those that may be running are exported as run with an unknown
     * result. Those that wait here and can't have run are omitted, so that they run at the receiver; they must not be
     * sent to the target after this call unless the handover is abandoned. Answers are included, newest first, while
     * they fit into `answerBudgetBytes`.
     */
    exportSlices(service: string, slices: readonly Slice[], answerBudgetBytes: number): RecordedIdentifier[] {
        this.dropOld();
        const number = this.services.get(service);
        const exported = new Map<StoredAnswer | TableEntry, RecordedIdentifier>();
        for (const bucket of this.buckets.values()) {
            for (const entry of bucket.table.entries()) {
                const mayHaveRun = bucket.running.get(entry.index)?.mayHaveRun() ?? true;
                if (mayHaveRun && entry.service === number && slicesContain(slices, entry.position)) {
                    exported.set(bucket.answers.get(entry.index) ?? entry, {
                        position: entry.position,
                        identifier: Buffer.from(entry.identifier).toString("hex"),
                        fingerprint: Buffer.from(entry.fingerprint).toString("hex"),
                    });
                }
            }
        }
        let left = answerBudgetBytes;
        for (const stored of [...this.answers].reverse()) {
            const recorded = exported.get(stored);
            if (recorded !== undefined && stored.bytes <= left) {
                left -= stored.bytes;
                const { status, headers, body } = stored.answer;
                recorded.answer = { status, headers, body: Buffer.from(body).toString("base64") };
            }
        }
        return [...exported.values()];
    }

    /**
     * Imports identifiers of requests that ran, or may have run, under another dispatcher. Imports all or none: on
     * `record-full` they don't fit, and the slices must be treated as taken over without a record.
     */
    importIdentifiers(service: string, identifiers: readonly RecordedIdentifier[]): Result<void, ImportError> {
        this.dropOld();
        const keepFromMs = this.keepFromMs();
        const times = identifiers.map(({ identifier }) => timeOf(Buffer.from(identifier, "hex")));
        const kept = identifiers.filter((_, index) => times[index] >= keepFromMs);
        if (this.count + kept.length > this.limits.identifiers) {
            return err({ type: "record-full", limit: this.limits.identifiers, offered: kept.length });
        }
        const newestLeftOut = times.filter(timeMs => timeMs < keepFromMs).reduce((a, b) => Math.max(a, b), 0);
        // Omitted identifiers must still be refused if the wall clock is set back.
        this.droppedBeforeMs = Math.max(this.droppedBeforeMs, newestLeftOut + 1);
        const serviceNumber = this.serviceNumber(service);
        for (const { position, identifier, fingerprint, answer } of kept) {
            const bytes = Buffer.from(identifier, "hex");
            const key = { service: serviceNumber, position, identifier: bytes };
            const bucket = this.bucketFor(timeOf(bytes));
            const held = bucket.table.find(key);
            if (held !== undefined && bucket.table.state(held) !== "unknown") {
                continue;
            }
            const index = held ?? this.insert(bucket, key, Buffer.from(fingerprint, "hex"), "unknown");
            if (answer !== undefined) {
                this.keepAnswer(bucket, index, { ...answer, body: Buffer.from(answer.body, "base64") });
            }
        }
        return ok(undefined);
    }

    private admitRepeated(bucket: Bucket, index: number, fingerprint: Uint8Array): Admission {
        if (!bucket.table.fingerprintMatches(index, fingerprint)) {
            const detail = "The identifier was used before with another method, path or body.";
            return { type: "refuse", refusal: refuse("identifier-reused", detail) };
        }
        const running = bucket.running.get(index);
        if (running !== undefined) {
            return { type: "join", settlement: running.settlement };
        }
        const stored = bucket.answers.get(index);
        if (stored !== undefined) {
            return { type: "replay", answer: stored.answer };
        }
        return { type: "refuse", refusal: refuse("already-run", "The identifier is recorded without an answer.") };
    }

    private refuseByTime(timeMs: number, authoritySinceMs: number): Refusal | undefined {
        const nowMs = this.clock.wallMs();
        if (timeMs > nowMs + this.skewMs) {
            return refuse("identifier-from-future", `The identifier's time is ${timeMs - nowMs} ms ahead.`);
        }
        if (!this.isWithinWindow(timeMs)) {
            const detail = `The identifier is ${nowMs - timeMs} ms old; the window is ${this.windowMs} ms.`;
            return refuse("identifier-too-old", detail);
        }
        // The previous dispatcher's clock may be one skew ahead, and it accepts identifiers up to one skew ahead of
        // that.
        if (timeMs <= authoritySinceMs + 2 * this.skewMs) {
            return refuse("identifier-before-term", "It may have run under the previous dispatcher.");
        }
        return undefined;
    }

    private isWithinWindow(timeMs: number): boolean {
        return timeMs >= this.clock.wallMs() - this.windowMs && timeMs >= this.droppedBeforeMs;
    }

    private start(key: EntryKey, timeMs: number, fingerprint: Uint8Array): RunHandle {
        const bucket = this.bucketFor(timeMs);
        const index = this.insert(bucket, key, fingerprint, "running");
        let resolve: (settlement: Settlement) => void = () => undefined;
        const settlement = new Promise<Settlement>(done => {
            resolve = done;
        });
        const running: RunningRequest = { settlement, settle: resolve, mayHaveRun: () => true };
        bucket.running.set(index, running);
        return {
            setMayHaveRun: mayHaveRun => {
                running.mayHaveRun = mayHaveRun;
            },
            settle: result => {
                if (bucket.running.get(index) !== running) {
                    return;
                }
                bucket.running.delete(index);
                if (!bucket.dropped) {
                    this.settle(bucket, index, result);
                }
                running.settle(result);
            },
        };
    }

    private settle(bucket: Bucket, index: number, settlement: Settlement): void {
        if (settlement.type === "not-run") {
            bucket.table.remove(index);
            this.count--;
            return;
        }
        bucket.table.setState(index, "unknown");
        if (settlement.type === "answered" && settlement.answer !== undefined) {
            this.keepAnswer(bucket, index, settlement.answer);
        }
    }

    private keepAnswer(bucket: Bucket, index: number, answer: RecordedAnswer): void {
        const bytes = answerBytes(answer);
        if (bytes > this.limits.answerBytes + ANSWER_OVERHEAD_BYTES) {
            return;
        }
        const stored = { bucket, index, answer, bytes };
        bucket.table.setState(index, "answered");
        bucket.answers.set(index, stored);
        this.answers.add(stored);
        this.answersBytes += bytes;
        for (const oldest of this.answers) {
            if (this.answersBytes <= this.limits.answersBytes) {
                break;
            }
            oldest.bucket.table.setState(oldest.index, "unknown");
            this.dropAnswer(oldest);
        }
    }

    private dropAnswer(stored: StoredAnswer): void {
        stored.bucket.answers.delete(stored.index);
        this.answers.delete(stored);
        this.answersBytes -= stored.bytes;
    }

    private insert(bucket: Bucket, key: EntryKey, fingerprint: Uint8Array, state: "running" | "unknown"): number {
        this.count++;
        return bucket.table.insert(key, fingerprint, state);
    }

    private serviceNumber(service: string): number {
        const held = this.services.get(service);
        if (held !== undefined) {
            return held;
        }
        this.services.set(service, this.services.size);
        return this.services.size - 1;
    }

    private bucketNumber(timeMs: number): number {
        return Math.floor(timeMs / this.bucketMs);
    }

    private bucketFor(timeMs: number): Bucket {
        const number = this.bucketNumber(timeMs);
        const held = this.buckets.get(number);
        if (held !== undefined) {
            return held;
        }
        const bucket = { table: new IdentifierTable(), running: new Map(), answers: new Map(), dropped: false };
        this.buckets.set(number, bucket);
        return bucket;
    }

    /** Start of the window minus one skew, by which the clock of a handover's receiver may be behind. */
    private keepFromMs(): number {
        return this.clock.wallMs() - this.windowMs - this.skewMs;
    }

    private dropOld(): void {
        const keepFromMs = this.keepFromMs();
        for (const [number, bucket] of this.buckets) {
            const endMs = (number + 1) * this.bucketMs;
            if (endMs > keepFromMs) {
                continue;
            }
            bucket.dropped = true;
            bucket.answers.forEach(stored => this.dropAnswer(stored));
            this.count -= bucket.table.size;
            this.buckets.delete(number);
            this.droppedBeforeMs = Math.max(this.droppedBeforeMs, endMs);
        }
    }
}
