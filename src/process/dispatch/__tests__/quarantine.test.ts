import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { classifyTargetFailure } from "../classifyTargetFailure.js";
import { Quarantine, quarantineRecordSchema, type QuarantineAdmission } from "../quarantine.js";

const fingerprintOf = (name: string) => Buffer.from(name).toString("hex").padStart(64, "0");
const [bad, b, c, frequent] = ["a", "b", "c", "p"].map(fingerprintOf);

const run = (admission: QuarantineAdmission) => {
    if (admission.type !== "run") {
        throw new Error(`Expected run, got ${admission.type}`);
    }
    return admission.run;
};

describe("Quarantine", () => {
    test("guards against a request crashing a third target, and against convicting requests in flight with it", () => {
        const clock = new ManualClock();
        const shared: unknown[] = [];
        const here = new Quarantine({ clock, onChange: records => shared.push(...records) });
        const there = new Quarantine({ clock });
        [bad, b, c].forEach(fingerprint => run(here.start(fingerprint, "t1", "boot1")));
        expect(here.targetCrashed("t1", "boot1")).toEqual({ suspected: [bad, b, c], convicted: [] });
        there.merge(shared.map(record => quarantineRecordSchema.parse(record)));
        run(there.start(bad, "t2", "boot1"));
        run(there.start(fingerprintOf("x"), "t2", "boot1"));
        expect(there.start(b, "t2", "boot1").type).toBe("wait");
        expect(there.targetCrashed("t2", "boot1")).toEqual({ suspected: [fingerprintOf("x")], convicted: [bad] });
        here.merge(there.records());
        expect(here.start(bad, "t3", "boot1")).toMatchObject({ type: "refuse", refusal: { type: "quarantined" } });
        run(here.start(b, "t3", "boot1")).finish();
        expect(here.stateOf(b)).toBe("clear");
        expect(here.stateOf(c)).toBe("suspect");
    });

    test("guards against convictions when a target crashes by itself with different requests in flight", () => {
        const quarantine = new Quarantine({ clock: new ManualClock() });
        for (let crash = 0; crash < 20; crash++) {
            ["k", "l", "m"].forEach(id => run(quarantine.start(fingerprintOf(`${crash}${id}`), "t1", `${crash}`)));
            expect(quarantine.targetCrashed("t1", `${crash}`).convicted).toEqual([]);
        }
    });

    test("guards against convicting a frequent request of which several copies are in flight at crashes", () => {
        let ends = 0;
        const quarantine = new Quarantine({ clock: new ManualClock(), onSuspectEnd: () => ends++ });
        ["t1", "t1", "t2", "t3"].forEach(target => run(quarantine.start(frequent, target, "boot1")));
        const copy = run(quarantine.start(frequent, "t4", "boot1"));
        ["t1", "t2", "t3"].forEach(target => quarantine.targetCrashed(target, "boot1"));
        expect(quarantine.stateOf(frequent)).toBe("suspect");
        const alone = run(quarantine.start(frequent, "t5", "boot1"));
        expect(quarantine.start(frequent, "t6", "boot1").type).toBe("wait");
        alone.abandon();
        expect(quarantine.start(frequent, "t6", "boot1").type).toBe("wait");
        expect(ends).toBe(0);
        copy.finish();
        expect(ends).toBe(1);
        expect(quarantine.start(frequent, "t6", "boot1").type).toBe("run");
    });

    test("guards against suspecting requests of the next process because of a late report of the crash", () => {
        const quarantine = new Quarantine({ clock: new ManualClock() });
        run(quarantine.start(b, "t1", "boot1"));
        quarantine.targetCrashed("t1", "boot1");
        run(quarantine.start(b, "t1", "boot2"));
        run(quarantine.start(c, "t1", "boot2"));
        expect(quarantine.targetCrashed("t1", "boot1")).toEqual({ suspected: [], convicted: [] });
        expect([b, c].map(fingerprint => quarantine.stateOf(fingerprint))).toEqual(["suspect", "clear"]);
    });

    test("guards against suspecting a request whose answer was still in transit when its target had ended", () => {
        let ends = 0;
        const clock = new ManualClock();
        const quarantine = new Quarantine({ clock, onSuspectEnd: () => ends++ });
        const inTransit = run(quarantine.start(b, "t1", "boot1"));
        run(quarantine.start(c, "t1", "boot1"));
        expect(quarantine.targetCrashed("t1", "boot1")).toEqual({ suspected: [b, c], convicted: [] });
        inTransit.finish();
        expect([b, c].map(fingerprint => quarantine.stateOf(fingerprint))).toEqual(["clear", "suspect"]);
        expect(ends).toBe(1);
        run(quarantine.start(b, "t2", "boot1"));
        expect(quarantine.targetCrashed("t2", "boot1").convicted).toEqual([]);
    });

    test("guards against missing requests abandoned just before the crash, and against waiting forever", () => {
        const clock = new ManualClock();
        const quarantine = new Quarantine({ clock });
        run(quarantine.start(bad, "t1", "boot1")).abandon();
        clock.advance(1_000);
        expect(quarantine.targetCrashed("t1", "boot1").suspected).toEqual([bad]);
        run(quarantine.start(bad, "t1", "boot2")).abandon();
        clock.advance(2_000);
        expect(quarantine.start(bad, "t1", "boot2").type).toBe("run");
    });

    test("guards against records that never expire, unbounded memory, and a peer with a wrong clock", () => {
        const clock = new ManualClock();
        const quarantine = new Quarantine({ clock, maximumRecords: 10 });
        const times = { suspectedAtMs: 0, clearedAtMs: 0, pardonedAtMs: 0 };
        const eternal = { fingerprint: bad, ...times, convictedAtMs: clock.wallMs() + 1e12 };
        quarantine.merge([eternal]);
        for (let index = 0; index < 50; index++) {
            run(quarantine.start(fingerprintOf(`${index}`), "t1", "boot1"));
        }
        quarantine.targetCrashed("t1", "boot1");
        expect(quarantine.records().length).toBe(10);
        expect(quarantine.stateOf(bad)).toBe("convicted");
        clock.advance(599_999);
        quarantine.merge([eternal]);
        clock.advance(1);
        expect(quarantine.stateOf(bad)).toBe("clear");
        expect(quarantine.records()).toEqual([]);
    });

    test("guards against convictions that don't show an operator which targets crashed", () => {
        const clock = new ManualClock();
        const [quarantine, peer] = [new Quarantine({ clock }), new Quarantine({ clock })];
        for (const target of ["target/stock/t2", "target/stock/t1"]) {
            run(quarantine.start(bad, target, "boot1"));
            quarantine.targetCrashed(target, "boot1");
        }
        // An instance of an earlier version sends records without the targets.
        peer.merge(quarantine.records().map(({ targets: _, ...record }) => record));
        peer.merge(quarantine.records());
        expect(quarantine.stateOf(bad)).toBe("convicted");
        expect(peer.records()).toMatchObject([{ fingerprint: bad, targets: ["target/stock/t1", "target/stock/t2"] }]);
    });

    test("guards against instances that disagree after records arrived in different orders", () => {
        const clock = new ManualClock();
        const time = fc.integer({ min: clock.wallMs() - 1_000, max: clock.wallMs() });
        const record = fc.record({
            fingerprint: fc.constantFrom(bad, b),
            suspectedAtMs: time,
            clearedAtMs: time,
            convictedAtMs: time,
            pardonedAtMs: time,
        });
        fc.assert(
            fc.property(fc.array(record), records => {
                const merged = [records, records.toReversed(), [...records, ...records]].map(order => {
                    const quarantine = new Quarantine({ clock });
                    order.forEach(one => quarantine.merge([one]));
                    return [bad, b].map(fingerprint => quarantine.stateOf(fingerprint));
                });
                expect(merged[1]).toEqual(merged[0]);
                expect(merged[2]).toEqual(merged[0]);
            }),
            { seed: 31 },
        );
    });
});

describe("classifyTargetFailure", () => {
    test("guards against suspecting requests after a reset, and against missing a crash", () => {
        const classify = (boot: string | undefined, probe: Parameters<typeof classifyTargetFailure>[0]["probe"]) =>
            classifyTargetFailure({ bootBefore: boot, probe, brokenConnections: 2 });
        expect(classify("b1", { type: "answered", boot: "b1" })).toBe("reset");
        expect(classify("b1", { type: "answered", boot: "b2" })).toBe("crash");
        expect(classify("b1", { type: "refused" })).toBe("crash");
        expect(classify("b1", { type: "no-answer" })).toBe("undecided");
        expect(classify(undefined, { type: "answered", boot: "b2" })).toBe("reset");
        expect(classifyTargetFailure({ bootBefore: "b1", probe: { type: "refused" }, brokenConnections: 0 })).toBe(
            "restart",
        );
    });
});
