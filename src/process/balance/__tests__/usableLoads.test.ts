import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { DispatchedLoad } from "../dispatchedLoad.js";
import { findOutliers } from "../outliers.js";
import { planMoves, DEFAULT_REBALANCE_LIMITS } from "../rebalance.js";
import type { TargetRow } from "../../store/rows.js";
import { domainSignature, trackDomain, usableLoads, type DomainChanges } from "../usableLoads.js";

const PLAN_MS = 2_000;

const rowOf = (target: string, slices: TargetRow["slices"], dispatcher = "i1"): TargetRow => {
    const fixed = { service: "stock", domain: "d1", address: "127.0.0.1:1", term: 1, attempt: "" };
    return { ...fixed, target, slices, dispatcher, state: "serving" };
};

/** The times of plans, made every 2 s, at which loads are usable if the domain changes at the given times. */
const usableTimes = (changes: readonly number[], untilMs: number): number[] => {
    const times: number[] = [];
    let tracked: DomainChanges | undefined;
    for (let now = 0; now <= untilMs; now += PLAN_MS) {
        tracked = trackDomain(tracked, String(changes.filter(at => at <= now).length), now);
        times.push(...(tracked.usableAt === now ? [now] : []));
    }
    return times;
};

describe("trackDomain", () => {
    test("guards against plans based on the loads of a domain whose members have just changed", () => {
        expect(usableTimes([9_000], 18_000)).toEqual([4_000, 6_000, 8_000, 14_000, 16_000, 18_000]);
    });

    test("guards against a hot key that isn't isolated within 10 s because instances are continuously replaced", () => {
        const everySecond = Array.from({ length: 60 }, (_, index) => index * 1_000);
        const times = usableTimes(everySecond, 60_000);
        const gaps = times.slice(1).map((time, index) => time - times[index]);
        expect(Math.max(times[0], ...gaps)).toBeLessThanOrEqual(8_000);
    });

    test("guards against a planner that resumes with outdated knowledge of the domain", () => {
        const before = trackDomain(trackDomain(undefined, "a", 0), "a", 4_000);
        expect(trackDomain(before, "a", 60_000).usableAt).toBeLessThan(60_000);
    });

    test("guards against undetected changes of members or dispatchers", () => {
        const members = [{ domain: "d1", incarnation: "i1", state: "active" }];
        const leaving = [{ domain: "d1", incarnation: "i1", state: "leaving" }];
        const elsewhere = [...members, { domain: "d2", incarnation: "i9", state: "active" }];
        const signature = domainSignature("d1", members, [rowOf("t1", [])]);
        expect(domainSignature("d1", leaving, [rowOf("t1", [])])).not.toBe(signature);
        expect(domainSignature("d1", members, [rowOf("t1", [], "i2")])).not.toBe(signature);
        expect(domainSignature("d1", elsewhere, [rowOf("t1", [])])).toBe(signature);
    });
});

describe("usableLoads", () => {
    const measuredFor = (clock: ManualClock, load: DispatchedLoad, durationMs: number) => {
        for (let elapsed = 0; elapsed < durationMs; elapsed += 10) {
            clock.advance(10);
            load.record(50, 20);
        }
    };

    test("guards against using loads that were measured too briefly, are outdated or come from an unsettled domain", () => {
        const clock = new ManualClock();
        const load = new DispatchedLoad(clock);
        load.setSlices([[0, 100]]);
        const options = { now: 0, isSettled: () => true };
        const isUsable = (slices: TargetRow["slices"], given = options) =>
            usableLoads([rowOf("t1", slices)], new Map([["target/stock/t1", { load: load.report(1), at: 0 }]]), given)
                .size === 1;
        measuredFor(clock, load, 1_000);
        expect(isUsable([[0, 100]])).toBe(false);
        expect(isUsable([])).toBe(true);
        measuredFor(clock, load, 3_000);
        expect(isUsable([[0, 100]])).toBe(true);
        expect(isUsable([[0, 100]], { ...options, now: 4_000 })).toBe(false);
        expect(isUsable([[0, 100]], { ...options, isSettled: () => false })).toBe(false);
    });

    test("guards against losing a target's load, or counting it twice, when its dispatcher changes", () => {
        const clock = new ManualClock();
        const former = new DispatchedLoad(clock);
        former.setSlices([[0, 100]]);
        measuredFor(clock, former, 10_000);
        const next = new DispatchedLoad(clock);
        next.resume([[0, 100]], former.report(1));
        const workAfter = (durationMs: number) => {
            measuredFor(clock, next, durationMs);
            const { slices, hotKeys } = next.report(1);
            return [slices[0].work, hotKeys[0].work];
        };
        for (const durationMs of [0, 500, 2_000, 10_000]) {
            workAfter(durationMs).forEach(work => expect(work).toBeCloseTo(2, 1));
        }
        expect(next.report(1).measuredMs).toBeGreaterThanOrEqual(20_000);
    });

    test("guards against inferring an overload from a momentary reduction of the concurrency limit", () => {
        const clock = new ManualClock();
        const load = new DispatchedLoad(clock);
        const capacityAfter = (limit: number, durationMs: number) => {
            load.recordCapacity(limit);
            clock.advance(durationMs);
            load.recordCapacity(limit);
            return load.report(1).capacity;
        };
        expect(capacityAfter(6, 5_000)).toBe(6);
        expect(capacityAfter(4, 100)).toBeGreaterThan(5.9);
        expect(capacityAfter(4, 2_000)).toBeCloseTo(5, 1);
        expect(capacityAfter(4, 20_000)).toBeCloseTo(4, 1);
    });
});

describe("findOutliers", () => {
    test("guards against moves caused by a jump in demand that shows at some targets before the others", () => {
        const rows = [rowOf("t1", [[0, 2 ** 31]]), rowOf("t2", [[2 ** 31, 2 ** 32]])]; // prettier-ignore
        const loadsOf = (...works: number[]) =>
            new Map(
                works.map((work, index) => {
                    const slices = [{ slice: rows[index].slices[0], work, bins: Array<number>(16).fill(work / 16) }];
                    return [`t${index + 1}`, { capacity: 6, slices, hotKeys: [], drainMs: 10 }];
                }),
            );
        const movesAfter = (before: number[]) => {
            const outliersBefore = findOutliers(loadsOf(...before), { above: 1.1, below: 0.75 });
            const limits = { ...DEFAULT_REBALANCE_LIMITS, keySpace: 1, outliersBefore };
            return planMoves(loadsOf(4, 1), rows, limits).length;
        };
        expect(movesAfter([0, 0])).toBe(0);
        expect(movesAfter([1, 1])).toBe(0);
        expect(movesAfter([4, 1])).toBeGreaterThan(0);
    });
});
