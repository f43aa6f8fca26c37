import { expect, test } from "@jest/globals";
import { lateAfterMs } from "../lateAnswer.js";

test("guards against long requests of a route without learned durations being aborted at every send", () => {
    const deadlineMs = 30_000;
    const serviceMs = 5_000;
    let elapsed = 0;
    let lateSends = 0;
    while (lateAfterMs(0, lateSends) < serviceMs) {
        elapsed += lateAfterMs(0, lateSends++);
    }
    expect(elapsed + serviceMs).toBeLessThan(deadlineMs);
    expect(lateSends).toBeLessThanOrEqual(3);
    // The first check is still early enough to replace a silent connection within 1 s.
    expect(lateAfterMs(0, 0)).toBe(250);
    expect(lateAfterMs(200, 0)).toBe(800);
});
