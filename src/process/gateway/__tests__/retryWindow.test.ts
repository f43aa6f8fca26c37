import { ManualClock } from "../../../../test/support/manualClock.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import type { RetryBudget } from "../../dispatch/retryBudget.js";
import { createRetryBudget } from "../createRetryBudget.js";

/** The platform's limit: repeats in a window, as a ratio of the requests and a fixed number. */
const RATIO = 0.2;
const WINDOW_MS = 10_000;
const STEP_MS = 100;
const DURATION_MS = 60_000;

/** Faults of the instances. Rates are per instance and second. */
interface Faults {
    killsPerSecond: number;
    /** Times in milliseconds at which all instances are killed. */
    allKilledAt: number[];
    stallsPerSecond: number;
    /** Maximum duration of a stall, in milliseconds. */
    maxStallMs: number;
}

interface Instance {
    budget: RetryBudget;
    stalledUntil: number;
    /** Requests that were sent to the instance and not read yet. */
    unread: number;
}

/** Counts per step: requests of callers when they are sent, and repeats when they arrive at targets. */
interface Counts {
    requests: number[];
    repeats: number[];
    /** Processes that were started, by step. */
    starts: number[];
}

/**
 * Replays instances that retry whatever their budgets allow while targets fail. Requests sent to a stalled instance are read
 * at the end of the stall, and the repeats that they pay for arrive from then on.
 */
const replay = (seed: number, instances: number, requestsPerSecond: number, faults: Faults): Counts => {
    const random = seededRandom(seed);
    const clock = new ManualClock();
    const startInstance = (): Instance => ({
        budget: createRetryBudget(clock, { ratio: RATIO, windowMs: WINDOW_MS }, random),
        stalledUntil: 0,
        unread: 0,
    });
    const running = Array.from({ length: instances }, startInstance);
    const counts: Counts = { requests: [], repeats: [], starts: [] };
    const perStep = (rate: number) => (rate * STEP_MS) / 1_000;
    let isFailing = false;
    let isBusy = true;
    for (let at = 0; at < DURATION_MS; at += STEP_MS) {
        isFailing = random() < 0.02 ? !isFailing : isFailing;
        isBusy = random() < 0.01 ? !isBusy : isBusy;
        const expected = perStep(requestsPerSecond / instances) * (isBusy ? 1.6 : 0.2);
        let requests = 0;
        let repeats = 0;
        let starts = at === 0 ? instances : 0;
        running.forEach((instance, index) => {
            if (faults.allKilledAt.includes(at) || random() < perStep(faults.killsPerSecond)) {
                running[index] = startInstance();
                starts++;
                return;
            }
            const sent = Math.floor(expected) + Number(random() < expected % 1);
            requests += sent;
            instance.unread += sent;
            if (random() < perStep(faults.stallsPerSecond)) {
                instance.stalledUntil = at + random() * faults.maxStallMs;
            }
            if (at < instance.stalledUntil) {
                return;
            }
            for (; instance.unread > 0; instance.unread--) {
                instance.budget.request();
            }
            while (isFailing && instance.budget.take()) {
                repeats++;
            }
        });
        counts.requests.push(requests);
        counts.repeats.push(repeats);
        counts.starts.push(starts);
        clock.advance(STEP_MS);
    }
    return counts;
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Repeats beyond the ratio in the window where they are most. */
const mostBeyondRatio = ({ requests, repeats }: Counts): number => {
    const steps = WINDOW_MS / STEP_MS;
    let most = -Infinity;
    for (let from = 0; from + steps <= requests.length; from++) {
        // Requests count in the window, half a window earlier or one window earlier, whichever has the most.
        const counted = [0, steps / 2, steps].map(back =>
            sum(requests.slice(Math.max(0, from - back), Math.max(0, from - back + steps))),
        );
        most = Math.max(most, sum(repeats.slice(from, from + steps)) - RATIO * Math.max(...counted));
    }
    return most;
};

const CALM: Faults = { killsPerSecond: 0, allKilledAt: [], stallsPerSecond: 0, maxStallMs: 0 };
const KILLED_AT = { killsPerSecond: 0.05, allKilledAt: [20_000, 23_000, 26_000, 29_000] };
const KILLED: Faults = { ...CALM, ...KILLED_AT };
const STALLED: Faults = { ...CALM, stallsPerSecond: 0.1, maxStallMs: 4_000 };
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

describe("repeats of all instances together in a window", () => {
    describe.each([
        { instances: 12, slack: 64 },
        { instances: 67, slack: 174 },
        { instances: 200, slack: 174 },
        { instances: 576, slack: 174 },
    ])("with $instances instances", ({ instances, slack }) => {
        describe.each([
            { load: "few requests", perSecond: 15 },
            { load: "many requests", perSecond: instances * 30 },
        ])("and $load", ({ perSecond }) => {
            it.each([
                { faults: "without faults", given: CALM },
                { faults: "with kills and restarts", given: KILLED },
                { faults: "with stalls", given: STALLED },
                { faults: "with kills, restarts and stalls", given: { ...STALLED, ...KILLED_AT } },
            ])("stay within the ratio and the slack $faults", ({ given }) => {
                for (const seed of SEEDS) {
                    const counts = replay(seed, instances, perSecond, given);
                    const beyond = mostBeyondRatio(counts);
                    expect({ seed, excess: Math.max(0, beyond - slack) }).toEqual({ seed, excess: 0 });
                    expect(sum(counts.repeats)).toBeGreaterThan(0);
                }
            });
        });
    });
});
