import * as grpc from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import {
    OPERATOR_CALLS,
    type OperatorCallName,
    type OperatorStreamName,
    type OperatorUnaryName,
} from "../../connection/operatorCalls.js";
import {
    ERROR_TYPE_METADATA,
    operatorError,
    statusOfOperatorError,
    type OperatorError,
} from "../../connection/operatorError.js";
import { operatorMethod, operatorServerDefinition, type RawRequest } from "../../connection/operatorService.js";
import type { Logger } from "../observability/logger.js";
import type { OperatorAuthentication } from "./operatorAuthentication.js";
import type { OperatorCallContext, OperatorHandlers } from "./operatorHandlers.js";

/** Time that a shutdown waits for calls in progress, in milliseconds. */
export const DEFAULT_OPERATOR_STOP_MS = 2_000;
/** Maximum size of a request message. Fits a bundle of the maximum size with its framing. */
export const MAX_OPERATOR_MESSAGE_BYTES = 2_097_152;

/** Reason why the operator server couldn't be started. */
export interface OperatorServerError {
    type: "operator-bind-failed";
    address: string;
    detail: string;
}

/** A running operator server. */
export interface OperatorServer {
    port: number;
    dispose(): Promise<void>;
}

interface ServerOptions {
    /** `host:port` to listen on. */
    address: string;
    instance: string;
    domain: string;
    incarnation: string;
    credentials: grpc.ServerCredentials;
    authentication: OperatorAuthentication;
    /** Accepts calls with `read` access without a signature. */
    anonymousReads: boolean;
    handlers: OperatorHandlers;
    logger: Logger;
}

type AnyCall = Pick<grpc.ServerUnaryCall<RawRequest, object>, "metadata" | "request">;

// The handlers are type-checked where they are implemented. Here a request has been validated by the schema of its
// call, so the untyped form is safe.
type AnyUnaryHandler = (
    request: unknown,
    context: OperatorCallContext,
) => Promise<Result<Record<string, unknown>, OperatorError>>;
type AnyStreamHandler = (
    request: unknown,
    context: OperatorCallContext,
) => AsyncIterable<Result<Record<string, unknown>, OperatorError>>;

const toStatus = (error: OperatorError): Partial<grpc.StatusObject> => {
    const metadata = new grpc.Metadata();
    metadata.set(ERROR_TYPE_METADATA, error.type);
    return { code: statusOfOperatorError(error.type), details: error.detail, metadata };
};

/**
 * Starts the gRPC server for operator calls on its own address. Each call is authenticated, its message validated and
 * passed to the daemon's handler.
 *
 * @example
 * const server = await startOperatorServer({ address: "10.0.0.5:7400", credentials, authentication, handlers, ...rest });
 */
export const startOperatorServer = async (
    options: ServerOptions,
): Promise<Result<OperatorServer, OperatorServerError>> => {
    const { logger } = options;

    const admit = (name: OperatorCallName, call: AnyCall, signal: AbortSignal): Result<AdmittedCall, OperatorError> => {
        const { access, request } = OPERATOR_CALLS[name];
        const signer = authenticate(name, access, call);
        if (signer.isErr()) {
            logger.warn("An operator call was refused.", { call: name, reason: signer.error.type });
            return err(signer.error);
        }
        const parsed = request.safeParse(call.request.message);
        if (!parsed.success) {
            const detail = parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join(" ");
            return err(operatorError("invalid-request", detail));
        }
        if (access === "change") {
            logger.info("An operator's change has started.", { call: name, operator: signer.value });
        }
        return ok({ request: parsed.data, context: { operator: signer.value, signal } });
    };

    const authenticate = (
        name: OperatorCallName,
        access: "open" | "read" | "change",
        call: AnyCall,
    ): Result<string | undefined, OperatorError> => {
        if (access === "open") {
            return ok(undefined);
        }
        const signer = options.authentication.verify({
            method: operatorMethod(name).path,
            payload: call.request.bytes,
            metadata: field => call.metadata.get(field)[0]?.toString(),
        });
        // A call with an invalid signature is refused even if none is required, so that a misconfiguration is noticed.
        return signer.isErr() && signer.error.type === "unsigned" && access === "read" && options.anonymousReads
            ? ok(undefined)
            : signer;
    };

    const internalError = (name: OperatorCallName, error: unknown): OperatorError => {
        logger.error("An operator call failed.", {
            call: name,
            error: error instanceof Error ? error.name : "unknown",
        });
        return operatorError("internal", "The daemon failed to carry out the call. See its log.");
    };

    const unary =
        (name: OperatorUnaryName, handler: AnyUnaryHandler): grpc.handleUnaryCall<RawRequest, object> =>
        (call, callback) => {
            const abort = new AbortController();
            call.on("cancelled", () => abort.abort());
            const admitted = admit(name, call, abort.signal);
            if (admitted.isErr()) {
                callback(toStatus(admitted.error));
                return;
            }
            handler(admitted.value.request, admitted.value.context)
                .catch((error: unknown) => err(internalError(name, error)))
                .then(result =>
                    result.match(
                        reply => callback(null, reply),
                        error => callback(toStatus(error)),
                    ),
                );
        };

    const stream =
        (name: OperatorStreamName, handler: AnyStreamHandler): grpc.handleServerStreamingCall<RawRequest, object> =>
        async call => {
            const abort = new AbortController();
            call.on("cancelled", () => abort.abort());
            const fail = (error: OperatorError) => call.emit("error", toStatus(error));
            const admitted = admit(name, call, abort.signal);
            if (admitted.isErr()) {
                fail(admitted.error);
                return;
            }
            try {
                for await (const update of handler(admitted.value.request, admitted.value.context)) {
                    if (update.isErr()) {
                        fail(update.error);
                        return;
                    }
                    if (abort.signal.aborted) {
                        return;
                    }
                    call.write(update.value);
                }
                call.end();
            } catch (error) {
                fail(internalError(name, error));
            }
        };

    const identify: AnyUnaryHandler = async () =>
        ok({ instance: options.instance, domain: options.domain, incarnation: options.incarnation });

    const implementations = Object.fromEntries(
        (Object.keys(OPERATOR_CALLS) as OperatorCallName[]).map(name => {
            if (name === "identify") {
                return [name, unary(name, identify)];
            }
            return name === "drain" || name === "bundleRoll"
                ? [name, stream(name, options.handlers[name] as AnyStreamHandler)]
                : [name, unary(name, options.handlers[name] as AnyUnaryHandler)];
        }),
    );

    const server = new grpc.Server({ "grpc.max_receive_message_length": MAX_OPERATOR_MESSAGE_BYTES });
    server.addService(operatorServerDefinition(), implementations);
    return new Promise(resolve => {
        server.bindAsync(options.address, options.credentials, (error, port) => {
            if (error !== null) {
                resolve(err({ type: "operator-bind-failed", address: options.address, detail: error.message }));
                return;
            }
            resolve(ok({ port, dispose: () => stop(server) }));
        });
    });
};

interface AdmittedCall {
    request: unknown;
    context: OperatorCallContext;
}

const stop = (server: grpc.Server): Promise<void> =>
    new Promise(resolve => {
        const timer = setTimeout(() => server.forceShutdown(), DEFAULT_OPERATOR_STOP_MS);
        server.tryShutdown(() => {
            clearTimeout(timer);
            resolve();
        });
    });
