import { chooseTarget, expectedMs, type PlacementCandidate } from "../chooseTarget.js";

const candidate = (change: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
    load: 0,
    slots: 6,
    serviceMs: 100,
    failureShare: 0,
    sameDomain: true,
    suspect: false,
    ...change,
});

const middle = () => 0.5;

describe("chooseTarget", () => {
    it("expects waiting only beyond the slots", () => {
        expect(expectedMs(candidate({ load: 5 }))).toBe(100);
        expect(expectedMs(candidate({ load: 11 }))).toBe(200);
    });

    it("keeps a large answer in its failure domain unless it would wait long there", () => {
        const home = candidate({ load: 8 });
        const away = candidate({ sameDomain: false });
        expect(chooseTarget([home, away], 90, middle)).toBe(home);
        const full = candidate({ load: 40 });
        expect(chooseTarget([full, away], 90, middle)).toBe(away);
    });

    it("sends a small answer's request to another domain when that saves waiting", () => {
        const home = candidate({ load: 8 });
        const away = candidate({ sameDomain: false });
        expect(chooseTarget([home, away], 0.5, middle)).toBe(away);
    });

    it("avoids targets that fail or don't answer, but uses them when nothing else is left", () => {
        const failing = candidate({ failureShare: 0.5 });
        const silent = candidate({ suspect: true });
        const busy = candidate({ load: 12 });
        expect(chooseTarget([failing, silent, busy], 1, middle)).toBe(busy);
        expect(chooseTarget([silent], 1, middle)).toBe(silent);
    });

    it("prefers the faster of two free targets", () => {
        const slow = candidate({ serviceMs: 160 });
        const fast = candidate({ serviceMs: 70 });
        expect(chooseTarget([slow, fast], 1, middle)).toBe(fast);
    });
});
