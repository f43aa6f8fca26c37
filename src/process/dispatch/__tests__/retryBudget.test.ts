import { ManualClock } from "../../../../test/support/manualClock.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { RetryBudget } from "../retryBudget.js";

const VALIDITY_MS = 5_000;

const withoutMinimum = (clock: ManualClock, random: () => number): RetryBudget =>
    new RetryBudget(clock, { share: 0.1, validityMs: VALIDITY_MS, minimum: 0, random });

const requests = (budget: RetryBudget, count: number): void => {
    for (let index = 0; index < count; index++) {
        budget.request();
    }
};

describe("RetryBudget without a minimum", () => {
    it("is empty at the start, so that restarts add no retries", () => {
        const budget = withoutMinimum(new ManualClock(), () => 0.99);
        expect(budget.take()).toBe(false);
    });

    it("loses earned retries that aren't taken in time", () => {
        const clock = new ManualClock();
        const budget = withoutMinimum(clock, () => 0);
        requests(budget, 105);
        expect(budget.available()).toBe(10);
        clock.advance(VALIDITY_MS);
        expect(budget.available()).toBe(0);
    });

    it("loses retries that were earned before a suspension, in which the monotonic clock stood still", () => {
        const clock = new ManualClock();
        const budget = withoutMinimum(clock, () => 0);
        requests(budget, 105);
        clock.shiftWall(3_000);
        expect(budget.take()).toBe(false);
        requests(budget, 20);
        expect(budget.take()).toBe(true);
    });

    it("gives instances with few requests their share of retries, also if all restart often", () => {
        const random = seededRandom(5);
        const clock = new ManualClock();
        let taken = 0;
        const starts = 20_000;
        for (let start = 0; start < starts; start++) {
            const budget = withoutMinimum(clock, random);
            requests(budget, 3);
            taken += Number(budget.take());
        }
        // 0.3 retries are expected of each start; five standard deviations are allowed.
        expect(Math.abs(taken - 0.3 * starts)).toBeLessThan(5 * Math.sqrt(0.3 * 0.7 * starts));
    });
});
