import { ManualClock } from "../../../../test/support/manualClock.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { createRetryBudget } from "../createRetryBudget.js";

/** Retries that targets tolerate from all instances together: the platform's limits for its smallest deployments. */
const ALLOWED_SHARE = 0.2;
const WINDOW_MS = 10_000;
const ALLOWED_EXTRA = 60;
const INSTANCES = 12;
const STEP_MS = 100;
const DURATION_MS = 90_000;
/** Upper bound of the requests of an instance in a step. */
const BUSY_REQUESTS = 12;

/** Simulates the requests and retries of all instances by step, with the budgets used up in failing periods. */
const replay = (seed: number): { requests: number[]; retries: number[] } => {
    const random = seededRandom(seed);
    const clock = new ManualClock();
    const limit = { ratio: ALLOWED_SHARE, windowMs: WINDOW_MS };
    const budgets = Array.from({ length: INSTANCES }, () => createRetryBudget(clock, limit, random));
    const requests: number[] = [];
    const retries: number[] = [];
    let isBusy = false;
    let isFailing = false;
    for (let at = 0; at < DURATION_MS; at += STEP_MS) {
        if (random() < 0.02) {
            isBusy = !isBusy;
        }
        if (random() < 0.02) {
            isFailing = !isFailing;
        }
        let asked = 0;
        let repeated = 0;
        for (const budget of budgets) {
            const count = Math.floor(random() * (isBusy ? BUSY_REQUESTS : 1.2));
            for (let index = 0; index < count; index++) {
                budget.request();
                asked++;
            }
            while (isFailing && budget.take()) {
                repeated++;
            }
        }
        requests.push(asked);
        retries.push(repeated);
        clock.advance(STEP_MS);
    }
    return { requests, retries };
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

describe("retry budgets of all instances together", () => {
    it.each([1, 2, 3, 4, 5, 6, 7, 8])("stay within what targets tolerate in every window, seed %d", seed => {
        const { requests, retries } = replay(seed);
        const steps = WINDOW_MS / STEP_MS;
        for (let from = 0; from + steps <= requests.length; from++) {
            // Requests are counted in the window, half a window earlier or one window earlier, whichever has the most.
            const counted = [0, steps / 2, steps].map(back =>
                sum(requests.slice(Math.max(0, from - back), Math.max(0, from - back + steps))),
            );
            const allowed = ALLOWED_SHARE * Math.max(...counted) + ALLOWED_EXTRA;
            expect(sum(retries.slice(from, from + steps))).toBeLessThanOrEqual(allowed);
        }
        expect(sum(retries)).toBeGreaterThan(0);
    });
});
