import {
    decodeAssignment,
    emptyAssignment,
    encodeAssignment,
    KeyMap,
    KEY_COUNT,
    replaceRange,
    type KeyAssignment,
} from "../keyMap.js";

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

describe("replaceRange", () => {
    it("guards against keys that are recorded for an address at which their owner doesn't have them", () => {
        const owned = { target: "t1", startedAtMs: 1, fence: 1 };
        const first = { ...owned, from: 0, to: 9, address: "first:80" };
        const second = { ...owned, from: 10, to: 19, address: "second:80" };
        expect(replaceRange([second], first)).toEqual([first, second]);
    });
});

describe("encodeAssignment", () => {
    /** Bytes of a row's value. */
    const ROW_BYTES = 65_536;
    const assignmentOf = (count: number): KeyAssignment => ({
        service: "stock",
        fence: count,
        ranges: Array.from({ length: count }, (_, index) => ({
            from: index * 64,
            to: index === count - 1 ? KEY_COUNT - 1 : index * 64 + 63,
            target: `i-${((index * 2_654_435_761) >>> 0).toString(16)}`,
            startedAtMs: 1_800_000_000_000 + index * 997,
            address: `10.${index % 5}.${index % 250}.${index % 240}:8642`,
            fence: index,
            handover: `${((index * 40_503) >>> 0).toString(16)}${((index * 2_246_822_519) >>> 0).toString(16)}`,
        })),
    });

    // With some hundred targets the text no longer fits in a row, and no key could be assigned any more.
    it.each([22, 276, 1_000])("fits %d ranges in a row", count => {
        const assignment = assignmentOf(count);
        const value = encodeAssignment(assignment);
        expect(value.length).toBeLessThan(ROW_BYTES);
        expect(decodeAssignment(value)).toEqual(assignment);
    });

    it("decodes neither a truncated row nor other bytes", () => {
        const value = encodeAssignment(assignmentOf(1_000));
        expect(decodeAssignment(value.subarray(0, 1_000))).toBeUndefined();
        expect(decodeAssignment(Buffer.from("no assignment"))).toBeUndefined();
        expect(decodeAssignment(Buffer.alloc(0))).toBeUndefined();
    });
});
