import { emptyAssignment, KEY_COUNT, replaceRange, type KeyRange } from "../keyMap.js";
import { KeyLoads, planMoves, type PlannedTarget } from "../planMoves.js";

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

    it("moves all keys of a leaving target, and no others", () => {
        const ranges = evenRanges(["t1", "t2", "t3"]);
        const targets = [target("t1", { canReceive: false }), target("t2"), target("t3")];
        const moves = planMoves({ ranges, targets, loads: EVEN, balance: true });
        expect(moves.every(({ source }) => source === "t1")).toBe(true);
        expect(keysOf(apply(ranges, moves), "t1")).toBe(0);
    });

    describe("with a target that didn't take its last grant", () => {
        const targets = [target("t1"), target("t2"), target("t3", { isFailing: true })];

        /** Guards against keys that wait for a target that can't be reached while another one could have them. */
        it("leaves it the keys that it has, and assigns others elsewhere", () => {
            const ranges = evenRanges(["t1", "t2", "t3"]);
            expect(planMoves({ ranges, targets, loads: EVEN, balance: true })).toEqual([]);
            const leaving = [target("t1", { canReceive: false }), ...targets.slice(1)];
            const moves = planMoves({ ranges, targets: leaving, loads: EVEN, balance: true });
            expect(new Set(moves.map(move => move.target))).toEqual(new Set(["t2"]));
        });

        /** Guards against many keys without an owner while a grant shows whether the target can be reached again. */
        it("assigns it a single key of little load if it has none, and another target all keys that need an owner", () => {
            const ranges = evenRanges(["t1", "t2"]);
            const weights = new Float64Array(KEY_COUNT).fill(1);
            weights.fill(100, 0, 100);
            const input = { ranges, targets, loads: new KeyLoads(weights) };
            expect(planMoves({ ...input, balance: false })).toEqual([]);
            const [move, ...further] = planMoves({ ...input, balance: true });
            expect(further).toEqual([]);
            expect(move.to).toBe(move.from);
            expect(move.from).toBeGreaterThan(0);
            expect(move.target).toBe("t3");
            const { ranges: free } = emptyAssignment("stock");
            const moves = planMoves({ ...input, ranges: free, balance: true });
            expect(keysOf(apply(free, moves), "t3")).toBe(0);
        });

        /** Guards against an assignment that grows with each trial, until its row is full. */
        it("assigns it a key that is a range of its own, if one of little load is", () => {
            const [first, ...others] = evenRanges(["t1", "t2"]);
            const [id, next] = [first.target, others[0].target];
            const ranges = [700, 500].reduce(
                (result, key) =>
                    replaceRange(result, { ...first, from: key, to: key, target: key === 500 ? next : id, fence: 2 }),
                [first, ...others],
            );
            const weights = new Float64Array(KEY_COUNT).fill(1);
            weights[0] = 0;
            // A hot key has a range of its own, too.
            weights[700] = 1_000;
            const moves = planMoves({ ranges, targets, loads: new KeyLoads(weights), balance: true });
            expect(moves).toEqual([{ from: 500, to: 500, source: next, target: "t3" }]);
        });

        it("assigns it keys that need an owner if no other target can have them", () => {
            const ranges = evenRanges(["t1", "t3"]);
            const leaving = [target("t1", { canReceive: false }), target("t3", { isFailing: true })];
            const moves = planMoves({ ranges, targets: leaving, loads: EVEN, balance: true });
            expect(keysOf(apply(ranges, moves), "t3")).toBe(KEY_COUNT);
        });
    });

    it("assigns a new owner to keys of a target's earlier process", () => {
        const ranges = evenRanges(["t1", "t2"]);
        const targets = [target("t1", { startedAtMs: 2 }), target("t2")];
        const moves = planMoves({ ranges, targets, loads: EVEN, balance: false });
        expect(moves.reduce((sum, { from, to }) => sum + to - from + 1, 0)).toBe(keysOf(ranges, "t1"));
    });

    it("moves nothing while no target is left", () => {
        const ranges = evenRanges(["t1"]);
        expect(planMoves({ ranges, targets: [], loads: EVEN, balance: true })).toEqual([]);
    });

    it("moves nothing for uneven load while no requests wait", () => {
        const ranges = evenRanges(["t1", "t2", "t3", "t4"]);
        const weights = new Float64Array(KEY_COUNT).fill(1);
        weights.fill(4, 0, 16_000);
        const targets = ["t1", "t2", "t3", "t4"].map(id => target(id));
        expect(planMoves({ ranges, targets, loads: new KeyLoads(weights), balance: true })).toEqual([]);
    });

    it("moves the other keys away from the owner of a hot key", () => {
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

    it("moves a hot key that saturates a slow target to a fast one", () => {
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

    it("assigns a share of the keys to a new target", () => {
        let ranges = evenRanges(["t1", "t2", "t3", "t4"]);
        const targets = ["t1", "t2", "t3", "t4", "t5"].map(id => target(id));
        for (let round = 0; round < 4; round++) {
            ranges = apply(ranges, planMoves({ ranges, targets, loads: EVEN, balance: true }));
        }
        expect(keysOf(ranges, "t5") / KEY_COUNT).toBeGreaterThan(0.1);
    });

    // Busy keys are next to each other, so one owner has the load of many. A plan with one piece for each overloaded owner
    // took longer than the peak lasts, and with many targets no piece was large enough to be moved.
    it.each([
        { instances: 12, targets: 22 },
        { instances: 67, targets: 123 },
        { instances: 195, targets: 276 },
        { instances: 576, targets: 815 },
    ])("spreads adjacent busy keys over $targets targets of $instances instances within few plans", ({ targets }) => {
        const ids = Array.from({ length: targets }, (_, index) => `t${index}`);
        let ranges = evenRanges(ids);
        const weights = new Float64Array(KEY_COUNT).fill(1);
        weights.fill(KEY_COUNT / 100, 5_000, 5_060);
        const loads = new KeyLoads(weights);
        const loadOf = (id: string) =>
            ranges.filter(range => range.target === id).reduce((sum, { from, to }) => sum + loads.of(from, to), 0);
        const fair = loads.total / targets;
        const pressureOf = (id: string) => (loadOf(id) > fair ? 2 : 0.4);
        const busiest = () => Math.max(...ids.map(loadOf)) / fair;
        expect(busiest()).toBeGreaterThan(7);
        for (let plan = 0; plan < 5; plan++) {
            const planned = ids.map(id => target(id, { pressure: pressureOf(id) }));
            ranges = apply(ranges, planMoves({ ranges, targets: planned, loads, balance: true }));
        }
        // A key can't be divided, so its owner has at least its load.
        expect(busiest()).toBeLessThan(1.5 + loads.of(5_000, 5_000) / fair);
    });

    it("moves no more keys for balance than may be moved at a time", () => {
        const ranges = evenRanges(["t1", "t2", "t3", "t4"]);
        const targets = ["t1", "t2", "t3", "t4", "t5"].map(id => target(id));
        const plan = (underWay: number) => planMoves({ ranges, targets, loads: EVEN, balance: true, underWay });
        expect(plan(5)).toHaveLength(1);
        expect(plan(6)).toEqual([]);
    });
});

describe("planMoves with targets whose evacuation has ended", () => {
    const ids = Array.from({ length: 215 }, (_, index) => `t${index}`);
    const targets = ids.map((id, index) => target(id, { isReturning: index < 72 }));
    const shareOf = (ranges: KeyRange[], id: string) => (keysOf(ranges, id) / KEY_COUNT) * ids.length;

    /** Guards against a third of all keys that moves back at once, each key without an owner for a moment, and against one that stays. */
    it.each([143, 512])("gives them keys in few moves at a time until they have their share (%i ranges)", count => {
        // The keys of all but the returned targets, in ranges of about the same size.
        const width = Math.ceil(KEY_COUNT / count);
        let ranges = Array.from({ length: count }, (_, index) => ({
            ...{
                from: index * width,
                to: Math.min(KEY_COUNT, (index + 1) * width) - 1,
                target: ids[72 + (index % 143)],
            },
            ...{ startedAtMs: 1, address: "", fence: 1 },
        })).filter(({ from, to }) => from <= to);
        let rounds = 0;
        for (; ids.slice(0, 72).some(id => shareOf(ranges, id) < 0.5); rounds++) {
            const moves = planMoves({ ranges, targets, loads: EVEN, balance: true });
            expect(moves.length).toBeGreaterThan(0);
            expect(moves.length).toBeLessThanOrEqual(9);
            ranges = apply(ranges, moves);
        }
        // At a round in 0.6 s, before they don't count as returning any more.
        expect(rounds * 0.6).toBeLessThan(30);
        expect(Math.max(...ids.map(id => shareOf(ranges, id)))).toBeLessThan(2);
    });
});

describe("planMoves with a failure domain that is evacuated and returns repeatedly", () => {
    /** Guards against a row that grows with each evacuation until the store refuses it, and against uneven load instead. */
    it.each([215, 512])("doesn't split ranges each time (%i ranges)", count => {
        const ids = Array.from({ length: 215 }, (_, index) => `t${index}`);
        const width = Math.ceil(KEY_COUNT / count);
        let ranges = Array.from({ length: count }, (_, index) => ({
            ...{
                from: index * width,
                to: Math.min(KEY_COUNT, (index + 1) * width) - 1,
                target: ids[(index * 7) % 215],
            },
            ...{ startedAtMs: 1, address: "", fence: index },
        })).filter(({ from, to }) => from <= to);
        const loadsOf = (some: readonly string[]) => some.map(id => (keysOf(ranges, id) / KEY_COUNT) * some.length);
        for (let cycle = 0; cycle < 12; cycle++) {
            const isAway = (index: number) => index % 3 === cycle % 3;
            const evacuated = ids.map((id, index) =>
                target(id, isAway(index) ? { canReceive: false, isEvacuated: true } : {}),
            );
            ranges = apply(ranges, planMoves({ ranges, targets: evacuated, loads: EVEN, balance: false }));
            const others = ids.filter((_, index) => !isAway(index));
            expect(others.reduce((sum, id) => sum + keysOf(ranges, id), 0)).toBe(KEY_COUNT);
            expect(Math.max(...loadsOf(others))).toBeLessThan(1.6);
            const returned = ids.map((id, index) => target(id, { isReturning: isAway(index) }));
            for (let rounds = 0; rounds < 50; rounds++) {
                ranges = apply(ranges, planMoves({ ranges, targets: returned, loads: EVEN, balance: true }));
            }
            expect(Math.min(...loadsOf(ids))).toBeGreaterThan(0.4);
        }
        expect(ranges.length).toBeLessThan(1_000);
    });
});
