import { readFileSync } from "node:fs";
import { describe, expect, test } from "@jest/globals";
import { diffBundles } from "../diffBundles.js";
import { parseBundle } from "../parseBundle.js";

const service = (name: string, path: string, more = "") =>
    `[service ${name}]\npath = ${path}\ndivided-by = key\ngrants = checked\nslots = 6\n${more}`;
const kind = (name: string, pattern: string, more = "idempotent = true\n") =>
    `[kind ${name}]\nmethods = GET\npattern = ${pattern}\n${more}`;
const bundleOf = (...sections: string[]) => `version = 1\nname = t\nexpires = 2099-01-01\n${sections.join("")}`;

/** Problems of a text as `type section field`. */
const problemsOf = (text: string): string[] =>
    parseBundle("t.ini", text).match(
        () => [],
        problems => problems.map(({ type, section, field }) => [type, section, field].filter(Boolean).join(" ")),
    );

describe("parseBundle", () => {
    test("guards against a report that stops at the first problem or names the wrong line", () => {
        const text = [
            "version = one",
            "name = t",
            "expires = 2027-02-30",
            "colour = red",
            "[service stock]",
            "path = /stock",
            "divided-by = shelf",
            "grants = checked",
            "slots = 6",
            "slots = 7",
            "[service stock]",
            "[kind stock.lookup]",
            "methods = GET, FETCH",
            "pattern = /stock/:item",
            "idempotent",
            "[unfinished",
            "[shelf a]",
        ].join("\n");
        const problems = parseBundle("t.ini", text)._unsafeUnwrapErr();
        expect(problems.map(({ type, line, field }) => `${line} ${type} ${field ?? ""}`.trim())).toEqual([
            "1 bad-value version",
            "3 bad-value expires",
            "4 unknown-field colour",
            "7 bad-value divided-by",
            "10 duplicate-field slots",
            "11 duplicate-section",
            "12 missing-field idempotent",
            "13 bad-value methods",
            "15 malformed-line",
            "16 malformed-line",
            "17 unknown-section",
        ]);
        expect(problems.every(({ file, remedy }) => file === "t.ini" && remedy.length > 0)).toBe(true);
    });

    test.each([
        ["a kind of an unknown service", bundleOf(service("a", "/a"), kind("a.x", "/a"), kind("b.x", "/b")), "kind b.x"],
        ["a service that no request can reach", bundleOf(service("a", "/a")), "service a"],
        ["two services with the same path", bundleOf(service("a", "/a"), service("b", "/a"), kind("a.x", "/a"), kind("b.x", "/a")), "service b path"],
        ["a path reserved for the daemon", bundleOf(service("a", "/healthz"), kind("a.x", "/healthz")), "service a path"],
        ["two kinds with the same paths", bundleOf(service("a", "/a"), kind("a.x", "/a/:p"), kind("a.y", "/a/:q")), "kind a.y pattern"],
        ["crossing patterns", bundleOf(service("a", "/a"), kind("a.x", "/a/:p/c"), kind("a.y", "/a/b/:q")), "kind a.y pattern"],
        ["a pattern outside its service", bundleOf(service("a", "/a"), kind("a.x", "/ab")), "kind a.x pattern"],
        ["a pattern under the path of another service", bundleOf(service("a", "/a"), service("b", "/a/b"), kind("a.x", "/a/b/c"), kind("b.x", "/a/b")), "kind a.x pattern"],
        ["an unused durable record", bundleOf(service("a", "/a", "record = durable\n"), kind("a.x", "/a")), "service a record"],
        ["an identifier window too short to repeat a request", bundleOf(service("a", "/a", "identifier-window-ms = 1500\n"), kind("a.x", "/a", "idempotent = false\n")), "service a identifier-window-ms"],
        ["long kinds that get no slot", bundleOf(service("a", "/a").replace("slots = 6", "slots = 1"), kind("a.x", "/a", "idempotent = true\nlong = true\n")), "service a slots"],
        ["a service's deadline above the cap", bundleOf(service("a", "/a", "deadline-ms = 3000\n").replace("checked", "unchecked"), kind("a.x", "/a")), "service a deadline-ms"],
        ["a kind's deadline above the cap", bundleOf(service("a", "/a").replace("checked", "unchecked"), kind("a.x", "/a", "idempotent = true\ndeadline-ms = 3000\n")), "kind a.x deadline-ms"],
    ])("guards against %s", (_failure, text, place) => {
        expect(problemsOf(text)).toEqual([`conflict ${place}`]);
    }); // prettier-ignore

    test("guards against invalid example bundles", () => {
        const services = ["steyrtal", "kerala"].map(name => {
            const file = `examples/${name}.bundle.ini`;
            const bundle = parseBundle(file, readFileSync(file, "utf8"))._unsafeUnwrap();
            return bundle.services.map(entry => `${entry.name} ${entry.record}`);
        });
        expect(services).toEqual([
            ["drawings memory", "labelling memory", "orders memory", "stock memory"],
            ["balance memory", "ledger memory", "refund memory", "settlement durable"],
        ]);
    });
});

describe("diffBundles", () => {
    test("guards against a change that the diff hides, and against differences in order only", () => {
        const parsed = (text: string) => parseBundle("t", text)._unsafeUnwrap();
        const old = parsed(bundleOf(service("a", "/a"), service("b", "/b"), kind("a.x", "/a"), kind("b.x", "/b")));
        const reordered = parsed(
            bundleOf(kind("b.x", "/b"), service("b", "/b"), "; note\n", kind("a.x", "/a"), service("a", "/a")),
        );
        expect(diffBundles(old, reordered)).toEqual([]);
        const next = parsed(
            bundleOf(service("a", "/a", "record = memory\n"), kind("a.x", "/a", "idempotent = false\n")),
        );
        expect(diffBundles(old, next)).toEqual([
            { type: "removed", section: "service b" },
            { type: "changed", section: "kind a.x", field: "idempotent", before: "true", after: "false" },
            { type: "removed", section: "kind b.x" },
        ]);
    });
});
