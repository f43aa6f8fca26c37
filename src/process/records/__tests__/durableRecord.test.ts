import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import { v7 } from "uuid";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { parseIdentifier } from "../../../request/identifier.js";
import { DEFAULT_BATCH_DELAY_MS, DurableRecord, readDurableRecord, type Transact } from "../durableRecord.js";
import { IdentifierRecord } from "../identifierRecord.js";
import type { RowCondition, RowWrite } from "../../store/platformTable.js";
import { targetRowKey, type TargetRow, type VersionedRow } from "../../store/rows.js";

type Fault = "none" | "unavailable" | "lost-before" | "lost-after" | "commits-later";
const ROW_KEY = targetRowKey("payout", "t1");
const FINGERPRINT = Buffer.alloc(8, 3);

/** Applies transactions as the table does, with an optional fault for each. */
class TableStandIn {
    readonly rows = new Map<string, VersionedRow>();
    readonly faults: Fault[] = [];
    late: (() => void)[] = [];
    transactions = 0;
    private revision = 0;

    readonly transact: Transact = async (conditions, writes) => {
        this.transactions++;
        const fault = this.faults.shift() ?? "none";
        if (fault === "unavailable") {
            return err({ type: "platform-unavailable", detail: "503" });
        }
        if (fault === "commits-later") {
            this.late.push(() => this.apply(conditions, writes));
        }
        const result = fault === "none" || fault === "lost-after" ? this.apply(conditions, writes) : undefined;
        return fault === "none" && result !== undefined
            ? ok(result)
            : err({ type: "platform-unknown", detail: "reply lost" });
    };

    readonly scan = async (prefix: string) =>
        ok({ rows: [...this.rows.values()].filter(row => row.key.startsWith(prefix) && row.value !== undefined) });

    version(key: string): number {
        const row = this.rows.get(key);
        return row?.value === undefined ? 0 : row.version;
    }

    apply(conditions: readonly RowCondition[], writes: readonly RowWrite[]) {
        const failed = conditions.filter(({ key, version }) => this.version(key) !== version);
        if (failed.length > 0) {
            const rows = failed.map(({ key }) => this.rows.get(key)).filter(row => row !== undefined);
            return { type: "conflict" as const, rows };
        }
        this.revision++;
        const written = writes.map(({ key, value }) => ({
            key,
            version: this.revision,
            value: value && { ...value, attempt: "a" },
        }));
        written.forEach(row => this.rows.set(row.key, row));
        return { type: "committed" as const, rows: written };
    }

    setDispatcher(dispatcher: string): { version: number; value: TargetRow } {
        const value: TargetRow = {
            service: "payout",
            target: "t1",
            domain: "d1",
            address: "127.0.0.1:1",
            slices: [[0, 100]],
            dispatcher,
            term: this.revision + 1,
            state: "serving",
            attempt: "a",
        };
        this.apply([], [{ key: ROW_KEY, value }]);
        return { version: this.version(ROW_KEY), value };
    }
}

const settled = async () => {
    for (let turn = 0; turn < 30; turn++) {
        await Promise.resolve();
    }
};

const identifierAt = (timeMs: number) => parseIdentifier(v7({ msecs: timeMs }))._unsafeUnwrap();

const entryOf = (identifier: ReturnType<typeof identifierAt>, rowVersion: number, isWanted = () => true) => ({
    recorded: {
        position: 7,
        identifier: Buffer.from(identifier.bytes).toString("hex"),
        fingerprint: FINGERPRINT.toString("hex"),
    },
    timeMs: identifier.timeMs,
    rowVersion,
    isWanted,
});

describe("DurableRecord", () => {
    const setUp = () => {
        const clock = new ManualClock();
        const table = new TableStandIn();
        const held = table.setDispatcher("i1");
        const durable = new DurableRecord({
            clock,
            transact: table.transact,
            heldRow: () => held,
            retentionMs: 122_000,
        });
        const commit = (isWanted = () => true) =>
            durable.commit(entryOf(identifierAt(clock.wallMs()), held.version, isWanted));
        return { clock, table, durable, held, commit };
    };

    test("guards against one write per identifier and against waiting beyond the batch delay", async () => {
        const { clock, table, durable, commit } = setUp();
        const results = Array.from({ length: 65 }, () => commit());
        await settled();
        expect(durable.counters).toMatchObject({ batches: 1, identifiers: 64 });
        clock.advance(DEFAULT_BATCH_DELAY_MS);
        expect((await Promise.all(results)).every(result => result.isOk())).toBe(true);
        expect(table.transactions).toBe(2);
    });

    test("guards against recording by a superseded dispatcher and for abandoned requests", async () => {
        const { clock, table, commit } = setUp();
        const wanted = commit();
        const givenUp = commit(() => false);
        const row = table.setDispatcher("i2");
        clock.advance(DEFAULT_BATCH_DELAY_MS);
        const refusal = (await wanted)._unsafeUnwrapErr();
        expect(refusal).toMatchObject({ type: "row-changed", row: { version: row.version } });
        expect((await givenUp)._unsafeUnwrapErr().type).toBe("given-up");
        expect((await table.scan("record/")).value.rows).toEqual([]);
    });

    test("guards against rows that accumulate, and against deleting rows early after the wall clock was set forward", async () => {
        const { clock, table, durable, commit } = setUp();
        const recordRows = () => [...table.rows.values()].filter(({ key, value }) => value && /-\d+$/.test(key)).length;
        table.faults.push("none", "lost-after", "none");
        for (let batch = 0; batch < 3; batch++) {
            void commit();
            clock.advance(DEFAULT_BATCH_DELAY_MS);
            await settled();
        }
        clock.shiftWall(1_000_000);
        await durable.prune();
        expect(recordRows()).toBe(3);
        clock.advance(122_000);
        void commit();
        clock.advance(DEFAULT_BATCH_DELAY_MS);
        await settled();
        expect(recordRows()).toBe(2);
        table.faults.push("unavailable");
        await durable.prune();
        expect(recordRows()).toBe(2);
        clock.advance(10_000);
        await durable.prune();
        expect(recordRows()).toBe(1);
    });

    test("guards against running an identifier twice over lost replies, late commits and takeovers", async () => {
        const fault = fc.constantFrom<Fault>(
            "none",
            "none",
            "unavailable",
            "lost-before",
            "lost-after",
            "commits-later",
        );
        const step = fc.oneof(
            {
                weight: 4,
                arbitrary: fc.record({ type: fc.constant("send" as const), id: fc.nat(2), at: fc.nat(1), fault }),
            },
            fc.record({ type: fc.constant("flush" as const) }),
            fc.record({ type: fc.constant("late" as const) }),
            fc.record({ type: fc.constant("takeover" as const), by: fc.nat(1) }),
        );
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 25 }), async steps => {
                const clock = new ManualClock();
                const table = new TableStandIn();
                const ids = [0, 1, 2].map(() => identifierAt(clock.wallMs()));
                const executions = [0, 0, 0];
                const makeDispatcher = () => {
                    const state: {
                        held: ReturnType<TableStandIn["setDispatcher"]> | undefined;
                        record: IdentifierRecord;
                    } = { held: undefined, record: new IdentifierRecord({ clock }) };
                    const heldRow = () => state.held;
                    const { transact } = table;
                    return Object.assign(state, {
                        durable: new DurableRecord({ clock, transact, heldRow, retentionMs: 122_000 }),
                    });
                };
                const dispatchers = [makeDispatcher(), makeDispatcher()];
                const takeOver = async (by: number) => {
                    const held = table.setDispatcher(`i${by}`);
                    // The other dispatcher learns of the takeover only from its next conflict.
                    dispatchers[by].held = undefined;
                    const contents = (await readDurableRecord(table.scan, "payout"))._unsafeUnwrap();
                    dispatchers[by].record = new IdentifierRecord({ clock });
                    dispatchers[by].record.importIdentifiers("payout", contents.identifiers)._unsafeUnwrap();
                    dispatchers[by].held = held;
                };
                const send = async (id: number, at: number) => {
                    const { held, record, durable } = dispatchers[at];
                    if (held === undefined) {
                        return;
                    }
                    const request = { service: "payout", position: 7, identifier: ids[id], fingerprint: FINGERPRINT };
                    const admission = record.admit({ ...request, authoritySinceMs: 0 });
                    if (admission.type !== "run") {
                        return;
                    }
                    const recorded = await durable.commit(entryOf(ids[id], held.version));
                    if (recorded.isOk()) {
                        executions[id]++;
                        admission.handle.settle({ type: "unknown" });
                    } else {
                        admission.handle.settle({ type: "not-run" });
                    }
                };
                await takeOver(0);
                for (const action of steps) {
                    if (action.type === "send") {
                        table.faults.push(action.fault);
                        void send(action.id, action.at);
                    } else if (action.type === "flush") {
                        clock.advance(DEFAULT_BATCH_DELAY_MS);
                    } else if (action.type === "late") {
                        table.late.splice(0).forEach(commit => commit());
                    } else {
                        await takeOver(action.by);
                    }
                    await settled();
                }
                clock.advance(DEFAULT_BATCH_DELAY_MS);
                await settled();
                expect(Math.max(...executions)).toBeLessThanOrEqual(1);
            }),
            { seed: 21, numRuns: 1_000 },
        );
    });
});
