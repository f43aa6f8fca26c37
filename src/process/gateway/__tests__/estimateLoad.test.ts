import { estimateLoad, type LoadEvidence } from "../estimateLoad.js";
import { slowdownAfter, slowedMs } from "../currentSlowdown.js";

const evidence = (change: Partial<LoadEvidence> = {}): LoadEvidence => ({
    own: 0,
    slots: 3,
    queueLimit: 12,
    serviceMs: 240,
    service: { load: 2.2, running: 1.8, instances: 90 },
    demand: 1,
    ...change,
});
const saturated = (ageMs: number) => ({ load: 15, own: 0, ageMs });

describe("estimateLoad", () => {
    it("guards against a saturated target that counts as idle when its report is old", () => {
        const ages = [0, 500, 1_500, 5_000, 60_000];
        const loads = ages.map(ageMs => estimateLoad(evidence({ report: saturated(ageMs) })).load);
        expect(loads[0]).toBe(15);
        expect([...loads].sort((a, b) => b - a)).toEqual(loads);
        expect(loads[4]).toBeCloseTo(2.2, 0);
    });

    it("guards against a queue that is expected to fall while more requests arrive than its target serves", () => {
        const idle = { load: 0.2, running: 0.1, instances: 90 };
        const after = (change: Partial<LoadEvidence>) =>
            estimateLoad(evidence({ report: saturated(800), ...change })).load;
        // Ten of them are served in 800 ms.
        expect(after({ service: idle })).toBeCloseTo(5.3, 0);
        expect(after({ demand: 10 })).toBe(15);
    });

    it("guards against a target that counts as idle because its last report is from before its load", () => {
        const load = (demand: number) =>
            estimateLoad(evidence({ report: { load: 0, own: 0, ageMs: 3_000 }, demand })).load;
        expect(load(1)).toBeCloseTo(2.2, 0);
        expect(load(10)).toBeGreaterThan(14);
    });

    it("guards against requests of others that are assumed although there are none", () => {
        const alone = { load: 2.2, running: 1.8, instances: 1 };
        expect(estimateLoad(evidence({ own: 2, service: alone })).load).toBe(2);
        expect(estimateLoad(evidence({ own: 2, service: undefined }))).toEqual({ load: 2, deviation: 0 });
    });

    it("guards against a certainty that doesn't fall with the age of the report", () => {
        const deviation = (ageMs: number) => estimateLoad(evidence({ report: saturated(ageMs) })).deviation;
        expect(deviation(0)).toBe(0);
        expect(deviation(1_000)).toBeGreaterThan(deviation(100));
        expect(deviation(60_000)).toBe(deviation(10_000));
    });
});

describe("the slowdown of a target's machine", () => {
    it("guards against a slowdown that is assumed after its neighbours' work has changed", () => {
        expect(slowdownAfter(3, 0)).toEqual({ factor: 3, forMs: 200 });
        expect(slowdownAfter(3, 400)).toBeUndefined();
        expect(slowdownAfter(3, 60_000)).toBeUndefined();
    });

    it("guards against long work that is expected to be slow as a whole", () => {
        expect(slowedMs(20, { factor: 3, forMs: 120 })).toBeCloseTo(60);
        expect(slowedMs(240, { factor: 3, forMs: 120 })).toBeCloseTo(320);
        expect(slowedMs(240, undefined)).toBe(240);
    });
});
