import { describe, expect, it } from "@jest/globals";
import type { Execution } from "../../support/executionChecker.js";
import { notRunReports, type FinishedRequest, type SendEnding } from "../caller.js";
import { brokenBounds, deploymentFigures } from "../deploymentFigures.js";
import { figuresTable } from "../figuresTable.js";
import { longestUnavailability } from "../keyUnavailability.js";
import { percentile } from "../percentile.js";

const IDENTIFIER = "01932c07-209c-7000-8000-000000000001";

/** A request whose sends start 100 ms apart and take 10 ms. */
const finished = (endings: readonly SendEnding[], changes: Partial<FinishedRequest> = {}): FinishedRequest => ({
    request: {
        service: "orders",
        method: "POST",
        path: "/orders?call=1",
        key: "customer-1",
        body: undefined,
        idempotent: false,
        long: false,
        deadlineMs: 1_000,
    },
    identifier: IDENTIFIER,
    sends: endings.map((ending, index) => ({
        ending,
        cause: "",
        address: "127.0.0.1:1",
        sentAt: index * 100,
        endedAt: index * 100 + 10,
    })),
    ending: endings[endings.length - 1],
    status: 200,
    answerBytes: 0,
    fault: undefined,
    ...changes,
});

const execution = (changes: Partial<Execution> = {}): Execution => ({
    service: "orders",
    target: "t1",
    boot: "b",
    execution: 1,
    key: "customer-1",
    position: 7,
    identifier: IDENTIFIER,
    term: 1,
    termAt: 105,
    method: "POST",
    path: "/orders?call=1",
    startedAt: 105,
    endedAt: 108,
    effect: "committed",
    ...changes,
});

describe("the figures of a deployment", () => {
    // After a send with an unknown result, a later not-run report applies only to its own send; counting it would
    // give a false violation.
    it("checks reports of not-run up to the first send that may have run", () => {
        expect(notRunReports(finished(["not-run", "unreached", "unknown", "not-run"]))).toEqual([
            { service: "orders", identifier: IDENTIFIER, sentAgainAt: 100 },
        ]);
    });

    it("holds all bounds for a request that ran when it was sent again", () => {
        const figures = deploymentFigures([finished(["not-run", "whole"])], [execution()]);
        expect(brokenBounds("steyrtal", figures)).toEqual([]);
        expect(figures.short.p50Ms).toBe(110);
    });

    // Each of these violations must affect the exit code.
    it.each([
        ["a false not-run", [finished(["not-run", "whole"])], [execution({ startedAt: 5 })]],
        ["a second commit", [finished(["whole"])], [execution(), execution({ execution: 2, startedAt: 120 })]],
        ["two owners", [finished(["whole"])], [execution(), execution({ target: "t2", identifier: "other" })]],
        ["an incomplete answer", [finished(["whole"], { fault: "incomplete" })], [execution()]],
        ["the answer to another request", [finished(["whole"], { fault: "not-own" })], [execution()]],
        ["a run without answers", [finished(["unknown"])], [execution()]],
    ])("reports a violated bound for %s", (_, requests, executions) => {
        expect(brokenBounds("steyrtal", deploymentFigures(requests, executions))).toHaveLength(1);
    });

    it("counts each request once in the table", () => {
        const all = [finished(["whole"]), finished(["cut-off"]), finished(["not-run"]), finished(["broken"])];
        const table = figuresTable([{ name: "steyrtal", figures: deploymentFigures(all, [execution()]) }]).split("\n");
        const value = (label: string) =>
            table
                .find(line => line.startsWith(label))
                ?.slice(label.length)
                .trim();
        expect(value("requests")).toBe("4");
        expect(
            ["  whole", "  answers not whole", "  not run", "  unknown"].map(label =>
                table
                    .find(line => line.startsWith(label))
                    ?.split(/\s+/)
                    .pop(),
            ),
        ).toEqual(["1", "1", "1", "1"]);
        expect(new Set(table.slice(2).map(line => line.length)).size).toBe(1);
    });
});

describe("longestUnavailability", () => {
    const send = (key: string, sentAt: number, endedAt: number, isAnswered: boolean) => ({
        key,
        sentAt,
        endedAt,
        isAnswered,
    });

    // A waiting request doesn't fail, but its key isn't served meanwhile.
    it("lasts from a request to the next answer to any request for the key", () => {
        const sends = [
            send("a", 0, 10, true),
            send("a", 100, 150, false),
            send("a", 120, 900, true),
            send("a", 130, 400, true),
            send("b", 0, 200, true),
        ];
        expect(longestUnavailability(sends)).toEqual({ key: "a", durationMs: 300 });
    });

    it("lasts until the last failure if the key is not answered again", () => {
        expect(longestUnavailability([send("a", 0, 10, true), send("a", 20, 700, false)]).durationMs).toBe(680);
    });
});

describe("percentile", () => {
    it("takes the nearest rank", () => {
        expect([percentile([4, 1, 3, 2], 50), percentile([4, 1, 3, 2], 99), percentile([], 50)]).toEqual([
            2,
            4,
            undefined,
        ]);
    });
});
