import type { Socket } from "node:net";
import { errors, Pool, type Dispatcher } from "undici";
import { resettingConnector } from "./resettingConnector.js";
import { classifyResponse, InvalidStatusError } from "./responseStatus.js";

/** The status and the headers of a response. */
export interface CallHead {
    status: number;
    headers: Record<string, string | string[] | undefined>;
}

/** The response to a call. */
export interface CallResponse extends CallHead {
    type: "response";
    body: Buffer;
    /** Whether the call was made twice, since an earlier response was doubted. */
    isSecond?: boolean;
}

/** The response to a call, or the reason why there is none. */
export type CallResult =
    | CallResponse
    /** No process listens at the address. */
    | { type: "refused"; detail: string }
    /** The call may have reached the process at the address. */
    | { type: "unanswered"; detail: string };

/** Limits of the time in which the body of a response arrives. */
export interface BodyTimeouts {
    /** Time without a further part after which the path counts as dead, in milliseconds. */
    partMs: number;
    /** Time from the first part to the last one, in milliseconds. */
    wholeMs: number;
}

/** A call of another process. */
export interface CallRequest {
    method: "GET" | "POST";
    path: string;
    body?: string;
    headers?: Record<string, string>;
    /** Ends the call, which then counts as unanswered. */
    signal?: AbortSignal;
    /** Called with the number of bytes whenever a part of the response's body arrives. */
    received?: (bytes: number) => void;
    /**
     * Limits of the time in which the body arrives, for a response that may be large. The timeout of the call then only limits
     * the time until the first part of the body; by default it limits all of it.
     */
    bodyTimeouts?: BodyTimeouts;
}

/** Timeout for establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 600;
/** Maximum size of a response, in bytes. The store limits a page of rows to 1 MB. */
const MAX_RESPONSE_BYTES = 8_388_608;

const TIMEOUT_TEXT = "The call has timed out.";

const originOf = (address: string): string => `http://${address}`;

/** Whether calls can be made to an address; `createCallPool` throws for others. */
export const isCallAddress = (address: string): boolean => URL.canParse(originOf(address));

/**
 * Keeps undici from replacing the connection of an aborted call before there is a further one. It does so if the connection
 * ends with an `InformationalError`, since it then keeps the aborted call in its queue.
 */
const endWithAbortedCall = (socket: Socket): void => {
    const destroy = socket.destroy.bind(socket);
    socket.destroy = (error?: Error) =>
        destroy(error instanceof errors.InformationalError ? new Error(error.message) : error);
};

/** Creates a connection pool for calls to one address. */
export const createCallPool = (address: string, connections: number): Pool =>
    new Pool(originOf(address), {
        connections,
        pipelining: 1,
        connect: resettingConnector({
            timeoutMs: CONNECT_TIMEOUT_MS,
            readLimit: { isExcessive: bytes => bytes > MAX_RESPONSE_BYTES },
            onConnect: endWithAbortedCall,
        }),
        headersTimeout: 0,
        bodyTimeout: 0,
    });

/**
 * Resets the connection of a response with an invalid status. The call then counts as unanswered: a status that the process never
 * meant to send says nothing of whether the call took effect.
 */
const rejectInvalidStatus: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) =>
    dispatch(options, {
        onRequestStart: (...started) => handler.onRequestStart?.(...started),
        onRequestUpgrade: (...upgraded) => handler.onRequestUpgrade?.(...upgraded),
        onResponseStart: (controller, status, headers, message) => {
            if (classifyResponse(status, headers) === "invalid") {
                controller.abort(new InvalidStatusError(status));
                return;
            }
            handler.onResponseStart?.(controller, status, headers, message);
        },
        onResponseData: (...received) => handler.onResponseData?.(...received),
        onResponseEnd: (...ended) => handler.onResponseEnd?.(...ended),
        onResponseError: (...failed) => handler.onResponseError?.(...failed),
    });

/** Makes one call through a dispatcher and reads the whole response. */
const dispatchCall = async (dispatcher: Dispatcher, request: CallRequest, timeoutMs: number): Promise<CallResult> => {
    // Node.js 20 may drop a timeout signal that only `AbortSignal.any` refers to, and the call would never end.
    const controller = new AbortController();
    const abort = () => controller.abort(request.signal?.reason);
    const { received, bodyTimeouts } = request;
    const endAfter = (ms: number) => setTimeout(() => controller.abort(new Error(TIMEOUT_TEXT)), ms);
    let timer = endAfter(timeoutMs);
    let wholeTimer: NodeJS.Timeout | undefined;
    request.signal?.addEventListener("abort", abort);
    try {
        if (request.signal?.aborted === true) {
            abort();
        }
        const response = await dispatcher.request({
            method: request.method,
            path: request.path,
            ...(request.body === undefined
                ? {}
                : { body: request.body, headers: { "content-type": "application/json", ...request.headers } }),
            signal: controller.signal,
        });
        const chunks: Buffer[] = [];
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            received?.(chunk.length);
            if (bodyTimeouts !== undefined && wholeTimer === undefined) {
                clearTimeout(timer);
                timer = endAfter(bodyTimeouts.partMs);
                wholeTimer = endAfter(bodyTimeouts.wholeMs);
            } else if (bodyTimeouts !== undefined) {
                timer.refresh();
            }
        }
        const body = Buffer.concat(chunks);
        return { type: "response", status: response.statusCode, headers: response.headers, body };
    } catch (error) {
        const code = typeof error === "object" && error !== null && "code" in error ? error.code : undefined;
        const detail = error instanceof Error ? error.message : String(error);
        return { type: code === "ECONNREFUSED" ? "refused" : "unanswered", detail };
    } finally {
        clearTimeout(timer);
        clearTimeout(wholeTimer);
        request.signal?.removeEventListener("abort", abort);
    }
};

/**
 * Makes one call and reads the whole response.
 *
 * @example
 * const result = await call(pool, { method: "POST", path: "/grant", body: "{}" }, 800);
 */
export const call = (pool: Dispatcher, request: CallRequest, timeoutMs: number): Promise<CallResult> =>
    dispatchCall(pool.compose(rejectInvalidStatus), request, timeoutMs);

/** Calls to one address. */
export interface RenewingCalls {
    call(request: CallRequest, timeoutMs: number): Promise<CallResult>;
    dispose(): void;
}

/**
 * Makes calls to one address over kept connections. After a call without an answer, further calls are made on new connections, as
 * the others may be dead, too; calls under way go on.
 *
 * @example
 * const calls = createRenewingCalls("10.200.1.7:8642", 8);
 * const result = await calls.call({ method: "GET", path: "/status" }, 900);
 */
export const createRenewingCalls = (address: string, connections: number): RenewingCalls => {
    let pool = createCallPool(address, connections);
    /** Pools with calls under way, and the one for new calls. */
    const pools = new Set([pool]);
    return {
        call: async (request, timeoutMs) => {
            const used = pool;
            const result = await call(used, request, timeoutMs);
            if (result.type === "unanswered" && used === pool) {
                pool = createCallPool(address, connections);
                pools.add(pool);
                const forget = () => void pools.delete(used);
                used.close().then(forget, forget);
            }
            return result;
        },
        dispose: () => pools.forEach(each => void each.destroy()),
    };
};

/**
 * Resets the connection of a doubted response when its head has been read. The response to the call may still be due there, and
 * the next call, which starts when a response is complete, would read it as its own.
 */
const resetOnDoubt =
    (isDoubted: (response: CallHead) => boolean, doubted: () => void): Dispatcher.DispatcherComposeInterceptor =>
    dispatch =>
    (options, handler) =>
        dispatch(options, {
            onRequestStart: (...started) => handler.onRequestStart?.(...started),
            onRequestUpgrade: (...upgraded) => handler.onRequestUpgrade?.(...upgraded),
            onResponseStart: (controller, status, headers, message) => {
                const isInformational = status < 200;
                if (!isInformational && isDoubted({ status, headers })) {
                    doubted();
                    controller.abort(new Error("The response is doubted."));
                    return;
                }
                handler.onResponseStart?.(controller, status, headers, message);
            },
            onResponseData: (...received) => handler.onResponseData?.(...received),
            onResponseEnd: (...ended) => handler.onResponseEnd?.(...ended),
            onResponseError: (...failed) => handler.onResponseError?.(...failed),
        });

/** One copy of a call that may be made twice. */
export interface CallCopy {
    request: CallRequest;
    /** Whether a response may belong to another call. There are no earlier responses on a new connection. */
    isDoubted: (response: CallHead, isNewConnection: boolean) => boolean;
}

/** Makes one copy of a call; `undefined` if its response is doubted. */
const callOnce = async (
    pool: Pool,
    { request, isDoubted }: CallCopy,
    isNewConnection: boolean,
    timeoutMs: number,
): Promise<CallResult | undefined> => {
    let wasDoubted = false;
    const doubting = resetOnDoubt(
        response => isDoubted(response, isNewConnection),
        () => {
            wasDoubted = true;
        },
    );
    const result = await dispatchCall(pool.compose(rejectInvalidStatus, doubting), request, timeoutMs);
    return wasDoubted ? undefined : result;
};

/**
 * Makes one call, and makes it again on a new connection if its response is doubted. Both take at most `timeoutMs` milliseconds
 * together. The connection of a doubted response isn't used for further calls.
 *
 * @example
 * const request = { method: "POST" as const, path: "/grant", body: "{}" };
 * const copy = () => ({ request, isDoubted: ({ status }: CallHead) => status === 421 });
 * const result = await callUntilTrusted({ address, pool, copy }, 800);
 */
export const callUntilTrusted = async (
    { address, pool, copy }: { address: string; pool: Pool; copy: () => CallCopy },
    timeoutMs: number,
): Promise<CallResult> => {
    const endsAt = performance.now() + timeoutMs;
    const first = await callOnce(pool, copy(), false, timeoutMs);
    if (first !== undefined) {
        return first;
    }
    const newPool = createCallPool(address, 1);
    const second = await callOnce(newPool, copy(), true, Math.max(0, Math.ceil(endsAt - performance.now())));
    void newPool.destroy();
    switch (second?.type) {
        case undefined:
            return { type: "unanswered", detail: "the response is that to another call" };
        case "response":
            return { ...second, isSecond: true };
        case "refused":
            // The first call has reached the process.
            return { type: "unanswered", detail: second.detail };
        case "unanswered":
            return second;
    }
};
