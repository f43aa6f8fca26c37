import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import type { Slice, TargetRow } from "../../store/rows.js";
import {
    initialLayout,
    normalizeSlices,
    RING_SIZE,
    SliceMap,
    slicesContain,
    slicesSize,
    subtractSlices,
} from "../sliceMap.js";

const rowOf = (target: string, slices: Slice[]): TargetRow => ({
    service: "stock",
    target,
    domain: "d1",
    address: "127.0.0.1:1",
    slices,
    dispatcher: "",
    term: 0,
    state: "serving",
    attempt: "",
});

describe("initialLayout", () => {
    test("guards against positions with no owner or two owners after the initial layout", () => {
        fc.assert(
            fc.property(fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 16 }), (targets, perTarget) => {
                const names = Array.from({ length: targets }, (_, index) => `t${index}`);
                const layout = initialLayout(names, perTarget);
                const all = [...layout.values()].flat();
                expect(slicesSize(all)).toBe(RING_SIZE);
                expect(normalizeSlices(all)).toEqual([[0, RING_SIZE]]);
            }),
            { seed: 1 },
        );
    });
});

describe("subtractSlices", () => {
    test("guards against a move that loses or keeps positions of the moved slice", () => {
        const slice = fc.tuple(fc.integer({ min: 0, max: 1000 }), fc.integer({ min: 0, max: 1000 }));
        fc.assert(
            fc.property(fc.array(slice), fc.array(slice), fc.integer({ min: 0, max: 1000 }), (have, cut, position) => {
                const expected = slicesContain(have, position) && !slicesContain(cut, position);
                expect(slicesContain(subtractSlices(have, cut), position)).toBe(expected);
            }),
            { seed: 2 },
        );
    });

    test("guards against a quadratic number of comparisons, which stalled an instance with many targets", () => {
        let comparisons = 0;
        const counted = (value: number) => ({ valueOf: () => (comparisons++, value) }) as unknown as number;
        const slices = Array.from({ length: 1_000 }, (_, index): Slice => [
            counted(index * 10),
            counted(index * 10 + 5),
        ]);
        expect(subtractSlices(slices, slices)).toEqual([]);
        // Sorting compares each slice about 10 times; comparing all pairs would take a million comparisons.
        expect(comparisons).toBeLessThan(100_000);
    });
});

describe("SliceMap", () => {
    test("guards against routing a position at the boundary of a slice to the adjacent slice", () => {
        const map = new SliceMap([rowOf("a", [[0, 10], [20, 30]]), rowOf("b", [[10, 20]])]); // prettier-ignore
        expect([0, 9, 10, 19, 20, 29].map(position => map.ownerOf(position)?.target)).toEqual(["a", "a", "b", "b", "a", "a"]); // prettier-ignore
        expect(map.ownerOf(30)).toBeUndefined();
    });
});
