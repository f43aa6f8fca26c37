import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import type { GatewayCall } from "../../../request/gatewayCall.js";
import { CrashSuspects } from "../crashSuspects.js";

const call = (url: string): GatewayCall => ({
    method: "GET",
    url,
    host: "shop.example",
    headers: [],
    body: Buffer.alloc(0),
    requestId: Math.random().toString(),
    deadlineMs: 1_000,
    key: 1,
    arrivedAt: 0,
});

const createSuspects = (clock: ManualClock, instance: string, peers: CrashSuspects[] = []) => {
    const ownRow = instance;
    const suspects: CrashSuspects = new CrashSuspects({
        clock,
        logger: SILENT_LOGGER,
        ownRow,
        publish: value => peers.forEach(peer => peer.rowChanged({ key: ownRow, value, version: 1 })),
    });
    return suspects;
};

const crash = (suspects: CrashSuspects, url: string, target: string) => {
    suspects.connectionBroke(call(url), target);
    suspects.targetEnded(target);
};

describe("CrashSuspects", () => {
    it("refuses a request after three crashes that were seen by different instances", () => {
        const clock = new ManualClock();
        const last = createSuspects(clock, "a3");
        const first = createSuspects(clock, "a1", [last]);
        const second = createSuspects(clock, "a2", [last]);
        crash(first, "/poison", "t1");
        crash(second, "/poison", "t2");
        expect(last.isQuarantined(call("/poison"))).toBe(false);
        crash(last, "/poison", "t3");
        expect(last.isQuarantined(call("/poison"))).toBe(true);
        expect(last.isQuarantined(call("/other"))).toBe(false);
    });

    it("doesn't suspect a request whose target keeps running after the connection broke", () => {
        const clock = new ManualClock();
        const suspects = createSuspects(clock, "a1");
        for (let round = 0; round < 5; round++) {
            suspects.connectionBroke(call("/lost-answer"), "t1");
            clock.advance(5_000);
            suspects.targetEnded("t1");
        }
        expect(suspects.isQuarantined(call("/lost-answer"))).toBe(false);
    });

    it("counts a crash only once if several instances saw it", () => {
        const clock = new ManualClock();
        const last = createSuspects(clock, "a4");
        for (const instance of ["a1", "a2", "a3"]) {
            crash(createSuspects(clock, instance, [last]), "/busy", "t1");
        }
        crash(last, "/busy", "t1");
        expect(last.isQuarantined(call("/busy"))).toBe(false);
    });

    it("clears a request that was merely in flight at a crash once it is answered", () => {
        const clock = new ManualClock();
        const suspects = createSuspects(clock, "a1");
        for (const target of ["t1", "t2", "t3", "t4"]) {
            crash(suspects, "/in-flight", target);
            suspects.answered(call("/in-flight"));
        }
        expect(suspects.isQuarantined(call("/in-flight"))).toBe(false);
    });
});
