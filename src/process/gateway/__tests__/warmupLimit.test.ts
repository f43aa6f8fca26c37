import { ManualClock } from "../../../../test/support/manualClock.js";
import { LimitBucket } from "../limitBucket.js";
import { coldRate, lowerLimit, PERMIT_ANSWER_MS, PERMIT_CONNECT_MS } from "../warmupLimit.js";

/** Bounds of a deployment, and ones with few requests, where rounding matters most. */
const BOUNDS: [string, { overage: number; slack: number }, number][] = [
    ["4 x 1.5 + 8", { overage: 1.5, slack: 8 }, 4],
    ["20 x 1.5 + 8", { overage: 1.5, slack: 8 }, 20],
    ["2 x 1 + 0", { overage: 1, slack: 0 }, 2],
    ["1 x 1 + 0", { overage: 1, slack: 0 }, 1],
    ["3 x 1.1 + 0", { overage: 1.1, slack: 0 }, 3],
];
/** Maximum time on the way, as `coldRate` assumes it, in milliseconds. */
const ARRIVAL_MS = 50;
/** Requests that arrive in one second may have got their permits in this time, in milliseconds. */
const SPAN_MS = 1_000 + PERMIT_ANSWER_MS + PERMIT_CONNECT_MS + ARRIVAL_MS;

/** Times of the permits under full demand, with two holders of the lease one after the other. */
const permitTimes = (rate: { perSecond: number; burst: number }, changeAt: number): number[] => {
    const clock = new ManualClock();
    const times: number[] = [];
    let bucket = new LimitBucket(clock, rate.perSecond, rate.burst);
    for (let at = 0; at < 20_000; at++) {
        if (at === changeAt) {
            bucket = new LimitBucket(clock, rate.perSecond, rate.burst);
        }
        // Now and then nobody asks for a while, so that permits are saved up.
        if (at % 5_000 > 600) {
            while (bucket.take().type === "admitted") {
                times.push(at);
            }
        }
        clock.advance(1);
    }
    return times;
};

const mostIn = (times: readonly number[], spanMs: number): number =>
    Math.max(...times.map((from, index) => times.slice(index).filter(at => at < from + spanMs).length));

describe("the rate of permits for a cold target", () => {
    // Guards against a second in which the slowest permits arrive together with the fastest ones and exceed the bound.
    it.each(BOUNDS)(
        "keeps the bound %s however long permits take, also across a change of the holder",
        (_, bound, rate) => {
            const allowed = bound.overage * rate + bound.slack;
            for (const changeAt of [-1, 7_000, 10_600, 10_650]) {
                const times = permitTimes(coldRate(bound, rate, 1), changeAt);
                expect(mostIn(times, SPAN_MS)).toBeLessThanOrEqual(allowed);
            }
        },
    );

    // Guards against a warm-up that takes longer than needed because the bound isn't used.
    it.each(BOUNDS)("uses at least half of the bound %s, and rises during the warm-up", (_, bound, rate) => {
        const allowed = bound.overage * rate + bound.slack;
        const rates = [0, 0.5, 1].map(progress => coldRate(bound, rate, progress).perSecond);
        expect(rates[0]).toBeGreaterThan(allowed / 2);
        expect(rates).toEqual([...rates].sort((a, b) => a - b));
        expect(rates[2]).toBeGreaterThan(rates[0]);
    });

    it("doesn't exceed its highest value if the statement of the target is longer than the warm-up", () => {
        const [before, first] = [-3, 0].map(progress => coldRate({ overage: 1.5, slack: 8 }, 4, progress));
        expect(before).toEqual(first);
    });
});

describe("the limit of a target that is cold and has stated a limit", () => {
    it("is the lower one", () => {
        const stated = { perSecond: 2, statedAt: 0 };
        const cold = { perSecond: 8, burst: 2, leftMs: 1_000 };
        expect(lowerLimit(stated, cold)).toEqual({ perSecond: 2, stated, cold });
        expect(lowerLimit({ ...stated, perSecond: 20 }, cold)?.perSecond).toBe(8);
        expect(lowerLimit(undefined, cold)?.perSecond).toBe(8);
        expect(lowerLimit(undefined, undefined)).toBeUndefined();
    });
});
