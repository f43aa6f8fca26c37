import { Agent, request as sendRequest } from "undici";
import { v7 as uuidv7 } from "uuid";
import { z } from "zod";
import {
    CALLER_HEADER,
    DEADLINE_HEADER,
    IDENTIFIER_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    SERVICE_HEADER,
} from "../../src/request/outcome.js";
import { parseJson } from "./httpSupport.js";

/** Timeout of requests that don't specify one. */
export const DEFAULT_CLIENT_TIMEOUT_MS = 30_000;

const problemSchema = z.object({ type: z.string(), detail: z.string().optional() });

/** Request that a test sends. */
export interface TestRequest {
    /** `host:port`. */
    address: string;
    method?: "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE";
    path: string;
    service?: string;
    key?: string;
    /** Identifier to send; `"new"` generates a UUIDv7. If omitted, none is sent. */
    identifier?: string;
    deadlineMs?: number;
    caller?: string;
    headers?: Record<string, string>;
    body?: string | Buffer;
    timeoutMs?: number;
    signal?: AbortSignal;
}

/** Response as the caller received it. `status` is `undefined` if no head arrived; `whole` means a complete body. */
export interface TestReply {
    identifier: string | undefined;
    status: number | undefined;
    outcome: string | undefined;
    /** Type of the problem details without its prefix. */
    problem: string | undefined;
    headers: Record<string, string | string[] | undefined>;
    body: Buffer;
    whole: boolean;
    error: string | undefined;
    elapsedMs: number;
}

/**
 * HTTP client that sends requests like a caller.
 *
 * @example
 * const reply = await client.send({ address, method: "POST", path: "/orders", key: "k1", identifier: "new" });
 * reply.outcome; // "answered"
 */
export class RequestClient {
    private readonly agent: Agent;

    constructor(options: { connections?: number } = {}) {
        this.agent = new Agent({ connections: options.connections ?? 256, pipelining: 1 });
    }

    dispose(): Promise<void> {
        return this.agent.destroy();
    }

    async send(request: TestRequest): Promise<TestReply> {
        const startedAt = performance.now();
        const identifier = request.identifier === "new" ? uuidv7() : request.identifier;
        const reply: TestReply = {
            identifier,
            status: undefined,
            outcome: undefined,
            problem: undefined,
            headers: {},
            body: Buffer.alloc(0),
            whole: false,
            error: undefined,
            elapsedMs: 0,
        };
        const chunks: Buffer[] = [];
        const timeout = AbortSignal.timeout(request.timeoutMs ?? DEFAULT_CLIENT_TIMEOUT_MS);
        try {
            const response = await sendRequest(`http://${request.address}${request.path}`, {
                dispatcher: this.agent,
                method: request.method ?? "GET",
                headers: RequestClient.headersOf(request, identifier),
                body: request.body,
                signal: request.signal === undefined ? timeout : AbortSignal.any([timeout, request.signal]),
            });
            reply.status = response.statusCode;
            reply.headers = response.headers;
            const outcome = response.headers[OUTCOME_HEADER];
            reply.outcome = typeof outcome === "string" ? outcome : undefined;
            for await (const chunk of response.body) {
                chunks.push(chunk as Buffer);
            }
            reply.whole = true;
        } catch (error) {
            reply.error = error instanceof Error ? error.message : String(error);
        }
        reply.body = Buffer.concat(chunks);
        if (String(reply.headers["content-type"]).startsWith("application/problem+json")) {
            const problem = problemSchema.safeParse(parseJson(reply.body.toString()));
            reply.problem = problem.success ? problem.data.type.split(":").pop() : undefined;
        }
        reply.elapsedMs = performance.now() - startedAt;
        return reply;
    }

    private static headersOf(request: TestRequest, identifier: string | undefined): Record<string, string> {
        const headers = {
            [SERVICE_HEADER]: request.service,
            [KEY_HEADER]: request.key,
            [IDENTIFIER_HEADER]: identifier,
            [DEADLINE_HEADER]: request.deadlineMs?.toString(),
            [CALLER_HEADER]: request.caller,
            ...request.headers,
        };
        return Object.fromEntries(Object.entries(headers).filter(entry => entry[1] !== undefined)) as Record<
            string,
            string
        >;
    }
}
