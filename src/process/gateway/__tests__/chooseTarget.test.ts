import { chooseTarget, expectedMs, type PlacementCandidate } from "../chooseTarget.js";

const candidate = (change: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
    load: 0,
    slots: 6,
    queueLimit: 24,
    serviceMs: 100,
    failureShare: 0,
    crossings: 0,
    suspect: false,
    ...change,
});

const noJitter = () => 0.5;

describe("chooseTarget", () => {
    it("expects waiting only beyond the slots", () => {
        expect(expectedMs(candidate({ load: 5 }))).toBe(100);
        expect(expectedMs(candidate({ load: 11 }))).toBe(200);
    });

    it("keeps a large answer in its failure domain unless the wait there would be long", () => {
        const local = candidate({ load: 8 });
        const remote = candidate({ crossings: 1 });
        expect(chooseTarget([local, remote], 90, noJitter)).toBe(local);
        const full = candidate({ load: 40 });
        expect(chooseTarget([full, remote], 90, noJitter)).toBe(remote);
    });

    it("sends a request with a small answer to another domain if that avoids waiting", () => {
        const local = candidate({ load: 8 });
        const remote = candidate({ crossings: 1 });
        expect(chooseTarget([local, remote], 0.5, noJitter)).toBe(remote);
    });

    it("avoids targets that fail or don't answer, but uses them if there is no other", () => {
        const failing = candidate({ failureShare: 0.5 });
        const silent = candidate({ suspect: true });
        const busy = candidate({ load: 12 });
        expect(chooseTarget([failing, silent, busy], 1, noJitter)).toBe(busy);
        expect(chooseTarget([silent], 1, noJitter)).toBe(silent);
    });

    it("prefers the faster of two free targets", () => {
        const slow = candidate({ serviceMs: 160 });
        const fast = candidate({ serviceMs: 70 });
        expect(chooseTarget([slow, fast], 1, noJitter)).toBe(fast);
    });
});
