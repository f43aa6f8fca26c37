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

    it("doesn't forget crashes that the copy of a restored store lacks, and reports its own again", () => {
        const clock = new ManualClock();
        const published: Buffer[] = [];
        const suspects = new CrashSuspects({
            clock,
            logger: SILENT_LOGGER,
            ownRow: "a1",
            publish: value => published.push(value),
        });
        const row = (key: string, crashes: Record<string, string[]>, version: number) => ({
            key,
            value: Buffer.from(JSON.stringify({ crashes })),
            version,
        });
        const poison = suspects.fingerprint(call("/poison"));
        crash(suspects, "/poison", "t1");
        suspects.rowChanged(row("a2", { [poison]: ["t2", "t3"] }, 5));
        suspects.rowChanged(row("a3", { [poison]: ["t4"] }, 6));
        const [own] = published.splice(0);
        suspects.restored([row("a1", {}, 2), row("a2", { [poison]: ["t2"] }, 3)]);
        expect(published).toEqual([own]);
        expect(suspects.isQuarantined(call("/poison"))).toBe(true);

        // Only what an instance writes after the restore replaces what is known of it.
        const others = createSuspects(clock, "a4");
        others.rowChanged(row("a2", { [poison]: ["t2", "t3", "t4"] }, 5));
        others.restored([row("a2", { [poison]: ["t2"] }, 3)]);
        others.rowChanged(row("a2", {}, 4));
        expect(others.isQuarantined(call("/poison"))).toBe(false);
    });

    it("reports nothing after a restore if it has seen no crash", () => {
        const published: Buffer[] = [];
        const suspects = new CrashSuspects({
            clock: new ManualClock(),
            logger: SILENT_LOGGER,
            ownRow: "a1",
            publish: value => published.push(value),
        });
        suspects.restored([]);
        expect(published).toEqual([]);
    });
});
