import { describe, expect, test } from "@jest/globals";
import { LatencyRecorder } from "../support/latencyRecorder.js";
import { leastSquares } from "../support/leastSquares.js";
import { loadPlanSchema, planOfWorker } from "../support/loadPlan.js";
import { atLeast, atMost, reportOf } from "../support/scenario.js";

describe("measuring tools", () => {
    test("guards against a scenario that passes although it measured nothing: a bound on NaN is missed", () => {
        expect(atMost(NaN, 9).held).toBe(false);
        expect(atLeast(NaN, 0).held).toBe(false);
        const result = { baseline: {}, product: {}, bounds: { a: atMost(1, 2), b: atMost(NaN, 2) } };
        expect(reportOf("hop", 1, result).held).toBe(false);
    });

    test("guards against quadratic costs that a linear fit hides: the largest size then exceeds its extrapolation", () => {
        const sizes = [2, 4, 8, 16];
        const linear = leastSquares(sizes.map(size => ({ size, cost: 3 * size + 1 })));
        const square = leastSquares(sizes.map(size => ({ size, cost: size * size })));
        expect(linear.slope).toBeCloseTo(3);
        expect(linear.residual).toBeCloseTo(0);
        expect(linear.excessAtLargest).toBeCloseTo(0);
        expect(square.excessAtLargest).toBeGreaterThan(0.3);
    });

    test("guards against a lower load than planned, if the division among workers drops the remainder", () => {
        const plan = loadPlanSchema.parse({
            seed: 1,
            durationMs: 1,
            streams: [
                { name: "a", addresses: ["x"], path: "/", keys: ["k"], mode: { type: "closed", callers: 5 } },
                { name: "b", addresses: ["x"], path: "/", keys: ["k"], mode: { type: "open", perSecond: 90 } },
            ],
        });
        const modes = [0, 1, 2].flatMap(index => planOfWorker(plan, index, 3).streams.map(({ mode }) => mode));
        expect(modes.reduce((sum, mode) => sum + (mode.type === "closed" ? mode.callers : 0), 0)).toBe(5);
        expect(modes.reduce((sum, mode) => sum + (mode.type === "open" ? mode.perSecond : 0), 0)).toBe(90);
    });

    test("guards against wrong sums of the encoded records of several workers, and latencies of failed requests", () => {
        const first = new LatencyRecorder(100);
        first.recordArrival(10);
        first.recordEnd(10, "answered", 2);
        first.recordArrival(20);
        first.recordEnd(20, "failed", 500);
        const second = new LatencyRecorder(100);
        second.recordArrival(150);
        second.recordEnd(150, "answered", 8);
        const merged = new LatencyRecorder(100);
        [first, second].forEach(recorder => merged.add(recorder.encode()));
        expect(merged.total.sent).toBe(3);
        expect(merged.total.outcomes.failed).toBe(1);
        expect([...merged.buckets.keys()].sort()).toEqual([0, 1]);
        expect(merged.percentileMs(100)).toBeCloseTo(8, 1);
    });
});
