import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as SocketServer, type Socket } from "node:net";
import { H3, toNodeHandler } from "h3";
import type { Outcome } from "../request/outcome.js";
import { OUTCOME_HEADER } from "../request/outcome.js";
import { outcomeOfRefusal, refuse, type Refusal } from "../request/refusal.js";
import type { Header } from "./peerProtocol.js";
import { endWithProblem, onBadBytes, writeProblem } from "./problemAnswer.js";

/** Time in which the headers of a request must arrive, counted from its first byte, in milliseconds. */
export const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
/** Time in which a whole request must arrive, in milliseconds. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
/** Time between two looks for requests that stall, in milliseconds. The library's default would add 30 s. */
const STALL_CHECK_MS = 1_000;

/** Answers one caller. */
export interface CallerResponse {
    head(status: number, headers: Header[]): void;
    data(chunk: Uint8Array): void;
    /** Ends the answer; a broken one aborts the caller's connection. */
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

/** Controls the answer of a request: the caller's side reports through it. */
export interface AnsweredRequest {
    cancel(): void;
    credit(bytes: number): void;
}

/** Headers of a target's answer that concern its own connection. */
const CONNECTION_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding", "trailer", "upgrade"]);

const NO_ANSWER: AnsweredRequest = { cancel: () => undefined, credit: () => undefined };

const outcomeHeader = (refusal: Refusal): Record<string, string> => ({ [OUTCOME_HEADER]: outcomeOfRefusal(refusal) });

/** The refusal of bytes that the HTTP parser doesn't take as a request. */
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

/** Reads the whole body, or tells why it can't be used. `undefined` when the caller has gone. */
const readBody = async (request: IncomingMessage, limit: number): Promise<Buffer | Refusal | undefined> => {
    const announced = Number(request.headers["content-length"] ?? 0);
    if (announced > limit) {
        return refuse("body-too-large", `The body has ${announced} bytes; the limit is ${limit}.`);
    }
    if (announced === 0 && request.headers["transfer-encoding"] === undefined) {
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
        // The connection broke before the announced end of the body; nobody is left to answer.
        return undefined;
    }
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
};

const responseOf = (
    response: ServerResponse,
    isServing: () => boolean,
    flushed: (bytes: number) => void,
): CallerResponse => {
    let unflushed = 0;
    /** Tells the caller of a leaving instance not to send on this connection again, since it is about to be closed. */
    const closeAfterwards = () => {
        if (!isServing()) {
            response.setHeader("connection", "close");
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
            closeAfterwards();
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
                response.destroy();
            }
        },
        refused: refusal => {
            closeAfterwards();
            writeProblem(response, refusal, outcomeHeader(refusal));
        },
    };
    const creditRest = () => {
        // Cleared first: the credit can bring further data at once, which would be forgotten.
        const bytes = unflushed;
        unflushed = 0;
        flushed(bytes);
    };
    response.on("drain", creditRest);
    // What the caller didn't take before it left is credited too, as the dispatcher counts what is still on its way.
    response.on("close", creditRest);
    return sink;
};

/** The HTTP server for callers, with what a graceful end needs. */
export type CallerServer = Server & {
    /** Takes no new connections; those that are open stay. */
    stopListening(): void;
    /** Closes connections whose last answer has been sent and on which nothing has come since. */
    closeIdle(): void;
    /** Requests whose answers have not been handed to the system in full. */
    unfinished(): number;
};

/**
 * The HTTP server for callers.
 *
 * @example
 * const server = createCallerServer({ answer, isServing: () => true, refusedEarly, bodyLimit: 1048576, headerLimit: 16384,
 *     connectionLimit: 10000 });
 * server.listen(8080, "127.0.0.1");
 */
export const createCallerServer = (options: {
    answer: (request: ReceivedRequest, response: CallerResponse) => AnsweredRequest;
    /** Whether the load balancer should send requests here. */
    isServing: () => boolean;
    /** Called when a request is refused before it reaches `answer`. */
    refusedEarly: (refusal: Refusal) => void;
    bodyLimit: number;
    headerLimit: number;
    /** Most open connections; further ones are closed at once. */
    connectionLimit: number;
}): CallerServer => {
    const handle = async (request: IncomingMessage, url: string, response: ServerResponse): Promise<void> => {
        const body = await readBody(request, options.bodyLimit);
        if (body === undefined) {
            options.refusedEarly(refuse("truncated-body", "The connection broke within the body."));
            response.destroy();
            return;
        }
        let answered = NO_ANSWER;
        const sink = responseOf(response, options.isServing, bytes => answered.credit(bytes));
        if (!Buffer.isBuffer(body)) {
            options.refusedEarly(body);
            // The rest of the body is not read, so the connection can't be used again.
            response.setHeader("connection", "close");
            sink.refused(body);
            return;
        }
        let closed = false;
        response.on("close", () => {
            closed = true;
            if (!response.writableEnded) {
                answered.cancel();
            }
        });
        const { method = "", headers, socket } = request;
        answered = options.answer({ method, url, headers, remoteAddress: socket.remoteAddress ?? "", body }, sink);
        if (closed && !response.writableEnded) {
            answered.cancel();
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
        // The library would end the response once more when the promise resolves, and building the error for that took
        // 6% of the CPU time of a forwarded request. Only a failure settles it.
        return new Promise<never>((_, reject) => {
            handle(request, `${event.url.pathname}${event.url.search}`, response).catch(reject);
        });
    });
    /** Responses that are under way, by socket; a caller may send its next request before the answer to the last. */
    const open = new Map<Socket, Set<ServerResponse>>();
    /** Connections without a response under way, with the bytes received at the end of the last one. */
    const idleSince = new Map<Socket, number>();
    const handleNode = toNodeHandler(app) as (request: IncomingMessage, response: ServerResponse) => void;
    const server = createServer(
        {
            maxHeaderSize: options.headerLimit,
            // A silent caller must not hold a connection for ever; bodies are bounded by size.
            headersTimeout: DEFAULT_HEADERS_TIMEOUT_MS,
            requestTimeout: DEFAULT_REQUEST_TIMEOUT_MS,
            connectionsCheckingInterval: STALL_CHECK_MS,
            keepAliveTimeout: 65_000,
        },
        (request, response) => {
            const { socket } = request;
            const responses = open.get(socket) ?? new Set();
            idleSince.delete(socket);
            open.set(socket, responses.add(response));
            response.once("close", () => {
                responses.delete(response);
                if (responses.size === 0) {
                    open.delete(socket);
                    if (!socket.destroyed) {
                        idleSince.set(socket, socket.bytesRead);
                    }
                }
            });
            handleNode(request, response);
        },
    );
    server.maxConnections = options.connectionLimit;
    onBadBytes(
        server,
        socket => open.get(socket) ?? [],
        (socket, error) => {
            const refusal = refusalOfClientError(error, options.headerLimit);
            options.refusedEarly(refusal);
            endWithProblem(socket, refusal, outcomeHeader(refusal));
        },
    );
    server.on("connection", socket => socket.once("close", () => idleSince.delete(socket)));
    return Object.assign(server, {
        // The library's own `close` and `closeIdleConnections` also destroy connections whose answers have been ended
        // but are not sent yet, because their callers read slowly.
        stopListening: () => {
            SocketServer.prototype.close.call(server);
        },
        closeIdle: () => {
            for (const [socket, bytesRead] of idleSince) {
                if (socket.bytesRead === bytesRead) {
                    socket.destroy();
                }
            }
        },
        unfinished: () => [...open.values()].reduce((sum, responses) => sum + responses.size, 0),
    });
};
