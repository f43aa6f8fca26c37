import { Pool } from "undici";
import { resettingConnector } from "./resettingConnector.js";

/** The response to a call. */
export interface CallResponse {
    type: "response";
    status: number;
    headers: Record<string, string | string[] | undefined>;
    body: Buffer;
}

/** The response to a call, or the reason why there is none. */
export type CallResult =
    | CallResponse
    /** No process listens at the address. */
    | { type: "refused"; detail: string }
    /** The call may have reached the process at the address. */
    | { type: "unanswered"; detail: string };

/** A call of another process. */
export interface CallRequest {
    method: "GET" | "POST";
    path: string;
    body?: string;
    headers?: Record<string, string>;
    /** Ends the call, which then counts as unanswered. */
    signal?: AbortSignal;
}

/** Timeout for establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 600;
/** Maximum size of a response, in bytes. The store limits a page of rows to 1 MB. */
const MAX_RESPONSE_BYTES = 8_388_608;

const TIMEOUT_TEXT = "The call has timed out.";

const originOf = (address: string): string => `http://${address}`;

/** Whether calls can be made to an address; `createCallPool` throws for others. */
export const isCallAddress = (address: string): boolean => URL.canParse(originOf(address));

/** Creates a connection pool for calls to one address. */
export const createCallPool = (address: string, connections: number): Pool =>
    new Pool(originOf(address), {
        connections,
        pipelining: 1,
        connect: resettingConnector({
            timeoutMs: CONNECT_TIMEOUT_MS,
            readLimit: { isExcessive: bytes => bytes > MAX_RESPONSE_BYTES },
        }),
        headersTimeout: 0,
        bodyTimeout: 0,
    });

/**
 * Makes one call and reads the whole response.
 *
 * @example
 * const result = await call(pool, { method: "POST", path: "/grant", body: "{}" }, 800);
 */
export const call = async (pool: Pool, request: CallRequest, timeoutMs: number): Promise<CallResult> => {
    // Node.js 20 may drop a timeout signal that only `AbortSignal.any` refers to, and the call would never end.
    const controller = new AbortController();
    const abort = () => controller.abort(request.signal?.reason);
    const timer = setTimeout(() => controller.abort(new Error(TIMEOUT_TEXT)), timeoutMs);
    request.signal?.addEventListener("abort", abort);
    try {
        if (request.signal?.aborted === true) {
            abort();
        }
        const response = await pool.request({
            method: request.method,
            path: request.path,
            ...(request.body === undefined
                ? {}
                : { body: request.body, headers: { "content-type": "application/json", ...request.headers } }),
            signal: controller.signal,
        });
        const body = Buffer.from(await response.body.arrayBuffer());
        return { type: "response", status: response.statusCode, headers: response.headers, body };
    } catch (error) {
        const code = typeof error === "object" && error !== null && "code" in error ? error.code : undefined;
        const detail = error instanceof Error ? error.message : String(error);
        return { type: code === "ECONNREFUSED" ? "refused" : "unanswered", detail };
    } finally {
        clearTimeout(timer);
        request.signal?.removeEventListener("abort", abort);
    }
};

/**
 * Makes one call, and makes it again on a new connection, which has no earlier responses, if its response is doubted. Both take
 * at most `timeoutMs` milliseconds together.
 *
 * @example
 * const isDoubted = ({ status }: CallResponse) => status === 421;
 * const result = await callUntilTrusted({ address, pool, isDoubted }, { method: "POST", path: "/grant", body: "{}" }, 800);
 */
export const callUntilTrusted = async (
    options: { address: string; pool: Pool; isDoubted: (response: CallResponse) => boolean },
    request: CallRequest,
    timeoutMs: number,
): Promise<CallResult> => {
    const endsAt = performance.now() + timeoutMs;
    const first = await call(options.pool, request, timeoutMs);
    if (first.type !== "response" || !options.isDoubted(first)) {
        return first;
    }
    const pool = createCallPool(options.address, 1);
    const second = await call(pool, request, Math.max(0, Math.ceil(endsAt - performance.now())));
    void pool.destroy();
    // The first call has reached the process.
    return second.type === "refused" ? { type: "unanswered", detail: second.detail } : second;
};
