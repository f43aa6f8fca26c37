import { Client, type Dispatcher } from "undici";
import type { Clock } from "../process/runtime/clock.js";
import type { Refusal } from "../request/refusal.js";
import { ConnectionQueue } from "./connectionQueue.js";
import type { Header } from "./peerProtocol.js";
import { resettingConnector } from "./resettingConnector.js";
import { classifyResponse, InvalidStatusError } from "./responseStatus.js";
import { spreadReads } from "./spreadReads.js";
import { processMemory, type StreamMemory } from "./streamMemory.js";

/** Idle time after which a connection to a target is closed instead of reused, in milliseconds. */
export const DEFAULT_IDLE_LIMIT_MS = 10_000;
/** Time within which a connection to a target must be established, in milliseconds. */
export const DEFAULT_CONNECT_TIMEOUT_MS = 500;
/** Time within which connections that end are taken to end for the same reason, in milliseconds. */
const ENDED_TOGETHER_MS = 100;
/** Maximum number of connections of one `TargetConnections`. */
export const DEFAULT_CONNECTION_LIMIT = 128;

/**
 * Maximum size in bytes of the request bodies that one target is handed at a time, as a target that reads nothing would hold all of
 * them. A larger body is sent while no other one is.
 */
export const MAX_BODY_BYTES_AT_TARGET = 8_388_608;

/** Maximum size in bytes of what surrounds the content of an answer, apart from `MAX_FRAMING_RATIO`. */
const MAX_FRAMING_BYTES = 262_144;
/** Maximum ratio of an answer's bytes to its content. Chunks of a single byte have a ratio of 6. */
const MAX_FRAMING_RATIO = 8;
/** Maximum number of lines of an answer's head, with the informational answers before it, and of its trailer. */
const MAX_LINES = 512;
/** Number of bytes, and of parts of its content, that are read of an answer before other connections get their turn. */
const MAX_BYTES_IN_A_TURN = 65_536;
const MAX_PARTS_IN_A_TURN = 256;

/** A request as it is sent to a target. */
export interface TargetRequest {
    method: string;
    path: string;
    /** By name, or alternating names and values. */
    headers: Record<string, string> | string[];
    body: Uint8Array;
}

/** Receives the answer of a target. */
export interface TargetAnswer {
    /**
     * The request is about to be written; from then on it may have reached the target.
     *
     * @param connectedAt monotonic time in milliseconds at which its connection was established; missing if another instance has it
     */
    sent(connectedAt?: number): void;
    head(status: number, headers: Header[], boot: string | undefined): void;
    data(chunk: Uint8Array): void;
    /** The whole answer has arrived. */
    end(): void;
    failed(failure: TargetFailure): void;
}

/** Why a request to a target has no complete answer. */
export interface TargetFailure {
    type:
        | "refused"
        | "connect-timeout"
        | "broken"
        | "aborted"
        | "connection-limit"
        /** It may not be sent any more since its connection is established. */
        | "withheld"
        /** Another instance, to which the request was forwarded, has sent nothing of it to the target. */
        | "not-forwarded"
        /** The head or the framing of the answer was too large. */
        | "excessive-framing"
        /** The response has a status that is none of HTTP. */
        | "invalid-status";
    /** Whether the target refused the connection, which means that no process listens. */
    refused: boolean;
    detail: string;
    /**
     * Monotonic time in milliseconds up to which the connection shows that the target's process ran; that of the attempt if it wasn't
     * established.
     */
    aliveAt?: number;
    /** Why another instance has sent nothing of the request, if it has stated that. */
    refusal?: Refusal;
}

/** Controls a request that is sent to a target. */
export interface SentRequest {
    /** Closes the connection of the request; `failed` is called unless the answer has ended or failed. */
    abort(reason: string): void;
    pause(): void;
    resume(): void;
}

interface TargetConnection {
    client: Client;
    connectedAt: number;
    lastSuccessAt: number;
    idle: boolean;
    /** Size of the content that was read since the last write, in bytes. */
    contentBytes: number;
    /** Number of parts in which content was read so far. */
    parts: number;
    /** Size of the content that the head of the answer states, in bytes; 0 if it states none. */
    statedBytes: number;
    /** Whether reading of the answer is paused. */
    isPaused: boolean;
    /** Has the HTTP client read on; set when the connection is established. */
    readOn: () => void;
    /** Whether the connection was reset. The HTTP client reports an answer without a length as complete even then. */
    wasReset: boolean;
}

/** Idle connections that the target has closed or reset. */
export interface EndedIdle {
    /** Number of those that have ended within 0.1 s. */
    together: number;
    /** Number of connections that are left. */
    left: number;
    /** Monotonic time in milliseconds up to which they show that the target's process ran. */
    aliveAt: number;
}

/** Codes of the errors of the HTTP client for a connection that the other side has closed or reset. */
const ENDED_BY_TARGET = new Set(["UND_ERR_SOCKET", "ECONNRESET"]);

const codeOf = (error: unknown): string =>
    typeof error === "object" && error !== null && "code" in error ? String(error.code) : "";

const originOf = (address: string): string => `http://${address}`;

/** Message of the HTTP client about a status that isn't three digits; it has no code. */
const INVALID_STATUS_LINE = /\(Invalid (response status|status code)\)$/;

const describeFailure = (error: unknown): TargetFailure => {
    const code = codeOf(error);
    const detail = error instanceof Error ? error.message : String(error);
    if (code === "ECONNREFUSED") {
        return { type: "refused", refused: true, detail };
    }
    if (code === "UND_ERR_CONNECT_TIMEOUT" || code === "ETIMEDOUT") {
        return { type: "connect-timeout", refused: false, detail };
    }
    if (code === "EXCESSIVE_READ" || code === "UND_ERR_HEADERS_OVERFLOW") {
        return { type: "excessive-framing", refused: false, detail };
    }
    if (code === "INVALID_STATUS" || INVALID_STATUS_LINE.test(detail)) {
        return { type: "invalid-status", refused: false, detail };
    }
    return { type: code === "UND_ERR_ABORTED" ? "aborted" : "broken", refused: false, detail };
};

/** Blanks around a field's value, which the HTTP client keeps at its end although they aren't part of it (RFC 9110). */
const SURROUNDING_BLANKS = /^[ \t]+|[ \t]+$/g;

const toHeaderList = (headers: Record<string, string | string[] | undefined>): Header[] => {
    const list: Header[] = [];
    for (const [name, value] of Object.entries(headers)) {
        for (const single of Array.isArray(value) ? value : [value]) {
            if (single !== undefined) {
                list.push({ name, value: single.replace(SURROUNDING_BLANKS, "") });
            }
        }
    }
    return list;
};

/**
 * The HTTP connections to one target. A connection carries one request at a time, so closing it ends only that
 * request.
 *
 * @example
 * const sent = connections.send(request, answer, { fresh: false });
 * sent.abort("the answer is late");
 */
export class TargetConnections {
    private readonly connections = new Set<TargetConnection>();
    private readonly idle: TargetConnection[] = [];
    private disposed = false;
    /** Size of the request bodies that the target was handed and whose requests haven't ended, in bytes. */
    private bodyBytes = 0;
    private ended = { from: -Infinity, count: 0, aliveAt: -Infinity };
    private readonly hasValidAddress: boolean;
    private readonly limit: number;
    /** Requests that wait until a connection is free. `send` doesn't consult it. */
    readonly queue = new ConnectionQueue(() => this.limit - (this.connections.size - this.idle.length));
    /** Connections opened so far. */
    opened = 0;

    constructor(
        private readonly address: string,
        private readonly clock: Clock,
        private readonly options: {
            connectTimeoutMs?: number;
            limit?: number;
            memory?: StreamMemory;
            /** Called when the target has ended an idle connection. */
            idleEnded?: (ended: EndedIdle) => void;
        } = {},
    ) {
        this.limit = options.limit ?? DEFAULT_CONNECTION_LIMIT;
        this.hasValidAddress = URL.canParse(originOf(address));
    }

    /**
     * Sends a request on an idle connection, or on a new one if there is none or `fresh` is set. Connections idle for
     * more than `maxIdleMs` are closed, as the target may be about to close them. At the limit an idle connection is
     * closed to open a new one; if none is idle, the request fails with `connection-limit` before it is sent. So does one whose
     * body, with those that the target was handed, is too large. At an address that isn't valid, each request fails before it is
     * sent. `maySend` is consulted when the connection is established; if it returns `false`, the request fails with `withheld`
     * before it is sent.
     */
    send(
        request: TargetRequest,
        answer: TargetAnswer,
        options: { fresh: boolean; maxIdleMs?: number; maySend?: () => boolean },
    ): SentRequest {
        if (!this.hasValidAddress) {
            const detail = `${this.address} isn't a host and a port; correct the entry of the target.`;
            return this.failUnsent(answer, { type: "broken", refused: false, detail });
        }
        const { body } = request;
        if (this.bodyBytes > 0 && this.bodyBytes + body.length > MAX_BODY_BYTES_AT_TARGET && body.length > 0) {
            const detail = `The target was handed ${this.bodyBytes} bytes of bodies that it hasn't answered.`;
            return this.failUnsent(answer, { type: "connection-limit", refused: false, detail });
        }
        const connection = (options.fresh ? undefined : this.takeIdle(options.maxIdleMs)) ?? this.openWithinLimit();
        if (connection === undefined) {
            const detail = "The connection limit of the target is reached; raise connections-per-target.";
            return this.failUnsent(answer, { type: "connection-limit", refused: false, detail });
        }
        connection.idle = false;
        const { memory = processMemory } = this.options;
        this.bodyBytes += body.length;
        memory.retain(body);
        const settle = () => {
            settled = true;
            this.bodyBytes -= body.length;
            memory.release(body);
        };
        let controller: Dispatcher.DispatchController | undefined;
        let abortReason: string | undefined;
        let isWithheld = false;
        let settled = false;
        const fail = (error: unknown) => {
            if (settled) {
                return;
            }
            settle();
            this.discard(connection);
            const failure = { ...describeFailure(error), aliveAt: connection.lastSuccessAt };
            const type = isWithheld ? "withheld" : "aborted";
            answer.failed(abortReason === undefined ? failure : { ...failure, type, detail: abortReason });
        };
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: started => {
                controller = started;
                if (abortReason === undefined && options.maySend?.() === false) {
                    isWithheld = true;
                    abortReason = "it may not be sent any more";
                }
                if (abortReason !== undefined) {
                    started.abort(new Error(abortReason));
                    return;
                }
                answer.sent(connection.connectedAt);
            },
            onResponseStart: (responding, status, headers) => {
                const kind = classifyResponse(status, headers);
                if (kind === "invalid") {
                    responding.abort(new InvalidStatusError(status));
                } else if (kind === "final") {
                    connection.statedBytes = Number(headers["content-length"] ?? 0);
                    const boot = headers["sassafrasloom-boot"];
                    answer.head(status, toHeaderList(headers), typeof boot === "string" ? boot : undefined);
                }
            },
            onResponseData: (_controller, chunk) => {
                connection.contentBytes += chunk.length;
                connection.parts++;
                answer.data(chunk);
            },
            onResponseEnd: () => {
                if (settled) {
                    return;
                }
                if (connection.wasReset) {
                    fail(new Error("the connection was reset during the answer"));
                    return;
                }
                settle();
                this.release(connection);
                answer.end();
            },
            onResponseError: (_controller, error) => fail(error),
        };
        const { method, path, headers } = request;
        connection.client.dispatch(
            { method: method as Dispatcher.HttpMethod, path, headers, body: body.length === 0 ? null : body },
            handler,
        );
        return {
            abort: reason => {
                if (settled) {
                    return;
                }
                abortReason = reason;
                if (controller === undefined) {
                    fail(new Error(reason));
                } else {
                    controller.abort(new Error(reason));
                }
            },
            // The HTTP client's own pause throws an error that nobody handles if the connection ends meanwhile.
            pause: () => {
                connection.isPaused = !settled;
            },
            resume: () => {
                if (connection.isPaused) {
                    connection.isPaused = false;
                    connection.readOn();
                }
            },
        };
    }

    /** Closes idle connections whose last success isn't after `before`; they may be broken like the one that failed. */
    closeIdleBefore(before: number): void {
        this.idle
            .filter(connection => connection.lastSuccessAt <= before)
            .forEach(connection => this.discard(connection));
    }

    /** Number of open connections, including idle ones. */
    get size(): number {
        return this.connections.size;
    }

    dispose(): void {
        this.disposed = true;
        [...this.connections].forEach(connection => this.discard(connection));
    }

    private takeIdle(maxIdleMs = DEFAULT_IDLE_LIMIT_MS): TargetConnection | undefined {
        const now = this.clock.monotonicMs();
        for (;;) {
            const connection = this.idle.pop();
            if (connection === undefined) {
                return undefined;
            }
            if (
                connection.client.destroyed ||
                now - connection.lastSuccessAt > Math.min(maxIdleMs, DEFAULT_IDLE_LIMIT_MS)
            ) {
                this.discard(connection);
                continue;
            }
            return connection;
        }
    }

    private openWithinLimit(): TargetConnection | undefined {
        if (this.connections.size >= this.limit && this.idle.length > 0) {
            this.discard(this.idle[0]);
        }
        return this.connections.size < this.limit ? this.open() : undefined;
    }

    /** Reports the failure in a microtask, because the caller doesn't have the request until this returns. */
    private failUnsent(answer: TargetAnswer, cause: TargetFailure): SentRequest {
        let isSettled = false;
        const fail = (failure: TargetFailure) => {
            if (!isSettled) {
                isSettled = true;
                answer.failed(failure);
            }
        };
        queueMicrotask(() => fail(cause));
        return {
            abort: reason => fail({ type: "aborted", refused: false, detail: reason }),
            pause: () => undefined,
            resume: () => undefined,
        };
    }

    private open(): TargetConnection {
        this.opened++;
        const client = new Client(originOf(this.address), {
            pipelining: 1,
            connect: resettingConnector({
                timeoutMs: this.options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
                clock: this.clock,
                readLimit: {
                    isExcessive: bytes => bytes > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * connection.contentBytes,
                    lines: {
                        max: MAX_LINES,
                        contentBytes: () => connection.contentBytes,
                        areContent: bytes => bytes <= connection.statedBytes - connection.contentBytes,
                    },
                    isPaused: () => connection.isPaused,
                    onWrite: () => {
                        connection.contentBytes = 0;
                        connection.statedBytes = 0;
                        connection.isPaused = false;
                    },
                },
                onConnect: socket => {
                    connection.connectedAt = this.clock.monotonicMs();
                    connection.lastSuccessAt = connection.connectedAt;
                    spreadReads(socket, {
                        maxBytes: MAX_BYTES_IN_A_TURN,
                        maxParts: MAX_PARTS_IN_A_TURN,
                        parts: () => connection.parts,
                    });
                    connection.readOn = () => socket.emit("readable");
                },
                onReset: () => {
                    connection.wasReset = true;
                },
            }),
            // The dispatcher enforces the deadline of each request, which shorter timeouts of the client would hide.
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: DEFAULT_IDLE_LIMIT_MS,
            keepAliveMaxTimeout: DEFAULT_IDLE_LIMIT_MS,
        });
        const connection: TargetConnection = {
            client,
            connectedAt: Infinity,
            lastSuccessAt: this.clock.monotonicMs(),
            idle: false,
            contentBytes: 0,
            parts: 0,
            statedBytes: 0,
            isPaused: false,
            readOn: () => undefined,
            wasReset: false,
        };
        this.connections.add(connection);
        client.on("disconnect", (_origin, _targets, error) => {
            if (!connection.idle) {
                return;
            }
            const isEndedByTarget = this.connections.has(connection) && ENDED_BY_TARGET.has(codeOf(error));
            this.discard(connection);
            if (isEndedByTarget) {
                this.idleEnded(connection);
            }
        });
        return connection;
    }

    private idleEnded({ lastSuccessAt }: TargetConnection): void {
        const now = this.clock.monotonicMs();
        if (now - this.ended.from > ENDED_TOGETHER_MS) {
            this.ended = { from: now, count: 0, aliveAt: -Infinity };
        }
        this.ended.count++;
        this.ended.aliveAt = Math.max(this.ended.aliveAt, lastSuccessAt);
        const { count, aliveAt } = this.ended;
        this.options.idleEnded?.({ together: count, left: this.connections.size, aliveAt });
    }

    private release(connection: TargetConnection): void {
        connection.lastSuccessAt = this.clock.monotonicMs();
        if (this.disposed || connection.client.destroyed) {
            this.discard(connection);
            return;
        }
        connection.idle = true;
        this.idle.push(connection);
        this.queue.serve();
    }

    private discard(connection: TargetConnection): void {
        this.connections.delete(connection);
        const index = this.idle.indexOf(connection);
        if (index >= 0) {
            this.idle.splice(index, 1);
        }
        connection.client.destroy().catch(() => undefined);
        this.queue.serve();
    }
}
