import { ManualClock } from "../../../../test/support/manualClock.js";
import { LimitAdmitter } from "../limitAdmitter.js";

const TARGET = { id: "t1", startedAtMs: 1 };

describe("the admission of requests to targets with limits", () => {
    const create = () => {
        const clock = new ManualClock();
        const admitter = new LimitAdmitter(clock);
        const ask = (perSecond: number, ageMs: number) => admitter.ask({ ...TARGET, perSecond, ageMs }).type;
        return { clock, admitter, ask };
    };

    it("has one bucket for all instances that ask", () => {
        const { clock, ask } = create();
        ask(2, 0);
        clock.advance(1_000);
        expect([1, 2, 3].map(() => ask(2, 1_000))).toEqual(["admitted", "admitted", "refused"]);
    });

    it("applies the newest statement, whoever reports it", () => {
        const { clock, admitter, ask } = create();
        ask(2, 0);
        clock.advance(500);
        admitter.learn({ ...TARGET, perSecond: 5, ageMs: 0 });
        ask(2, 500);
        expect(admitter.limitOf(TARGET)?.perSecond).toBe(5);
    });

    it("admits everything once an answer without a limit is newer than all with one", () => {
        const { clock, admitter, ask } = create();
        ask(2, 0);
        clock.advance(1_000);
        admitter.learn({ ...TARGET, perSecond: undefined, ageMs: 2_000 });
        expect(admitter.limitOf(TARGET)).toBeDefined();
        admitter.learn({ ...TARGET, perSecond: undefined, ageMs: 200 });
        expect([ask(2, 900), admitter.limitOf(TARGET)]).toEqual(["unlimited", undefined]);
        // A statement after that limits again, from an empty bucket.
        expect(ask(2, 0)).toBe("refused");
    });

    it("doesn't apply a limit to another life of the target", () => {
        const { admitter, ask } = create();
        ask(2, 0);
        expect(admitter.limitOf({ ...TARGET, startedAtMs: 2 })).toBeUndefined();
    });

    it("knows whether callers are refused, which is a reason to move keys away", () => {
        const { clock, admitter, ask } = create();
        [1, 2, 3].forEach(() => ask(2, 0));
        expect(admitter.limitOf(TARGET)).toEqual({ perSecond: 2, isExceeded: true });
        clock.advance(3_000);
        expect(admitter.limitOf(TARGET)).toEqual({ perSecond: 2, isExceeded: false });
    });

    it("starts with empty buckets after another instance has admitted", () => {
        const { clock, admitter, ask } = create();
        ask(2, 0);
        clock.advance(1_000);
        admitter.clear();
        expect(ask(2, 1_000)).toBe("refused");
    });
});
