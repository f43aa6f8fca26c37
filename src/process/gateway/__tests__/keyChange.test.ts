import fc from "fast-check";
import { applyChange, changeBetween } from "../keyChange.js";
import { emptyAssignment, KEY_COUNT, replaceRange, type KeyAssignment } from "../keyMap.js";

const moveArbitrary = fc.record({
    from: fc.integer({ min: 0, max: KEY_COUNT - 1 }),
    length: fc.integer({ min: 1, max: 8_000 }),
    target: fc.integer({ min: 0, max: 9 }),
});

const apply = (assignment: KeyAssignment, moves: { from: number; length: number; target: number }[]): KeyAssignment =>
    moves.reduce((result, { from, length, target }) => {
        const fence = result.fence + 1;
        const to = Math.min(KEY_COUNT - 1, from + length);
        const range = { from, to, target: `t${target}`, startedAtMs: target, address: `10.0.0.${target}:80`, fence };
        return { ...result, fence, ranges: replaceRange(result.ranges, range) };
    }, assignment);

describe("a change between two assignments", () => {
    it("turns the earlier one into the later one, whatever was moved in between", () => {
        fc.assert(
            fc.property(fc.array(moveArbitrary), fc.array(moveArbitrary), (first, second) => {
                const earlier = apply(emptyAssignment("stock"), first);
                const later = apply(earlier, second);
                expect(applyChange(earlier, changeBetween(earlier, later))).toEqual(later);
            }),
        );
    });

    it("applies to the assignment from which it was made only", () => {
        const earlier = apply(emptyAssignment("stock"), [{ from: 0, length: 9, target: 1 }]);
        const later = apply(earlier, [{ from: 5, length: 9, target: 2 }]);
        const change = changeBetween(earlier, later);
        expect(applyChange(later, change)).toBeUndefined();
        expect(applyChange({ ...earlier, service: "other" }, change)).toBeUndefined();
    });
});
