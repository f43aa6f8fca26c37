import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import type { BundleService } from "../../../version/bundle.js";
import type { TargetHandOver } from "../../membership/controlHandler.js";
import { claimedRow } from "../../ownership/takeover.js";
import type { FormerDispatcher, ServiceRecords } from "../../records/serviceRecords.js";
import { targetRowKey, type TargetRow } from "../../store/rows.js";
import { TableReplica } from "../../store/tableReplica.js";
import type { DispatchServices } from "../dispatchServices.js";
import { Dispatchers } from "../dispatchers.js";
import type { TargetDispatcherEvents } from "../targetDispatcher.js";

const [SENDER, SELF] = ["a1.9c", "a2.1f"];
const SERVICE = { name: "orders", grants: "checked", slots: 6 } as BundleService;
const KEY = targetRowKey("orders", "t1");
const ROW: TargetRow = {
    service: "orders",
    target: "t1",
    domain: "d1",
    address: "127.0.0.1:1",
    slices: [[0, 100]],
    dispatcher: SENDER,
    term: 4,
    state: "serving",
    attempt: "",
};
const TERM = ROW.term + 1;
const HAND_OVER: TargetHandOver = {
    runs: { remainingMs: 2_000, running: [{ position: 5, remainingMs: 2_000 }] },
    load: { slices: [{ slice: [0, 100], work: 3, bins: [3] }], hotKeys: [], measuredMs: 60_000 },
};

describe("what a former dispatcher handed over with a target", () => {
    let dispatchers: Dispatchers;
    let replica: TableReplica;
    /** Former dispatchers and attempts that were passed to the records of gained slices. */
    let gained: { from: string | undefined; attempt: string | undefined }[];
    let former: FormerDispatcher | undefined;

    const become = (row: TargetRow) => {
        replica.apply([{ key: KEY, version: 2, value: row }]);
        dispatchers.sync();
        const dispatcher = dispatchers.get(KEY);
        return { busy: dispatcher?.busyPositions([[0, 100]]), work: dispatcher?.loadReport().slices.length };
    };

    beforeEach(() => {
        const clock = new ManualClock();
        replica = new TableReplica();
        replica.apply([{ key: KEY, version: 1, value: ROW }]);
        gained = [];
        former = undefined;
        const services = {
            clock,
            coarse: clock,
            runningMs: () => clock.monotonicMs(),
            log: SILENT_LOGGER,
            replica,
            timing: { grantTtlMs: 1_000, grantPeriodMs: 300, probeTimeoutMs: 250, targetSilenceMs: 700 },
            limits: { connectionsPerTarget: 128 },
            incarnation: () => SELF,
            leaseUntil: () => Infinity,
            grantsUntil: () => Infinity,
            targetLost: () => undefined,
        } as unknown as DispatchServices & TargetDispatcherEvents;
        const records = {
            gained: (...values: Parameters<ServiceRecords["gained"]>) => {
                gained.push({ from: values[4]?.incarnation, attempt: values[5] });
                return { isHandedOver: false, rest: "covered" };
            },
            lost: () => undefined,
        } as unknown as ServiceRecords;
        dispatchers = new Dispatchers({
            replica,
            services,
            records,
            serviceOf: () => SERVICE,
            takenFrom: () => former,
        });
        dispatchers.sync();
    });

    afterEach(() => dispatchers.dispose());

    test("guards against losing it when the row states the handover", () => {
        dispatchers.expectHandOver({ targetKey: KEY, term: TERM, attempt: "first" }, HAND_OVER);
        dispatchers.expectHandOver({ targetKey: KEY, term: TERM, attempt: "second" }, { load: HAND_OVER.load });
        const row = { ...ROW, dispatcher: SELF, term: TERM, handOver: "first" };
        expect(become(row)).toEqual({ busy: [5], work: 1 });
        expect(gained).toEqual([{ from: undefined, attempt: "first" }]);
    });

    // Requests and load of a handover that wasn't carried out are out of date. The positions counted as busy and couldn't be
    // moved.
    test("guards against applying it after a takeover under the same term", () => {
        dispatchers.expectHandOver({ targetKey: KEY, term: TERM, attempt: "first" }, HAND_OVER);
        former = { incarnation: SENDER, lapsedAt: undefined };
        expect(become(claimedRow(ROW, SELF))).toEqual({ busy: [], work: 0 });
        expect(gained).toEqual([{ from: SENDER, attempt: "" }]);
        expect(dispatchers.get(KEY)?.hasFenced).toBe(false);
    });

    // The dispatcher would hold non-idempotent requests until the target's first grant, and then refuse identifiers that the
    // handover covers.
    test("guards against treating a handover as a takeover after a claim that failed under the same term", () => {
        dispatchers.expectHandOver({ targetKey: KEY, term: TERM, attempt: "first" }, HAND_OVER);
        former = { incarnation: SENDER, lapsedAt: undefined };
        expect(become({ ...ROW, dispatcher: SELF, term: TERM, handOver: "first" })).toEqual({ busy: [5], work: 1 });
        expect(gained).toEqual([{ from: undefined, attempt: "first" }]);
        expect(dispatchers.get(KEY)?.hasFenced).toBe(true);
    });

    test("guards against applying another handover under the same term", () => {
        dispatchers.expectHandOver({ targetKey: KEY, term: TERM, attempt: "first" }, HAND_OVER);
        const row = { ...ROW, dispatcher: SELF, term: TERM, handOver: "second" };
        expect(become(row)).toEqual({ busy: [], work: 0 });
    });

    // Another instance may have moved slices to the target before this one saw the row of the handover. The target would
    // abandon the former dispatcher's requests if their positions were moved.
    test("guards against forgetting the requests of a handover whose row was followed by another", () => {
        dispatchers.expectHandOver({ targetKey: KEY, term: TERM - 1, attempt: "other" }, { load: HAND_OVER.load });
        dispatchers.expectHandOver({ targetKey: KEY, term: TERM, attempt: "first" }, HAND_OVER);
        const row = { ...ROW, dispatcher: SELF, term: TERM + 1, handOver: "" };
        expect(become(row)).toEqual({ busy: [5], work: 1 });
    });

    // An instance of an earlier version states no attempt, in its handover and in its row.
    test("guards against ignoring the handover of an earlier version", () => {
        dispatchers.expectHandOver({ targetKey: KEY, term: TERM, attempt: undefined }, HAND_OVER);
        expect(become({ ...ROW, dispatcher: SELF, term: TERM })).toEqual({ busy: [5], work: 1 });
    });
});
