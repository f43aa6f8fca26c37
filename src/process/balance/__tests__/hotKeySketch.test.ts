import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { HotKeySketch } from "../hotKeySketch.js";
import { SliceLoad } from "../sliceLoad.js";

/** Deterministic pseudo-random numbers in [0, 1). */
const randomOf = (seed: number) => () => {
    seed = (Math.imul(seed, 1_664_525) + 1_013_904_223) >>> 0;
    return seed / 2 ** 32;
};

describe("HotKeySketch", () => {
    test("guards against missing hot keys among many cold ones, and against keeping keys that are no longer hot", () => {
        const clock = new ManualClock();
        const sketch = new HotKeySketch({ clock });
        const random = randomOf(5);
        const run = (firstHot: number) => {
            for (let step = 0; step < 40_000; step++) {
                clock.advance(0.25);
                const hot = random() < 0.5;
                sketch.record(hot ? firstHot + Math.floor(random() * 24) : 1e6 + Math.floor(random() * 1e6), 1);
            }
        };
        const found = () =>
            sketch
                .top()
                .slice(0, 24)
                .map(({ position }) => position)
                .sort((a, b) => a - b);
        const positions = (first: number) => Array.from({ length: 24 }, (_, index) => first + index);
        run(0);
        expect(found()).toEqual(positions(0));
        // 4 requests/ms of 1 ms each use 4 slots; each hot key gets 1/48 of that.
        sketch
            .top()
            .slice(0, 24)
            .forEach(({ work, error }) => {
                expect(work).toBeGreaterThan(0.04);
                expect(work - error).toBeLessThan(0.13);
                expect(error).toBeLessThanOrEqual(4 / 112);
            });
        run(500);
        expect(found()).toEqual(positions(500));
        clock.advance(1_000_000);
        expect(sketch.top().every(({ work }) => work < 1e-6)).toBe(true);
    });
});

describe("SliceLoad", () => {
    test("guards against counting requests instead of service time, and against losing work when slices change", () => {
        const clock = new ManualClock();
        const load = new SliceLoad({ clock });
        load.setSlices([[0, 1_600], [3_200, 4_800]]); // prettier-ignore
        for (let step = 0; step < 20_000; step++) {
            clock.advance(1);
            load.record(50, 0.5);
            load.record(3_300 + (step % 2) * 100, 2);
            load.record(2_000, 100);
        }
        expect(load.slices().map(({ work }) => Number(work.toFixed(1)))).toEqual([0.5, 2]);
        load.setSlices([[0, 100], [3_200, 3_400]], [{ slice: [8_000, 8_001], work: 3, bins: [3] }]); // prettier-ignore
        expect(load.slices().map(({ work }) => Number(work.toFixed(1)))).toEqual([0.5, 1]);
        load.setSlices([[0, 100], [8_000, 8_001]], [{ slice: [8_000, 8_001], work: 3, bins: [3] }]); // prettier-ignore
        expect(load.slices().map(({ work }) => Number(work.toFixed(1)))).toEqual([0.5, 3]);
    });
});
