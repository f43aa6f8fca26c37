// Stand-ins for the platform's store, the upstreams and the clients, as the users' pages describe them, and a starter
// for the gateway's processes. All addresses are loopback addresses.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = resolve(fileURLToPath(new URL("../..", import.meta.url)));
export const KEY_COUNT = 65_536;
const started = performance.now();
export const now = () => performance.now() - started;
export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Waits until `check` holds; `false` if it doesn't in time. */
export const waitFor = async (check, limitMs = 20_000) => {
    const until = now() + limitMs;
    while (now() < until) {
        if (await check()) {
            return true;
        }
        await pause(20);
    }
    return false;
};

/** The lines of `record.txt`: what was sent, answered and run, with milliseconds since the start. */
export class Recording {
    constructor(path) {
        this.path = path;
        writeFileSync(path, "");
    }

    note(text) {
        appendFileSync(this.path, `${now().toFixed(1).padStart(9)} ${text}\n`);
    }
}

/** Ports that nobody uses at present. */
export const freePorts = async (count, host = "127.0.0.1") => {
    const servers = await Promise.all(
        Array.from({ length: count }, async () => {
            const server = net.createServer();
            await new Promise(resolve => server.listen(0, host, resolve));
            return server;
        }),
    );
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};

const readBody = request =>
    new Promise((resolve, reject) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => resolve(Buffer.concat(chunks)));
        request.on("error", reject);
    });

/** The platform's store: rows, conditional transactions and a feed of changes. */
export class Store {
    tables = new Map();
    version = 0;
    waiting = new Set();
    /** Called with each call; a string that it returns makes the store treat the call otherwise ("silent", "busy"). */
    trouble = () => undefined;

    async start() {
        this.server = http.createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    rowsOf(table) {
        if (!this.tables.has(table)) {
            this.tables.set(table, new Map());
        }
        return this.tables.get(table);
    }

    put(table, key, value) {
        this.version++;
        const content = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
        this.rowsOf(table).set(key, { table, part: "", key, value: content.toString("base64"), ver: this.version });
        this.changed();
    }

    drop(table, key) {
        this.version++;
        this.rowsOf(table).set(key, { table, part: "", key, deleted: true, ver: this.version });
        this.changed();
    }

    read(table, key) {
        const row = this.rowsOf(table).get(key);
        return row === undefined || row.deleted === true ? undefined : Buffer.from(row.value, "base64");
    }

    changed() {
        const waiting = [...this.waiting];
        this.waiting.clear();
        waiting.forEach(wake => wake());
    }

    reply(response, status, content) {
        const body = JSON.stringify({ ver: this.version, now_ms: Math.round(now()), ...content });
        response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
        response.end(body);
    }

    async handle(request, response) {
        const url = new URL(request.url, "http://store");
        const query = Object.fromEntries(url.searchParams);
        const body = await readBody(request);
        const trouble = this.trouble(url.pathname, request, body);
        if (trouble === "silent") {
            return;
        }
        if (trouble === "busy") {
            this.reply(response, 503, {});
            return;
        }
        await pause(4);
        switch (url.pathname) {
            case "/rows-tx": {
                const { expected = [], puts = [], delete: deletes = [] } = JSON.parse(body.toString());
                const current = expected.map(({ table, key }) => this.rowsOf(table).get(key));
                const holds = expected.every(({ ver }, index) => {
                    const row = current[index];
                    return (row === undefined || row.deleted === true ? 0 : row.ver) === ver;
                });
                if (!holds) {
                    this.reply(response, 412, { rows: current.filter(row => row !== undefined && !row.deleted) });
                    return;
                }
                this.version++;
                for (const { table, key, value } of puts) {
                    this.rowsOf(table).set(key, { table, part: "", key, value, ver: this.version });
                }
                for (const { table, key } of deletes) {
                    this.rowsOf(table).set(key, { table, part: "", key, deleted: true, ver: this.version });
                }
                this.reply(response, 200, {});
                this.changed();
                return;
            }
            case "/rows-get": {
                const { table, from = "", to, limit = "500" } = query;
                const rows = [...this.rowsOf(table).values()]
                    .filter(({ key, deleted }) => deleted !== true && key >= from && (to === undefined || key < to))
                    .sort((a, b) => (a.key < b.key ? -1 : 1));
                const count = Math.min(500, Number(limit));
                this.reply(response, 200, { rows: rows.slice(0, count), more_pages: rows.length > count });
                return;
            }
            case "/rows-feed": {
                const after = Number(query.after);
                const until = now() + Number(query.wait_ms ?? 0);
                const changes = () =>
                    [...this.rowsOf(query.table).values()]
                        .filter(({ ver }) => ver > after)
                        .sort((a, b) => a.ver - b.ver);
                while (changes().length === 0 && now() < until && !response.destroyed) {
                    await new Promise(resolve => {
                        this.waiting.add(resolve);
                        setTimeout(resolve, Math.max(1, until - now()));
                    });
                }
                this.reply(response, 200, { rows: changes() });
                return;
            }
            default:
                this.reply(response, 404, {});
        }
    }

    stop() {
        this.server.close();
        this.server.closeAllConnections();
    }
}

/** An upstream. It checks in at the store, takes grants, and runs requests for the keys that it holds. */
export class Upstream {
    /** Epoch number seen and end of the hold for each key. */
    fences = new Float64Array(KEY_COUNT);
    holds = new Float64Array(KEY_COUNT);
    running = 0;
    state = "ready";
    seq = 0;
    /** Runs of requests: `{ id, method, url, body, at }`. */
    runs = [];
    /** Called with `(upstream, request, response, body)` for a request that it runs. */
    answer = async (upstream, request, response) => upstream.finish(request, response, 200, "whole");

    constructor({ id, service, store, recording, sharded = false, zone = "z1", slots = 6, heartbeatMs = 1_000 }) {
        Object.assign(this, { id, service, store, recording, sharded, zone, slots, heartbeatMs });
        this.born = Date.now();
    }

    async start(port = 0) {
        this.server = http.createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 10_000;
        await new Promise(resolve => this.server.listen(port, "127.0.0.1", resolve));
        this.port = this.server.address().port;
        this.address = `127.0.0.1:${this.port}`;
        this.checkIn();
        this.timer = setInterval(() => this.checkIn(), this.heartbeatMs);
    }

    entry() {
        const { address, born, service, zone, slots, state } = this;
        const info = { service, version: "v1", zone, slots };
        return { address, born, info, status: { state, seq: ++this.seq, warmup_left_ms: 0 } };
    }

    checkIn() {
        this.store.put("servers", this.id, this.entry());
    }

    /** Whether it holds a key now. */
    isHolder(key) {
        return this.holds[key] > now();
    }

    held() {
        let count = 0;
        for (let key = 0; key < KEY_COUNT; key++) {
            count += this.isHolder(key) ? 1 : 0;
        }
        return count;
    }

    finish(request, response, status, body, headers = {}) {
        response.writeHead(status, {
            "x-request-id": request.headers["x-request-id"],
            "x-upstream-signature": `${this.id}.${request.headers["x-request-id"]}`,
            "x-upstream-load": `${this.running},0,${this.slots}`,
            "content-length": Buffer.byteLength(body),
            ...headers,
        });
        response.end(body);
    }

    async handle(request, response) {
        const body = await readBody(request).catch(() => undefined);
        if (body === undefined) {
            return;
        }
        const expected = request.headers["x-expect-instance"];
        const end = (status, headers = {}) => {
            response.writeHead(status, { "content-length": 0, ...headers });
            response.end();
        };
        if (expected !== undefined && expected !== this.id) {
            end(421, { "x-instance-id": this.id, "x-not-executed": "1" });
            return;
        }
        if (request.method === "POST" && (request.url === "/grant" || request.url === "/release")) {
            const call = JSON.parse(body.toString());
            if (request.url === "/grant") {
                this.granted(call, end);
            } else {
                await this.released(call, end);
            }
            return;
        }
        if (request.url === "/healthz") {
            end(this.state === "ready" ? 200 : 503, { "x-instance-id": this.id });
            return;
        }
        const key = Number(request.headers["x-shard-key"] ?? -1);
        const id = request.headers["x-request-id"];
        if (this.sharded && !(key >= 0 && this.isHolder(key))) {
            end(421, { "x-request-id": id, "x-not-executed": "1" });
            return;
        }
        this.running++;
        this.runs.push({ id, method: request.method, url: request.url, key, at: now() });
        this.recording?.note(`run ${id} at ${this.id} (${request.method} ${request.url}, key ${key})`);
        await this.answer(this, request, response, body);
        this.running--;
    }

    granted({ from, to, fence, hold_ms: holdMs }, end) {
        for (let key = from; key <= to; key++) {
            if (this.fences[key] > fence) {
                end(409);
                return;
            }
        }
        const isNew = !this.isHolder(from) || this.fences[from] !== fence;
        this.fences.fill(fence, from, to + 1);
        this.holds.fill(now() + holdMs, from, to + 1);
        if (isNew) {
            this.recording?.note(`grant ${from}-${to} epoch ${fence} for ${holdMs} ms taken by ${this.id}`);
        }
        end(200);
    }

    async released({ from, to, fence }, end) {
        this.holds.fill(0, from, to + 1);
        this.recording?.note(`release ${from}-${to} epoch ${fence} taken by ${this.id}`);
        while (this.sharded && this.running > 0) {
            await pause(5);
        }
        end(200, { "x-handover": Math.random().toString(16).slice(2).padEnd(16, "0") });
    }

    stop() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }
}

/** A config with routes `[name, prefix, route_type, service]` of one host and services `[name, sharded]`. */
export const configOf = (version, routes, services, timeoutMs = 2_000) => ({
    version: `r${version}`,
    routes: {
        columns: [
            "name",
            "host",
            "prefix",
            "route_type",
            "timeout_ms",
            "target_latency_ms",
            "priority",
            "backends",
            "max_attempts",
            "service",
        ],
        rows: routes.map(([name, prefix, type, service]) => [
            name,
            "shop.example",
            prefix,
            type,
            timeoutMs,
            600,
            1,
            null,
            2,
            service,
        ]),
    },
    services: {
        columns: ["name", "health_path", "max_conns", "protocol", "tls", "sharded", "warm_s", "grants"],
        rows: services.map(([name, sharded]) => [
            name,
            "/healthz",
            120,
            "h1",
            false,
            sharded ? true : null,
            sharded ? 5 : null,
            sharded ? "rpc" : null,
        ]),
    },
    limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
});

/** Words of the deploy file's command of the gateway. */
const gatewayCommand = () => {
    const line = readFileSync(join(ROOT, "deploy/system.toml"), "utf8")
        .split("\n")
        .find(text => text.startsWith("run = "));
    return line.slice('run = "'.length, -1).split(" ");
};

/** One gateway process, with an address of its own among the loopback addresses. */
export class Gateway {
    constructor({ name, ip, store, folder, recording, zone = "z1", bootstrap = true }) {
        Object.assign(this, { name, ip, store, folder, recording, zone, bootstrap });
    }

    async start() {
        if (this.ports === undefined) {
            this.ports = await freePorts(4, this.ip);
        }
        const [frontend, readiness, peers, control] = this.ports;
        this.settings = join(this.folder, `${this.name}.toml`);
        writeFileSync(
            this.settings,
            `node_name = "${this.name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "${this.ip}"
zone = "${this.zone}"
region = "r1"
port_range = [${peers},${peers}]
seeds = []
bootstrap = ${this.bootstrap}
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1000
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
bounds = ["seed_lag_s=3","reuse_after_s=2","stable_window_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","back_ms=250","max_skew_ms=5000","retry_budget_ratio=0.2","retry_window_s=10","retry_slack=60","recover_s=15","hold_max_ms=10000","thaw_ms=300"]
grants = "rpc"
[zones]
z1 = "r1"
[listen]
frontend = "${this.ip}:${frontend}"
readiness = "${this.ip}:${readiness}"
control_plane = "${this.ip}:${control}"
[limits]
cpu_quota = 0.54
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[platform]
address = "${this.store.address}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
`,
        );
        this.host = this.ip;
        this.port = frontend;
        const [program, ...words] = gatewayCommand();
        this.child = spawn(program === "node" ? process.execPath : program, words, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: this.folder, SASSAFRASLOOM_CONFIG: this.settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.output = "";
        const { child } = this;
        const keep = chunk => (this.output += chunk);
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.once("exit", (code, signal) => {
            this.ended = { code, signal };
            this.recording?.note(`process ${this.name} has ended (code ${code}, signal ${signal})`);
        });
        this.ended = undefined;
        this.bootstrap = false;
        this.recording?.note(`process ${this.name} is started`);
    }

    /** Whether it says that it is ready. */
    async isReady() {
        return await new Promise(resolve => {
            const request = http.get(
                { host: this.ip, port: this.ports[1], path: "/readyz", agent: false, timeout: 500 },
                response => {
                    response.resume();
                    resolve(response.statusCode === 200);
                },
            );
            request.on("error", () => resolve(false));
            request.on("timeout", () => request.destroy());
        });
    }

    signal(name) {
        if (this.ended === undefined && this.child !== undefined) {
            this.recording?.note(`process ${this.name} gets ${name}`);
            this.child.kill(name);
        }
    }

    async stop() {
        if (this.ended === undefined && this.child !== undefined) {
            const exited = new Promise(resolve => this.child.once("exit", resolve));
            this.child.kill("SIGCONT");
            this.child.kill("SIGKILL");
            await exited;
        }
    }
}

let requests = 0;
const run = Math.random().toString(16).slice(2, 8);
/** An id that no earlier request has. */
export const requestId = () => `${run}${String(++requests).padStart(8, "0")}`;

/**
 * Sends one request of a client on a connection of its own. Status 0 means that the connection ended without a complete
 * answer.
 */
export const send = (
    gateway,
    { method = "GET", path, key, id = requestId(), body = "", deadlineMs = 3_000, recording },
) =>
    new Promise(resolve => {
        const headers = { host: "shop.example", "x-request-id": id, "x-deadline-ms": String(deadlineMs) };
        if (key !== undefined) {
            headers["x-shard-key"] = String(key);
        }
        if (body.length > 0 || method !== "GET") {
            headers["content-length"] = Buffer.byteLength(body);
        }
        const finish = result => {
            recording?.note(`answer to ${id}: status ${result.status}${result.error ? ` (${result.error})` : ""}`);
            resolve({ id, ...result });
        };
        recording?.note(`send ${id}: ${method} ${path}${key === undefined ? "" : `, key ${key}`}`);
        const request = http.request(
            { host: gateway.host, port: gateway.port, method, path, headers, agent: false },
            response => {
                const chunks = [];
                response.on("data", chunk => chunks.push(chunk));
                response.on("error", error => finish({ status: 0, error: error.message }));
                response.on("end", () =>
                    finish({
                        status: response.statusCode,
                        headers: response.headers,
                        body: Buffer.concat(chunks).toString("latin1"),
                    }),
                );
            },
        );
        request.setTimeout(deadlineMs + 500, () => request.destroy(new Error("no answer in time")));
        request.on("error", error => finish({ status: 0, error: error.message }));
        request.end(body);
    });

/**
 * Runs a case: `play` resolves to whether the rule held. Ends with 1 if it was broken, 0 if it held, and 2 if the case
 * couldn't run. All processes end with the case.
 */
export const runCase = async (folder, play) => {
    const recording = new Recording(join(folder, "record.txt"));
    const temporary = mkdtempSync(join(tmpdir(), "review-"));
    const parts = [];
    const hasTrouble = process.env.TROUBLE !== "0";
    let status = 2;
    const limit = setTimeout(() => {
        recording.note("the case took too long");
        parts.forEach(part => part.child?.kill("SIGKILL"));
        process.exit(2);
    }, 115_000);
    recording.note(hasTrouble ? "with the disruption" : "without the disruption");
    try {
        status = (await play({ recording, folder: temporary, hasTrouble, keep: part => (parts.push(part), part) }))
            ? 0
            : 1;
    } catch (error) {
        recording.note(`the case couldn't run: ${error?.stack ?? error}`);
    }
    clearTimeout(limit);
    for (const part of parts) {
        if (process.env.KEEP_LOGS === "1" && part.output !== undefined) {
            writeFileSync(join(tmpdir(), `${part.name}.log`), part.output);
        }
        await part.stop();
    }
    rmSync(temporary, { recursive: true, force: true });
    const result = ["the rule held", "the rule was broken", "the case couldn't run"][status];
    recording.note(result);
    console.log(result);
    process.exit(status);
};

/** Ends a case that can't run. */
export const need = (condition, what) => {
    if (!condition) {
        throw new Error(what);
    }
};
