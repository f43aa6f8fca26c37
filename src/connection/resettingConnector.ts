import type { Socket } from "node:net";
import { buildConnector } from "undici";
import { afterInput } from "../process/runtime/afterInput.js";
import { limitReads, type ReadLimit } from "./limitReads.js";

/**
 * Makes a socket reset its connection when it is destroyed because of an error. A connection that is merely closed
 * still delivers what was written, even seconds later when a network partition heals; a reset discards undelivered
 * data.
 */
const resetOnDestroy = (socket: Socket): void => {
    const destroy = socket.destroy.bind(socket);
    let resetCause: Error | undefined;
    socket.destroy = (error?: Error) => {
        if (resetCause !== undefined) {
            // Called by `resetAndDestroy`, which doesn't know the error.
            return destroy(resetCause);
        }
        if (error === undefined || socket.destroyed || socket.connecting) {
            return destroy(error);
        }
        resetCause = error;
        return socket.resetAndDestroy();
    };
};

/** Error of a connection that was closed before it was used. */
export class ClosedConnectionError extends Error {
    readonly code = "ECONNRESET";

    constructor() {
        super("The connection was closed as soon as it was established.");
    }
}

/**
 * Opens connections that are reset, not closed, when a call on them is aborted or its answer is excessive.
 *
 * @example
 * const readLimit = { isExcessive: (bytes: number) => bytes > 65_536 };
 * const client = new Client("http://10.0.0.5:80", { connect: resettingConnector({ timeoutMs: 500, readLimit }) });
 */
export const resettingConnector = (options: {
    timeoutMs: number;
    readLimit: ReadLimit;
    /** Called with each connection that is established. */
    onConnect?: (socket: Socket) => void;
    /** Called when a connection fails, before the HTTP client handles the failure. */
    onReset?: () => void;
}): buildConnector.connector => {
    const { timeoutMs, readLimit, onConnect = () => undefined, onReset = () => undefined } = options;
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) =>
        connect(options, (...[error, socket]) => {
            if (error !== null) {
                callback(error, null);
                return;
            }
            socket.once("error", onReset);
            resetOnDestroy(socket);
            limitReads(socket, readLimit);
            onConnect(socket);
            // The request is written at once, so the end of its caller's connection has to be read before.
            afterInput(() => {
                if (socket.destroyed) {
                    callback(new ClosedConnectionError(), null);
                } else {
                    callback(null, socket);
                }
            });
        });
};
