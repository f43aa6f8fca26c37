import { connect, type Socket } from "node:net";
import { CODECS } from "../../platform/codecs.js";
import { createOwnershipCalls } from "../../platform/ownershipHttp.js";
import { systemClock } from "../../src/process/runtime/clock.js";
import { Gateway } from "../../src/process/gateway/gateway.js";
import { createLoggers } from "../../src/process/observability/logger.js";
import { MemoryRowStore } from "./memoryRowStore.js";
import type { ScriptedTarget } from "./scriptedTarget.js";
import { waitFor } from "./waitFor.js";
import { ROUTE_COLUMNS } from "./routeColumns.js";

/** Timeout of the test routes, in milliseconds. */
export const ROUTE_TIMEOUT_MS = 1_500;

/** Time for which a leaving target may get requests, in milliseconds. */
export const DRAIN_MS = 2_000;

/** A config with a route for reads and one for orders, both of the service `stock`, and the given further routes. */
export const standInConfig = (version: number, routes: unknown[][] = []): unknown => ({
    version: `r${version}`,
    routes: {
        columns: ROUTE_COLUMNS,
        rows: [
            ["read", "shop.example", "/read/", "idempotent", ROUTE_TIMEOUT_MS, 400, 2, "stock", 3, null],
            ["order", "shop.example", "/order/", "non_idempotent", ROUTE_TIMEOUT_MS, 400, 1, "stock", 3, null],
            ...routes,
        ],
    },
    services: {
        columns: ["name", "health_path", "max_conns", "sharded"],
        rows: [
            ["stock", "/healthz", 130, null],
            ["other", "/healthz", 130, null],
        ],
    },
    limits: { max_header_bytes: 16384, max_body_bytes: 100000, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
});

/** The store entry of a scripted target. */
export const standInEntry = (target: ScriptedTarget, change: { state?: string; service?: string } = {}): unknown => ({
    address: target.address,
    born: 1_700_000_000_000,
    info: { service: change.service ?? "stock", version: "v1", zone: "linz", slots: 6 },
    status: { state: change.state ?? "ready", seq: 1, warmup_left_ms: 0 },
});

/** An answer as the caller received it. */
export interface CallerAnswer {
    status: number;
    head: string;
    body: string;
}

/** A gateway in this process with an in-memory store and scripted targets. */
export class GatewayHarness {
    private constructor(
        readonly gateway: Gateway,
        readonly port: number,
        readonly readinessPort: number,
        readonly metricsPort: number,
        readonly store: MemoryRowStore,
        /** Log lines of the gateway. */
        readonly log: string[],
    ) {}

    static async start(targets: Record<string, ScriptedTarget>, config = standInConfig(1)): Promise<GatewayHarness> {
        const store = new MemoryRowStore();
        store.put("op", "config", config);
        for (const [id, target] of Object.entries(targets)) {
            store.put("servers", id, standInEntry(target));
        }
        return GatewayHarness.join(store, "a1");
    }

    /** Starts an instance on a store. Instances with a peer port exchange messages. */
    static async join(store: MemoryRowStore, instance: string, peerPort?: number): Promise<GatewayHarness> {
        const log: string[] = [];
        const gateway = new Gateway({
            instance,
            domain: "linz",
            callers: { host: "127.0.0.1", port: 0 },
            readiness: { host: "127.0.0.1", port: 0 },
            peers: peerPort === undefined ? undefined : { host: "127.0.0.1", port: peerPort },
            metrics: { host: "127.0.0.1", port: 0 },
            graceMs: 5_000,
            checkInMs: 300,
            maxHoldMs: 10_000,
            drainMs: DRAIN_MS,
            retryLimit: { ratio: 0.2, windowMs: 10_000 },
            warmupBound: { overage: 1.5, slack: 8 },
            evacuateMs: 5_000,
            clock: systemClock,
            loggers: createLoggers({
                instance,
                level: "info",
                format: "json",
                output: { write: line => void log.push(line) },
            }),
            platform: { store, calls: createOwnershipCalls(), ...CODECS },
        });
        const ports = await gateway.start();
        await waitFor(() => gateway.isReady());
        return new GatewayHarness(gateway, ports.callers, ports.readiness, ports.metrics ?? 0, store, log);
    }

    /** Registers a target under an identifier, for a service. */
    putTarget(id: string, target: ScriptedTarget, service: string): void {
        this.store.put("servers", id, standInEntry(target, { service }));
    }

    connect(): Socket {
        const socket = connect(this.port, "127.0.0.1");
        socket.on("error", () => undefined);
        return socket;
    }

    /** Sends bytes and reads until the connection ends or `isDone` returns true. */
    exchange(bytes: string, isDone: (text: string) => boolean): Promise<string> {
        return new Promise(resolve => {
            const socket = this.connect();
            let text = "";
            const finish = () => {
                socket.destroy();
                resolve(text);
            };
            socket.on("data", chunk => {
                text += chunk.toString("latin1");
                if (isDone(text)) {
                    finish();
                }
            });
            socket.on("close", finish);
            socket.write(bytes);
        });
    }

    /** Sends one request. Status 0 means that the connection ended without a complete answer. */
    async request(
        method: string,
        path: string,
        options: { id?: string; body?: string; headers?: string[]; host?: string; deadlineMs?: number } = {},
    ): Promise<CallerAnswer> {
        const {
            id = `id-${Math.random().toString(16).slice(2)}`,
            body = "",
            headers = [],
            host = "shop.example",
        } = options;
        const head = [
            `${method} ${path} HTTP/1.1`,
            `Host: ${host}`,
            `X-Request-Id: ${id}`,
            `X-Deadline-Ms: ${options.deadlineMs ?? 3_000}`,
            "X-Shard-Key: 7",
            ...(body === "" ? [] : [`Content-Length: ${body.length}`]),
            ...headers,
        ];
        const text = await this.exchange(
            `${head.join("\r\n")}\r\n\r\n${body}`,
            received => /content-length/i.test(received) && isWhole(received),
        );
        return parseAnswer(text);
    }

    dispose(): void {
        this.gateway.dispose();
    }
}

const lengthOf = (head: string): number => Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);

/** Whether the text contains a complete answer. */
export const isWhole = (text: string): boolean => {
    const end = text.indexOf("\r\n\r\n");
    return end >= 0 && text.length >= end + 4 + lengthOf(text.slice(0, end));
};

const parseAnswer = (text: string): CallerAnswer => {
    const end = text.indexOf("\r\n\r\n");
    const head = text.slice(0, Math.max(0, end));
    return isWhole(text)
        ? { status: Number(head.split(" ")[1]), head, body: text.slice(end + 4) }
        : { status: 0, head, body: text.slice(end + 4) };
};
