import { ok, type Result } from "neverthrow";
import { z } from "zod";
import { recordedIdentifierSchema, type IdentifierRecord, type ImportError } from "./identifierRecord.js";
import { authorityIntervalSchema, type RecordAuthority } from "./recordAuthority.js";
import type { Slice } from "../store/rows.js";

/** Bytes of answers that travel with a hand-over. Identifiers whose answers don't fit are refused as already run. */
export const DEFAULT_HAND_OVER_ANSWER_BYTES = 4 * 1024 * 1024;

/** What a dispatcher tells the next one about the non-idempotent requests of slices that move. */
export const recordHandOverSchema = z.object({
    /** Identifies the move; `RecordAuthority.confirm` takes it. */
    handOver: z.string().min(1),
    service: z.string().min(1),
    authority: z.array(authorityIntervalSchema),
    identifiers: z.array(recordedIdentifierSchema),
});
export type RecordHandOver = z.infer<typeof recordHandOverSchema>;

/**
 * Gathers the record of slices for the receiving dispatcher. To be called when nothing of the slices is in flight.
 *
 * @example
 * link.send(JSON.stringify(exportHandOver(record, authority, { handOver, service, slices, skewMs: 500 })));
 */
export const exportHandOver = (
    record: IdentifierRecord,
    authority: RecordAuthority,
    options: { handOver: string; service: string; slices: readonly Slice[]; skewMs: number; answerBytes?: number },
): RecordHandOver => {
    const { handOver, service, slices, skewMs } = options;
    // The receiver adds two skews to the instant; what this record has dropped counts without them.
    const knownSinceMs = Math.max(0, Math.floor(record.completeSinceMs - 2 * skewMs));
    return {
        handOver,
        service,
        authority: authority
            .intervalsOf(service, slices)
            .map(({ slice, sinceMs }) => ({ slice, sinceMs: Math.max(sinceMs, knownSinceMs) })),
        identifiers: record.exportSlices(service, slices, options.answerBytes ?? DEFAULT_HAND_OVER_ANSWER_BYTES),
    };
};

/**
 * Takes over a hand-over; its instants count from `authority.confirm(handOver.handOver)` on. On `record-full` nothing is
 * taken, and the receiver takes the slices over without a record.
 *
 * @example
 * importHandOver(record, authority, recordHandOverSchema.parse(message)).match(acknowledge, reject);
 */
export const importHandOver = (
    record: IdentifierRecord,
    authority: RecordAuthority,
    handOver: RecordHandOver,
): Result<void, ImportError> =>
    record.importIdentifiers(handOver.service, handOver.identifiers).andThen(() => {
        authority.prepare(handOver.handOver, handOver.service, handOver.authority);
        return ok(undefined);
    });
