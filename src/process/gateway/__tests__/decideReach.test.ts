import { decidePath, isCutOff, type PathState } from "../decideReach.js";

const state = (change: Partial<PathState>): PathState => ({
    connectingMs: 0,
    waitingMs: 0,
    expectedMs: 100,
    sinceCheckMs: Infinity,
    ...change,
});

describe("decidePath", () => {
    it("takes a connection that isn't established for a cut", () => {
        expect(decidePath(state({ connectingMs: 240 }))).toBe("keep");
        expect(decidePath(state({ connectingMs: 260 }))).toBe("cut");
    });

    it("checks the path when an answer is overdue, and takes a slow target for no cut", () => {
        expect(decidePath(state({ waitingMs: 290 }))).toBe("keep");
        expect(decidePath(state({ waitingMs: 310 }))).toBe("check");
        expect(decidePath(state({ waitingMs: 310, expectedMs: 600 }))).toBe("keep");
        expect(decidePath(state({ waitingMs: 5_000, sinceCheckMs: 400 }))).toBe("keep");
        expect(decidePath(state({ waitingMs: 5_000, sinceCheckMs: 1_100 }))).toBe("check");
    });
});

describe("isCutOff", () => {
    it("needs several paths that were cut since the last byte of any target", () => {
        expect(isCutOff({ heardAt: 1_000, cutAt: [1_400, 1_600, 1_600], known: 43 })).toBe(true);
        expect(isCutOff({ heardAt: 1_500, cutAt: [1_400, 1_600, 1_600], known: 43 })).toBe(false);
        expect(isCutOff({ heardAt: 1_000, cutAt: [1_400, 1_600], known: 43 })).toBe(false);
    });

    it("counts all targets if there are few, and says nothing about a single one", () => {
        expect(isCutOff({ heardAt: 1_000, cutAt: [1_400, 1_600], known: 2 })).toBe(true);
        expect(isCutOff({ heardAt: 1_000, cutAt: [1_400], known: 1 })).toBe(false);
    });
});
