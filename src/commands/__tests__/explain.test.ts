import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "@jest/globals";
import { Command } from "commander";
import { addExplain } from "../explain.js";

const run = (...args: string[]) => {
    const result = { code: 0, out: "", errors: "" };
    const program = new Command();
    addExplain(program, {
        write: text => void (result.out += text),
        writeError: text => void (result.errors += text),
        exitCode: code => void (result.code = code),
    });
    program.parse(["explain", ...args], { from: "user" });
    return result;
};

const line = (second: number, instance: string, message: string, fields: Record<string, unknown> = {}): string =>
    JSON.stringify({
        time: new Date(second * 1_000).toISOString(),
        level: "info",
        instance,
        message,
        ...fields,
    });

const logs = (): [string, string] => {
    const directory = mkdtempSync(join(tmpdir(), "sassafrasloom-"));
    const [first, second] = [join(directory, "a1.log"), join(directory, "a2.log")];
    writeFileSync(
        first,
        [
            line(100, "a1", "daemon: Started."),
            "not a line of JSON",
            line(112, "a1", "membership: Target t1 has left.", { cause: "entry gone" }),
            line(113, "a1", "membership: Target t2 has left."),
            `edge-a1 | ${line(120, "a1", "callers: Request r7 ended: no-owner.", { request: "r7", key: 50, service: "stock", targets: "t1" })}`,
            line(120, "a1", "callers: Request r8 ended: no-owner.", { request: "r8", key: 50, service: "stock" }),
            line(121, "a1", "membership: Target t1 is usable."),
            line(122, "a1", "ownership: Keys 50 to 51 of service stock have the new owner t4."),
        ].join("\n"),
    );
    writeFileSync(
        second,
        [
            line(115, "a2", "ownership: Keys 40 to 60 of service stock have the new owner t3.", { fence: 9 }),
            line(115, "a2", "ownership: Keys 61 to 80 of service stock have the new owner t3.", { fence: 10 }),
            line(116, "a2", "platform: The store doesn't answer."),
            line(111, "a2", "membership: Target t1 has left.", { cause: "entry gone" }),
        ].join("\n"),
    );
    return [first, second];
};

test("guards against missing lines of other instances and against lines about other requests or targets", () => {
    const { code, out } = run("r7", ...logs(), "--json");
    expect(code).toBe(0);
    expect((JSON.parse(out) as { message: string }[]).map(({ message }) => message)).toEqual([
        "membership: Target t1 has left.",
        "ownership: Keys 40 to 60 of service stock have the new owner t3.",
        "callers: Request r7 ended: no-owner.",
        "ownership: Keys 50 to 51 of service stock have the new owner t4.",
    ]);
});

test("guards against an unknown request or an unreadable file that ends with exit code 0", () => {
    const files = logs();
    expect(run("r9", ...files)).toMatchObject({ code: 7, out: "" });
    expect(run("r7", "/nonexistent").code).toBe(3);
    expect(run("r7", ...files).out).toContain("key: 50");
});

test("guards against missing lines about targets that weren't used because they rested or left", () => {
    const file = join(mkdtempSync(join(tmpdir(), "sassafrasloom-")), "a1.log");
    const about = ["t1 takes no requests from this instance for a while", "t2 states that it leaves", "t3 is usable"];
    const request = { request: "r7", service: "stock", targets: "", resting: "t1,t5", leaving: "t2" };
    const lines = about.map((text, index) => line(112 + index, "a1", `dispatch: Target ${text}.`));
    writeFileSync(file, [...lines, line(120, "a1", "callers: Request r7 ended: overloaded.", request)].join("\n"));
    const { out } = run("r7", file, "--json");
    expect((JSON.parse(out) as { message: string }[]).map(({ message }) => message)).toEqual([
        `dispatch: Target ${about[0]}.`,
        `dispatch: Target ${about[1]}.`,
        "callers: Request r7 ended: overloaded.",
    ]);
});
