import { ManualClock } from "../../../../test/support/manualClock.js";
import { LimitBucket } from "../limitBucket.js";

const admittedOf = (bucket: LimitBucket, asks: number): number =>
    Array.from({ length: asks }, () => bucket.take()).filter(({ type }) => type === "admitted").length;

describe("the bucket of a target's limit", () => {
    it("starts empty, so that buckets that follow each other admit no more than one", () => {
        const clock = new ManualClock();
        expect(new LimitBucket(clock, 20).take()).toEqual({ type: "refused", freeInMs: 50, retryAfterMs: 50 });
    });

    it("saves up the requests of a second at most, and at least one", () => {
        const clock = new ManualClock();
        const buckets = [new LimitBucket(clock, 3), new LimitBucket(clock, 0.25)];
        clock.advance(60_000);
        expect(buckets.map(bucket => admittedOf(bucket, 10))).toEqual([3, 1]);
    });

    it("tells refused callers to return one after the other", () => {
        const clock = new ManualClock();
        const bucket = new LimitBucket(clock, 2);
        expect([1, 2, 3].map(() => bucket.take())).toMatchObject([
            { retryAfterMs: 500 },
            { retryAfterMs: 1_000 },
            { retryAfterMs: 1_500 },
        ]);
        bucket.addRefused(2);
        expect(bucket.take()).toMatchObject({ freeInMs: 500, retryAfterMs: 3_000 });
    });

    it("serves callers that return at the time that they were told", () => {
        const clock = new ManualClock();
        const bucket = new LimitBucket(clock, 2);
        const turns = [1, 2, 3, 4].map(() => {
            const decision = bucket.take();
            return decision.type === "refused" ? decision.retryAfterMs : 0;
        });
        const results = turns.map(turn => {
            clock.advance(turn - clock.monotonicMs());
            return bucket.take().type;
        });
        expect(results).toEqual(["admitted", "admitted", "admitted", "admitted"]);
    });

    it("applies a lower limit at once, also to what was saved up", () => {
        const clock = new ManualClock();
        const bucket = new LimitBucket(clock, 10);
        clock.advance(5_000);
        bucket.setRate(2);
        expect(admittedOf(bucket, 20)).toBe(2);
        clock.advance(1_000);
        expect(admittedOf(bucket, 20)).toBe(2);
    });
});
