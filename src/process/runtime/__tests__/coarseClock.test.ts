import { describe, expect, jest, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { repeat } from "../clock.js";
import { CoarseClock } from "../coarseClock.js";

describe("CoarseClock", () => {
    test("guards against a wake-up for each timer, and against wake-ups for ticks without timers", () => {
        const clock = new ManualClock();
        const setTimer = jest.spyOn(clock, "setTimer");
        const coarse = new CoarseClock(clock, 50);
        const fired: string[] = [];
        coarse.setTimer(90, () => fired.push(`a${clock.monotonicMs()}`));
        coarse.setTimer(110, () => fired.push(`b${clock.monotonicMs()}`));
        coarse.setTimer(1_000, () => fired.push(`c${clock.monotonicMs()}`));
        clock.advance(1_000);
        expect(fired).toEqual(["a100", "b100", "c1000"]);
        expect(setTimer).toHaveBeenCalledTimes(2);
    });

    test("guards against periods that grow by the duration of the callback", async () => {
        const clock = new ManualClock();
        const coarse = new CoarseClock(clock, 50);
        const at: number[] = [];
        repeat(coarse, 300, () => {
            at.push(clock.monotonicMs());
            clock.advance(3);
        });
        for (let elapsed = 0; elapsed < 1_500; elapsed += 10) {
            clock.advance(10);
            await Promise.resolve();
            await Promise.resolve();
            await Promise.resolve();
        }
        expect(at).toEqual([300, 600, 900, 1_200, 1_500]);
    });

    test("guards against a cancelled timer that fires, and against the cancellation of other timers of its tick", () => {
        const clock = new ManualClock();
        const coarse = new CoarseClock(clock, 50);
        const fired: string[] = [];
        const cancelFirst = coarse.setTimer(50, () => fired.push("first"));
        const cancelThird = coarse.setTimer(100, () => fired.push("third"));
        coarse.setTimer(100, () => {
            fired.push("second");
            cancelLast();
        });
        const cancelLast = coarse.setTimer(100, () => fired.push("last"));
        cancelFirst();
        cancelThird();
        clock.advance(200);
        expect(fired).toEqual(["second"]);
        coarse.setTimer(0, () => fired.push("next tick"));
        clock.advance(49);
        expect(fired).toEqual(["second"]);
        clock.advance(1);
        expect(fired).toEqual(["second", "next tick"]);
    });
});
