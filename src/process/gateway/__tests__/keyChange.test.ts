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

/** Owners of all keys, as `FROM TARGET`, with a new entry where the owner changes. */
const ownersOf = ({ ranges }: KeyAssignment): string[] =>
    ranges
        .filter(({ target }, index) => index === 0 || ranges[index - 1].target !== target)
        .map(({ from, target }) => `${from} ${target}`);

describe("a change between two assignments", () => {
    it("turns the earlier one into the later one, whatever was moved in between", () => {
        fc.assert(
            fc.property(fc.array(moveArbitrary), fc.array(moveArbitrary, { minLength: 1 }), (first, second) => {
                const earlier = apply(emptyAssignment("stock"), first);
                const later = apply(earlier, second);
                const applied = applyChange(earlier, changeBetween(earlier, later));
                expect(applied?.fence).toBe(later.fence);
                expect(ownersOf(applied as KeyAssignment)).toEqual(ownersOf(later));
            }),
        );
    });

    // Instances that read the store at other times than the one that relays could apply no change while keys were moved.
    it("applies to each assignment in between", () => {
        fc.assert(
            fc.property(
                fc.array(moveArbitrary),
                fc.array(moveArbitrary, { minLength: 1 }),
                fc.nat(),
                (first, second, at) => {
                    const earlier = apply(emptyAssignment("stock"), first);
                    const between = apply(earlier, second.slice(0, at % second.length));
                    const later = apply(earlier, second);
                    const applied = applyChange(between, changeBetween(earlier, later));
                    expect(ownersOf(applied as KeyAssignment)).toEqual(ownersOf(later));
                },
            ),
        );
    });

    it("is small if a busy range of an assignment with many owners is spread", () => {
        const earlier = apply(
            emptyAssignment("stock"),
            Array.from({ length: 276 }, (_, index) => ({ from: index * 237, length: 237, target: index })),
        );
        const moves = Array.from({ length: 30 }, (_, index) => ({ from: 5_000 + index, length: 0, target: index }));
        const change = changeBetween(earlier, apply(earlier, moves));
        expect(JSON.stringify(change).length).toBeLessThan(1_200);
        expect(changeBetween(earlier, earlier).owners).toEqual([]);
    });

    it("applies to the assignment from which it was made only", () => {
        const earlier = apply(emptyAssignment("stock"), [{ from: 0, length: 9, target: 1 }]);
        const later = apply(earlier, [{ from: 5, length: 9, target: 2 }]);
        const change = changeBetween(earlier, later);
        expect(applyChange(later, change)).toBeUndefined();
        expect(applyChange({ ...earlier, service: "other" }, change)).toBeUndefined();
    });
});
