import { beforeEach, expect, test } from "@jest/globals";
import { ok } from "neverthrow";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { MemoryTable } from "../../../../test/support/memoryPlatform.js";
import { verifyAuditTrail, type AuditRowsReader } from "../auditReader.js";
import { withAuditDigest, type AuditChain, type AuditRecord } from "../auditRecord.js";
import { AuditRetention } from "../auditRetention.js";
import { AuditTrail } from "../auditTrail.js";
import { verifyAuditChain, type AuditRow } from "../auditVerification.js";
import type { Logger } from "../../observability/logger.js";

const DAY_MS = 86_400_000;
const RETENTION_MS = 10 * DAY_MS;
const chain: AuditChain = { domain: "linz", instance: "a1", incarnation: "i1" };
const silent: Logger = { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined };

let clock: ManualClock;
let table: MemoryTable;
beforeEach(() => {
    clock = new ManualClock();
    table = new MemoryTable(clock);
});

const rowsOf = ({ domain, instance, incarnation }: AuditChain = chain): AuditRow[] =>
    table
        .all()
        .filter(
            ({ key, value }) => value !== undefined && key.startsWith(`audit/${domain}/${instance}/${incarnation}/`),
        )
        .sort((a, b) => (a.key < b.key ? -1 : 1));
const recordsOf = (of: AuditChain = chain) => rowsOf(of).map(({ value }) => value as AuditRecord);
const read: AuditRowsReader = async (prefix, after, limit) => {
    const found = table
        .all()
        .filter(({ key, value }) => value !== undefined && key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
    return ok({ rows: found.slice(0, limit), next: found.length > limit ? found[limit - 1].key : undefined });
};
const write: MemoryTable["transact"] = (conditions, writes) => table.transact(conditions, writes);
const trailOf = (of: AuditChain) => new AuditTrail({ chain: of, clock, logger: silent, write });

/** Appends `count` records, one per day. */
const addDaily = async (trail: AuditTrail, count: number) => {
    for (let index = 0; index < count; index++) {
        trail.append({ action: "move", subject: "target/stock/t1", actor: "a1", cause: `change ${index}` });
        expect(await trail.flush()).toBe(true);
        clock.advance(DAY_MS);
    }
};
const retentionOf = (trail: AuditTrail, options: { isFirst?: boolean; registered?: string[] } = {}) =>
    new AuditRetention({
        clock,
        logger: silent,
        trail,
        read,
        write,
        domain: chain.domain,
        instance: chain.instance,
        retentionMs: RETENTION_MS,
        isFirst: () => options.isFirst ?? false,
        registered: () => new Set(options.registered ?? ["a1"]),
    });
const findingsOf = (rows: readonly AuditRow[]) =>
    verifyAuditChain(chain, rows).findings.map(({ type, sequence }) => `${type} ${sequence}`);

/** Rows of a chain whose first 5 records have been removed. */
const prunedRows = async (): Promise<AuditRow[]> => {
    const trail = trailOf(chain);
    await addDaily(trail, 14);
    await retentionOf(trail).run();
    await addDaily(trail, 1);
    return rowsOf();
};

test("old records are removed, and the rest of the chain can still be verified", async () => {
    const trail = trailOf(chain);
    await addDaily(trail, 10);
    const retention = retentionOf(trail);
    await retention.run();
    expect(recordsOf()).toHaveLength(11);
    await addDaily(trail, 4);
    await retention.run();
    const first = recordsOf()[0];
    expect(first.at).toBeGreaterThanOrEqual(clock.wallMs() - RETENTION_MS);
    expect(recordsOf().at(-1)).toMatchObject({
        action: "pruned",
        after: JSON.stringify({ sequence: first.sequence, digest: first.previous }),
    });
    // The prune step prevents a removal, and a record of it, in every run.
    const { length } = recordsOf();
    await retention.run();
    expect(recordsOf()).toHaveLength(length);
    // Records of removals are eventually removed too.
    for (let round = 0; round < 4; round++) {
        await addDaily(trail, 5);
        await retention.run();
        expect(findingsOf(rowsOf())).toEqual([]);
    }
    const removals = recordsOf().filter(({ action }) => action === "pruned");
    expect(removals.length).toBeLessThan(5);
    expect(removals[0].sequence).toBeGreaterThan(15);
});

test("gaps, edits and removals that no record states are found in a pruned chain", async () => {
    const rows = await prunedRows();
    expect(rows[0].key).toMatch(/000005$/);
    expect(findingsOf(rows)).toEqual([]);
    expect(findingsOf(rows.slice(1))).toEqual(["missing 6"]);
    expect(findingsOf(rows.filter((_, index) => index !== 3))).toEqual(["missing 9"]);
    const edited = (index: number, change: Partial<AuditRecord>) =>
        rows.map((row, at) => (at === index ? { ...row, value: { ...(row.value as object), ...change } } : row));
    expect(findingsOf(edited(0, { cause: "altered" }))).toEqual(["edited 5"]);
    expect(findingsOf(edited(0, { previous: "0".repeat(64) }))).toEqual(["edited 5", "forged-prune 5"]);
    // Without the record of the removal.
    expect(findingsOf(rows.filter(({ value }) => (value as AuditRecord).action !== "pruned"))).toEqual([
        "missing 5",
        "missing 16",
    ]);
});

test("an altered, moved or forged record of a removal is found", async () => {
    const rows = await prunedRows();
    const at = rows.findIndex(({ value }) => (value as AuditRecord).action === "pruned");
    const record = rows[at].value as AuditRecord;
    const withRecord = (change: Partial<AuditRecord>) =>
        rows.map((row, index) => (index === at ? { ...row, value: withAuditDigest({ ...record, ...change }) } : row));
    const { previous } = rows[2].value as AuditRecord;
    // Two more records are removed, and the record is rewritten to state this with matching digests. The link of the
    // next record reveals it.
    const moved = withRecord({ after: JSON.stringify({ sequence: 7, digest: previous }) }).slice(2);
    expect(findingsOf(moved)).toEqual(["broken-link 16"]);
    // At the end of a chain there is no next record, but the digest must be that of the removed record.
    const end = (after: object) => withRecord({ after: JSON.stringify(after) }).slice(0, at + 1);
    expect(findingsOf(end({ sequence: 5, digest: "0".repeat(64) }))).toEqual(["forged-prune 5"]);
    expect(findingsOf(end({ sequence: 90, digest: previous }))).toEqual(["forged-prune 15"]);
    expect(findingsOf(end({ sequence: "all" }))).toEqual(["missing 5", "forged-prune 15"]);
    // A record about another chain doesn't permit a removal in this one.
    expect(findingsOf(withRecord({ subject: "audit/linz/a1/i0" }).slice(0, at + 1))).toEqual(["missing 5"]);
});

test("nothing is removed before this is recorded, and an interrupted removal is completed later", async () => {
    const trail = trailOf(chain);
    await addDaily(trail, 14);
    const retention = retentionOf(trail);
    table.down = true;
    await retention.run();
    table.down = false;
    expect(recordsOf()).toHaveLength(15);
    // The record is written, but the removal fails.
    const refusing = new AuditRetention({
        ...(retention as unknown as { options: ConstructorParameters<typeof AuditRetention>[0] }).options,
        write: async () => ok({ type: "conflict", rows: [] }),
    });
    await refusing.run();
    expect(recordsOf().at(-1)?.action).toBe("pruned");
    expect(recordsOf()[0].sequence).toBe(0);
    expect(findingsOf(rowsOf())).toEqual([]);
    // A partly completed removal is consistent too.
    expect(findingsOf(rowsOf().slice(2))).toEqual([]);
    await retention.run();
    expect(recordsOf()[0].sequence).toBe(5);
    expect(findingsOf(rowsOf())).toEqual([]);
});

test("records with verification faults are kept as evidence", async () => {
    const trail = trailOf(chain);
    await addDaily(trail, 14);
    const row = table.all().find(({ key }) => key.endsWith("000002"));
    const value = { ...(row?.value as AuditRecord), cause: "altered" };
    await table.transact([{ key: row?.key ?? "", version: row?.version ?? 0 }], [{ key: row?.key ?? "", value }]);
    await retentionOf(trail).run();
    expect(recordsOf()[0].sequence).toBe(0);
});

test("ended chains are removed by the instance of that name or, if it is absent, by the first member", async () => {
    const chains = [
        { ...chain, incarnation: "i0" },
        { ...chain, instance: "a2" },
        { ...chain, instance: "a3" },
    ];
    for (const ended of chains) {
        const trail = trailOf(ended);
        await addDaily(trail, 1);
        expect(await trail.close(1_000)).toBe(0);
    }
    const trail = trailOf(chain);
    const count = () => chains.map(ended => rowsOf(ended).length);
    await retentionOf(trail, { isFirst: true }).run();
    expect(count()).toEqual([3, 3, 3]);
    clock.advance(RETENTION_MS);
    await retentionOf(trail, { isFirst: true }).run();
    // An absent instance may be running without its member row, so its chain is kept longer.
    expect(count()).toEqual([0, 3, 3]);
    clock.advance(RETENTION_MS * 0.2 + 1);
    await retentionOf(trail, { isFirst: false }).run();
    expect(count()).toEqual([0, 3, 3]);
    await retentionOf(trail, { isFirst: true, registered: ["a1", "a2"] }).run();
    expect(count()).toEqual([0, 3, 0]);
    const reports = (await verifyAuditTrail(read, {}))._unsafeUnwrap();
    expect(reports.flatMap(({ findings }) => findings)).toEqual([]);
    // The instance's own chain lost its first record in the last two runs.
    expect(
        recordsOf()
            .filter(({ action }) => action === "pruned")
            .map(({ subject }) => subject),
    ).toEqual(["audit/linz/a1/i0", "audit/linz/a1/i1", "audit/linz/a3/i1"]);
});
