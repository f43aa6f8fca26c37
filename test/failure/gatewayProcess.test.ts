import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, expect, test } from "@jest/globals";
import { readLogLines, type LogLine } from "../../src/commands/explainRequest.js";
import { freePorts } from "../support/freePorts.js";
import { waitFor } from "../support/waitFor.js";

const PROGRAM = "dist/platform/main.js";

let child: ChildProcess | undefined;

afterEach(() => {
    child?.kill("SIGKILL");
    child = undefined;
});

const settingsText = (callers: number, readiness: number, store: number, graceS = 4): string => `node_name = "a1"
zone = "linz"
bounds = ["grace_s=${graceS}"]
[listen]
frontend = "127.0.0.1:${callers}"
readiness = "127.0.0.1:${readiness}"
[platform]
address = "127.0.0.1:${store}"
`;

const start = async () => {
    const [callers, readiness, store, metrics] = await freePorts(4);
    const file = join(mkdtempSync(join(tmpdir(), "gateway-")), "local.toml");
    const write = (text: string) => writeFileSync(file, text);
    write(settingsText(callers, readiness, store));
    const started = spawn(process.execPath, [PROGRAM, "--metrics-port", String(metrics)], {
        env: { ...process.env, SASSAFRASLOOM_CONFIG: file },
        stdio: ["ignore", "pipe", "inherit"],
    });
    child = started;
    let output = "";
    started.stdout.on("data", chunk => (output += String(chunk)));
    const exited = new Promise<number | null>(resolve => started.once("exit", resolve));
    const lines = (): LogLine[] => readLogLines(output);
    const has = (text: string): boolean => lines().some(({ message }) => message.includes(text));
    await waitFor(() => has("Started."));
    const signal = (name: NodeJS.Signals) => started.kill(name);
    return { ports: { callers, readiness, store, metrics }, write, lines, has, signal, exited };
};

test("guards against a start without the platform that ends the process or accepts requests that it can't route", async () => {
    const { ports, has } = await start();
    const answer = await fetch(`http://127.0.0.1:${ports.callers}/read/1`);
    expect(answer.status).toBe(503);
    expect(Number(answer.headers.get("retry-after"))).toBeGreaterThan(0);
    expect((await fetch(`http://127.0.0.1:${ports.readiness}/readyz`)).status).toBe(503);
    const metrics = await (await fetch(`http://127.0.0.1:${ports.metrics}/metrics`)).text();
    expect(metrics).toContain('sassafrasloom_refusals_total{service="",reason="no-bundle"} 1');
    expect(has("The store doesn't answer.")).toBe(true);
});

test("guards against invalid settings that end a running process, and against changes that aren't logged", async () => {
    const { ports, write, lines, has, signal, exited } = await start();
    write("node_name = = 1");
    signal("SIGHUP");
    await waitFor(() => has("The settings can't be used"));
    write(settingsText(ports.callers, ports.readiness, ports.store, 9));
    signal("SIGHUP");
    await waitFor(() => has("The settings were read"));
    expect(lines().find(({ message }) => message.includes("were read"))?.changed).toBe("graceMs");
    expect((await fetch(`http://127.0.0.1:${ports.callers}/read/1`)).status).toBe(503);
    signal("SIGTERM");
    expect(await exited).toBe(0);
    expect(has("Stopped.")).toBe(true);
});

test("guards against a second signal that ends a stopping process before it has answered its requests", async () => {
    const { has, signal, exited } = await start();
    signal("SIGTERM");
    await waitFor(() => has("Stopping."));
    signal("SIGTERM");
    signal("SIGINT");
    expect(await exited).toBe(0);
    expect(has("Stopped.")).toBe(true);
});
