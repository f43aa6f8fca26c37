import { spawnSync } from "node:child_process";
import { describe, expect, test } from "@jest/globals";

/** Runs a scenario with `--quick` and returns its report. */
const quickReport = (scenario: string): { scenario: string; seed: number; bounds: Record<string, unknown> } => {
    const { stdout, stderr, status } = spawnSync(
        process.execPath,
        ["dist/bench/main.js", scenario, "--quick", "--seed", "3", "--json"],
        { encoding: "utf8", timeout: 100_000, env: { ...process.env, NODE_OPTIONS: "" } },
    );
    if (status !== 0) {
        throw new Error(`${scenario} ended with ${status}: ${stderr}`);
    }
    return JSON.parse(stdout.trimEnd().split("\n").at(-1) ?? "") as ReturnType<typeof quickReport>;
};

describe("quick runs of the scenarios", () => {
    test.each(["takeover", "churn-of-instances", "bundle", "faults"])(
        "%s guards against a scenario that no longer runs, which would otherwise only show at the next measurement",
        scenario => {
            const report = quickReport(scenario);
            expect(report).toMatchObject({ scenario, seed: 3 });
            expect(Object.keys(report.bounds).length).toBeGreaterThan(1);
        },
        120_000,
    );
});
