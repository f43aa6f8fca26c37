import { decideRead, maxChangesMs, wholePauseMs } from "../decideRead.js";

const UP_TO_DATE = { isLagging: false, isBehind: false, isFailing: false, silentMs: 10 };

describe("decideRead", () => {
    it.each([
        ["changes", "it is up to date", {}],
        ["changes", "the relay has fallen silent", { silentMs: 1_600 }],
        ["changes", "the store has turned calls away", { isFailing: true, silentMs: 6_000 }],
        ["changes", "the store has turned calls away, and others show changes", { isFailing: true, isBehind: true }],
        ["changes", "the process stood still, and others show changes", { isBehind: true, silentMs: 6_000 }],
        ["whole", "another instance has shown changes", { isBehind: true }],
        ["whole", "the changes took too long", { isLagging: true }],
        ["whole", "the changes took too long after an outage", { isLagging: true, isFailing: true, silentMs: 6_000 }],
    ] as const)("reads %s of a table if %s", (expected, _, state) => {
        expect(decideRead({ ...UP_TO_DATE, ...state })).toBe(expected);
    });
});

describe("maxChangesMs", () => {
    it("allows for a table that takes long by itself", () => {
        expect([0, 100, 1_000].map(maxChangesMs)).toEqual([300, 300, 1_500]);
    });
});

describe("wholePauseMs", () => {
    it("grows with the time that a reading takes, within limits", () => {
        expect([10, 600, 5_000].map(wholePauseMs)).toEqual([500, 600, 700]);
    });
});
