import { expect, test } from "@jest/globals";
import { lateAfterMs } from "../lateAnswer.js";

test("a request of a route without answers is let finish; guards against long work that is given up at each send", () => {
    const deadlineMs = 30_000;
    const serviceMs = 5_000;
    let elapsed = 0;
    let lateSends = 0;
    while (lateAfterMs(0, lateSends) < serviceMs) {
        elapsed += lateAfterMs(0, lateSends++);
    }
    expect(elapsed + serviceMs).toBeLessThan(deadlineMs);
    expect(lateSends).toBeLessThanOrEqual(3);
    // The first doubt still comes early enough for the replacement of silent connections within 1 s.
    expect(lateAfterMs(0, 0)).toBe(250);
    expect(lateAfterMs(200, 0)).toBe(800);
});
