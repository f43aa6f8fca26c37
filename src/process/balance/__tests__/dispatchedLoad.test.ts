import { expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { DispatchedLoad } from "../dispatchedLoad.js";
import type { Slice } from "../../store/rows.js";

test("guards against reports, sent every second, that list the bins of idle slices", () => {
    const clock = new ManualClock();
    const load = new DispatchedLoad(clock);
    const slices = Array.from({ length: 16 }, (_, index): Slice => [index * 1_000, index * 1_000 + 500]);
    load.setSlices(slices);
    expect(JSON.stringify(load.report(20)).length).toBeLessThan(100);
    for (let elapsed = 0; elapsed < 2_000; elapsed += 10) {
        load.record(2_100, 5);
        clock.advance(10);
    }
    const [busy, ...others] = load.report(20).slices;
    expect(others).toEqual([]);
    expect(busy.slice).toEqual(slices[2]);
    expect(busy.work).toBeGreaterThan(0.1);
    // A decayed remainder of earlier work doesn't keep a slice in the reports.
    clock.advance(60_000);
    expect(load.report(20).slices).toEqual([]);
});
