import { maxOwnerWaitMs } from "../maxOwnerWaitMs.js";

describe("maxOwnerWaitMs", () => {
    it.each([
        [400, 250],
        [850, 255],
        [3_000, 900],
    ])("leaves most of a target latency of %d ms for the work", (targetLatencyMs, waitMs) => {
        expect(maxOwnerWaitMs(targetLatencyMs)).toBeCloseTo(waitMs);
    });
});
