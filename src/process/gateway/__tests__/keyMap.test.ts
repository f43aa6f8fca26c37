import { emptyAssignment, KeyMap, KEY_COUNT, replaceRange } from "../keyMap.js";

describe("KeyMap", () => {
    it("finds the owner at both ends of each range", () => {
        const { ranges } = emptyAssignment("stock");
        const owned = replaceRange(ranges, { from: 100, to: 199, target: "t1", startedAtMs: 1, address: "", fence: 1 });
        const map = new KeyMap({ service: "stock", fence: 1, ranges: owned });
        expect([99, 100, 199, 200].map(key => map.rangeOf(key)?.target)).toEqual([undefined, "t1", "t1", undefined]);
    });

    it("keeps the ranges free of gaps and overlaps for any replacement", () => {
        let { ranges } = emptyAssignment("stock");
        const pieces = [
            [0, 500],
            [300, 40_000],
            [250, 310],
            [65_000, KEY_COUNT - 1],
            [0, KEY_COUNT - 1],
        ];
        pieces.forEach(([from, to], index) => {
            ranges = replaceRange(ranges, {
                from,
                to,
                target: `t${index}`,
                startedAtMs: 1,
                address: "",
                fence: index + 1,
            });
            expect(ranges[0].from).toBe(0);
            expect(ranges.at(-1)?.to).toBe(KEY_COUNT - 1);
            ranges.slice(1).forEach((range, at) => expect(range.from).toBe(ranges[at].to + 1));
        });
    });
});
