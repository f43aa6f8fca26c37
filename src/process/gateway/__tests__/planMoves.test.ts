import { emptyAssignment, KEY_COUNT, replaceRange, type KeyRange } from "../keyMap.js";
import { KeyLoads, planMoves, type PlannedTarget } from "../planMoves.js";

const target = (id: string, change: Partial<PlannedTarget> = {}): PlannedTarget => ({
    id,
    startedAtMs: 1,
    capacity: 1,
    pressure: 0,
    receives: true,
    releases: true,
    ...change,
});

const EVEN = new KeyLoads(new Float64Array(KEY_COUNT).fill(1));

const apply = (ranges: KeyRange[], moves: ReturnType<typeof planMoves>): KeyRange[] =>
    moves.reduce(
        (result, { from, to, target: owner }) =>
            replaceRange(result, { from, to, target: owner, startedAtMs: 1, address: "", fence: 1 }),
        ranges,
    );

const evenRanges = (ids: string[]): KeyRange[] =>
    apply(
        emptyAssignment("stock").ranges,
        planMoves({
            ranges: emptyAssignment("stock").ranges,
            targets: ids.map(id => target(id)),
            loads: EVEN,
            balance: false,
        }),
    );

const keysOf = (ranges: KeyRange[], id: string): number =>
    ranges.filter(range => range.target === id).reduce((sum, { from, to }) => sum + to - from + 1, 0);

describe("planMoves", () => {
    it("divides unowned keys by capacity", () => {
        const { ranges } = emptyAssignment("stock");
        const targets = [target("t1"), target("t2", { capacity: 3 })];
        const moves = planMoves({ ranges, targets, loads: EVEN, balance: false });
        const result = apply(ranges, moves);
        expect(keysOf(result, "t1") / KEY_COUNT).toBeCloseTo(0.25, 2);
        expect(keysOf(result, "t2") / KEY_COUNT).toBeCloseTo(0.75, 2);
    });

    it("moves all keys of a target that leaves, and no others", () => {
        const ranges = evenRanges(["t1", "t2", "t3"]);
        const targets = [target("t1", { receives: false }), target("t2"), target("t3")];
        const moves = planMoves({ ranges, targets, loads: EVEN, balance: true });
        expect(moves.every(({ source }) => source === "t1")).toBe(true);
        expect(keysOf(apply(ranges, moves), "t1")).toBe(0);
    });

    it("gives keys of an earlier life of a target a new owner", () => {
        const ranges = evenRanges(["t1", "t2"]);
        const targets = [target("t1", { startedAtMs: 2 }), target("t2")];
        const moves = planMoves({ ranges, targets, loads: EVEN, balance: false });
        expect(moves.reduce((sum, { from, to }) => sum + to - from + 1, 0)).toBe(keysOf(ranges, "t1"));
    });

    it("moves nothing while no target is left", () => {
        const ranges = evenRanges(["t1"]);
        expect(planMoves({ ranges, targets: [], loads: EVEN, balance: true })).toEqual([]);
    });

    it("leaves uneven load alone while nothing waits", () => {
        const ranges = evenRanges(["t1", "t2", "t3", "t4"]);
        const weights = new Float64Array(KEY_COUNT).fill(1);
        weights.fill(4, 0, 16_000);
        const targets = ["t1", "t2", "t3", "t4"].map(id => target(id));
        expect(planMoves({ ranges, targets, loads: new KeyLoads(weights), balance: true })).toEqual([]);
    });

    it("frees the owner of one busy key of its other keys", () => {
        let ranges = evenRanges(["t1", "t2", "t3", "t4"]);
        const weights = new Float64Array(KEY_COUNT).fill(1);
        weights[5_000] = KEY_COUNT / 2;
        const loads = new KeyLoads(weights);
        const targets = ["t1", "t2", "t3", "t4"].map(id => target(id, { pressure: id === "t1" ? 3 : 0.3 }));
        const before = keysOf(ranges, "t1");
        for (let round = 0; round < 3; round++) {
            ranges = apply(ranges, planMoves({ ranges, targets, loads, balance: true }));
        }
        expect(before).toBeGreaterThan(1_000);
        expect(keysOf(ranges, "t1")).toBe(1);
    });

    it("gives a busy key that fills a slow target to a fast one", () => {
        let ranges = evenRanges(["t1", "t2", "t3", "t4"]);
        const weights = new Float64Array(KEY_COUNT).fill(1);
        weights[5_000] = KEY_COUNT / 2;
        const loads = new KeyLoads(weights);
        const targets = [
            target("t1", { pressure: 3, capacity: 0.6 }),
            target("t2", { capacity: 1.4 }),
            target("t3"),
            target("t4", { capacity: 0.6 }),
        ];
        for (let round = 0; round < 4; round++) {
            ranges = apply(ranges, planMoves({ ranges, targets, loads, balance: true }));
        }
        expect(ranges.find(({ from, to }) => from <= 5_000 && to >= 5_000)?.target).toBe("t2");
    });

    it("gives a target that joins a share of the keys", () => {
        let ranges = evenRanges(["t1", "t2", "t3", "t4"]);
        const targets = ["t1", "t2", "t3", "t4", "t5"].map(id => target(id));
        for (let round = 0; round < 4; round++) {
            ranges = apply(ranges, planMoves({ ranges, targets, loads: EVEN, balance: true }));
        }
        expect(keysOf(ranges, "t5") / KEY_COUNT).toBeGreaterThan(0.1);
    });
});
