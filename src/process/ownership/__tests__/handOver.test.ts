import { beforeEach, describe, expect, test } from "@jest/globals";
import { ok } from "neverthrow";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import type { TargetDispatcher } from "../../dispatch/targetDispatcher.js";
import { rendezvousFirst } from "../../membership/rendezvous.js";
import type { TransactionResult } from "../../store/platformTable.js";
import { targetRowSchema, type TargetRow } from "../../store/rows.js";
import { TableReplica } from "../../store/tableReplica.js";
import { DEFAULT_HAND_OVER_PAUSE_MS, DEFAULT_HAND_OVER_STABLE_MS, Ownership } from "../ownership.js";

type OwnershipOptions = ConstructorParameters<typeof Ownership>[0];

const KEY = "target/stock/t1";
const CANDIDATES = ["a1.9c", "a2.1f"];
const PREFERRED = rendezvousFirst("stock/t1", CANDIDATES) ?? "";
const SELF = CANDIDATES.find(candidate => candidate !== PREFERRED) ?? "";
const ROW: TargetRow = {
    service: "stock",
    target: "t1",
    domain: "d1",
    address: "127.0.0.1:1",
    slices: [[0, 100]],
    dispatcher: SELF,
    term: 2,
    state: "serving",
    attempt: "",
};

describe("a handover of a target that may have crashed", () => {
    let clock: ManualClock;
    let ownership: Ownership;
    let steps: string[];
    /** Step before which the connections to the target break. */
    let breaksBefore: string | undefined;
    let mayHaveCrashed: boolean;

    const step = (name: string) => {
        mayHaveCrashed ||= name === breaksBefore;
        steps.push(name);
    };

    beforeEach(() => {
        clock = new ManualClock();
        steps = [];
        breaksBefore = undefined;
        mayHaveCrashed = false;
        const replica = new TableReplica();
        replica.apply([{ key: KEY, version: 1, value: ROW }]);
        const dispatcher = {
            key: KEY,
            service: {},
            get mayHaveCrashed() {
                return mayHaveCrashed;
            },
            row: () => replica.get(KEY, targetRowSchema)?.value,
            holdAll: () => step("hold"),
            unholdAll: () => step("unhold"),
            drained: async () => step("drain"),
            earlierRuns: () => undefined,
            loadReport: () => undefined,
        } as unknown as TargetDispatcher;
        ownership = new Ownership({
            clock,
            log: SILENT_LOGGER,
            replica,
            membership: {
                isRegistered: () => false,
                isActive: () => true,
                isTableReachable: async () => true,
                candidates: () => [...CANDIDATES],
                identity: () => ({ incarnation: SELF, domain: "d1" }),
                ownCondition: () => ({ key: `member/d1/${SELF}`, version: 1 }),
            },
            peers: () => ({ pushRows: () => undefined }),
            dispatchers: () => ({ get: () => dispatcher, all: () => [] }),
            records: { export: () => ({}) },
            transfer: {
                sendRecords: async () => {
                    step("send");
                    return true;
                },
            },
            transact: async () => {
                step("write");
                const value = { ...ROW, dispatcher: PREFERRED, term: 3 };
                return ok<TransactionResult>({ type: "committed", rows: [{ key: KEY, version: 2, value }] });
            },
            changed: () => undefined,
        } as unknown as OwnershipOptions);
        ownership.tick();
        clock.advance(DEFAULT_HAND_OVER_STABLE_MS);
    });

    /** Starts the operations that are due, and waits for them. */
    const runDue = async () => {
        ownership.tick();
        await new Promise(resolve => setImmediate(resolve));
    };

    test("guards against a target that is never handed over", async () => {
        await runDue();
        expect(steps).toEqual(["hold", "drain", "send", "write"]);
    });

    test("guards against holding its requests while a crash isn't decided", async () => {
        mayHaveCrashed = true;
        await runDue();
        expect(steps).toEqual([]);
        mayHaveCrashed = false;
        await runDue();
        expect(steps).toEqual(["hold", "drain", "send", "write"]);
    });

    test.each([
        ["drain", ["hold", "drain", "unhold"]],
        ["send", ["hold", "drain", "send", "unhold"]],
    ])("guards against losing what ran at a crash before the step %s", async (before, given) => {
        breaksBefore = before;
        await runDue();
        expect(steps).toEqual(given);
        [breaksBefore, mayHaveCrashed] = [undefined, false];
        clock.advance(DEFAULT_HAND_OVER_PAUSE_MS);
        await runDue();
        expect(steps).toEqual([...given, "hold", "drain", "send", "write"]);
    });
});
