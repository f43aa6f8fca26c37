import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "@jest/globals";
import { Command } from "commander";
import { addRetries } from "../retries.js";

const run = (...args: string[]) => {
    const result = { code: 0, out: "", errors: "" };
    const program = new Command();
    addRetries(program, {
        write: text => void (result.out += text),
        writeError: text => void (result.errors += text),
        exitCode: code => void (result.code = code),
    });
    program.parse(["retries", ...args], { from: "user" });
    return result;
};

const line = (second: number, instance: string, message: string, fields: Record<string, unknown> = {}): string =>
    JSON.stringify({ time: new Date(second * 1_000).toISOString(), level: "info", instance, message, ...fields });

const period = (second: number, instance: string, requests: number, retries: Record<string, number>): string => {
    const granted = Object.values(retries).reduce((sum, count) => sum + count, 1);
    const traffic = JSON.stringify({ stock: { requests, retries, granted, refused: 2 } });
    return line(second, instance, `callers: Requests and retries, period ${second}.`, { traffic });
};

const fileWith = (...lines: string[]): string => {
    const file = join(mkdtempSync(join(tmpdir(), "sassafrasloom-")), "instance.log");
    writeFileSync(file, lines.join("\n"));
    return file;
};

test("sums the window with the most retries over all instances, also over restarts, by cause", () => {
    const first = fileWith(
        period(100, "a1", 50, { silent: 3 }),
        period(112, "a1", 40, { silent: 1, lost: 2 }),
        line(114, "a1", "daemon: Started."),
        period(116, "a1", 10, { "not-run": 1 }),
    );
    const second = fileWith(period(113, "a2", 20, { silent: 4 }), period(122, "a2", 30, { failed: 5 }));
    const { out, code } = run("--json", first, second);
    expect(code).toBe(0);
    expect(JSON.parse(out)).toEqual([
        {
            service: "stock",
            fromMs: 113_000,
            requests: 60,
            retries: 10,
            causes: { silent: 4, "not-run": 1, failed: 5 },
            granted: 13,
            refused: 6,
            starts: 1,
        },
    ]);
    expect(run(first, second).out).toMatch(
        /^SERVICE +FROM .*\nstock .* 60 +10 +13 +6 +1 +silent 4, not-run 1, failed 5$/,
    );
});

test("says what to do about logs without counts, an unreadable file and a bad window", () => {
    const empty = fileWith(line(100, "a1", "daemon: Started."));
    expect(run(empty)).toMatchObject({ code: 7, errors: expect.stringContaining("Give the logs of gateways") });
    expect(run(`${empty}-missing`).code).toBe(3);
    expect(run("--window-s", "0", empty).code).toBe(2);
});
