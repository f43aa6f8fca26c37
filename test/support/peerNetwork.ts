import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { closeServer, listenOnLoopback } from "./httpSupport.js";

interface Tunnel {
    from: NetworkNode;
    to: string;
    caller: Duplex;
    server: Socket;
}

/** An instance as a node of the network. */
export interface NetworkNode {
    name: string;
    domain: string;
}

/**
 * Simulates the network between the instances, with partitions. A fault proxy in front of an instance can't tell which
 * peer connects and doesn't see connections that the instance itself opens. Therefore each instance connects to its
 * peers through its own HTTP CONNECT proxy, which is set by `grpc_proxy` in its environment. A partition silently stops
 * open and new connections in both directions; the bytes sent meanwhile arrive after it, as TCP retransmits them.
 *
 * @example
 * const network = new PeerNetwork(address => router.instances.find(({ peerProxy }) => peerProxy.address === address));
 * const environment = { grpc_proxy: await network.proxyOf({ name: "d1-e1", domain: "d1" }) };
 * network.cut("d2", ({ domain }) => domain === "d2");
 */
export class PeerNetwork {
    private readonly servers: Server[] = [];
    private readonly tunnels = new Set<Tunnel>();
    /** All sockets of callers; an HTTP server doesn't close those that were upgraded by CONNECT. */
    private readonly callers = new Set<Duplex>();
    /** New connections that wait for the end of a partition. */
    private waiting: { from: NetworkNode; to: string; open: () => void }[] = [];
    /** Partitions by name; the predicate selects the instances on one side. */
    private readonly partitions = new Map<string, (node: NetworkNode) => boolean>();

    constructor(private readonly nodeAt: (address: string) => NetworkNode | undefined) {}

    /** Starts the proxy through which an instance connects to its peers, and returns its URL. */
    async proxyOf(from: NetworkNode): Promise<string> {
        const server = createServer();
        server.on("connect", (request, socket: Duplex) => {
            const to = request.url ?? "";
            this.callers.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => this.callers.delete(socket));
            const open = () => this.open(from, to, socket);
            if (this.isPartitioned(from, to)) {
                this.waiting.push({ from, to, open });
            } else {
                open();
            }
        });
        this.servers.push(server);
        return `http://${await listenOnLoopback(server)}`;
    }

    /** Isolates the instances that `inside` selects from all others. */
    partition(name: string, inside: (node: NetworkNode) => boolean): void {
        this.partitions.set(name, inside);
        for (const { from, to, caller, server } of this.tunnels) {
            if (this.isPartitioned(from, to)) {
                caller.pause();
                server.pause();
            }
        }
    }

    /** Ends a partition. */
    heal(name: string): void {
        this.partitions.delete(name);
        for (const { from, to, caller, server } of this.tunnels) {
            if (!this.isPartitioned(from, to)) {
                caller.resume();
                server.resume();
            }
        }
        const opened = this.waiting.filter(({ from, to }) => !this.isPartitioned(from, to));
        this.waiting = this.waiting.filter(({ from, to }) => this.isPartitioned(from, to));
        opened.forEach(({ open }) => open());
    }

    async dispose(): Promise<void> {
        this.tunnels.forEach(({ caller, server }) => {
            caller.destroy();
            server.destroy();
        });
        this.callers.forEach(caller => caller.destroy());
        await Promise.all(this.servers.map(closeServer));
    }

    private isPartitioned(from: NetworkNode, address: string): boolean {
        const to = this.nodeAt(address);
        return [...this.partitions.values()].some(inside => inside(from) !== (to !== undefined && inside(to)));
    }

    private open(from: NetworkNode, to: string, caller: Duplex): void {
        if (caller.destroyed) {
            return;
        }
        const [host, port] = to.split(":");
        const server = connect({ host, port: Number(port) });
        const tunnel = { from, to, caller, server };
        this.tunnels.add(tunnel);
        server.setNoDelay(true);
        server.once("connect", () => {
            caller.write("HTTP/1.1 200 Connection established\r\n\r\n");
            // Data handlers instead of pipes, since a pipe would resume a stream that a partition has paused.
            caller.on("data", (chunk: Buffer) => server.write(chunk));
            server.on("data", (chunk: Buffer) => caller.write(chunk));
            if (this.isPartitioned(from, to)) {
                caller.pause();
                server.pause();
            }
        });
        const end = () => {
            this.tunnels.delete(tunnel);
            caller.destroy();
            server.destroy();
        };
        server.on("error", end);
        server.on("close", end);
        caller.on("error", end);
        caller.on("close", end);
    }
}
