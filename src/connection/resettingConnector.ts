import { connect as connectSocket, type Socket } from "node:net";
import { errors, type buildConnector } from "undici";
import { afterInput } from "../process/runtime/afterInput.js";
import { systemClock, type Clock } from "../process/runtime/clock.js";
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

/** Port of HTTP addresses that name none. */
const DEFAULT_PORT = 80;
/** Size of the pieces in which a connection is read, in bytes. */
const READ_BYTES = 65_536;
/** Idle time after which the operating system probes a connection, in milliseconds. */
const KEEP_ALIVE_MS = 60_000;

/**
 * Opens a connection, or calls back with an error when the timeout has passed. The connector of the HTTP client counts its timeout
 * in steps of half a second, so that connections could be established a whole second after they were asked for.
 */
const openWithin = (
    { host, port, timeoutMs, clock }: { host: string; port: number; timeoutMs: number; clock: Clock },
    callback: (error: Error | undefined, socket: Socket) => void,
): void => {
    // The types don't know that the options of a stream may be given, too.
    const options = { host, port, highWaterMark: READ_BYTES };
    const socket = connectSocket(options);
    socket.setKeepAlive(true, KEEP_ALIVE_MS).setNoDelay(true);
    let hasEnded = false;
    const end = (error: Error | undefined) => {
        if (!hasEnded) {
            hasEnded = true;
            cancelTimer();
            callback(error, socket);
        }
    };
    const giveUp = () => {
        const text = `No connection to ${host}:${port} was established within ${timeoutMs} ms.`;
        socket.destroy(new errors.ConnectTimeoutError(text));
    };
    // A connection that was established during a stall isn't late.
    const cancelTimer = clock.setTimer(timeoutMs, () => afterInput(() => (hasEnded ? undefined : giveUp())));
    socket.once("connect", () => end(undefined));
    socket.on("error", end);
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
    /** Called when a connection fails, also by a reset, before the HTTP client handles it. */
    onReset?: () => void;
    clock?: Clock;
}): buildConnector.connector => {
    const {
        timeoutMs,
        readLimit,
        onConnect = () => undefined,
        onReset = () => undefined,
        clock = systemClock,
    } = options;
    return ({ hostname, port }, callback) =>
        openWithin({ host: hostname, port: Number(port || DEFAULT_PORT), timeoutMs, clock }, (error, socket) => {
            if (error !== undefined) {
                callback(error, null);
                return;
            }
            socket.once("error", onReset);
            // Node.js reports a reset as a proper end if it reads it together with the last bytes. There is no peer then.
            socket.once("end", () => (socket.remoteAddress === undefined ? onReset() : undefined));
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
