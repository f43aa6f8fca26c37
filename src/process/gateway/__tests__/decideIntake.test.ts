import { decideIntake, type Intake, type IntakeInput } from "../decideIntake.js";

const INPUT: IntakeInput = {
    now: 10_000,
    arrivedAt: 10_000,
    leavingAt: undefined,
    drainMs: 2_000,
    rest: undefined,
    inFlight: 0,
};
const rest = (until: number, statedUntil = until) => ({ until, statedUntil });

describe("decideIntake", () => {
    const CASES: [string, Partial<IntakeInput>, Intake][] = [
        ["a refusal without a statement", {}, { type: "open" }],
        ["a leaving target as first choice", { leavingAt: 9_999 }, { type: "last-choice" }],
        ["a request that takes long to reach a leaving target", { leavingAt: 8_400 }, { type: "leaving" }],
        ["a refused request of the drain time", { leavingAt: 8_400, arrivedAt: 9_999 }, { type: "last-choice" }],
        ["requests in a rest", { rest: rest(10_500) }, { type: "resting", forMs: 500 }],
        ["a rest that outlasts its end", { rest: rest(10_000) }, { type: "open" }],
        ["a long rest without a trial", { rest: rest(10_000, 90_000) }, { type: "open" }],
        [
            "two trials at once in a long rest",
            { rest: rest(10_000, 90_000), inFlight: 1 },
            { type: "resting", forMs: 500 },
        ],
        [
            "a trial pause beyond a long rest",
            { rest: rest(10_000, 10_200), inFlight: 1 },
            { type: "resting", forMs: 200 },
        ],
        [
            "requests in the rest of a leaving target",
            { leavingAt: 9_000, rest: rest(11_000) },
            { type: "resting", forMs: 1_000 },
        ],
        ["a rest that hides the end of the drain time", { leavingAt: 1, rest: rest(11_000) }, { type: "leaving" }],
        [
            "a leaving target as first choice after its rest",
            { leavingAt: 9_000, rest: rest(9_500) },
            { type: "last-choice" },
        ],
        ["an evacuated target as first choice", { evacuation: { sendsUntil: 10_001 } }, { type: "last-choice" }],
        ["requests after the time for an evacuation", { evacuation: { sendsUntil: 10_000 } }, { type: "evacuated" }],
        [
            "a request that arrived before that time and is sent after it",
            { evacuation: { sendsUntil: 10_000 }, arrivedAt: 9_000 },
            { type: "evacuated" },
        ],
        [
            "a rest that hides the end of an evacuation",
            { evacuation: { sendsUntil: 10_000 }, rest: rest(11_000) },
            { type: "evacuated" },
        ],
        [
            "a drain time that is prolonged by an evacuation",
            { evacuation: { sendsUntil: 13_000 }, leavingAt: 8_400 },
            { type: "leaving" },
        ],
    ];

    it.each(CASES)("guards against %s", (_, change, intake) => {
        expect(decideIntake({ ...INPUT, ...change })).toEqual(intake);
    });
});
