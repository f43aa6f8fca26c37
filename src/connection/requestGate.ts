import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * Keeps requests from being handled that come on a connection after its last answer. A refusal that is written because of a
 * timeout or of invalid bytes leaves the connection open for reading, and so does an answer that announces its close: whatever
 * follows would run although its caller was promised that it won't, or gets no answer.
 *
 * @example
 * const gate = new RequestGate();
 * gate.close(socket);
 * gate.admits(request); // false for a request on this socket
 */
export class RequestGate {
    private readonly closed = new WeakSet<Socket>();
    private readonly admitted = new WeakMap<Socket, number>();

    /** Whether a request may be handled. Called once for each request head; the rest of one that isn't admitted is discarded. */
    admits(request: IncomingMessage): boolean {
        const { socket } = request;
        if (this.closed.has(socket)) {
            request.resume();
            return false;
        }
        this.admitted.set(socket, this.admittedOn(socket) + 1);
        return true;
    }

    /** Number of requests that were admitted on a connection. */
    admittedOn(socket: Socket): number {
        return this.admitted.get(socket) ?? 0;
    }

    /** Admits no further request on a connection, whose last answer is given. */
    close(socket: Socket): void {
        this.closed.add(socket);
    }

    isClosed(socket: Socket): boolean {
        return this.closed.has(socket);
    }
}
