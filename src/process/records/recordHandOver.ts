import { ok, type Result } from "neverthrow";
import { z } from "zod";
import { recordedIdentifierSchema, type IdentifierRecord, type ImportError } from "./identifierRecord.js";
import { authorityIntervalSchema, type RecordAuthority } from "./recordAuthority.js";
import type { Slice } from "../store/rows.js";

/** Maximum bytes of answers in a handover. Identifiers whose answers don't fit are refused as already run. */
export const DEFAULT_HAND_OVER_ANSWER_BYTES = 4 * 1024 * 1024;

/** What a dispatcher sends to the next one about the non-idempotent requests of moving slices. */
export const recordHandOverSchema = z.object({
    /** Identifies the move; passed to `RecordAuthority.confirm`. */
    handOver: z.string().min(1),
    service: z.string().min(1),
    authority: z.array(authorityIntervalSchema),
    identifiers: z.array(recordedIdentifierSchema),
});
export type RecordHandOver = z.infer<typeof recordHandOverSchema>;

/**
 * Exports the record of slices for the receiving dispatcher. To be called when no request of the slices is in flight.
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
    // The receiver adds two skews to the instant. The time before which this record dropped identifiers needs no
    // margin.
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
 * Imports a handover. Its instants take effect with `authority.confirm(handOver.handOver)`. On `record-full` nothing
 * is imported, and the receiver takes the slices over without a record.
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
