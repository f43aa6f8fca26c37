import { describe, expect, it } from "@jest/globals";
import { formatInputProblem } from "../../../src/process/settings/inputProblem.js";
import { parseRequestFile } from "../requestFile.js";

const SERVICES = ["stock", "orders"];
const VALID = { service: "stock", method: "GET", path: "/stock/tray-30", key: "tray-30", idempotent: true };
const parse = (...lines: unknown[]) =>
    parseRequestFile(
        "requests.jsonl",
        lines.map(line => (typeof line === "string" ? line : JSON.stringify(line))).join("\n"),
        SERVICES,
    );

describe("parseRequestFile", () => {
    it("counts empty lines in line numbers, and sends an object as JSON", () => {
        const order = { ...VALID, service: "orders", method: "POST", body: { pieces: 4 }, idempotent: false };
        const requests = parse("", VALID, "  ", order)._unsafeUnwrap();
        expect(requests.map(({ line }) => line)).toEqual([2, 4]);
        expect(requests[1].request).toMatchObject({ body: '{"pieces":4}', key: "tray-30", idempotent: false });
    });

    // If only the first problem were reported, each bad line would need another run of the demo.
    it("reports all problems of all lines with line, field and remedy", () => {
        const problems = parse(
            "{",
            VALID,
            { ...VALID, method: "FETCH", path: "stock", colour: "red" },
            { ...VALID, service: "shoes", idempotent: undefined },
            [],
            { ...VALID, key: "" },
        )._unsafeUnwrapErr();
        expect(problems.map(({ line, field, type }) => [line, field, type])).toEqual([
            [1, undefined, "malformed-line"],
            [3, "method", "bad-value"],
            [3, "path", "bad-value"],
            [3, "colour", "unknown-field"],
            [4, "idempotent", "missing-field"],
            [4, "service", "bad-value"],
            [5, undefined, "malformed-line"],
            [6, "key", "bad-value"],
        ]);
        expect(formatInputProblem(problems[5])).toBe(
            'requests.jsonl:4: service = "shoes": Name one of the services stock, orders.',
        );
    });

    // Otherwise a run without requests would end successfully.
    it("refuses a file without requests", () => {
        expect(parse("", " ")._unsafeUnwrapErr()).toHaveLength(1);
    });
});
