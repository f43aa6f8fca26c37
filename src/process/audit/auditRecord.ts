import { createHash } from "node:crypto";
import { z } from "zod";

/** Longest JSON text of a record's `before` or `after`, and longest other text, in characters. */
export const MAX_AUDIT_TEXT = 4_096;
/** Digits of a sequence number in a row's key, so that keys sort by sequence. */
export const AUDIT_SEQUENCE_DIGITS = 12;

/** What kinds of change are recorded. */
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
    /** Last record of a chain that ended by an orderly shutdown. */
    "closed",
    /** Records were dropped because the platform was down for too long. */
    "gap",
    /** Records were removed after their retention. */
    "pruned",
]);
export type AuditAction = z.infer<typeof auditActionSchema>;

/** A chain of records: one per incarnation of an instance. */
export const auditChainSchema = z.object({ domain: z.string(), instance: z.string(), incarnation: z.string() });
export type AuditChain = z.infer<typeof auditChainSchema>;

/** A change as reported by the part that made it. */
export interface AuditChange {
    action: AuditAction;
    /** What changed, for example `target/stock/t1`. */
    subject: string;
    /** The operator or instance that caused the change. */
    actor: string;
    /** Why, in one sentence. */
    cause: string;
    /** State before and after, or `undefined`. Must hold no secrets. */
    before?: unknown;
    after?: unknown;
}

/** A record as kept in the table under `audit/<domain>/<instance>/<incarnation>/<sequence>`. */
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
    /** JSON texts; empty when there is nothing to state. */
    before: z.string(),
    after: z.string(),
    /** Number of records dropped before this one; not 0 only in gap records. */
    dropped: z.number().int().min(0),
    /** Digest of the record before; for the first record the digest of the chain's name. */
    previous: z.string(),
    digest: z.string(),
});
export type AuditRecord = z.infer<typeof auditRecordSchema>;

/**
 * Content of a `pruned` record about the chain that it stands in: the first record that was kept, and the digest of the
 * one before. The chain may begin at that record or at an earlier one, because the removal comes after this record.
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

/** Digest that stands for the record before the first one. */
export const auditChainStart = (chain: AuditChain): string =>
    digestOf(["sassafrasloom-audit-1", chain.domain, chain.instance, chain.incarnation]);

/** Digest of a record over all its fields but the digest itself. */
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

/** Adds the digest to a record that has its place in a chain. */
export const chainAuditRecord = (record: Omit<AuditRecord, "digest">): AuditRecord => ({
    ...record,
    digest: digestOfAuditRecord(record),
});

const cut = (text: string): string => (text.length <= MAX_AUDIT_TEXT ? text : `${text.slice(0, MAX_AUDIT_TEXT - 1)}…`);

const jsonOf = (value: unknown): string => (value === undefined ? "" : cut(JSON.stringify(value) ?? ""));

/** Makes the record of a change at a place in a chain. Long texts are cut, so that a record always fits into a row. */
export const makeAuditRecord = (
    chain: AuditChain,
    place: { sequence: number; previous: string; at: number; dropped: number },
    change: AuditChange,
): AuditRecord =>
    chainAuditRecord({
        ...chain,
        ...place,
        actor: cut(change.actor),
        action: change.action,
        subject: cut(change.subject),
        cause: cut(change.cause),
        before: jsonOf(change.before),
        after: jsonOf(change.after),
    });
