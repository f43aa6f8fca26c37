import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { startScriptedTarget, type ScriptedTarget } from "../../../../test/support/scriptedTarget.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { waitFor } from "../../../../test/support/waitFor.js";
import type { AnswerSink } from "../../../connection/answerSink.js";
import type { OpenFrame } from "../../../connection/peerProtocol.js";
import type { BundleService } from "../../../version/bundle.js";
import { targetRowKey, type TargetRow } from "../../store/rows.js";
import { TableReplica } from "../../store/tableReplica.js";
import type { DispatchServices } from "../dispatchServices.js";
import { DEFAULT_ABANDONED_RUN_MS, Quarantine } from "../quarantine.js";
import { RetryBudget } from "../retryBudget.js";
import { TargetDispatcher, type TargetDispatcherEvents } from "../targetDispatcher.js";
import { CRASH_DETECTION_WAIT_MS } from "../unansweredSends.js";

const SELF = "a1.9c";
const SERVICE = { name: "stock", grants: "checked", slots: 6 } as BundleService;
const FINGERPRINT = Buffer.alloc(32, 7);
const SUSPECT = FINGERPRINT.toString("hex");
const LOOKUP: OpenFrame = {
    service: "stock",
    target: "t1",
    kind: "stock.lookup",
    method: "GET",
    path: "/stock/suspect",
    headers: [],
    body: new Uint8Array(),
    position: 5,
    key: "k1",
    identifier: "",
    deadlineMs: 4_000,
    caller: "c1",
    fingerprint: FINGERPRINT,
    bundleVersion: 1,
    trace: "",
    idempotent: true,
    long: false,
    priority: 0,
    anyOwner: false,
};
const SINK: AnswerSink = {
    head: () => undefined,
    data: () => undefined,
    end: () => undefined,
    refused: () => undefined,
};

describe("a suspect whose connection broke while the state of its target is unknown", () => {
    let clock: ManualClock;
    let quarantine: Quarantine;
    let target: ScriptedTarget;
    let dispatcher: TargetDispatcher;
    let isSilent: boolean;

    const isWaiting = () => quarantine.start(SUSPECT, "target/stock/t2", "boot1").type === "wait";

    beforeEach(async () => {
        clock = new ManualClock();
        isSilent = false;
        target = await startScriptedTarget(({ url, socket, answer }) => {
            if (isSilent) {
                return;
            }
            if (url === "/stock/suspect") {
                isSilent = true;
                socket.destroy();
                return;
            }
            const report = {
                boot: "boot1",
                clock: clock.monotonicMs(),
                slots: 6,
                inFlight: 0,
                load: 0,
                state: "serving",
            };
            answer({ body: JSON.stringify(report) });
        });
        const row: TargetRow = {
            service: "stock",
            target: "t1",
            domain: "d1",
            address: target.address,
            slices: [[0, 100]],
            dispatcher: SELF,
            term: 3,
            state: "serving",
            attempt: "",
        };
        const replica = new TableReplica();
        replica.apply([{ key: targetRowKey("stock", "t1"), version: 1, value: row }]);
        quarantine = new Quarantine({ clock });
        const [clearedAtMs, convictedAtMs, pardonedAtMs] = [0, 0, 0];
        const suspectedAtMs = clock.wallMs();
        quarantine.merge([{ fingerprint: SUSPECT, suspectedAtMs, clearedAtMs, convictedAtMs, pardonedAtMs }]);
        const budget = new RetryBudget(clock);
        const services = {
            clock,
            coarse: clock,
            runningMs: () => clock.monotonicMs(),
            log: SILENT_LOGGER,
            replica,
            timing: { grantTtlMs: 1_000, grantPeriodMs: 300, probeTimeoutMs: 250, targetSilenceMs: 10_000 },
            limits: { connectionsPerTarget: 128, queueLength: 100 },
            incarnation: () => SELF,
            leaseUntil: () => Infinity,
            grantsUntil: () => Infinity,
            quarantine,
            retryBudget: () => budget,
            runEndedAfterHandOver: () => undefined,
            targetLost: () => undefined,
            targetDraining: () => undefined,
        } as unknown as DispatchServices & TargetDispatcherEvents;
        dispatcher = new TargetDispatcher(SERVICE, row, services, "");
        await waitFor(() => dispatcher.isReady);
    });

    afterEach(async () => {
        dispatcher.dispose();
        await target.dispose();
    });

    const sendSuspect = async () => {
        const request = dispatcher.dispatch(LOOKUP, SINK);
        await waitFor(() => dispatcher.counters.sends === 1 && dispatcher.inFlight === 0);
        expect(isWaiting()).toBe(true);
        return request;
    };

    test("guards against a handover after which its former dispatcher never runs it again", async () => {
        await sendSuspect();
        dispatcher.dispose();
        clock.advance(DEFAULT_ABANDONED_RUN_MS - 1);
        expect(isWaiting()).toBe(true);
        clock.advance(1);
        expect(isWaiting()).toBe(false);
    });

    test("guards against a caller that leaves and so blocks all later copies of its request", async () => {
        const request = await sendSuspect();
        request.cancel();
        clock.advance(DEFAULT_ABANDONED_RUN_MS - 1);
        expect(isWaiting()).toBe(true);
        clock.advance(1);
        expect(isWaiting()).toBe(false);
    });

    test("guards against a handover before it is known what crashed the target, and one that is put off forever", async () => {
        expect(dispatcher.mayHaveCrashed).toBe(false);
        await sendSuspect();
        expect(dispatcher.mayHaveCrashed).toBe(true);
        clock.advance(CRASH_DETECTION_WAIT_MS);
        expect(dispatcher.mayHaveCrashed).toBe(false);
    });
});
