import { ManualClock } from "../../../../test/support/manualClock.js";
import { MAX_REST_MS, TargetIntake } from "../targetIntake.js";

const create = () => {
    const clock = new ManualClock();
    return { clock, intake: new TargetIntake() };
};

describe("TargetIntake", () => {
    it("guards against a drain time that begins anew with each answer", () => {
        const { clock, intake } = create();
        clock.advance(100);
        expect(intake.stateLeaving(clock)).toBe(true);
        clock.advance(100);
        expect([intake.stateLeaving(clock), intake.leavingAt]).toEqual([false, 100]);
    });

    it("guards against a rest that a later, shorter statement ends", () => {
        const { clock, intake } = create();
        expect(intake.stateRest(3_000, clock)).toBe(true);
        clock.advance(100);
        expect([intake.stateRest(500, clock), intake.rest?.until]).toEqual([false, 3_000]);
        expect([intake.stateRest(4_000, clock), intake.rest?.until]).toEqual([false, 4_100]);
        clock.advance(4_000);
        expect([intake.stateRest(500, clock), intake.rest?.until]).toEqual([true, 4_600]);
    });

    it("guards against a rest of hours, and against the loss of what was stated", () => {
        const { clock, intake } = create();
        intake.stateRest(2 * MAX_REST_MS, clock);
        expect(intake.rest).toEqual({ until: MAX_REST_MS, statedUntil: 2 * MAX_REST_MS });
    });

    it("guards against a rest that ends by an answer to a request of before its end", () => {
        const { clock, intake } = create();
        intake.stateRest(2 * MAX_REST_MS, clock);
        intake.endRest(MAX_REST_MS - 1);
        expect(intake.rest?.until).toBe(MAX_REST_MS);
        intake.endRest(MAX_REST_MS);
        expect(intake.rest).toBeUndefined();
    });
});
