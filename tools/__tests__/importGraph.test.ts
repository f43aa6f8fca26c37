import { dirname, relative } from "node:path";
import { expect, test } from "@jest/globals";
import { findCycle, importGraph } from "../importGraph.js";

/** Folders of src/process that the folders with restricted dependencies may import; see docs/design.md. */
const ALLOWED: Record<string, readonly string[]> = {
    runtime: [],
    observability: ["runtime"],
    bundles: ["observability", "runtime", "store"],
    gateway: ["dispatch", "observability", "runtime", "store"],
};

test("guards against import cycles, whose modules can only be understood together", () => {
    expect(findCycle(importGraph("src"))).toBeUndefined();
});

test("guards against a check that misses an import cycle", () => {
    const cycle = new Map([
        ["a.ts", new Set(["b.ts"])],
        ["b.ts", new Set(["c.ts"])],
        ["c.ts", new Set(["b.ts"])],
    ]);
    expect(findCycle(cycle)).toEqual(["b.ts", "c.ts", "b.ts"]);
    expect(importGraph("src").get("src/process/entryInstance.ts")).toContain("src/process/daemon.ts");
});

test.each(Object.entries(ALLOWED))(
    "guards against imports in src/process/%s of folders that build on it",
    (folder, allowed) => {
        const wrong = [...importGraph("src")]
            .filter(([module]) => dirname(module) === `src/process/${folder}`)
            .flatMap(([module, imports]) =>
                [...imports]
                    .map(imported => relative("src/process", dirname(imported)))
                    .filter(other => !other.startsWith("..") && other !== folder && !allowed.includes(other))
                    .map(other => `${module} imports ${other || "the root of src/process"}`),
            );
        expect(wrong).toEqual([]);
    },
);
