import { expect, test } from "@jest/globals";
import { faultProblems, runFaults } from "../faults/faultRun.js";
import type { Fault, FaultKind } from "../faults/faultSchedule.js";

/** Three times the duration of a promise not to take over, in milliseconds. */
const FREEZE_MS = 3_600;
/** Time between two faults, long enough for the router to recover, in milliseconds. */
const SPACING_MS = 4_500;
/** Added to 100 ms, this is the latency of the table in the run with a slow platform, in milliseconds. */
const SLOW_MS = 150;

/** Each single fault of a dispatcher, a target or a write, and the simultaneous loss of two dispatchers. */
const SINGLES: { kind: FaultKind; durationMs: number; victim: number }[][] = [
    [{ kind: "kill-instance", durationMs: 500, victim: 0 }],
    [{ kind: "freeze-instance", durationMs: FREEZE_MS, victim: 1 }],
    [{ kind: "cut-instance-from-platform", durationMs: 2_000, victim: 2 }],
    [{ kind: "cut-instance-from-peers", durationMs: 2_000, victim: 3 }],
    [{ kind: "split-instance-from-peers", durationMs: 3_000, victim: 1 }],
    [{ kind: "freeze-target", durationMs: 3_000, victim: 0 }],
    [{ kind: "freeze-target", durationMs: 3_000, victim: 4 }],
    [{ kind: "kill-target", durationMs: 500, victim: 2 }],
    [
        { kind: "kill-instance", durationMs: 500, victim: 0 },
        { kind: "kill-instance", durationMs: 500, victim: 4 },
    ],
    [
        { kind: "platform-loses-replies", durationMs: 0, victim: 2 },
        { kind: "kill-instance", durationMs: 500, victim: 1 },
    ],
];

const schedule: Fault[] = SINGLES.flatMap((faults, index) =>
    faults.map(fault => ({ ...fault, at: 500 + index * SPACING_MS })),
);

const slowPlatform: Fault = {
    kind: "platform-slow",
    at: 0,
    durationMs: SINGLES.length * SPACING_MS,
    victim: SLOW_MS,
};

// The target with index 0 checks grants and the one with index 4 doesn't, see FAULT_MIX_SERVICES.
test.each([
    { platform: "a quick", faults: schedule },
    { platform: "a slow", faults: [slowPlatform, ...schedule] },
])(
    "no single fault with $platform platform causes two owners of a key, double executions or lost assignments",
    async ({ faults }) => {
        expect(faultProblems(await runFaults(faults, { seed: 11 }))).toEqual([]);
    },
    150_000,
);
