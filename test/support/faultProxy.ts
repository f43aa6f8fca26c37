import { connect, createServer, type Server, type Socket } from "node:net";
import { listenOnLoopback } from "./httpSupport.js";

/** Direction of traffic through a proxy: from the client to the server behind it, or back. */
export type Direction = "toServer" | "toClient";

/** Buffered bytes per direction of a connection at which the proxy stops reading. */
const HELD_BYTES_LIMIT = 1_048_576;
/** Size of the parts in which bytes pass at a limited rate. */
const PACED_BYTES = 4_096;
/** Buffered bytes at which the proxy stops reading at a limited rate, so that few bytes of an ended connection use the link. */
const PACED_HELD_BYTES_LIMIT = 65_536;

/** One direction of a connection: forwards bytes in order, optionally delayed, held back or truncated. */
class ForwardedBytes {
    private queue: { chunk: Buffer | undefined; dueAt: number }[] = [];
    private heldBytes = 0;
    private timer: NodeJS.Timeout | undefined;
    private waitingForDrain = false;

    constructor(
        private readonly from: Socket,
        private readonly to: Socket,
        /** Returns the time from which bytes may pass that have arrived now. */
        private readonly dueAt: (bytes: number) => number,
        private readonly isPaced: () => boolean,
        private readonly held: () => boolean,
        /** Returns how many of the next bytes may pass; if fewer than given, the connection ends after them. */
        private readonly admit: (bytes: number) => number,
        private readonly cutOff: () => void,
    ) {
        from.on("data", (chunk: Buffer) => this.add(chunk));
        from.on("end", () => this.add(undefined));
        to.on("drain", () => {
            this.waitingForDrain = false;
            this.forward();
        });
        from.once("close", () => clearTimeout(this.timer));
    }

    /** Forwards the bytes that are due, unless the direction is held back. */
    forward(): void {
        clearTimeout(this.timer);
        while (this.queue.length > 0 && !this.held() && !this.waitingForDrain && !this.to.destroyed) {
            const { chunk, dueAt } = this.queue[0];
            const waitMs = dueAt - performance.now();
            if (waitMs > 0) {
                this.timer = setTimeout(() => this.forward(), Math.ceil(waitMs));
                return;
            }
            this.queue.shift();
            if (chunk === undefined) {
                this.to.end();
                return;
            }
            this.heldBytes -= chunk.byteLength;
            const admitted = this.admit(chunk.byteLength);
            if (admitted < chunk.byteLength) {
                // A FIN lets the receiver read the bytes sent so far; a reset could discard them.
                this.to.end(chunk.subarray(0, admitted));
                this.cutOff();
                return;
            }
            this.waitingForDrain = !this.to.write(chunk);
        }
        if (this.heldBytes < this.heldBytesLimit()) {
            this.from.resume();
        }
    }

    private heldBytesLimit(): number {
        return this.isPaced() ? PACED_HELD_BYTES_LIMIT : HELD_BYTES_LIMIT;
    }

    private add(chunk: Buffer | undefined): void {
        const partBytes = this.isPaced() ? PACED_BYTES : Infinity;
        let rest = chunk;
        while (rest !== undefined && rest.byteLength > partBytes) {
            this.queue.push({ chunk: rest.subarray(0, partBytes), dueAt: this.dueAt(partBytes) });
            rest = rest.subarray(partBytes);
        }
        this.queue.push({ chunk: rest, dueAt: this.dueAt(rest?.byteLength ?? 0) });
        this.heldBytes += chunk?.byteLength ?? 0;
        if (this.heldBytes >= this.heldBytesLimit()) {
            this.from.pause();
        }
        this.forward();
    }
}

interface ProxiedConnection {
    client: Socket;
    server: Socket;
    hung: boolean;
    /** Whether one side failed. The failure is propagated to the other side unless bytes are held back. */
    broken: boolean;
    directions: ForwardedBytes[];
}

const reset = (socket: Socket): void => {
    if (!socket.destroyed) {
        socket.resetAndDestroy();
    }
};

/**
 * A TCP proxy on a loopback port that injects faults, which can be changed while it runs.
 *
 * @example
 * const proxy = await FaultProxy.listen("127.0.0.1:7000");
 * await proxy.refuse(); // connections are refused until `await proxy.accept()`
 */
export class FaultProxy {
    /** `host:port` on which the proxy listens; doesn't change when connections are refused. */
    address = "";
    private upstream: string;
    private readonly listener: Server;
    /** Accepts the connection that keeps the proxy's port bound while connections are refused. */
    private readonly portReserver = createServer(socket => socket.on("error", () => undefined));
    private reservingSocket: Socket | undefined;
    private disposed = false;
    /** Resolves when the last call of `refuse` or `accept` is done; the calls run one after the other. */
    private transition: Promise<void> = Promise.resolve();
    private readonly connections = new Set<ProxiedConnection>();
    private readonly heldDirections = new Set<Direction>();
    private readonly delaysMs: Record<Direction, number> = { toServer: 0, toClient: 0 };
    /** Limit of each direction in bytes a second, of all connections together. */
    private readonly rates: Record<Direction, number> = { toServer: Infinity, toClient: Infinity };
    /** Time at which the bytes that have arrived so far have passed. */
    private readonly busyUntil: Record<Direction, number> = { toServer: 0, toClient: 0 };
    private cut: { direction: Direction; bytesLeft: number } | undefined;

    private constructor(upstream: string) {
        this.upstream = upstream;
        this.listener = createServer({ allowHalfOpen: true }, client => this.open(client));
    }

    /** Starts a proxy in front of a server at `host:port`. */
    static async listen(upstream: string): Promise<FaultProxy> {
        const proxy = new FaultProxy(upstream);
        proxy.address = await listenOnLoopback(proxy.listener);
        await listenOnLoopback(proxy.portReserver);
        return proxy;
    }

    async dispose(): Promise<void> {
        this.disposed = true;
        await this.transition;
        this.resetConnections();
        this.reservingSocket?.destroy();
        this.listener.close();
        this.portReserver.close();
    }

    /** Sets the server for new connections, for example after its restart on another port. */
    setUpstream(upstream: string): void {
        this.upstream = upstream;
    }

    /** Resets open connections and refuses new ones. */
    refuse(): Promise<void> {
        return this.afterTransition(async () => {
            if (!this.listener.listening) {
                return;
            }
            const closed = new Promise<void>(resolve => this.listener.close(() => resolve()));
            this.resetConnections();
            await closed;
            await this.reservePort();
        });
    }

    /** Accepts connections again after `refuse`. */
    accept(): Promise<void> {
        return this.afterTransition(async () => {
            if (this.listener.listening) {
                return;
            }
            const holder = this.reservingSocket;
            if (holder !== undefined) {
                await new Promise<void>(resolve => holder.once("close", () => resolve()).resetAndDestroy());
            }
            await listenOnLoopback(this.listener, Number(this.address.split(":")[1]));
        });
    }

    /**
     * Holds back all traffic of a direction, including connection ends, or lets it pass again. Held bytes are then
     * delivered, as TCP retransmits them after a network partition.
     */
    hold(direction: Direction, held: boolean): void {
        if (held) {
            this.heldDirections.add(direction);
        } else {
            this.heldDirections.delete(direction);
        }
        for (const connection of this.connections) {
            this.propagateFailure(connection);
            connection.directions.forEach(bytes => bytes.forward());
        }
    }

    /** Sets the delay of bytes that arrive in a direction from now on. */
    delay(direction: Direction, delayMs: number): void {
        this.delaysMs[direction] = delayMs;
    }

    /** Limits the bytes a second that arrive in a direction from now on, on all connections together, as a narrow link does. */
    limitRate(direction: Direction, bytesPerSecond: number): void {
        this.rates[direction] = bytesPerSecond;
    }

    /** Resets all open connections; new ones work. */
    resetConnections(): void {
        for (const { client, server } of this.connections) {
            reset(client);
            reset(server);
        }
    }

    /** Stops forwarding on all open connections permanently, in both directions; new ones work. */
    hangConnections(): void {
        this.connections.forEach(connection => (connection.hung = true));
    }

    /** Ends the connection that carries the byte after the next `bytes` bytes of a direction; applies once. */
    cutAfter(direction: Direction, bytes: number): void {
        this.cut = { direction, bytesLeft: bytes };
    }

    get openConnections(): number {
        return this.connections.size;
    }

    private open(client: Socket): void {
        const [host, port] = this.upstream.split(":");
        const server = connect({ host, port: Number(port), allowHalfOpen: true });
        client.setNoDelay(true);
        server.setNoDelay(true);
        const connection: ProxiedConnection = { client, server, hung: false, broken: false, directions: [] };
        connection.directions = [
            this.forwarded("toServer", client, server, connection),
            this.forwarded("toClient", server, client, connection),
        ];
        this.connections.add(connection);
        for (const socket of [client, server]) {
            socket.on("error", () => (connection.broken = true));
            socket.once("close", () => {
                this.propagateFailure(connection);
                if (client.destroyed && server.destroyed) {
                    this.connections.delete(connection);
                }
            });
        }
    }

    private propagateFailure({ client, server, hung, broken }: ProxiedConnection): void {
        if (broken && !hung && this.heldDirections.size === 0) {
            reset(client);
            reset(server);
        }
    }

    private forwarded(direction: Direction, from: Socket, to: Socket, connection: ProxiedConnection): ForwardedBytes {
        return new ForwardedBytes(
            from,
            to,
            bytes => this.dueAt(direction, bytes),
            () => Number.isFinite(this.rates[direction]),
            () => connection.hung || this.heldDirections.has(direction),
            bytes => this.admit(direction, bytes),
            () => reset(from),
        );
    }

    private dueAt(direction: Direction, bytes: number): number {
        const passMs = (1_000 * bytes) / this.rates[direction];
        const passedAt = Math.max(performance.now(), this.busyUntil[direction]) + passMs;
        this.busyUntil[direction] = passedAt;
        return passedAt + this.delaysMs[direction];
    }

    private admit(direction: Direction, bytes: number): number {
        if (this.cut?.direction !== direction) {
            return bytes;
        }
        const admitted = Math.min(bytes, this.cut.bytesLeft);
        this.cut.bytesLeft -= admitted;
        if (admitted < bytes) {
            this.cut = undefined;
        }
        return admitted;
    }

    private afterTransition(change: () => Promise<void>): Promise<void> {
        const done = this.transition.then(() => (this.disposed ? undefined : change()));
        this.transition = done.catch(() => undefined);
        return done;
    }

    /** Keeps the port bound without listening, so that no other socket on the machine can bind it meanwhile. */
    private async reservePort(): Promise<void> {
        const keeperAddress = this.portReserver.address();
        if (keeperAddress === null || typeof keeperAddress === "string") {
            throw new Error("The proxy has been disposed of.");
        }
        const holder = connect({
            host: "127.0.0.1",
            port: keeperAddress.port,
            localAddress: "127.0.0.1",
            localPort: Number(this.address.split(":")[1]),
        });
        this.reservingSocket = holder;
        await new Promise<void>((resolve, reject) => {
            holder.once("connect", resolve);
            holder.once("error", reject);
        });
    }
}
