import { execSync, spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freePorts } from "./freePorts.js";
import { TableService } from "./tableService.js";
import { waitFor } from "./waitFor.js";

/** Path of the bundle in the build and in the deploy file. */
const DEPLOYED_PATH = "target/gateway.cjs";

const buildCommand = (): string => {
    const { scripts } = JSON.parse(readFileSync("package.json", "utf8")) as { scripts: Record<string, string> };
    return scripts["build:gateway"];
};

/** Command that the deploy file runs. */
const runCommand = (): string => /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1] ?? "";

/**
 * A gateway process as it is deployed: the bundle of the build, run with the command of the deploy file, with a table service
 * of its own.
 */
export class GatewayBundle {
    private child: ChildProcess | undefined;
    port = 0;
    readinessPort = 0;
    /** What the process has printed. */
    output = "";
    /** Exit code or signal, once the process has ended. */
    ended: number | string | undefined;

    private constructor(
        private readonly folder: string,
        readonly bundle: string,
        readonly service: TableService,
    ) {}

    /** Builds the bundle, and starts it with a config and entries of targets by identifier. */
    static async start(config: unknown, entries: Record<string, unknown>): Promise<GatewayBundle> {
        const folder = mkdtempSync(join(tmpdir(), "bundle-"));
        const bundle = join(folder, "gateway.cjs");
        execSync(`npx --no-install ${buildCommand().replace(DEPLOYED_PATH, bundle)}`);
        const service = new TableService();
        await service.start();
        service.rows.put("op", "config", config);
        Object.entries(entries).forEach(([id, entry]) => service.rows.put("servers", id, entry));
        const started = new GatewayBundle(folder, bundle, service);
        await started.run();
        return started;
    }

    private async run(): Promise<void> {
        const [callers, readiness, metrics] = await freePorts(3);
        const settings = join(this.folder, "local.toml");
        writeFileSync(
            settings,
            `node_name = "a1"
zone = "linz"
bounds = ["grace_s=4"]
[listen]
frontend = "127.0.0.1:${callers}"
readiness = "127.0.0.1:${readiness}"
[platform]
address = "127.0.0.1:${this.service.port}"
`,
        );
        const [, ...words] = runCommand().replace(DEPLOYED_PATH, this.bundle).split(" ");
        const args = words.map((word, index) => (words[index - 1] === "--metrics-port" ? String(metrics) : word));
        const child = spawn(process.execPath, args, {
            env: { PATH: process.env.PATH, SASSAFRASLOOM_CONFIG: settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.stdout.on("data", chunk => (this.output += String(chunk)));
        child.stderr.on("data", chunk => (this.output += String(chunk)));
        child.once("exit", (code, signal) => (this.ended = code ?? signal ?? "unknown"));
        this.child = child;
        this.port = callers;
        this.readinessPort = readiness;
        await waitFor(async () => (await this.readiness()) === 200);
    }

    /** Status of the answer to the question whether it is ready; 0 without an answer. */
    async readiness(): Promise<number> {
        const answer = await fetch(`http://127.0.0.1:${this.readinessPort}/readyz`).catch(() => undefined);
        return answer?.status ?? 0;
    }

    /** Resident memory of the process in megabytes, where the operating system states it. */
    residentMb(): number {
        const status = readFileSync(`/proc/${this.child?.pid}/status`, "utf8");
        return Number(/VmRSS:\s*(\d+)/.exec(status)?.[1]) / 1_024;
    }

    /** Highest resident memory of the process so far in megabytes, where the operating system states it. */
    peakMb(): number {
        const status = readFileSync(`/proc/${this.child?.pid}/status`, "utf8");
        return Number(/VmHWM:\s*(\d+)/.exec(status)?.[1]) / 1_024;
    }

    dispose(): void {
        this.child?.kill("SIGKILL");
        this.service.dispose();
        rmSync(this.folder, { recursive: true });
    }
}
