import { err, ok, type Result } from "neverthrow";
import { auditChainPrefix, auditRecordSchema, type AuditChain, type AuditRecord } from "./auditRecord.js";
import { verifyAuditChain, type AuditReport, type AuditRow } from "./auditVerification.js";
import type { PlatformError } from "../store/platformError.js";
import type { VersionedRow } from "../store/rows.js";

/** Page size of a verification, in rows. */
export const AUDIT_PAGE_ROWS = 500;

/** Reads a page of rows in key order; implemented by `PlatformTable.page`. */
export type AuditRowsReader = (
    prefix: string,
    after: string,
    limit: number,
) => Promise<Result<{ rows: VersionedRow[]; next: string | undefined }, PlatformError>>;

/** Part of the trail to read. `instance` requires `domain`. */
export interface AuditSelection {
    domain?: string;
    instance?: string;
}

/** A page of the trail. Rows without a valid record are omitted here; the verification reports them. */
export interface AuditPage {
    records: { key: string; record: AuditRecord }[];
    next: string | undefined;
}

/** Key prefix of the records in a part of the trail. */
export const auditPrefix = ({ domain, instance }: AuditSelection): string => {
    if (domain === undefined) {
        return "audit/";
    }
    return instance === undefined ? `audit/${domain}/` : `audit/${domain}/${instance}/`;
};

/**
 * Reads a page of the audit trail, ordered by domain, instance, incarnation and sequence.
 *
 * @example
 * const page = await readAuditPage((...where) => table.page(...where), { domain: "linz" }, "", 100);
 */
export const readAuditPage = async (
    read: AuditRowsReader,
    selection: AuditSelection,
    after: string,
    limit: number,
): Promise<Result<AuditPage, PlatformError>> => {
    const page = await read(auditPrefix(selection), after, limit);
    return page.map(({ rows, next }) => ({
        next,
        records: rows.flatMap(({ key, value }) => {
            const parsed = auditRecordSchema.safeParse(value);
            return parsed.success ? [{ key, record: parsed.data }] : [];
        }),
    }));
};

/** The chain that a row's key belongs to, or `undefined` for other keys. */
export const chainOfKey = (key: string): AuditChain | undefined => {
    const [, domain, instance, incarnation, sequence] = key.split("/");
    return sequence === undefined ? undefined : { domain, instance, incarnation };
};

/**
 * Reads and verifies the chains in a part of the trail. Holds one chain in memory at a time.
 *
 * @example
 * for (const report of (await verifyAuditTrail(read, {}))._unsafeUnwrap()) {
 *     console.log(report.chain.instance, report.findings);
 * }
 */
export const verifyAuditTrail = async (
    read: AuditRowsReader,
    selection: AuditSelection,
): Promise<Result<AuditReport[], PlatformError>> => {
    const reports: AuditReport[] = [];
    let chain: AuditChain | undefined;
    let rows: AuditRow[] = [];
    const finishChain = () => {
        if (chain !== undefined) {
            reports.push(verifyAuditChain(chain, rows));
        }
        rows = [];
    };
    let after = "";
    for (;;) {
        const page = await read(auditPrefix(selection), after, AUDIT_PAGE_ROWS);
        if (page.isErr()) {
            return err(page.error);
        }
        for (const { key, value } of page.value.rows) {
            const rowChain = chainOfKey(key);
            if (rowChain === undefined) {
                continue;
            }
            if (chain === undefined || auditChainPrefix(chain) !== auditChainPrefix(rowChain)) {
                finishChain();
                chain = rowChain;
            }
            rows.push({ key, value });
        }
        if (page.value.next === undefined) {
            finishChain();
            return ok(reports);
        }
        after = page.value.next;
    }
};
