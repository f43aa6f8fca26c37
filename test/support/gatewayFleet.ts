import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as send, type IncomingMessage } from "node:http";
import { tmpdir } from "node:os";
import { text } from "node:stream/consumers";
import { join } from "node:path";
import { readLogLines, type LogLine } from "../../src/commands/explainRequest.js";
import { leaseKey, LEASE_TABLE } from "../../src/process/gateway/assignerLease.js";
import { FaultProxy } from "./faultProxy.js";
import { freePorts } from "./freePorts.js";
import { OwningTargets, type OwningTarget } from "./owningTargets.js";
import { ROUTE_COLUMNS } from "./routeColumns.js";
import { TableService } from "./tableService.js";
import { TargetLinks, type CutKind } from "./targetLinks.js";
import { waitFor } from "./waitFor.js";
import { WarmingTargets } from "./warmingTargets.js";

/** Program of a gateway; the variable names that of another build. */
const PROGRAM = process.env.GATEWAY_PROGRAM ?? "dist/platform/main.js";
/** Time after which a caller gives up, in milliseconds. */
const CALLER_TIMEOUT_MS = 3_000;
/** Number of times that the start of a gateway is tried. */
const START_ATTEMPTS = 3;
/** Number of log lines of each member that the error of a failed wait shows. */
const LOGGED_LINES = 12;
/** Longest time of a request, in milliseconds. */
export const FLEET_TIMEOUT_MS = 1_500;
const TARGET_LATENCY_MS = 500;
/** Interval at which targets check in at the store, in milliseconds. */
const HEARTBEAT_MS = 870;

/** Kinds of requests that a fleet serves. Keyed ones are for the service `stock`. */
export const FLEET_KINDS = ["lookup", "move", "drawing", "order"] as const;
export type FleetKind = (typeof FLEET_KINDS)[number];

const SERVICE_OF: Record<FleetKind, string> = { lookup: "stock", move: "stock", drawing: "drawings", order: "orders" };
const isRepeatable = (kind: FleetKind): boolean => kind === "lookup" || kind === "drawing";

const routeOf = (kind: FleetKind, name: string = kind): unknown[] => [
    name,
    "shop.example",
    `/${name}/`,
    isRepeatable(kind) ? "idempotent" : "non_idempotent",
    FLEET_TIMEOUT_MS,
    TARGET_LATENCY_MS,
    FLEET_KINDS.indexOf(kind),
    SERVICE_OF[kind],
    3,
    null,
];

/** Weights of the services of the route `/split/`. */
type SplitWeights = Record<"drawings" | "orders", number>;

/** What a config has besides the routes of all kinds of requests. */
interface ConfigContent {
    /** Number of routes `/further-N/`, which make it large; each is some 110 bytes. */
    furtherRoutes?: number;
    split?: SplitWeights;
}

/** Warm-up of the targets that are processes of their own, and what a cold one tolerates. */
export interface FleetWarmup {
    warmupMs: number;
    /** Requests a second. */
    perSecond: number;
    /** Time that a request takes, in milliseconds. */
    workMs: number;
    /** Service whose targets these are; `drawings` by default. */
    service?: "drawings" | "stock";
    /** Whether the paths to these targets can be cut. */
    isCuttable?: boolean;
}

/** Route `/split/`, whose requests are divided between two services by weight. */
const splitRouteOf = (weights: SplitWeights): unknown[] => [
    ...routeOf("drawing", "split").slice(0, -3),
    null,
    3,
    Object.entries(weights).map(([service, weight]) => ({ service, weight })),
];

const configOf = (
    version: number,
    { furtherRoutes = 0, split }: ConfigContent,
    warmup: FleetWarmup | undefined,
): unknown => ({
    version: `r${version}`,
    routes: {
        columns: ROUTE_COLUMNS,
        rows: [
            ...FLEET_KINDS.map(kind => routeOf(kind)),
            ...(split === undefined ? [] : [splitRouteOf(split)]),
            ...Array.from({ length: furtherRoutes }, (_, index) => routeOf("drawing", `further-${index}`)),
        ],
    },
    services: {
        columns: ["name", "health_path", "max_conns", "sharded", "warmup_s", "warmup_per_s"],
        rows: [...new Set(Object.values(SERVICE_OF))].map(name => [
            name,
            "/healthz",
            130,
            name === "stock" ? true : null,
            warmup === undefined ? null : warmup.warmupMs / 1_000,
            warmup?.perSecond ?? null,
        ]),
    },
    limits: { max_header_bytes: 16384, max_body_bytes: 100000, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
});

/** Answer of a gateway; status 0 if the connection ended without a complete one. */
export interface FleetAnswer {
    id: string;
    status: number;
    headers: IncomingMessage["headers"];
    body: string;
}

/** A gateway process of a fleet. */
export interface FleetMember {
    name: string;
    domain: string;
    port: number;
    metricsPort: number;
    /** Port for messages and requests of other instances. */
    peerPort: number;
    links: TargetLinks;
    /** The path to the store. */
    storeLink: FaultProxy;
    lines(): LogLine[];
    signal(name: NodeJS.Signals): void;
    hasEnded(): boolean;
}

/** Gateways as processes with one store and targets. Each reaches the targets through proxies of its own. */
export class GatewayFleet {
    readonly store = new TableService();
    readonly targets = new OwningTargets();
    /** Targets that warm up, of the service that the warm-up names; none without a warm-up. */
    readonly warming: WarmingTargets;
    readonly members: FleetMember[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "fleet-"));
    private readonly children: ChildProcess[] = [];
    private readonly storeLinks: FaultProxy[] = [];
    private readonly agent = new Agent({ keepAlive: true });
    private nextRequest = 0;

    private constructor(private readonly warmup: FleetWarmup | undefined) {
        const { warmupMs = 0, workMs = 0 } = warmup ?? {};
        this.warming = new WarmingTargets(this.store.rows, { warmupMs, workMs, heartbeatMs: HEARTBEAT_MS });
    }

    /** Starts targets and gateways, given by the failure domain of each, and waits until all kinds of requests are served. */
    static async start(options: {
        gateways: readonly string[];
        targets?: Partial<Record<"stock" | "drawings" | "orders", readonly string[]>>;
        warmup?: FleetWarmup;
    }): Promise<GatewayFleet> {
        const fleet = new GatewayFleet(options.warmup);
        await fleet.store.start();
        fleet.configure(1);
        const {
            stock = ["linz", "wels", "linz", "wels"],
            drawings = ["linz", "wels"],
            orders = ["linz", "wels"],
        } = options.targets ?? {};
        const warmingService = options.warmup && (options.warmup.service ?? "drawings");
        for (const [service, domains] of Object.entries({ stock, drawings, orders })) {
            for (const [index, domain] of domains.entries()) {
                const id = `${service}-${index}`;
                if (service === warmingService) {
                    await fleet.warming.add(id, service, domain, service === "stock");
                } else {
                    await fleet.addTarget(id, service, domain);
                }
            }
        }
        for (const [index, domain] of options.gateways.entries()) {
            await fleet.addMember(`a${index}`, domain);
        }
        try {
            await fleet.until("all kinds of requests are served", () => fleet.servesAll());
        } catch (error) {
            await fleet.dispose();
            throw error;
        }
        return fleet;
    }

    /** Writes a version of the config. */
    configure(version: number, content: ConfigContent = {}): void {
        this.store.rows.put("op", "config", configOf(version, content, this.warmup));
    }

    async addTarget(id: string, service: string, domain: string): Promise<OwningTarget> {
        const target = await this.targets.add(id, service, domain, service === "stock");
        await Promise.all(this.members.map(({ links }) => links.add(target.address)));
        this.store.rows.put("servers", id, this.targets.entryOf(target));
        return target;
    }

    /** Name of the member that holds the lease for assigning keys. */
    holder(): string {
        return (this.store.rows.read(LEASE_TABLE, leaseKey(0)) as { instance: string }).instance;
    }

    member(name: string): FleetMember {
        const member = this.members.find(other => other.name === name);
        if (member === undefined) {
            throw new Error(`There is no member ${name}.`);
        }
        return member;
    }

    /** Sends one request on a kept connection, or on a new one if there is none. */
    request(
        { port }: Pick<FleetMember, "port">,
        kind: FleetKind,
        options: {
            key?: number;
            body?: string;
            headers?: Record<string, string>;
            signal?: AbortSignal;
            /** Beginning of the path; that of the route of its kind by default. */
            path?: string;
            /** Last part of the path, which names the request for its target; unique by default. */
            name?: string;
        } = {},
    ): Promise<FleetAnswer> {
        const id = `r${this.nextRequest++}`;
        const { key = Math.floor(Math.random() * 65_536), body = "", headers = {}, signal, name = id } = options;
        const { path = `/${kind}/` } = options;
        return new Promise(resolve => {
            const fail = () => resolve({ id, status: 0, headers: {}, body: "" });
            const sent = send(
                {
                    host: "127.0.0.1",
                    port,
                    agent: this.agent,
                    signal,
                    method: isRepeatable(kind) ? "GET" : "POST",
                    path: `${path}${name}`,
                    headers: {
                        host: "shop.example",
                        "x-request-id": id,
                        "x-deadline-ms": String(CALLER_TIMEOUT_MS),
                        "x-shard-key": String(key),
                        ...(body === "" ? {} : { "content-length": String(Buffer.byteLength(body)) }),
                        ...headers,
                    },
                },
                response => {
                    let content = "";
                    response.on("data", chunk => (content += String(chunk)));
                    response.on("error", fail);
                    response.on("end", () =>
                        resolve({ id, status: response.statusCode ?? 0, headers: response.headers, body: content }),
                    );
                },
            );
            sent.on("error", fail);
            sent.setTimeout(CALLER_TIMEOUT_MS, () => sent.destroy());
            sent.end(body);
        });
    }

    /** Value of one of a member's metrics, given with its labels. */
    async metric(member: Pick<FleetMember, "metricsPort">, name: string): Promise<number> {
        const line = (await this.metrics(member)).split("\n").find(each => each.startsWith(`sassafrasloom_${name} `));
        return Number(line?.split(" ").at(-1) ?? 0);
    }

    /** Cuts a member off from all targets and waits until it has noticed. */
    async cutOff(member: FleetMember, kind: CutKind = "reset"): Promise<void> {
        await member.links.cut(kind);
        await this.until(`${member.name} has noticed that it is cut off`, async () => {
            await Promise.all(FLEET_KINDS.map(each => this.request(member, each)));
            return (await this.metric(member, "cut_off")) === 1;
        });
    }

    /** Text of a member's metrics, read on a connection of its own: the end of an idle one would fail it. */
    metrics({ metricsPort }: Pick<FleetMember, "metricsPort">): Promise<string> {
        return new Promise((resolve, reject) => {
            const target = { host: "127.0.0.1", port: metricsPort, path: "/metrics", agent: false };
            const sent = send(target, response => {
                text(response).then(resolve, reject);
            });
            sent.on("error", reject);
            sent.setTimeout(CALLER_TIMEOUT_MS, () => sent.destroy(new Error("no metrics in time")));
            sent.end();
        });
    }

    async dispose(): Promise<void> {
        this.children.forEach(child => child.kill("SIGKILL"));
        this.agent.destroy();
        await Promise.all(this.members.map(({ links }) => links.dispose()));
        await Promise.all(this.storeLinks.map(link => link.dispose()));
        await this.targets.dispose();
        this.warming.dispose();
        this.store.dispose();
        rmSync(this.folder, { recursive: true });
    }

    /** Starts a further gateway. */
    async addMember(name: string, domain: string): Promise<void> {
        const links = new TargetLinks(join(this.folder, `${name}.json`));
        const cuttable = this.warmup?.isCuttable === true ? this.warming.targets : [];
        for (const { address } of [...this.targets.targets, ...cuttable]) {
            await links.add(address);
        }
        const storeLink = await FaultProxy.listen(`127.0.0.1:${this.store.port}`);
        this.storeLinks.push(storeLink);
        // Another process may take a free port before the gateway opens it.
        for (let attempt = 0; attempt < START_ATTEMPTS; attempt++) {
            const member = await this.startProcess(name, domain, links, storeLink);
            if (member !== undefined) {
                this.members.push(member);
                return;
            }
        }
        throw new Error(`${name} couldn't be started.`);
    }

    /** Starts a gateway; `undefined` if it can't open its ports. */
    private async startProcess(
        name: string,
        domain: string,
        links: TargetLinks,
        storeLink: FaultProxy,
    ): Promise<FleetMember | undefined> {
        const [port, readiness, metricsPort, peers] = await freePorts(4);
        const settings = join(this.folder, `${name}.toml`);
        writeFileSync(
            settings,
            `node_name = "${name}"
zone = "${domain}"
ip = "127.0.0.1"
port_range = [${peers},${peers}]
${this.warmup === undefined ? "" : `heartbeat_ms = ${HEARTBEAT_MS}\n`}bounds = ["grace_s=4","drain_ms=2000","hold_max_ms=10000","warmup_overage=1.5","warmup_slack=8"]
[listen]
frontend = "127.0.0.1:${port}"
readiness = "127.0.0.1:${readiness}"
[platform]
address = "${storeLink.address}"
`,
        );
        const args = [
            "--import",
            "./test/support/redirectConnections.mjs",
            PROGRAM,
            "--metrics-port",
            String(metricsPort),
        ];
        const child = spawn(process.execPath, args, {
            env: {
                PATH: process.env.PATH,
                SASSAFRASLOOM_CONFIG: settings,
                REDIRECTIONS: join(this.folder, `${name}.json`),
            },
            stdio: ["ignore", "pipe", "inherit"],
        });
        this.children.push(child);
        let hasEnded = false;
        child.once("exit", () => (hasEnded = true));
        let output = "";
        child.stdout?.on("data", chunk => (output += String(chunk)));
        const lines = () => readLogLines(output);
        const signal = (sent: NodeJS.Signals) => void child.kill(sent);
        await waitFor(() => hasEnded || lines().some(({ message }) => message.includes("Started.")));
        const isPortTaken = lines().some(({ message }) => message.includes("can't be opened"));
        const hasMetrics = await this.metrics({ metricsPort }).then(
            () => true,
            () => false,
        );
        if (hasEnded || isPortTaken || !hasMetrics) {
            child.kill("SIGKILL");
            return undefined;
        }
        return {
            name,
            domain,
            port,
            metricsPort,
            peerPort: peers,
            links,
            storeLink,
            lines,
            signal,
            hasEnded: () => hasEnded,
        };
    }

    /** Waits for a condition; the error shows what the members have logged. */
    async until(state: string, condition: () => Promise<boolean>): Promise<void> {
        try {
            await waitFor(condition);
        } catch (error) {
            const lines = this.members.flatMap(({ name, lines: read }) =>
                read()
                    .slice(-LOGGED_LINES)
                    .map(line => `${name} ${JSON.stringify(line)}`),
            );
            throw new Error([`It wasn't reached that ${state}.`, ...lines].join("\n"), { cause: error });
        }
    }

    private async servesAll(): Promise<boolean> {
        const answers = this.members.flatMap(member => FLEET_KINDS.map(kind => this.request(member, kind)));
        return (await Promise.all(answers)).every(({ status }) => status === 200);
    }
}
