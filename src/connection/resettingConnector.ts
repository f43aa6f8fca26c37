import type { Socket } from "node:net";
import { buildConnector } from "undici";

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

/**
 * Opens connections that are reset, not closed, when a call on them is aborted.
 *
 * @param onReset called when a connection fails, before the HTTP client handles the failure
 *
 * @example
 * const client = new Client("http://10.0.0.5:80", { connect: resettingConnector(500) });
 */
export const resettingConnector = (
    timeoutMs: number,
    onReset: () => void = () => undefined,
): buildConnector.connector => {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) =>
        connect(options, (...[error, socket]) => {
            if (error !== null) {
                callback(error, null);
                return;
            }
            socket.once("error", onReset);
            resetOnDestroy(socket);
            callback(null, socket);
        });
};
