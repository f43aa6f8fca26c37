import { expect, test } from "@jest/globals";
import { faultProblems, runFaults } from "../faults/faultRun.js";
import { pairSchedule, type Fault } from "../faults/faultSchedule.js";

/** Time between two pairs, long enough for the router to recover even with the slow platform, in milliseconds. */
const SPACING_MS = 5_500;
/** Added to 100 ms, this is the latency of the table, in milliseconds. */
const SLOW_MS = 150;

test("no pair of faults with a slow platform causes two owners of a key, double executions or lost assignments", async () => {
    const pairs = pairSchedule(SPACING_MS).filter(({ kind }) => kind !== "platform-slow");
    const durationMs = Math.max(...pairs.map(({ at }) => at)) + SPACING_MS;
    const slow: Fault = { kind: "platform-slow", at: 0, durationMs, victim: SLOW_MS };
    expect(faultProblems(await runFaults([slow, ...pairs], { seed: 12 }))).toEqual([]);
}, 180_000);
