import { createHash } from "node:crypto";
import { z } from "zod";

/** Maximum length of a text in a record, including the JSON texts `before` and `after`, in characters. */
export const MAX_AUDIT_TEXT_LENGTH = 4_096;
/** Number of digits of a sequence number in a row's key. Zero-padded, so that keys sort by sequence. */
export const AUDIT_SEQUENCE_DIGITS = 12;

/** Kinds of recorded changes. */
export const auditActionSchema = z.enum([
    "bundle",
    "takeover",
    "move",
    "drain",
    "quarantine",
    "membership",
    "evacuation",
    /** First record of a chain. */
    "opened",
    /** Last record of a chain that ended with a graceful shutdown. */
    "closed",
    /** Records were dropped because the platform was down for too long. */
    "gap",
    /** Records were removed after their retention period. */
    "pruned",
]);
export type AuditAction = z.infer<typeof auditActionSchema>;

/** A chain of records: one per incarnation of an instance. */
export const auditChainSchema = z.object({ domain: z.string(), instance: z.string(), incarnation: z.string() });
export type AuditChain = z.infer<typeof auditChainSchema>;

/** A change as reported by the component that made it. */
export interface AuditChange {
    action: AuditAction;
    /** What changed, for example `target/stock/t1`. */
    subject: string;
    /** The operator or instance that caused the change. */
    actor: string;
    /** Reason for the change, in one sentence. */
    cause: string;
    /** State before and after, or `undefined`. Must not contain secrets. */
    before?: unknown;
    after?: unknown;
}

/** A record as stored in the table under `audit/<domain>/<instance>/<incarnation>/<sequence>`. */
export const auditRecordSchema = z.object({
    domain: z.string(),
    instance: z.string(),
    incarnation: z.string(),
    sequence: z.number().int().min(0),
    /** Milliseconds since the Unix epoch. */
    at: z.number(),
    actor: z.string(),
    action: auditActionSchema,
    subject: z.string(),
    cause: z.string(),
    /** JSON texts; empty if there is no state to record. */
    before: z.string(),
    after: z.string(),
    /** Number of records dropped before this one; 0 except in gap records. */
    dropped: z.number().int().min(0),
    /** Digest of the previous record; for the first record, the digest of the chain's name. */
    previous: z.string(),
    digest: z.string(),
});
export type AuditRecord = z.infer<typeof auditRecordSchema>;

/**
 * Content of a `pruned` record about its own chain: the sequence of the first record that is kept, and the digest of
 * the record before it. The chain may begin at that record or an earlier one, because the removal follows this record.
 */
export const auditPruneSchema = z.object({ sequence: z.number().int().min(1), digest: z.string() });
export type AuditPrune = z.infer<typeof auditPruneSchema>;

/** Subject of a `pruned` record about a chain. */
export const auditChainSubject = ({ domain, instance, incarnation }: AuditChain): string =>
    `audit/${domain}/${instance}/${incarnation}`;

/** Prefix of the rows of a chain. */
export const auditChainPrefix = (chain: AuditChain): string => `${auditChainSubject(chain)}/`;

/** Key of the row of a record. */
export const auditRowKey = (chain: AuditChain, sequence: number): string =>
    `${auditChainPrefix(chain)}${String(sequence).padStart(AUDIT_SEQUENCE_DIGITS, "0")}`;

const digestOf = (fields: readonly (string | number)[]): string =>
    createHash("sha256").update(JSON.stringify(fields)).digest("hex");

/** Digest that the first record of a chain has as its previous one. */
export const auditChainStart = (chain: AuditChain): string =>
    digestOf(["sassafrasloom-audit-1", chain.domain, chain.instance, chain.incarnation]);

/** Digest over all fields of a record except the digest itself. */
export const digestOfAuditRecord = (record: Omit<AuditRecord, "digest">): string =>
    digestOf([
        record.domain,
        record.instance,
        record.incarnation,
        record.sequence,
        record.at,
        record.actor,
        record.action,
        record.subject,
        record.cause,
        record.before,
        record.after,
        record.dropped,
        record.previous,
    ]);

/** Adds the digest to a record whose position in the chain is set. */
export const withAuditDigest = (record: Omit<AuditRecord, "digest">): AuditRecord => ({
    ...record,
    digest: digestOfAuditRecord(record),
});

const truncate = (text: string): string =>
    text.length <= MAX_AUDIT_TEXT_LENGTH ? text : `${text.slice(0, MAX_AUDIT_TEXT_LENGTH - 1)}…`;

const jsonOf = (value: unknown): string => (value === undefined ? "" : truncate(JSON.stringify(value) ?? ""));

/** Creates the record of a change at a position in a chain. Truncates long texts, so that a record fits into a row. */
export const makeAuditRecord = (
    chain: AuditChain,
    position: { sequence: number; previous: string; at: number; dropped: number },
    change: AuditChange,
): AuditRecord =>
    withAuditDigest({
        ...chain,
        ...position,
        actor: truncate(change.actor),
        action: change.action,
        subject: truncate(change.subject),
        cause: truncate(change.cause),
        before: jsonOf(change.before),
        after: jsonOf(change.after),
    });
