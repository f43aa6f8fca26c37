import { seededRandom } from "../../../test/support/seededRandom.js";
import { decideConnectionWait } from "../decideConnectionWait.js";

const INPUT = { connections: 8, queued: 0, expectedMs: 100, waitedMs: 0, leftMs: 1_500, targetLatencyMs: 400 };

test.each([
    ["while a connection is expected to become free soon", {}, 50],
    ["for the rest of its time only", { waitedMs: 20 }, 30],
    ["no longer than its deadline allows", { leftMs: 130 }, 30],
    ["not when too many wait before it", { queued: 4 }, undefined],
    ["not when its deadline is too near", { leftMs: 110 }, undefined],
    ["not when answers take too long", { expectedMs: 500 }, undefined],
    ["not when it has waited long enough", { waitedMs: 50 }, undefined],
])(
    "guards against a refusal of what can be served soon, and a late one of what can't: it waits %s",
    (_, change, expected) => {
        expect(decideConnectionWait({ ...INPUT, ...change })).toBe(expected);
    },
);

const CONNECTIONS = 8;
const TIMEOUT_MS = 1_500;
const TARGET_LATENCY_MS = 400;
const DURATION_MS = 60_000;

interface Load {
    perSecond: number;
    /** Number of requests that arrive together. */
    together: number;
    /** Bounds of the times of answers, in milliseconds. */
    answerMs: [number, number];
}

/**
 * Plays requests to one target in steps of a millisecond. Returns the shares of those that are refused, at once and after a wait,
 * and the longest wait in milliseconds.
 */
const replay = ({ perSecond, together, answerMs: [least, most] }: Load, seed: number, mayWait: boolean) => {
    const arrivals = seededRandom(seed);
    const answers = seededRandom(seed + 1);
    const expectedMs = (least + most) / 2;
    let running: number[] = [];
    let queue: { at: number; until: number }[] = [];
    const count = { requests: 0, atOnce: 0, late: 0 };
    let longestMs = 0;
    for (let now = 0; now < DURATION_MS; now++) {
        const start = () => running.push(now + least + answers() * (most - least));
        running = running.filter(endsAt => endsAt > now);
        const late = queue.filter(({ until }) => until <= now);
        queue = queue.filter(({ until }) => until > now);
        const served = queue.splice(0, CONNECTIONS - running.length);
        served.forEach(start);
        count.late += late.length;
        longestMs = Math.max(longestMs, ...[...late, ...served].map(({ at }) => now - at));
        const arriving = arrivals() < perSecond / together / 1_000 ? together : 0;
        for (let index = 0; index < arriving; index++) {
            count.requests++;
            const waitMs = decideConnectionWait({
                connections: CONNECTIONS,
                queued: queue.length,
                expectedMs,
                waitedMs: 0,
                leftMs: TIMEOUT_MS,
                targetLatencyMs: TARGET_LATENCY_MS,
            });
            if (running.length < CONNECTIONS) {
                start();
            } else if (mayWait && waitMs !== undefined) {
                queue.push({ at: now, until: now + waitMs });
            } else {
                count.atOnce++;
            }
        }
    }
    return { refused: (count.atOnce + count.late) / count.requests, late: count.late / count.requests, longestMs };
};

describe("requests to a target with 8 connections", () => {
    it.each<[string, Load, number]>([
        ["in bursts of 16 with answers of 5 to 15 ms", { perSecond: 60, together: 16, answerMs: [5, 15] }, 0],
        ["below its capacity", { perSecond: 25, together: 1, answerMs: [50, 400] }, 0.75],
        ["at its capacity", { perSecond: 35, together: 1, answerMs: [50, 400] }, 0.85],
        ["above its capacity", { perSecond: 60, together: 1, answerMs: [50, 400] }, 0.97],
    ])("guards against refusals of what can be served: fewer of those %s", (_, load, ratio) => {
        for (const seed of [1, 2, 3]) {
            const before = replay(load, seed, false);
            const after = replay(load, seed, true);

            expect(before.refused).toBeGreaterThan(0.05);
            expect(after.refused).toBeLessThanOrEqual(before.refused * ratio);
            expect(after.longestMs).toBeLessThanOrEqual(TARGET_LATENCY_MS / 8);
        }
    });
});
