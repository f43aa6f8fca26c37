import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as SocketServer, type Socket } from "node:net";
import { H3, toNodeHandler } from "h3";
import type { Outcome } from "../request/outcome.js";
import { OUTCOME_HEADER } from "../request/outcome.js";
import { outcomeOfRefusal, refuse, type Refusal } from "../request/refusal.js";
import type { Header } from "./peerProtocol.js";
import { ConnectionCloser } from "./connectionCloser.js";
import { handleClientErrors, writeLastProblem, writeProblem } from "./problemAnswer.js";
import { RequestGate } from "./requestGate.js";

/** Time in which the headers of a request must arrive, counted from its first byte, in milliseconds. */
export const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
/** Time in which a whole request must arrive, in milliseconds. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
/** Interval of the check for stalled requests, in milliseconds. The default of Node.js would add up to 30 s. */
const STALL_CHECK_INTERVAL_MS = 1_000;

/** Answers one caller. */
export interface CallerResponse {
    head(status: number, headers: Header[]): void;
    data(chunk: Uint8Array): void;
    /** Ends the answer; an incomplete one aborts the caller's connection. */
    end(whole: boolean): void;
    refused(refusal: Refusal): void;
}

/** A caller's request with its whole body. */
export interface ReceivedRequest {
    method: string;
    url: string;
    headers: IncomingMessage["headers"];
    remoteAddress: string;
    body: Buffer;
}

/** Controls the answer to a request: reports that the caller has gone or accepts more data. */
export interface AnswerControl {
    cancel(): void;
    credit(bytes: number): void;
}

/** Hop-by-hop headers of a target's answer, which aren't forwarded. */
const CONNECTION_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding", "trailer", "upgrade"]);

const NO_ANSWER: AnswerControl = { cancel: () => undefined, credit: () => undefined };

const outcomeHeader = (refusal: Refusal): Record<string, string> => ({ [OUTCOME_HEADER]: outcomeOfRefusal(refusal) });

/** The refusal for a request that the HTTP parser rejected or that timed out. */
const refusalOfClientError = (error: NodeJS.ErrnoException, headerLimit: number): Refusal => {
    switch (error.code) {
        case "HPE_HEADER_OVERFLOW":
            return refuse("header-too-large", `The headers exceed ${headerLimit} bytes.`);
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return refuse("request-timeout", "The rest of the request did not come.");
        case "HPE_INVALID_EOF_STATE":
            return refuse("truncated-body", "The connection ended within the request.");
        default:
            return refuse("malformed-request", "The bytes are not an HTTP/1.1 request.");
    }
};

/** Reads the whole body, or returns a refusal if it can't be accepted; `undefined` if the caller has gone. */
const readBody = async (request: IncomingMessage, limit: number): Promise<Buffer | Refusal | undefined> => {
    const contentLength = Number(request.headers["content-length"] ?? 0);
    if (contentLength > limit) {
        return refuse("body-too-large", `The body has ${contentLength} bytes; the limit is ${limit}.`);
    }
    if (contentLength === 0 && request.headers["transfer-encoding"] === undefined) {
        return Buffer.alloc(0);
    }
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            length += chunk.length;
            if (length > limit) {
                return refuse("body-too-large", `The body has more than ${limit} bytes.`);
            }
            chunks.push(chunk);
        }
    } catch {
        // The connection was lost before the end of the body, so no answer can be sent.
        return undefined;
    }
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
};

/** What an answer depends on besides its request. */
interface ConnectionState {
    isServing: () => boolean;
    /** Whether no other request is pending on the connection. */
    isLast: () => boolean;
    /** Closes the connection after this answer. */
    closeAfterAnswer: () => void;
    /** Ends the connection within this answer. */
    cut: () => void;
}

const createResponse = (
    response: ServerResponse,
    { isServing, isLast, closeAfterAnswer, cut }: ConnectionState,
    flushed: (bytes: number) => void,
): CallerResponse => {
    let unflushed = 0;
    /** Tells the caller of a leaving instance not to reuse the connection, unless further requests are pending on it. */
    const closeWhenLeaving = () => {
        if (!isServing() && isLast()) {
            closeAfterAnswer();
        }
    };
    const sink: CallerResponse = {
        head: (status, headers) => {
            response.statusCode = status;
            for (const { name, value } of headers) {
                if (!CONNECTION_HEADERS.has(name)) {
                    response.appendHeader(name, value);
                }
            }
            response.setHeader(OUTCOME_HEADER, "answered" satisfies Outcome);
            closeWhenLeaving();
        },
        data: chunk => {
            if (response.write(chunk)) {
                flushed(chunk.length);
            } else {
                unflushed += chunk.length;
            }
        },
        end: whole => {
            if (whole) {
                response.end();
            } else {
                cut();
            }
        },
        refused: refusal => {
            closeWhenLeaving();
            writeProblem(response, refusal, outcomeHeader(refusal));
        },
    };
    const creditUnflushed = () => {
        // Cleared first: the credit can cause further data at once, whose count would be lost.
        const bytes = unflushed;
        unflushed = 0;
        flushed(bytes);
    };
    response.on("drain", creditUnflushed);
    // Bytes that a closed connection never sent are credited too, because the dispatcher counts the bytes in transit.
    response.on("close", creditUnflushed);
    return sink;
};

/** The HTTP server for callers, with the methods for a graceful shutdown. */
export type CallerServer = Server & {
    /** Accepts no new connections; open ones stay open. */
    stopListening(): void;
    /** Closes connections whose last answer has been sent and that have received nothing since. */
    closeIdle(): void;
    /** Number of requests whose answers haven't been handed to the operating system completely. */
    unfinished(): number;
    /** Number of closed connections whose callers may not have received their last answers. */
    closing(): number;
};

/**
 * Creates the HTTP server for callers.
 *
 * @example
 * const server = createCallerServer({ answer, isServing: () => true, refusedEarly, bodyLimit: 1048576,
 *     headerLimit: 16384, connectionLimit: 10000 });
 * server.listen(8080, "127.0.0.1");
 */
export const createCallerServer = (options: {
    answer: (request: ReceivedRequest, response: CallerResponse) => AnswerControl;
    /** Whether the load balancer should send requests here. */
    isServing: () => boolean;
    /** Called when a request is refused before it reaches `answer`. */
    refusedEarly: (refusal: Refusal) => void;
    bodyLimit: number;
    headerLimit: number;
    /** Maximum number of open connections; further ones are closed at once. */
    connectionLimit: number;
}): CallerServer => {
    /** Unfinished responses by socket; a caller may send its next request before the previous one is answered. */
    const openResponses = new Map<Socket, Set<ServerResponse>>();
    /** Idle connections, with the bytes received and the time in milliseconds when their last response was closed. */
    const idle = new Map<Socket, { bytesRead: number; since: number }>();
    const gate = new RequestGate();
    const closer = new ConnectionCloser({ gate });
    const handle = async (request: IncomingMessage, url: string, response: ServerResponse): Promise<void> => {
        // A request whose body isn't read to its end loses its socket.
        const { socket } = request;
        const closeAfterAnswer = () => {
            response.setHeader("connection", "close");
            gate.close(socket);
        };
        const body = await readBody(request, options.bodyLimit);
        if (body === undefined) {
            options.refusedEarly(refuse("truncated-body", "The connection broke within the body."));
            response.destroy();
            return;
        }
        if (socket.writableEnded) {
            // A refusal has ended the connection while the body arrived.
            return;
        }
        let control = NO_ANSWER;
        const isLast = () => openResponses.get(socket)?.size === 1;
        const cut = () => closer.cut(response);
        const connection = { isServing: options.isServing, isLast, closeAfterAnswer, cut };
        const sink = createResponse(response, connection, bytes => control.credit(bytes));
        if (!Buffer.isBuffer(body)) {
            options.refusedEarly(body);
            // The rest of the body isn't read, so the connection can't be reused.
            closeAfterAnswer();
            sink.refused(body);
            return;
        }
        let closed = false;
        response.on("close", () => {
            closed = true;
            if (!response.writableEnded) {
                control.cancel();
            }
        });
        const { method = "", headers } = request;
        control = options.answer({ method, url, headers, remoteAddress: socket.remoteAddress ?? "", body }, sink);
        if (closed && !response.writableEnded) {
            control.cancel();
        }
    };
    const app = new H3();
    app.get("/healthz", event => {
        event.res.status = options.isServing() ? 200 : 503;
        return options.isServing() ? "serving\n" : "leaving\n";
    });
    app.all("/**", event => {
        const node = event.runtime?.node;
        const request = node?.req as IncomingMessage;
        const response = node?.res as ServerResponse;
        // The promise settles only on failure: when it resolves, h3 ends the response a second time, and creating the
        // error for that took 6% of the CPU time of a forwarded request.
        return new Promise<never>((_, reject) => {
            handle(request, `${event.url.pathname}${event.url.search}`, response).catch(reject);
        });
    });
    const handleNode = toNodeHandler(app) as (request: IncomingMessage, response: ServerResponse) => void;
    const server = createServer(
        {
            maxHeaderSize: options.headerLimit,
            // Prevents a stalled caller from holding a connection indefinitely; bodies are also limited in size.
            headersTimeout: DEFAULT_HEADERS_TIMEOUT_MS,
            requestTimeout: DEFAULT_REQUEST_TIMEOUT_MS,
            connectionsCheckingInterval: STALL_CHECK_INTERVAL_MS,
            keepAliveTimeout: 65_000,
        },
        (request, response) => {
            if (!gate.admits(request)) {
                return;
            }
            const { socket } = request;
            if (!response.shouldKeepAlive) {
                // Node.js closes the connection after this answer.
                gate.close(socket);
            }
            const responses = openResponses.get(socket) ?? new Set();
            idle.delete(socket);
            openResponses.set(socket, responses.add(response));
            response.once("close", () => {
                responses.delete(response);
                if (responses.size === 0) {
                    openResponses.delete(socket);
                    if (!socket.destroyed) {
                        idle.set(socket, { bytesRead: socket.bytesRead, since: performance.now() });
                    }
                }
            });
            handleNode(request, response);
        },
    );
    server.maxConnections = options.connectionLimit;
    handleClientErrors(server, {
        gate,
        closer,
        responses: socket => openResponses.get(socket) ?? [],
        refuse: (socket, error) => {
            const refusal = refusalOfClientError(error, options.headerLimit);
            options.refusedEarly(refusal);
            writeLastProblem(socket, refusal, outcomeHeader(refusal));
        },
    });
    server.on("connection", (socket: Socket) => {
        closer.adopt(socket);
        socket.once("close", () => idle.delete(socket));
    });
    return Object.assign(server, {
        // The `close` and `closeIdleConnections` methods of Node.js also destroy connections whose answers have ended
        // but aren't sent yet, because their callers read slowly.
        stopListening: () => {
            SocketServer.prototype.close.call(server);
        },
        closeIdle: () => {
            for (const [socket, { bytesRead, since }] of idle) {
                if (socket.bytesRead === bytesRead) {
                    closer.closeUnread(socket, performance.now() - since);
                }
            }
        },
        closing: () => closer.size,
        unfinished: () => [...openResponses.values()].reduce((sum, responses) => sum + responses.size, 0),
    });
};
