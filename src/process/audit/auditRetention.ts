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

/** Time between two looks for records that are too old, in milliseconds. */
export const AUDIT_PRUNE_PERIOD_MS = 3_600_000;
/**
 * Share of the retention by which the oldest record of a chain must have passed it. Each removal leaves a record that
 * will itself be removed, so that removing each record at its time would fill the trail with records of removals.
 */
export const AUDIT_PRUNE_STEP = 0.1;
/**
 * Share of the retention by which the last record of an absent instance's chain must have passed it. The chain of an
 * instance that lives, but has lost its member row, may be quiet for the retention and one step.
 */
export const AUDIT_ABSENT_MARGIN = 0.2;
/** Rows read at a time. */
const PAGE_ROWS = 500;
/** Rows removed by one transaction. */
const ROWS_PER_REMOVAL = 100;
/** Most rows removed from the own chain in one look. */
const ROWS_PER_LOOK = 5_000;
/** Sorts after every sequence number in a row's key. */
const AFTER_CHAIN = "~";

/** Row that a removal writes, because a transaction needs a row with a value to tell what became of it. */
const markerKey = (domain: string) => `audit-retention/${domain}`;

/**
 * Removes audit records that are older than the retention. Age rather than a number bounds the trail: each start of an
 * instance opens a chain, so that a number for each chain would bound nothing, and nobody counts over all of them.
 *
 * Each instance prunes its own chain from the front. A record with the action `pruned` states beforehand where and with
 * which digest the chain goes on, so that it can still be verified. Chains that have ended are removed as a whole, from
 * their end, once their last record is too old: those of earlier starts by the instance of that name, those of names
 * that are no longer registered by the first member of the domain. The chain of the remover states it.
 * A part with faults is kept, because it is evidence.
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

    /** Looks once. A failure of the platform ends the look; the next one goes on. */
    async run(): Promise<void> {
        if (this.running) {
            return;
        }
        this.running = true;
        try {
            await this.look();
        } finally {
            this.running = false;
        }
    }

    private async look(): Promise<void> {
        const { domain, instance, clock, retentionMs, isFirst, registered } = this.options;
        const olderThan = clock.wallMs() - retentionMs;
        const absentOlderThan = olderThan - retentionMs * AUDIT_ABSENT_MARGIN;
        const own = auditChainSubject(this.options.trail.head().chain);
        for await (const chain of this.chains({ domain, instance })) {
            await (auditChainSubject(chain) === own
                ? this.pruneOwn(chain, olderThan)
                : this.removeEnded(chain, olderThan));
        }
        if (!isFirst()) {
            return;
        }
        for await (const chain of this.chains({ domain })) {
            if (chain.instance !== instance && !registered().has(chain.instance)) {
                await this.removeEnded(chain, absentOlderThan);
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
            after = chain === undefined ? key : `${auditChainPrefix(chain)}${AFTER_CHAIN}`;
            if (chain !== undefined) {
                yield chain;
            }
        }
    }

    private async pruneOwn(chain: AuditChain, olderThan: number): Promise<void> {
        const { trail, instance, logger } = this.options;
        const subject = auditChainSubject(chain);
        const found = await this.readOld(chain, olderThan, ROWS_PER_LOOK);
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

    private async removeEnded(chain: AuditChain, olderThan: number): Promise<void> {
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
            // From the end, so that what is left after an interruption still begins as it did.
            await this.remove([...rows].reverse());
        }
    }

    /** Rows from the front of a chain whose records are too old, and whether these are all of its rows. */
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
                // A row without a valid record tells no age. It ends the part that may be removed.
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
            const part = rows.slice(start, start + ROWS_PER_REMOVAL);
            const result = await write(
                part.map(({ key, version }) => ({ key, version })),
                [
                    ...part.map(({ key }) => ({ key, value: undefined })),
                    { key: markerKey(domain), value: { instance, last: part[part.length - 1].key } },
                ],
            );
            if (result.isErr() || result.value.type === "conflict") {
                logger.warn("Old audit records couldn't be removed; trying again later.", { from: part[0].key });
                return;
            }
        }
        logger.info("Old audit records were removed.", { records: rows.length });
    }
}
