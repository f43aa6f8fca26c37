import {
    auditChainStart,
    auditChainSubject,
    auditPruneSchema,
    auditRecordSchema,
    auditRowKey,
    digestOfAuditRecord,
    type AuditChain,
    type AuditPrune,
    type AuditRecord,
} from "./auditRecord.js";
import { parseJson } from "../runtime/parseJson.js";

/** A row of the trail as read from the table. */
export interface AuditRow {
    key: string;
    value: unknown;
}

/** A fault in a chain. */
export interface AuditFinding {
    type:
        /** The row doesn't contain a valid record. */
        | "malformed"
        /** The record's fields don't match its digest. */
        | "edited"
        /** The record belongs to another chain or another position. */
        | "misplaced"
        /** Rows are missing before this record. */
        | "missing"
        /** The record doesn't link to the previous one, which was replaced together with its digest. */
        | "broken-link"
        /** The chain lacks a record that was known to be in it. */
        | "truncated"
        /** A record states a removal of older records that is inconsistent with the chain. */
        | "forged-prune"
        /** Records follow the closing record. */
        | "after-end";
    /** Sequence of the row at which the fault was detected. */
    sequence: number;
    detail: string;
}

/** The result of verifying a chain. */
export interface AuditReport {
    chain: AuditChain;
    /** Number of rows read. */
    records: number;
    /** Number of records that the chain itself states as dropped during outages. */
    dropped: number;
    /** True if the chain ends with a closing record. Otherwise its end is missing, or the instance runs or crashed. */
    closed: boolean;
    /** Digest of the last record. */
    head: string;
    findings: AuditFinding[];
}

/** A record known from elsewhere to be in the chain, such as the head of an earlier report. */
export interface AuditAnchor {
    sequence: number;
    digest: string;
}

/** Removals that the chain's own records state, by the sequence of the stating record. */
const statedPrunes = (chain: AuditChain, rows: readonly AuditRow[]): Map<number, AuditPrune | undefined> => {
    const subject = auditChainSubject(chain);
    return new Map(
        rows.flatMap(({ value }): [number, AuditPrune | undefined][] => {
            const record = auditRecordSchema.safeParse(value).data;
            return record?.action === "pruned" && record.subject === subject
                ? [[record.sequence, auditPruneSchema.safeParse(parseJson(record.after)).data]]
                : [];
        }),
    );
};

/**
 * Verifies a chain, given its rows in key order. Detects edited, exchanged, removed and inserted records, and, if an
 * anchor is given, a missing end. The first records of a chain may be missing only as far as a `pruned` record in it
 * states; `prunedBefore` adds the statement of a record that follows the given rows.
 *
 * Not detected: the removal of the last records of a chain without an anchor or closing record; the removal of a whole
 * chain; a chain rewritten from some record to its end with matching digests (the digests are not signed), unless an
 * anchor lies in the rewritten part; changes that were never reported.
 *
 * @example
 * const { findings } = verifyAuditChain({ domain: "linz", instance: "a1", incarnation: "7" }, rows, earlier);
 */
export const verifyAuditChain = (
    chain: AuditChain,
    rows: readonly AuditRow[],
    anchor?: AuditAnchor,
    prunedBefore?: AuditPrune,
): AuditReport => {
    const findings: AuditFinding[] = [];
    const stated = statedPrunes(chain, rows);
    const prunes = [...stated.values(), prunedBefore].filter(prune => prune !== undefined);
    const keptDigests = new Map(prunes.map(({ sequence, digest }) => [sequence, digest]));
    const firstSequence = Number(rows[0]?.key.split("/").pop());
    const isPruned = firstSequence > 0 && firstSequence <= Math.max(0, ...keptDigests.keys());
    let expected = isPruned ? firstSequence : 0;
    // The link of the first kept record is compared with the stated digest below.
    let previous = isPruned ? undefined : auditChainStart(chain);
    let isClosed = false;
    let dropped = 0;
    let last: AuditRecord | undefined;
    let anchorSeen = anchor === undefined;
    for (const row of rows) {
        const sequence = Number(row.key.slice(row.key.lastIndexOf("/") + 1));
        const flag = (type: AuditFinding["type"], detail: string) => findings.push({ type, sequence, detail });
        if (!Number.isSafeInteger(sequence) || row.key !== auditRowKey(chain, sequence)) {
            flag("misplaced", `Row ${row.key} has no place in the chain.`);
            continue;
        }
        if (sequence !== expected) {
            flag("missing", `Records ${expected} to ${sequence - 1} are missing.`);
            // The link to a missing record can't be checked.
            previous = undefined;
        }
        expected = sequence + 1;
        const parsed = auditRecordSchema.safeParse(row.value);
        if (!parsed.success) {
            flag("malformed", `Record ${sequence} is malformed.`);
            previous = undefined;
            continue;
        }
        const record = parsed.data;
        if (digestOfAuditRecord(record) !== record.digest) {
            flag("edited", `Record ${sequence} doesn't fit its digest.`);
        }
        if (
            record.sequence !== sequence ||
            record.domain !== chain.domain ||
            record.instance !== chain.instance ||
            record.incarnation !== chain.incarnation
        ) {
            const { domain, instance, incarnation } = record;
            flag("misplaced", `It was made as record ${record.sequence} of ${domain}/${instance}/${incarnation}.`);
        }
        const prune = stated.get(sequence);
        if (record.previous !== (keptDigests.get(sequence) ?? record.previous)) {
            flag("forged-prune", `Record ${sequence} doesn't follow from the one that is stated as removed before it.`);
        } else if (stated.has(sequence) && (prune === undefined || prune.sequence > sequence)) {
            flag("forged-prune", `Record ${sequence} states a removal that can't have been.`);
        }
        if (isClosed) {
            flag("after-end", `Record ${sequence} follows the closing one.`);
        }
        isClosed ||= record.action === "closed";
        if (previous !== undefined && record.previous !== previous) {
            flag("broken-link", `Record ${sequence} doesn't follow from the one before.`);
        }
        if (anchor?.sequence === sequence) {
            anchorSeen = true;
            if (record.digest !== anchor.digest) {
                flag("edited", `Record ${sequence} differs from the one known earlier.`);
            }
        }
        previous = record.digest;
        dropped += record.dropped;
        last = record;
    }
    if (!anchorSeen && anchor !== undefined) {
        const detail = `Record ${anchor.sequence} is known from earlier and isn't there.`;
        findings.push({ type: "truncated", sequence: anchor.sequence, detail });
    }
    const { action, digest } = last ?? { action: undefined, digest: auditChainStart(chain) };
    return { chain, records: rows.length, dropped, closed: action === "closed", head: digest, findings };
};
