import { ok, type Result } from "neverthrow";
import { z } from "zod";
import { recordedIdentifierSchema, type IdentifierRecord, type ImportError } from "./identifierRecord.js";
import { authorityIntervalSchema, type RecordAuthority } from "./recordAuthority.js";
import type { HandOverName } from "./preparedHandOvers.js";
import type { Slice } from "../store/rows.js";

/** Maximum bytes of answers in a handover. Identifiers whose answers don't fit are refused as already run. */
export const DEFAULT_HAND_OVER_ANSWER_BYTES = 4 * 1024 * 1024;

/** What a dispatcher sends to the next one about the non-idempotent requests of moving slices. */
export const recordHandOverSchema = z.object({
    /** The target and the term of the row that will carry the handover out; see `handOverIdentifier`. */
    handOver: z.string().min(1),
    /** Distinguishes handovers under the same term; the row that carries one out states it. Earlier versions lack it. */
    attempt: z.string().min(1).optional(),
    service: z.string().min(1),
    authority: z.array(authorityIntervalSchema),
    identifiers: z.array(recordedIdentifierSchema),
});
export type RecordHandOver = z.infer<typeof recordHandOverSchema>;

/** Identifies the handover of a target or of slices to it under a term. */
export const handOverIdentifier = (targetKey: string, term: number): string => `${targetKey}@${term}`;

/**
 * The name of a received handover.
 *
 * @example
 * handOverName({ handOver: "target/stock/t1@5", attempt }); // { targetKey: "target/stock/t1", term: 5, attempt }
 */
export const handOverName = ({ handOver, attempt }: Pick<RecordHandOver, "handOver" | "attempt">): HandOverName => {
    const separator = handOver.lastIndexOf("@");
    return { targetKey: handOver.slice(0, separator), term: Number(handOver.slice(separator + 1)), attempt };
};

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
