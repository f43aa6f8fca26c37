import { emptyAssignment, KEY_COUNT, replaceRange, type KeyRange } from "../keyMap.js";
import { KeyLoads, planMoves, type PlannedTarget } from "../planMoves.js";

const EVEN = new KeyLoads(new Float64Array(KEY_COUNT).fill(1));

const target = (id: string, change: Partial<PlannedTarget> = {}): PlannedTarget => ({
    id,
    startedAtMs: 1,
    address: "",
    capacity: 1,
    pressure: 0,
    canReceive: true,
    canRelease: true,
    ...change,
});

const apply = (ranges: readonly KeyRange[], moves: ReturnType<typeof planMoves>): KeyRange[] =>
    moves.reduce<KeyRange[]>(
        (result, { from, to, target: owner }) =>
            replaceRange(result, { from, to, target: owner, startedAtMs: 1, address: "", fence: 1 }),
        [...ranges],
    );

/** Plans until nothing is left to be moved, or for a number of rounds. */
const settle = (ranges: readonly KeyRange[], targets: PlannedTarget[], balance = true, rounds = 40): KeyRange[] => {
    let settled = [...ranges];
    for (let round = 0; round < rounds; round++) {
        settled = apply(settled, planMoves({ ranges: settled, targets, loads: EVEN, balance }));
    }
    return settled;
};

const { ranges: UNOWNED } = emptyAssignment("stock");
const shareOf = (ranges: readonly KeyRange[], id: string): number =>
    ranges.filter(range => range.target === id).reduce((sum, { from, to }) => sum + to - from + 1, 0) / KEY_COUNT;
const cold = (id: string, change: Partial<PlannedTarget> = {}) => target(id, { isCold: true, ...change });

describe("the assignment of keys to cold targets", () => {
    // Guards against keys whose requests a cold target refuses while a warm one could serve them.
    it("gives keys without an owner, and those of a leaving one, to warm targets only", () => {
        const targets = [target("t1"), target("t2"), cold("t3")];
        const assigned = settle(UNOWNED, targets);
        expect(["t1", "t2", "t3"].map(id => shareOf(assigned, id))).toEqual([0.5, 0.5, 0]);
        const left = settle(assigned, [target("t1", { canReceive: false }), target("t2"), cold("t3")]);
        expect(["t1", "t2", "t3"].map(id => shareOf(left, id))).toEqual([0, 1, 0]);
    });

    it("doesn't fill or relieve with a cold target, but does so once it is warm", () => {
        const assigned = settle(UNOWNED, [target("t1"), target("t2")]);
        const busy = (id: string) => target(id, { pressure: 1 });
        expect(
            planMoves({
                ranges: assigned,
                targets: [target("t1"), target("t2"), cold("t3")],
                loads: EVEN,
                balance: true,
            }),
        ).toEqual([]);
        const warm = settle(assigned, [busy("t1"), busy("t2"), target("t3")]);
        expect(shareOf(warm, "t3")).toBeGreaterThan(0.25);
    });

    // Guards against a start of the whole system that waits until the first target is warm.
    it("assigns all keys at once if every target is cold", () => {
        const targets = Array.from({ length: 20 }, (_, index) => cold(`t${index}`));
        const assigned = apply(UNOWNED, planMoves({ ranges: UNOWNED, targets, loads: EVEN, balance: false }));
        const shares = targets.map(({ id }) => shareOf(assigned, id));
        expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(1);
        expect(Math.max(...shares)).toBeLessThan(0.06);
    });

    it("assigns the same keys as without a warm-up if every target is cold", () => {
        const ids = ["t1", "t2", "t3", "t4", "t5"];
        const plan = (targets: PlannedTarget[]) => planMoves({ ranges: UNOWNED, targets, loads: EVEN, balance: true });
        expect(plan(ids.map(id => cold(id)))).toEqual(plan(ids.map(id => target(id))));
    });

    // Guards against moves of nearly all keys to the targets that happen to be warm first.
    it("leaves cold targets the keys that they have, as others become warm", () => {
        const ids = Array.from({ length: 12 }, (_, index) => `t${index}`);
        const assigned = settle(
            UNOWNED,
            ids.map(id => cold(id)),
        );
        const targets = ids.map((id, index) => (index < 2 ? target(id) : cold(id)));
        expect(planMoves({ ranges: assigned, targets, loads: EVEN, balance: true })).toEqual([]);
    });

    // Guards against a few warm targets that collapse under the keys of all the others.
    it("gives keys to cold targets where the warm ones have more than twice their share", () => {
        const targets = [target("t1"), ...["t2", "t3", "t4", "t5", "t6"].map(id => cold(id))];
        const assigned = settle(UNOWNED, targets, false);
        expect(shareOf(assigned, "t1")).toBeGreaterThan(1 / 6);
        expect(shareOf(assigned, "t1")).toBeLessThan(0.7);
        expect(shareOf(assigned, "t2")).toBeGreaterThan(0);
    });

    // Guards against keys that wait for a target that can't be reached while a cold one could have them.
    it("gives keys to a cold target rather than to one that didn't take its last grant", () => {
        const assigned = settle(UNOWNED, [target("t1", { isFailing: true }), cold("t2")], false);
        expect(["t1", "t2"].map(id => shareOf(assigned, id))).toEqual([0, 1]);
    });
});
