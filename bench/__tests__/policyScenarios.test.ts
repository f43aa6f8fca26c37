import { execFile } from "node:child_process";
import { existsSync } from "node:fs";
import { promisify } from "node:util";
import { describe, expect, test } from "@jest/globals";
import { parseMetrics } from "../support/dispatcherMetrics.js";
import { imbalanceOf, movedShare } from "../support/keyDistribution.js";
import { RING_SIZE } from "../../src/process/ownership/sliceMap.js";
import type { Slice, TargetRow } from "../../src/process/store/rows.js";

const rowOf = (target: string, slices: Slice[]): TargetRow => ({
    service: "stock",
    target,
    domain: "d1",
    address: "127.0.0.1:1",
    slices,
    dispatcher: "",
    term: 1,
    state: "serving",
    attempt: "",
});

describe("policy scenarios", () => {
    test.each(["head-of-line", "crest", "hot-key", "move"])(
        "%s guards against a scenario that no longer runs to its end or reports too few bounds",
        async name => {
            expect(existsSync("dist/bench/main.js")).toBe(true);
            const { stdout } = await promisify(execFile)(
                process.execPath,
                ["dist/bench/main.js", name, "--seed", "1", "--quick", "--json"],
                { timeout: 110_000 },
            );
            const report = JSON.parse(stdout.trim().split("\n").at(-1) ?? "") as Record<string, unknown>;
            expect(report.scenario).toBe(name);
            expect(Object.keys(report.bounds as object).length).toBeGreaterThanOrEqual(4);
        },
        120_000,
    );

    test("guards against moves that count twice in the moved share, and idle targets missing from the mean load", () => {
        const half = RING_SIZE / 2;
        const before = [rowOf("a", [[0, RING_SIZE]]), rowOf("b", [])];
        const after = [rowOf("a", [[0, half]]), rowOf("b", [[half, RING_SIZE]])];
        expect(movedShare(before, after)).toBeCloseTo(0.5);
        expect(imbalanceOf(before, "stock", new Map([["key", 1]])).ratio).toBeCloseTo(2);
    });

    test("guards against parsed metrics without their labels or samples, which would hide unavailability", () => {
        const page = '# HELP x y\nx{service="stock",quantile="0.99"} 0.5\ny 2\n';
        expect(parseMetrics(page)).toEqual([
            { name: "x", labels: { service: "stock", quantile: "0.99" }, value: 0.5 },
            { name: "y", labels: {}, value: 2 },
        ]);
    });
});
