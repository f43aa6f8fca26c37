import { ManualClock } from "../../../../test/support/manualClock.js";
import { ReadProgress } from "../readProgress.js";

describe("ReadProgress", () => {
    it("tells a call that receives nothing from one whose answer takes long", () => {
        const clock = new ManualClock();
        const progress = new ReadProgress(clock);
        progress.begin(0);
        clock.advance(400);
        expect(progress.current).toEqual({ ms: 400, bytes: 0 });
        progress.received(1_000);
        clock.advance(200);
        progress.received(500);
        expect(progress.end()).toEqual({ ms: 600, bytes: 1_500 });
        expect(progress.current).toEqual({ ms: 0, bytes: 1_500 });
    });

    it("doesn't count the time for which the store holds a call", () => {
        const clock = new ManualClock();
        const progress = new ReadProgress(clock);
        progress.begin(1_500);
        clock.advance(900);
        expect(progress.current.ms).toBe(0);
        progress.received(10);
        clock.advance(50);
        expect(progress.end()).toEqual({ ms: 50, bytes: 10 });
        progress.begin(1_500);
        clock.advance(1_700);
        expect(progress.end()).toEqual({ ms: 200, bytes: 0 });
    });
});
