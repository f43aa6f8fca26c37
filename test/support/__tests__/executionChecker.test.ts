import { describe, expect, test } from "@jest/globals";
import { doubleCommits, executionsOf, falseNotRuns, ownershipViolations } from "../executionChecker.js";
import type { ExecutionEvent } from "../executionLog.js";

let nextExecution = 0;

/** The events of an execution that starts at `from` and ends at `to`, if defined, by a commit or an abort. */
const run = (
    target: string,
    from: number,
    to: number | undefined,
    facts: { term?: number; position?: number; identifier?: string; key?: string } = {},
    end: "commit" | "abandon" = "commit",
): ExecutionEvent[] => {
    const common = { service: "stock", target, boot: `boot-${target}`, execution: ++nextExecution };
    const started = { ...common, type: "start" as const, at: from, method: "POST", path: "/", ...facts };
    return to === undefined ? [started] : [started, { ...common, type: end, at: to, reason: "deadline-passed" }];
};

const typesOf = (events: ExecutionEvent[][]) =>
    ownershipViolations(executionsOf(events.flat())).map(({ type }) => type);

describe("ownershipViolations", () => {
    test("guards against missing an overlap of two owners if the first execution started long before the last one", () => {
        const overlapping = [
            run("a", 0, 100, { position: 7, term: 1 }),
            run("a", 10, 20, { position: 7, term: 1 }),
            run("b", 50, 110, { position: 7, term: 1 }),
        ];
        expect(typesOf(overlapping)).toEqual(["two-owners"]);
    });

    test("guards against missing a lower term that commits after a higher one", () => {
        expect(
            typesOf([run("b", 0, 10, { position: 7, term: 2 }), run("a", 11, 20, { position: 7, term: 1 })]),
        ).toEqual(["term-fell"]);
        expect(typesOf([run("a", 0, 10, { key: "k", term: 2 }), run("a", 11, 20, { key: "k", term: 1 })])).toEqual([
            "term-fell",
        ]);
    });

    test("guards against missing an execution that spans another owner's term and commits under the newest one", () => {
        const [started, committed] = run("a", 0, 100, { position: 7, term: 1 });
        const returned = [started, { ...committed, term: 3 } as ExecutionEvent];
        expect(typesOf([returned, run("b", 40, 60, { position: 7, term: 2 })])).toEqual(["two-owners"]);
    });

    test("guards against reporting a correct handover, other positions or executions without effect", () => {
        const clean = [
            run("a", 0, 10, { position: 7, term: 1 }),
            run("b", 10, 20, { position: 7, term: 2 }),
            run("a", 12, 15, { position: 8, term: 1 }),
            run("a", 12, 30, { position: 7, term: 1 }, "abandon"),
            run("a", 13, undefined, { position: 7, term: 1 }),
            run("a", 0, 30),
            run("b", 0, 30),
        ];
        expect(typesOf(clean)).toEqual([]);
    });
});

describe("doubleCommits", () => {
    test("guards against missing a second commit and against counting an abandoned or idempotent one", () => {
        const events = [
            run("a", 0, 10, { identifier: "i1" }),
            run("b", 20, 30, { identifier: "i1" }),
            run("a", 0, 10, { identifier: "i2" }),
            run("a", 20, 30, { identifier: "i2" }, "abandon"),
            run("a", 0, 10, { identifier: "i1", key: "other" }),
        ];
        const executions = executionsOf(events.flat());
        const found = doubleCommits(executions, () => true);
        expect(found.map(({ executions: [first] }) => [first.identifier, first.key])).toEqual([["i1", undefined]]);
        expect(doubleCommits(executions, () => false)).toEqual([]);
    });
});

describe("falseNotRuns", () => {
    test("guards against missing a false not-run report, and against counting an execution of a later send", () => {
        const executions = executionsOf(
            [run("a", 5, undefined, { identifier: "i1" }), run("a", 20, 30, { identifier: "i2" })].flat(),
        );
        const reports = [
            { service: "stock", identifier: "i1" },
            { service: "stock", identifier: "i2", sentAgainAt: 15 },
            { service: "stock", identifier: "i3" },
            { service: "orders", identifier: "i2" },
        ];
        const found = falseNotRuns(executions, reports);
        expect(found.map(({ executions: [first] }) => first.identifier)).toEqual(["i1"]);
    });
});

describe("executionsOf", () => {
    test("guards against ignoring an end whose start is missing from the log", () => {
        expect(() => executionsOf(run("a", 0, 10).slice(1))).toThrow("no start");
    });
});
