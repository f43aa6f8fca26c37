import type { Result } from "neverthrow";
import { auditPrefix, chainOfKey, type AuditRowsReader, type AuditSelection } from "./auditReader.js";
import {
    auditChainPrefix,
    auditChainSubject,
    auditRecordSchema,
    type AuditChain,
    type AuditPrune,
} from "./auditRecord.js";
import type { AuditRowsWriter, AuditTrail } from "./auditTrail.js";
import { verifyAuditChain } from "./auditVerification.js";
import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import type { PlatformError } from "../store/platformError.js";
import type { VersionedRow } from "../store/rows.js";

/** Interval of pruning runs, in milliseconds. */
export const AUDIT_PRUNE_PERIOD_MS = 3_600_000;
/**
 * Fraction of the retention by which the oldest record of a chain must exceed it before the chain is pruned. Each
 * removal adds a record that will itself be removed, so removing every record on time would fill the trail with such
 * records.
 */
export const AUDIT_PRUNE_STEP = 0.1;
/**
 * Fraction of the retention by which the last record of an absent instance's chain must exceed it. The chain of a
 * running instance that has lost its member row may have no new record for the retention plus one prune step.
 */
export const AUDIT_ABSENT_MARGIN = 0.2;
/** Page size of reads, in rows. */
const PAGE_ROWS = 500;
/** Maximum number of rows removed in one transaction. */
const ROWS_PER_REMOVAL = 100;
/** Maximum number of rows removed from this instance's own chain in one run. */
const MAX_ROWS_PER_RUN = 5_000;
/** Key suffix that sorts after every sequence number. */
const AFTER_SEQUENCES = "~";

/** Row that a removal writes, because the result of a transaction can only be determined from a row with a value. */
const markerKey = (domain: string) => `audit-retention/${domain}`;

/**
 * Removes audit records that are older than the retention. The trail is bounded by age rather than by a record count:
 * each start of an instance opens a chain, so a limit per chain would not bound the total, and no instance counts the
 * records of all chains.
 *
 * Each instance prunes its own chain from the front. Beforehand, a record with the action `pruned` states at which
 * sequence and with which digest the chain continues, so that it can still be verified. Ended chains are removed as a
 * whole, from their end, once their last record is too old. The instance of that name removes the chains of its earlier
 * starts; the first member of the domain removes the chains of names that are no longer registered. The removing
 * instance records this in its own chain. Records with verification faults are kept as evidence.
 *
 * @example
 * store.add(repeat(clock, AUDIT_PRUNE_PERIOD_MS, () => retention.run()));
 */
export class AuditRetention {
    private running = false;
    private lastPrune: (AuditPrune & { chain: string }) | undefined;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            trail: Pick<AuditTrail, "head" | "appendWritten">;
            read: AuditRowsReader;
            write: AuditRowsWriter;
            domain: string;
            instance: string;
            retentionMs: number;
            /** Whether this instance is the first active member of its domain. */
            isFirst: () => boolean;
            /** Names of the registered instances of the domain. */
            registered: () => ReadonlySet<string>;
        },
    ) {}

    /** Prunes once. A platform error ends the run; the next run continues. */
    async run(): Promise<void> {
        if (this.running) {
            return;
        }
        this.running = true;
        try {
            await this.prune();
        } finally {
            this.running = false;
        }
    }

    private async prune(): Promise<void> {
        const { domain, instance, clock, retentionMs, isFirst, registered } = this.options;
        const olderThan = clock.wallMs() - retentionMs;
        const absentOlderThan = olderThan - retentionMs * AUDIT_ABSENT_MARGIN;
        const ownSubject = auditChainSubject(this.options.trail.head().chain);
        for await (const chain of this.chains({ domain, instance })) {
            await (auditChainSubject(chain) === ownSubject
                ? this.pruneOwnChain(chain, olderThan)
                : this.removeEndedChain(chain, olderThan));
        }
        if (!isFirst()) {
            return;
        }
        for await (const chain of this.chains({ domain })) {
            if (chain.instance !== instance && !registered().has(chain.instance)) {
                await this.removeEndedChain(chain, absentOlderThan);
            }
        }
    }

    private async *chains(selection: AuditSelection): AsyncGenerator<AuditChain> {
        let after = "";
        for (;;) {
            const page = await this.options.read(auditPrefix(selection), after, 1);
            const key = page.isOk() ? page.value.rows[0]?.key : undefined;
            if (key === undefined) {
                return;
            }
            const chain = chainOfKey(key);
            after = chain === undefined ? key : `${auditChainPrefix(chain)}${AFTER_SEQUENCES}`;
            if (chain !== undefined) {
                yield chain;
            }
        }
    }

    private async pruneOwnChain(chain: AuditChain, olderThan: number): Promise<void> {
        const { trail, instance, logger } = this.options;
        const subject = auditChainSubject(chain);
        const found = await this.readOld(chain, olderThan, MAX_ROWS_PER_RUN);
        if (found.isErr() || found.value.rows.length === 0) {
            return;
        }
        const { rows } = found.value;
        const oldest = auditRecordSchema.safeParse(rows[0].value).data?.at ?? Infinity;
        if (oldest >= olderThan - this.options.retentionMs * AUDIT_PRUNE_STEP) {
            return;
        }
        const before = this.lastPrune?.chain === subject ? this.lastPrune : undefined;
        const { findings, head } = verifyAuditChain(chain, rows, undefined, before);
        if (findings.length > 0) {
            logger.error("A part of the audit trail has faults and is not removed.", { chain: subject });
            return;
        }
        const sequence = Number(rows[rows.length - 1].key.split("/").pop()) + 1;
        const prune = { sequence, digest: head };
        const cause = `Records before ${sequence} have passed their retention; the chain goes on from the stated digest.`;
        if (await trail.appendWritten({ action: "pruned", subject, actor: instance, cause, after: prune })) {
            this.lastPrune = { ...prune, chain: subject };
            await this.remove(rows);
        }
    }

    private async removeEndedChain(chain: AuditChain, olderThan: number): Promise<void> {
        const { trail, instance, logger } = this.options;
        const subject = auditChainSubject(chain);
        const found = await this.readOld(chain, olderThan, Number.MAX_SAFE_INTEGER);
        if (found.isErr() || !found.value.isWhole) {
            return;
        }
        const { rows } = found.value;
        const { findings, head } = verifyAuditChain(chain, rows);
        if (findings.length > 0) {
            logger.error("A part of the audit trail has faults and is not removed.", { chain: subject });
            return;
        }
        const cause = "The chain has ended and all of its records have passed their retention.";
        const after = { records: rows.length, head };
        if (await trail.appendWritten({ action: "pruned", subject, actor: instance, cause, after })) {
            // From the end, so that after an interruption the remaining chain still begins with its first record.
            await this.remove([...rows].reverse());
        }
    }

    /** Leading rows of a chain whose records are too old, and whether these are all of its rows. */
    private async readOld(
        chain: AuditChain,
        olderThan: number,
        limit: number,
    ): Promise<Result<{ rows: VersionedRow[]; isWhole: boolean }, PlatformError>> {
        const rows: VersionedRow[] = [];
        let after = "";
        for (;;) {
            const page = await this.options.read(auditChainPrefix(chain), after, PAGE_ROWS);
            if (page.isErr()) {
                return page.map(() => ({ rows, isWhole: false }));
            }
            for (const row of page.value.rows) {
                const at = auditRecordSchema.safeParse(row.value).data?.at;
                // The age of a row without a valid record is unknown, so neither it nor later rows may be removed.
                if (at === undefined || at >= olderThan || rows.length >= limit) {
                    return page.map(() => ({ rows, isWhole: false }));
                }
                rows.push(row);
            }
            if (page.value.next === undefined) {
                return page.map(() => ({ rows, isWhole: true }));
            }
            after = page.value.next;
        }
    }

    private async remove(rows: readonly VersionedRow[]): Promise<void> {
        const { write, domain, instance, logger } = this.options;
        for (let start = 0; start < rows.length; start += ROWS_PER_REMOVAL) {
            const batch = rows.slice(start, start + ROWS_PER_REMOVAL);
            const result = await write(
                batch.map(({ key, version }) => ({ key, version })),
                [
                    ...batch.map(({ key }) => ({ key, value: undefined })),
                    { key: markerKey(domain), value: { instance, last: batch[batch.length - 1].key } },
                ],
            );
            if (result.isErr() || result.value.type === "conflict") {
                logger.warn("Old audit records couldn't be removed; trying again later.", { from: batch[0].key });
                return;
            }
        }
        logger.info("Old audit records were removed.", { records: rows.length });
    }
}
