import { expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { randomNumbers } from "../../../../test/support/randomNumbers.js";
import { ConcurrencyLimit } from "../concurrencyLimit.js";
import { RetryBudget } from "../retryBudget.js";
import { RouteDurations } from "../routeDurations.js";
import { chooseTarget, type TargetCandidate } from "../targetSelection.js";

test("guards against a limit that is reduced repeatedly by one burst of sheds, or doesn't recover", () => {
    const clock = new ManualClock();
    const limit = new ConcurrencyLimit(clock, { slots: 6 });
    clock.advance(10);
    for (let index = 0; index < 6; index++) {
        limit.shed(0);
    }
    expect(limit.current()).toBe(4);
    for (let index = 0; index < 15; index++) {
        limit.completed(clock.monotonicMs(), 1);
    }
    expect(limit.current()).toBe(6);
});

test("guards against not reducing the limit of a slow target, and against reducing it after one slow answer", () => {
    const clock = new ManualClock();
    const limit = new ConcurrencyLimit(clock, { slots: 6 });
    for (let index = 0; index < 16; index++) {
        limit.completed(clock.monotonicMs(), index === 3 ? 15 : 1);
    }
    expect(limit.current()).toBe(6);
    for (let index = 0; index < 200; index++) {
        clock.advance(10);
        limit.completed(clock.monotonicMs(), 3);
    }
    expect(limit.current()).toBeLessThanOrEqual(3);
});

test("guards against wrong quantiles, a route classified as long after one slow answer, and unbounded routes", () => {
    const durations = new RouteDurations({ maxRoutes: 4 });
    for (let index = 1; index <= 1_000; index++) {
        durations.record("lookup", false, index / 10);
    }
    const { p50Ms, p99Ms } = durations.figures("lookup") ?? { p50Ms: 0, p99Ms: 0 };
    expect(Math.abs(p50Ms / 50 - 1)).toBeLessThan(0.08);
    expect(Math.abs(p99Ms / 99 - 1)).toBeLessThan(0.08);
    durations.record("export", false, 3_000);
    expect(durations.isLong("export")).toBe(false);
    for (let index = 0; index < 10; index++) {
        durations.record("export", false, 3_000);
        durations.record(`other-${index}`, false, 5);
    }
    expect([durations.isLong("export"), durations.isLong("other-9"), durations.size]).toEqual([true, false, 4]);
});

test("guards against retries of more than a tenth of the requests, and against no retries for an idle service", () => {
    const clock = new ManualClock();
    const budget = new RetryBudget(clock);
    let retries = 0;
    for (let index = 0; index < 10_000; index++) {
        clock.advance(1);
        budget.request();
        retries += Number(budget.take()) + Number(budget.take());
    }
    expect(retries).toBeGreaterThan(950);
    expect(retries).toBeLessThanOrEqual(1_000 + 20);
    clock.advance(60_000);
    expect(budget.available()).toBe(10);
});

test("guards against choosing a draining or unreachable target, and against using reports instead of own counts", () => {
    const random = randomNumbers(3);
    const candidate = (target: string, given: Partial<TargetCandidate>): TargetCandidate => ({
        target, draining: false, reachable: true, inFlight: 0, queued: 0, limit: 6, used: true, reportedLoad: undefined, ...given,
    }); // prettier-ignore
    const choose = (...candidates: TargetCandidate[]) =>
        new Set(Array.from({ length: 50 }, () => chooseTarget(candidates, random.uniform)?.target));
    const gone = [candidate("x", { draining: true }), candidate("y", { reachable: false })];
    expect(choose(...gone)).toEqual(new Set([undefined]));
    expect(choose(...gone, candidate("a", { inFlight: 3 }), candidate("b", { reportedLoad: 50 }))).toEqual(
        new Set("b"),
    );
    expect(choose(candidate("a", { inFlight: 3 }), candidate("b", { used: false, reportedLoad: 50 }))).toEqual(
        new Set("a"),
    );
    expect(choose(candidate("a", { inFlight: 3 }), candidate("b", { inFlight: 1, limit: 1 }))).toEqual(new Set("a"));
});
