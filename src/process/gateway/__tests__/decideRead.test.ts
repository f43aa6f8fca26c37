import { decideRead, wholePauseMs } from "../decideRead.js";

const UP_TO_DATE = { isLagging: false, isBehind: false, silentMs: 10, unchangedMs: 400 };

describe("decideRead", () => {
    it.each([
        ["changes", "it is up to date", {}],
        ["changes", "it follows changes in quick succession", { unchangedMs: 0 }],
        ["changes", "it is long unchanged, and a held call was lost", { silentMs: 2_400, unchangedMs: 60_000 }],
        ["whole", "it changed shortly before the relay fell silent", { silentMs: 1_600, unchangedMs: 300 }],
        ["whole", "the process stood still", { silentMs: 6_000, unchangedMs: 4_000 }],
        ["whole", "a call has failed", { isLagging: true, unchangedMs: 60_000 }],
        ["whole", "another instance has shown changes", { isBehind: true, unchangedMs: 60_000 }],
    ] as const)("reads %s of a table if %s", (expected, _, state) => {
        expect(decideRead({ ...UP_TO_DATE, ...state })).toBe(expected);
    });
});

describe("wholePauseMs", () => {
    it("grows with the time that a reading takes, within limits", () => {
        expect([10, 600, 5_000].map(wholePauseMs)).toEqual([500, 600, 700]);
    });
});
