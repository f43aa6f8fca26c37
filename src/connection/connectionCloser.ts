import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { RequestGate } from "./requestGate.js";

/** Time for which a connection is kept open after its last answer, unless its caller closes it, in milliseconds. */
export const DEFAULT_LINGER_MS = 2_000;
/** Maximum number of bytes that are read and discarded on a connection after its last answer. */
export const DEFAULT_DISCARD_LIMIT = 8_388_608;
/** Maximum number of connections that are kept open after their last answers; the oldest are closed first. */
export const DEFAULT_LINGERING_LIMIT = 500;
/** Interval of the checks of these limits, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

interface LingeringConnection {
    /** Time at which it is closed, in milliseconds. */
    closesAt: number;
    bytesReadBefore: number;
}

/** Whether an answer states where it ends, so that its caller notices if it is cut. */
const statesEnd = (response: ServerResponse): boolean =>
    response.chunkedEncoding || response.hasHeader("content-length");

/**
 * Closes connections of callers in stages (RFC 9112, section 9.6): first for writing, and in full when the caller has closed its
 * side. A connection that is closed while bytes of its caller are unread, or come afterwards, is reset, and the part of the last
 * answer that the caller hasn't received is lost.
 *
 * @example
 * const closer = new ConnectionCloser({ gate });
 * server.on("connection", socket => closer.adopt(socket));
 * closer.close(socket);
 */
export class ConnectionCloser {
    private readonly lingering = new Map<Socket, LingeringConnection>();
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly options: {
            /** Admits no request on a connection that is being closed. */
            gate: RequestGate;
            lingerMs?: number;
            discardLimit?: number;
            lingeringLimit?: number;
        },
    ) {}

    /** Number of connections whose last answers may not have been received. */
    get size(): number {
        return this.lingering.size;
    }

    /** Has the HTTP server of Node.js close a connection in stages after its last answer. */
    adopt(socket: Socket): void {
        socket.destroySoon = () => this.close(socket);
        socket.once("close", () => {
            this.lingering.delete(socket);
            this.updateTimer();
        });
    }

    /** Ends a connection after what was written, and discards what still comes. */
    close(socket: Socket): void {
        if (this.begin(socket)) {
            socket.resume();
        }
    }

    /**
     * Ends an idle connection after what was written, and reads nothing more. A request that crosses the close stays unread, so
     * its caller may send it again.
     *
     * @param answeredMs time since its last answer was handed to the operating system, in milliseconds
     */
    closeUnread(socket: Socket, answeredMs: number): void {
        const { lingerMs = DEFAULT_LINGER_MS } = this.options;
        if (answeredMs >= lingerMs) {
            socket.destroy();
        } else if (this.begin(socket, lingerMs - answeredMs)) {
            socket.pause();
        }
    }

    /** Ends the connection of an answer within it, when its turn comes. The answer doesn't look complete. */
    cut(response: ServerResponse): void {
        const { socket } = response;
        if (socket === null) {
            // The answers before it aren't complete. What was written of this one follows the event.
            response.once("socket", () => process.nextTick(() => this.cut(response)));
        } else if (statesEnd(response)) {
            this.close(socket);
        } else {
            // Only the end of the connection delimits it.
            socket.resetAndDestroy();
        }
    }

    /** Closes a connection at once. An answer on it that isn't complete doesn't look so. */
    destroy(socket: Socket, unfinished: Iterable<ServerResponse>): void {
        if ([...unfinished].some(response => response.headersSent && !statesEnd(response))) {
            socket.resetAndDestroy();
        } else {
            socket.destroy();
        }
    }

    private begin(socket: Socket, lingerMs = this.options.lingerMs ?? DEFAULT_LINGER_MS): boolean {
        if (socket.destroyed || this.lingering.has(socket)) {
            return false;
        }
        this.options.gate.close(socket);
        this.lingering.set(socket, { closesAt: performance.now() + lingerMs, bytesReadBefore: socket.bytesRead });
        socket.end();
        const { lingeringLimit = DEFAULT_LINGERING_LIMIT } = this.options;
        const [oldest] = this.lingering.keys();
        if (this.lingering.size > lingeringLimit) {
            this.lingering.delete(oldest);
            oldest.destroy();
        }
        this.updateTimer();
        return true;
    }

    private updateTimer(): void {
        if (this.lingering.size === 0) {
            clearInterval(this.timer);
            this.timer = undefined;
        } else {
            this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
        }
    }

    private check(): void {
        const now = performance.now();
        const { discardLimit = DEFAULT_DISCARD_LIMIT } = this.options;
        for (const [socket, { closesAt, bytesReadBefore }] of this.lingering) {
            if (now >= closesAt || socket.bytesRead - bytesReadBefore > discardLimit) {
                socket.destroy();
            }
        }
    }
}
