import { dirname, relative } from "node:path";
import { expect, test } from "@jest/globals";
import { findCircle, importGraph } from "../importGraph.js";

/** Folders of the process that those with a narrow task may import; docs/design.md shows them. */
const ALLOWED: Record<string, readonly string[]> = {
    runtime: [],
    observability: ["runtime"],
    bundles: ["observability", "runtime", "store"],
    gateway: ["dispatch", "observability", "runtime", "store"],
};

test("guards against modules that can only be understood together, since they import each other", () => {
    expect(findCircle(importGraph("src"))).toBeUndefined();
});

test("guards against a check that overlooks a circle", () => {
    const circle = new Map([
        ["a.ts", new Set(["b.ts"])],
        ["b.ts", new Set(["c.ts"])],
        ["c.ts", new Set(["b.ts"])],
    ]);
    expect(findCircle(circle)).toEqual(["b.ts", "c.ts", "b.ts"]);
    expect(importGraph("src").get("src/process/entryInstance.ts")).toContain("src/process/daemon.ts");
});

test.each(Object.entries(ALLOWED))(
    "guards against imports of %s that point to what builds on it",
    (folder, allowed) => {
        const wrong = [...importGraph("src")]
            .filter(([module]) => dirname(module) === `src/process/${folder}`)
            .flatMap(([module, imports]) =>
                [...imports]
                    .map(imported => relative("src/process", dirname(imported)))
                    .filter(other => !other.startsWith("..") && other !== folder && !allowed.includes(other))
                    .map(other => `${module} imports ${other || "the process's root"}`),
            );
        expect(wrong).toEqual([]);
    },
);
