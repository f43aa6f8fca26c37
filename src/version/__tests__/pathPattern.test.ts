import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import type { RequestKind } from "../bundle.js";
import { normalizeBundle } from "../normalizeBundle.js";
import { pathSegments, patternProblem, relatePatterns, type PatternRelation } from "../pathPattern.js";
import { RequestKinds } from "../requestKinds.js";
import { parseBundle } from "../parseBundle.js";

const segment = fc.constantFrom("a", "b", ":x");
const pattern = fc
    .tuple(fc.array(segment, { maxLength: 3 }), fc.boolean())
    .map(([segments, rest]) => `/${[...segments, ...(rest ? ["*"] : [])].join("/")}`);

/** All paths over a small alphabet; `c` stands for text that no pattern names. */
const PATHS = [0, 1, 2, 3, 4].reduce<string[][]>(
    (paths, length) => [
        ...paths,
        ...(length === 0 ? [[]] : paths.filter(p => p.length === length - 1)).flatMap(path =>
            length === 0 ? [path] : ["a", "b", "c"].map(text => [...path, text]),
        ),
    ],
    [],
);

const matches = (text: string, path: readonly string[]): boolean => {
    const segments = pathSegments(text);
    const rest = segments[segments.length - 1] === "*";
    const fixed = rest ? segments.slice(0, -1) : segments;
    return (
        (rest ? path.length >= fixed.length : path.length === fixed.length) &&
        fixed.every((part, index) => part.startsWith(":") || part === path[index])
    );
};

const relationBySearch = (first: string, second: string): PatternRelation => {
    const both = PATHS.filter(path => matches(first, path) && matches(second, path)).length;
    const inFirst = PATHS.filter(path => matches(first, path)).length;
    const inSecond = PATHS.filter(path => matches(second, path)).length;
    if (both === 0) {
        return "disjoint";
    }
    if (both < inFirst) {
        return both < inSecond ? "crossing" : "contains";
    }
    return both < inSecond ? "within" : "equal";
};

describe("relatePatterns", () => {
    test("guards against overlapping patterns that are accepted and disjoint patterns that are rejected", () => {
        fc.assert(
            fc.property(pattern, pattern, (first, second) => {
                expect([first, second, relatePatterns(first, second)]).toEqual([
                    first,
                    second,
                    relationBySearch(first, second),
                ]);
            }),
            { seed: 3, numRuns: 1_000 },
        );
    });
});

describe("normalizeBundle", () => {
    test("guards against a wide pattern that matches before a narrower one", () => {
        const text =
            "version = 1\nname = t\nexpires = 2099-01-01\n[service s]\npath = /s\ndivided-by = none\ngrants = checked\n" +
            "slots = 2\n" +
            ["/s/*", "/s/:id", "/s/latest"]
                .map((path, i) => `[kind s.k${i}]\nmethods = GET\npattern = ${path}\nidempotent = true\n`)
                .join("");
        const bundle = parseBundle("t", text)._unsafeUnwrap();
        const kindOf = (path: string) => {
            const match = new RequestKinds(bundle).match("GET", path, undefined);
            return match.type === "matched" ? match.kind.name : match.type;
        };
        expect(["/s/latest", "/s/7", "/s/7/8"].map(kindOf)).toEqual(["s.k2", "s.k1", "s.k0"]);
        const reversed = { ...bundle, kinds: [...bundle.kinds].reverse() as RequestKind[] };
        expect(normalizeBundle(reversed)).toEqual(bundle);
    });
});

describe("patternProblem", () => {
    test("guards against patterns that are accepted but can never match as written", () => {
        const bad = ["/a//b", "/a/", "/a/*/b", "/a/b*", "/a/:", "/a/x:y", "/a/:x/:x", "/a?b", "/a/../b"];
        expect(bad.filter(text => patternProblem(text) === undefined)).toEqual([]);
        expect(["/", "/a/:x/*", "/a.b/c-d"].map(patternProblem)).toEqual([undefined, undefined, undefined]);
    });
});
