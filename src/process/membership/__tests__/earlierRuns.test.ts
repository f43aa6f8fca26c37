import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import type { BundleService } from "../../../version/bundle.js";
import type { DispatchServices } from "../../dispatch/dispatchServices.js";
import type { TargetRow } from "../../store/rows.js";
import { TableReplica } from "../../store/tableReplica.js";
import { TargetDispatcher, type TargetDispatcherEvents } from "../../dispatch/targetDispatcher.js";

const ROW: TargetRow = {
    service: "orders",
    target: "t1",
    domain: "d1",
    address: "127.0.0.1:1",
    slices: [[0, 100]],
    dispatcher: "a2.9c",
    term: 3,
    state: "serving",
    attempt: "",
};
const SERVICE = { name: "orders", grants: "checked", slots: 6 } as BundleService;

describe("a dispatcher after a handover", () => {
    let clock: ManualClock;
    let dispatcher: TargetDispatcher;

    beforeEach(() => {
        clock = new ManualClock();
        const services = {
            clock,
            coarse: clock,
            runningMs: () => clock.monotonicMs(),
            log: { info: () => undefined, warn: () => undefined },
            replica: new TableReplica(),
            timing: { grantTtlMs: 1_000, grantPeriodMs: 300, probeTimeoutMs: 250, targetSilenceMs: 700 },
            limits: { connectionsPerTarget: 128 },
            incarnation: () => "a2.9c",
            leaseUntil: () => Infinity,
            grantsUntil: () => Infinity,
            targetLost: () => undefined,
        } as unknown as DispatchServices & TargetDispatcherEvents;
        dispatcher = new TargetDispatcher(SERVICE, ROW, services, "");
        dispatcher.expectEarlierRuns({ remainingMs: 2_000, running: [{ position: 5, remainingMs: 2_000 }] });
    });

    afterEach(() => dispatcher.dispose());

    test("guards against a move that makes the target abandon a request of the former dispatcher", async () => {
        const early = dispatcher.drained([[0, 10]], 100);
        clock.advance(100);
        expect(await early).toBe(false);
        expect(dispatcher.busyPositions([[0, 100]])).toEqual([5]);
        const late = dispatcher.drained([[0, 10]], 500);
        dispatcher.earlierRunEnded(5);
        expect(await late).toBe(true);
    });

    test("guards against a position that stays busy because the former dispatcher is gone", async () => {
        const drained = dispatcher.drained([[0, 10]], 5_000);
        clock.advance(2_000);
        expect(await drained).toBe(true);
    });

    test("guards against the next handover losing the requests that the previous one left running", () => {
        expect(dispatcher.earlierRuns().running).toEqual([{ position: 5, remainingMs: 2_000 }]);
    });
});
