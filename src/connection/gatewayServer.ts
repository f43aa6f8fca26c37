import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as SocketServer, type AddressInfo, type Socket } from "node:net";
import { isFramed, type AnswerHead } from "../request/answerHead.js";
import { type AnswerStream, type CallerEnd, type GatewayCall, type GatewayReply } from "../request/gatewayCall.js";
import { refuse, type Refusal } from "../request/refusal.js";
import type { ClientLimits } from "../version/routeConfig.js";
import { afterInput } from "../process/runtime/afterInput.js";
import { AnswerTurn } from "./answerTurn.js";
import { ConnectionCloser } from "./connectionCloser.js";
import { MergedWrites } from "./mergedWrites.js";
import { handleClientErrors, writeLastProblem, writeProblem } from "./problemAnswer.js";
import { RequestGate } from "./requestGate.js";
import { processMemory, type StreamMemory, type CallerStream } from "./streamMemory.js";

/** Limits that apply until a config is known. */
export const DEFAULT_CLIENT_LIMITS: ClientLimits = {
    headerBytes: 16_384,
    bodyBytes: 67_108_864,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};
/** Maximum header section that the parser accepts, in bytes. The limit in force may be lower and can change. */
const PARSER_HEADER_BYTES = 131_072;
/** Maximum number of bytes of request bodies that the server buffers, for all requests together. */
export const DEFAULT_MAX_BUFFERED_BYTES = 67_108_864;
/** Interval of the check for stalled connections, in milliseconds. */
const STALL_CHECK_INTERVAL_MS = 500;
/** Maximum number of open connections of callers; the other file descriptors are left for targets. */
export const DEFAULT_CONNECTION_LIMIT = 3_000;
/** Time for which a new connection may wait for its first request before it counts as idle, in milliseconds. */
const FIRST_REQUEST_WAIT_MS = 300;
/** Maximum number of connections that wait to be accepted; sized for all callers reconnecting at once. */
const BACKLOG = 1_024;

/** Hop-by-hop headers of an answer, which aren't forwarded. */
const CONNECTION_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
/** Headers of a request that aren't forwarded. The body is sent with its own `content-length`. */
const UNFORWARDED_HEADERS = new Set([
    ...CONNECTION_HEADERS,
    "content-length",
    "expect",
    "host",
    "http2-settings",
    "proxy-authorization",
]);

/** Handles a request; the returned function cancels it when the caller has gone. */
export type CallHandler = (call: GatewayCall, reply: GatewayReply) => (end: CallerEnd) => void;

/** Fields of a call that are decoded from the caller's headers. */
export type CallFields = Pick<GatewayCall, "requestId" | "deadlineMs" | "key" | "forwarded">;

interface Exchange {
    cancel: (end: CallerEnd) => void;
    response: ServerResponse;
    turn: AnswerTurn;
    /** What the caller hasn't read of the answer. */
    unread: CallerStream;
    /** Frees the memory of the body and of the answer. */
    release: () => void;
}

/** The state of one connection of a caller. */
interface CallerConnection {
    exchanges: Set<Exchange>;
    /** Bytes received when the last answer was closed, 0 before the first; `undefined` while a request runs. */
    idleAtBytes: number | undefined;
    /** Monotonic time in milliseconds at which its last answer was handed to the operating system; `-Infinity` if none was. */
    answeredAt: number;
    /** Monotonic time in milliseconds. */
    openedAt: number;
    /** Monotonic time in milliseconds since which the connection isn't read; `undefined` while it is. */
    pausedAt: number | undefined;
}

/** Names that the `Connection` header declares as hop-by-hop headers. */
const namedByConnection = (request: IncomingMessage): Set<string> | undefined => {
    const value = request.headers.connection;
    if (value === undefined || /^(keep-alive|close)$/i.test(value)) {
        return undefined;
    }
    return new Set(value.split(",").map(name => name.trim().toLowerCase()));
};

/**
 * Headers of a request without hop-by-hop headers and without those for which `isReserved` is true.
 */
const forwardedHeaders = (request: IncomingMessage, isReserved: (name: string) => boolean): string[] => {
    const named = namedByConnection(request);
    const headers: string[] = [];
    const { rawHeaders } = request;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index].toLowerCase();
        if (!UNFORWARDED_HEADERS.has(name) && !isReserved(name) && named?.has(name) !== true) {
            headers.push(rawHeaders[index], rawHeaders[index + 1]);
        }
    }
    return headers;
};

const headerBytes = (request: IncomingMessage): number =>
    request.rawHeaders.reduce((sum, text) => sum + text.length + 2, request.url?.length ?? 0);

const refusalOfClientError = (error: NodeJS.ErrnoException): Refusal => {
    switch (error.code) {
        case "HPE_HEADER_OVERFLOW":
            return refuse("header-too-large", "The headers exceed the limit.");
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return refuse("request-timeout", "The rest of the request did not come.");
        default:
            return refuse("malformed-request", "The bytes are not an HTTP/1.1 request.");
    }
};

/** The HTTP server for callers of a gateway, with the methods for a graceful shutdown. */
export interface GatewayServer {
    /** Starts to listen and returns the port, which the operating system chooses for 0. */
    listen(port: number, host: string): Promise<number>;
    /** Applies the limits of a new config to new requests and connections. */
    setLimits(limits: ClientLimits): void;
    /** Closes idle connections and, from now on, each connection after its last pending answer. */
    startDraining(): void;
    /** Accepts no more connections, and closes those without a pending answer, also if part of a request has arrived. */
    closeAll(): void;
    /** Number of requests without a complete answer. */
    unfinished(): number;
    /** Number of closed connections whose callers may not have received their last answers. */
    closing(): number;
    dispose(): void;
}

/**
 * Creates the HTTP server for callers. It uses the server of Node.js directly: h3 would normalize the URL, which has to
 * reach the target unchanged. Pipelined requests on a connection run concurrently and are answered in order.
 *
 * @example
 * const server = createGatewayServer({ handle, fieldsOf, isReserved, monotonicMs, unreadSince, abandoned });
 * await server.listen(8641, "10.1.0.15");
 */
export const createGatewayServer = (options: {
    handle: CallHandler;
    fieldsOf: (headers: IncomingMessage["headers"]) => CallFields;
    /** Whether a header is set by the gateway and must not come from a caller. */
    isReserved: (name: string) => boolean;
    monotonicMs: () => number;
    /** Monotonic time in milliseconds since which input that is read now may have waited. */
    unreadSince: () => number;
    /** Called when a caller has left before its request was handled. */
    abandoned: () => void;
    connectionLimit?: number;
    /** Maximum size of the request bodies that are buffered, for all requests together, in bytes. */
    maxBufferedBytes?: number;
    /** Memory of all streams of the process. */
    memory?: StreamMemory;
}): GatewayServer => {
    const { maxBufferedBytes = DEFAULT_MAX_BUFFERED_BYTES, memory = processMemory } = options;
    let limits = DEFAULT_CLIENT_LIMITS;
    let draining = false;
    let bufferedBytes = 0;
    const connections = new Map<Socket, CallerConnection>();
    const gate = new RequestGate();
    const closer = new ConnectionCloser({ gate });

    const connectionOf = (socket: Socket): CallerConnection => {
        const known = connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const connection: CallerConnection = {
            exchanges: new Set(),
            idleAtBytes: 0,
            answeredAt: -Infinity,
            openedAt: options.monotonicMs(),
            pausedAt: undefined,
        };
        connections.set(socket, connection);
        closer.adopt(socket);
        socket.on("pause", () => (connection.pausedAt ??= options.monotonicMs()));
        socket.on("resume", () => (connection.pausedAt = undefined));
        const endOf = ({ pausedAt = Infinity }: CallerConnection): CallerEnd => {
            const since = options.unreadSince();
            if (pausedAt < since) {
                return { since: pausedAt, cause: "paused" };
            }
            return { since, cause: since < options.monotonicMs() ? "stall" : undefined };
        };
        const cancelExchanges = () => {
            const end = endOf(connection);
            connection.exchanges.forEach(exchange => exchange.cancel(end));
        };
        // A caller that aborts closes its connection; the first sign of that is the end of the bytes that it sends.
        socket.once("end", cancelExchanges);
        socket.once("close", () => {
            connections.delete(socket);
            cancelExchanges();
            // Responses whose turn hasn't come aren't closed with their connection.
            connection.exchanges.forEach(exchange => exchange.release());
        });
        return connection;
    };

    const closeIfIdle = (socket: Socket, connection: CallerConnection) => {
        const awaitsFirstRequest =
            connection.idleAtBytes === 0 && options.monotonicMs() - connection.openedAt < FIRST_REQUEST_WAIT_MS;
        if (connection.exchanges.size === 0 && connection.idleAtBytes === socket.bytesRead && !awaitsFirstRequest) {
            closer.closeUnread(socket, options.monotonicMs() - connection.answeredAt);
        }
    };

    const replyTo = (
        connection: CallerConnection,
        request: IncomingMessage,
        { response, turn, unread }: Exchange,
    ): GatewayReply => {
        /** Bytes that wait for the turn of the answer. */
        let heldBytes = 0;
        const measureUnread = () => {
            if (!request.socket.destroyed && !response.writableFinished) {
                memory.setUnread(unread, turn.isHeld ? heldBytes : response.writableLength);
            }
        };
        const hold = (bytes: number) => {
            if (turn.isHeld) {
                heldBytes += bytes;
                measureUnread();
            }
        };
        const closeAfterAnswer = () => {
            response.setHeader("connection", "close");
            gate.close(request.socket);
        };
        /** Closes the connection after this answer if no other request is pending on it. */
        const closeWhenDraining = () => {
            if (draining && connection.exchanges.size === 1) {
                closeAfterAnswer();
            }
        };
        const writeHead = (head: AnswerHead, length: number | undefined) => {
            response.statusCode = head.status;
            let hasLength = false;
            for (const { name, value } of head.headers) {
                if (!CONNECTION_HEADERS.has(name.toLowerCase())) {
                    hasLength ||= name.toLowerCase() === "content-length";
                    response.appendHeader(name, value);
                }
            }
            const mayHaveBody = request.method !== "HEAD" && head.status !== 204 && head.status !== 304;
            if (!hasLength && length !== undefined && mayHaveBody) {
                response.setHeader("content-length", length);
            }
            closeWhenDraining();
        };
        /** Starts an answer that ends with its connection if its target didn't state where it ends. */
        const startAnswer = (head: AnswerHead, length?: number) => {
            if (isFramed(head) || request.method === "HEAD") {
                writeHead(head, length);
            } else {
                response.useChunkedEncodingByDefault = false;
                writeHead(head, undefined);
                closeAfterAnswer();
            }
        };
        return {
            canClose: () => connection.exchanges.size === 1,
            answer: (head, body) => {
                const bytes = body.reduce((sum, chunk) => sum + chunk.length, 0);
                turn.run(() => {
                    startAnswer(head, bytes);
                    response.end(body.length === 1 ? body[0] : Buffer.concat(body));
                    measureUnread();
                });
                hold(bytes);
            },
            refuse: refusal =>
                turn.run(() => {
                    closeWhenDraining();
                    writeProblem(response, refusal);
                }),
            stream: (head, onDrain): AnswerStream => {
                turn.run(() => {
                    startAnswer(head);
                    response.on("drain", () => {
                        measureUnread();
                        onDrain();
                    });
                });
                const writes = new MergedWrites(response, measureUnread);
                return {
                    data: chunk => {
                        if (!turn.isHeld) {
                            return writes.write(chunk);
                        }
                        turn.run(() => {
                            if (response.write(chunk)) {
                                onDrain();
                            }
                            measureUnread();
                        });
                        hold(chunk.length);
                        return false;
                    },
                    end: () =>
                        turn.run(() => {
                            writes.flush();
                            response.end();
                        }),
                    abort: () =>
                        turn.run(() => {
                            writes.discard();
                            closer.cut(response);
                            const end: CallerEnd = { since: options.monotonicMs(), cause: undefined };
                            connection.exchanges.forEach(exchange => exchange.cancel(end));
                        }),
                };
            },
        };
    };

    /** Calls the handler when the whole body has been received. */
    const receive = (request: IncomingMessage, response: ServerResponse) => {
        if (!gate.admits(request)) {
            return;
        }
        if (!response.shouldKeepAlive) {
            // Node.js closes the connection after this answer.
            gate.close(request.socket);
        }
        const arrivedAt = options.monotonicMs();
        const connection = connectionOf(request.socket);
        let isReceiving = true;
        const exchange: Exchange = {
            cancel: () => (isReceiving = false),
            response,
            turn: new AnswerTurn(connection.exchanges.size === 0),
            unread: { bytes: 0, since: 0, cut: () => request.socket.resetAndDestroy() },
            release: () => undefined,
        };
        connection.exchanges.add(exchange);
        connection.idleAtBytes = undefined;
        response.sendDate = false;
        const reply = replyTo(connection, request, exchange);
        let bodyBytes = 0;
        let chunks: Buffer[] = [];
        let isRefused = false;
        /** What has arrived of the body while it isn't whole. */
        const arriving: CallerStream = {
            bytes: 0,
            since: 0,
            cut: () => {
                isRefused = true;
                releaseChunks();
                refuseUnread(refuse("request-timeout", "The rest of the request did not come."));
            },
        };
        let body: Buffer | undefined;
        const releaseChunks = () => {
            chunks = [];
            memory.setArrived(arriving, 0);
        };
        exchange.release = () => {
            bufferedBytes -= bodyBytes;
            bodyBytes = 0;
            releaseChunks();
            if (body !== undefined) {
                memory.release(body);
                body = undefined;
            }
            memory.setUnread(exchange.unread, 0);
        };
        const endExchange = () => {
            exchange.release();
            connection.exchanges.delete(exchange);
            const [next] = connection.exchanges;
            if (next === undefined) {
                connection.idleAtBytes = request.socket.bytesRead;
                connection.answeredAt = options.monotonicMs();
            } else {
                next.turn.take();
            }
        };
        response.once("close", endExchange);
        const refuseUnread = (refusal: Refusal) => {
            // The rest of the body isn't read, so the connection can't be reused.
            response.setHeader("connection", "close");
            gate.close(request.socket);
            reply.refuse(refusal);
        };
        const start = () => {
            body = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
            releaseChunks();
            memory.retain(body);
            const call: GatewayCall = {
                method: request.method ?? "GET",
                url: request.url ?? "/",
                host: request.headers.host ?? "",
                headers: forwardedHeaders(request, options.isReserved),
                body,
                arrivedAt,
                ...options.fieldsOf(request.headers),
            };
            // The end of a connection is read after its last request, and a caller that has left isn't served.
            const cancelStart = afterInput(() => {
                exchange.cancel = options.handle(call, reply);
            });
            exchange.cancel = () => {
                exchange.cancel = () => undefined;
                cancelStart();
                options.abandoned();
            };
        };
        if (headerBytes(request) > limits.headerBytes) {
            refuseUnread(refuse("header-too-large", `The headers exceed ${limits.headerBytes} bytes.`));
            return;
        }
        const contentLength = Number(request.headers["content-length"] ?? 0);
        if (contentLength > limits.bodyBytes) {
            refuseUnread(
                refuse("body-too-large", `The body has ${contentLength} bytes; the limit is ${limits.bodyBytes}.`),
            );
            return;
        }
        if (bufferedBytes + contentLength > maxBufferedBytes) {
            refuseUnread(refuse("overloaded", "Too many bytes of request bodies are held.", 0.5));
            return;
        }
        if (contentLength === 0 && request.headers["transfer-encoding"] === undefined) {
            start();
            return;
        }
        request.on("data", (chunk: Buffer) => {
            if (isRefused || request.socket.destroyed) {
                return;
            }
            chunks.push(chunk);
            bodyBytes += chunk.length;
            bufferedBytes += chunk.length;
            memory.setArrived(arriving, arriving.bytes + chunk.length);
            if (
                bodyBytes > limits.bodyBytes ||
                bufferedBytes > maxBufferedBytes ||
                !memory.hasRoomForBodies(arriving)
            ) {
                isRefused = true;
                releaseChunks();
                refuseUnread(
                    bodyBytes > limits.bodyBytes
                        ? refuse("body-too-large", `The body has more than ${limits.bodyBytes} bytes.`)
                        : refuse("overloaded", "Too many bytes of request bodies are held.", 0.5),
                );
            }
        });
        request.once("end", () => {
            // A refusal may have ended the connection while the body arrived.
            if (!isRefused && isReceiving && !request.socket.writableEnded) {
                start();
            }
        });
        // The end of the connection handles an interrupted request; without a listener the error would end the process.
        request.once("error", () => endExchange());
    };

    const server: Server = createServer(
        {
            maxHeaderSize: PARSER_HEADER_BYTES,
            headersTimeout: limits.headerTimeoutMs,
            requestTimeout: 0,
            connectionsCheckingInterval: STALL_CHECK_INTERVAL_MS,
            keepAliveTimeout: limits.idleTimeoutMs,
            noDelay: true,
        },
        receive,
    );
    server.maxConnections = options.connectionLimit ?? DEFAULT_CONNECTION_LIMIT;
    server.on("connection", (socket: Socket) => void connectionOf(socket));
    handleClientErrors(server, {
        gate,
        closer,
        responses: socket => [...(connections.get(socket)?.exchanges ?? [])].map(({ response }) => response),
        refuse: (socket, error) => writeLastProblem(socket, refusalOfClientError(error)),
    });

    return {
        listen: (port, host) =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen({ port, host, backlog: BACKLOG }, () => {
                    server.off("error", reject);
                    resolve((server.address() as AddressInfo).port);
                });
            }),
        setLimits: next => {
            limits = next;
            server.headersTimeout = next.headerTimeoutMs;
            server.keepAliveTimeout = next.idleTimeoutMs;
        },
        startDraining: () => {
            draining = true;
            connections.forEach((connection, socket) => closeIfIdle(socket, connection));
        },
        closeAll: () => {
            SocketServer.prototype.close.call(server);
            connections.forEach((connection, socket) => {
                if (connection.exchanges.size > 0) {
                    return;
                }
                if (connection.idleAtBytes === socket.bytesRead) {
                    closer.closeUnread(socket, options.monotonicMs() - connection.answeredAt);
                } else {
                    closer.close(socket);
                }
            });
        },
        closing: () => closer.size,
        unfinished: () => [...connections.values()].reduce((sum, { exchanges }) => sum + exchanges.size, 0),
        dispose: () => {
            SocketServer.prototype.close.call(server);
            connections.forEach(({ exchanges }, socket) =>
                closer.destroy(
                    socket,
                    [...exchanges].map(({ response }) => response),
                ),
            );
        },
    };
};
