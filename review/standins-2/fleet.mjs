// Starts gateways with the command of the deploy file, on loopback addresses of their own, and sends requests to them.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as send, get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

const runWords = () => /^run = "([^"]*)"/m.exec(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"))[1].split(" ");

const isFree = (host, port) =>
    new Promise(resolve => {
        const probe = createServer();
        probe.once("error", () => resolve(false));
        probe.listen(port, host, () => probe.close(() => resolve(true)));
    });

/** Routes: [name, type, service, timeout_ms, target_latency_ms, priority, max_attempts, backends]. */
export const configOf = (version, routes, services, limits = {}) => ({
    version: `r${version}`,
    routes: {
        columns: [
            ...["name", "host", "prefix", "route_type", "timeout_ms", "target_latency_ms"],
            ...["priority", "service", "max_attempts", "backends"],
        ],
        rows: routes.map(([name, type, service, timeoutMs, latencyMs, priority = 1, attempts = 3, backends = null]) => [
            ...[name, "shop.example", `/${name}/`, type, timeoutMs, latencyMs],
            ...[priority, service, attempts, backends],
        ]),
    },
    services: {
        columns: ["name", "health_path", "max_conns", "sharded"],
        rows: services.map(([name, sharded = null]) => [name, "/healthz", 130, sharded]),
    },
    limits: {
        ...{ max_header_bytes: 16384, max_body_bytes: 1048576, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
        ...limits,
    },
});

export class Fleet {
    members = [];
    folder = mkdtempSync(join(tmpdir(), "review-"));
    lines = [];
    startedAt = performance.now();
    answers = [];

    /** @param zones zone of each gateway */
    constructor({ storeAddress, zones, bounds = [], heartbeatMs = 870, net = 1 + Math.floor(Math.random() * 200) }) {
        Object.assign(this, { storeAddress, zones, bounds, heartbeatMs, net });
    }

    now() {
        return Math.round(performance.now() - this.startedAt);
    }

    note(text) {
        this.lines.push(`${String(this.now()).padStart(7)} ${text}`);
    }

    async start() {
        // Also a script that is ended early ends its gateways.
        process.once("exit", () => this.members.forEach(({ child }) => child.kill("SIGKILL")));
        ["SIGTERM", "SIGINT"].forEach(signal => process.once(signal, () => process.exit(2)));
        const hosts = this.zones.map((_, index) => `127.77.${this.net}.${index + 1}`);
        for (;;) {
            this.port = 20_000 + Math.floor(Math.random() * 20_000);
            const free = await Promise.all(
                hosts.flatMap(host => [this.port, this.port + 1, this.port + 2, 9464].map(port => isFree(host, port))),
            );
            if (free.every(Boolean)) {
                break;
            }
            this.net = 1 + Math.floor(Math.random() * 200);
        }
        this.zones.forEach((zone, index) => {
            const member = { name: `edge-${zone}-${index + 1}`, zone, host: hosts[index], output: "" };
            this.members.push(member);
            this.write(member, true);
            this.spawn(member);
        });
        await Promise.all(this.members.map(member => this.ready(member)));
        this.members.forEach(member => this.write(member, false));
    }

    write(member, isFirst) {
        const zones = [...new Set(this.zones)].map(zone => `${zone} = "region"`).join("\n");
        member.settings = join(this.folder, `${member.name}.toml`);
        const bounds = [
            ...["stable_window_ms=3000", "drain_ms=2000", "grace_s=6", "config_apply_ms=2000", "hold_max_ms=10000"],
            ...["retry_budget_ratio=0.2", "retry_window_s=10", "retry_slack=64", "thaw_ms=300"],
            ...this.bounds,
        ];
        writeFileSync(
            member.settings,
            `node_name = "${member.name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "${member.host}"
zone = "${member.zone}"
region = "region"
port_range = [${this.port + 2},${this.port + 12}]
bootstrap = ${isFirst}
heartbeat_ms = ${this.heartbeatMs}
bounds = ${JSON.stringify(bounds)}
[zones]
${zones}
[listen]
frontend = "${member.host}:${this.port}"
readiness = "${member.host}:${this.port + 1}"
[limits]
memory_mb = 350
max_fds = 4100
[platform]
address = "${member.storeAddress ?? this.storeAddress}"
form = "table"
`,
        );
    }

    spawn(member) {
        const [program, ...args] = runWords();
        const child = spawn(program, args, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, SASSAFRASLOOM_CONFIG: member.settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        member.child = child;
        member.exit = undefined;
        child.stdout.on("data", chunk => (member.output += String(chunk)));
        child.stderr.on("data", chunk => (member.output += String(chunk)));
        child.once("exit", (code, signal) => {
            member.exit = { code, signal };
            this.note(`${member.name} ended with ${signal ?? code}`);
        });
        member.ended = new Promise(resolve => child.once("exit", resolve));
        return child;
    }

    async ready(member, withinMs = 15_000) {
        for (const until = performance.now() + withinMs; performance.now() < until; await pause(100)) {
            const status = await new Promise(resolve => {
                const asked = get(
                    { host: member.host, port: this.port + 1, path: "/readyz", agent: false },
                    response => {
                        response.resume();
                        resolve(response.statusCode);
                    },
                );
                asked.on("error", () => resolve(0));
                asked.setTimeout(500, () => asked.destroy());
            });
            if (status === 200) {
                return true;
            }
        }
        return false;
    }

    signal(member, name) {
        this.note(`${name} to ${member.name}`);
        member.child.kill(name);
    }

    async restart(member, signal = "SIGKILL", downMs = 500) {
        this.signal(member, signal);
        await member.ended;
        await pause(downMs);
        this.write(member, false);
        this.spawn(member);
        this.note(`${member.name} starts again`);
    }

    /** Sends one client attempt. Resolves to its answer; status 0 if the connection ended without a complete one. */
    request(
        member,
        { method = "GET", path, key, body = "", deadlineMs = 3_000, headers = {}, agent = this.agent, kind },
    ) {
        const id = randomBytes(8).toString("hex");
        const record = { id, method, path, body, key, kind, member: member.name, sentAt: this.now(), status: 0 };
        this.answers.push(record);
        return new Promise(resolve => {
            let isOver = false;
            const end = () => {
                if (!isOver) {
                    isOver = true;
                    record.endedAt = this.now();
                    resolve(record);
                }
            };
            const sent = send(
                {
                    ...{ host: member.host, port: this.port, method, path, agent },
                    headers: {
                        ...{ host: "shop.example", "x-request-id": id, "x-deadline-ms": String(deadlineMs) },
                        ...(key === undefined ? {} : { "x-shard-key": String(key) }),
                        ...(body === "" ? {} : { "content-length": String(Buffer.byteLength(body)) }),
                        ...headers,
                    },
                },
                response => {
                    const chunks = [];
                    response.on("data", chunk => chunks.push(chunk));
                    response.on("error", end);
                    response.on("end", () => {
                        if (response.complete) {
                            record.status = response.statusCode;
                            record.headers = response.headers;
                            record.content = Buffer.concat(chunks).toString("latin1");
                        }
                        end();
                    });
                    response.on("close", end);
                },
            );
            sent.on("error", error => {
                record.error = error.code ?? error.message;
                end();
            });
            sent.setTimeout(deadlineMs + 500, () => sent.destroy(new Error("client gives up")));
            sent.end(body);
        });
    }

    agent = new Agent({ keepAlive: true, maxSockets: 200 });

    logLines(member) {
        return member.output.split("\n").filter(Boolean);
    }

    async dispose() {
        this.agent.destroy();
        this.members.forEach(({ child }) => {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        });
        await Promise.all(this.members.map(({ ended }) => ended));
        rmSync(this.folder, { recursive: true, force: true });
    }
}
