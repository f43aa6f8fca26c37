import { randomBytes, type KeyObject } from "node:crypto";
import * as grpc from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
    OPERATOR_CALLS,
    type OperatorCallName,
    type OperatorReply,
    type OperatorRequest,
    type OperatorStreamName,
    type OperatorUnaryName,
} from "./operatorCalls.js";
import { ERROR_TYPE_METADATA, isOperatorErrorType, type OperatorError } from "./operatorError.js";
import { operatorMethod } from "./operatorService.js";
import { SIGNATURE_METADATA, signCall } from "./operatorSignature.js";

/** Default timeout of a unary call, in milliseconds. Streaming calls have no timeout. */
export const DEFAULT_OPERATOR_CALL_MS = 10_000;

/** Interval and timeout of the pings on a connection with a call in progress, in milliseconds. */
export const STREAM_PING_MS = 5_000;

/** Why an operator call failed. */
export type OperatorClientError =
    | OperatorError
    /** The daemon couldn't be reached. */
    | { type: "daemon-unreachable"; detail: string }
    /** The daemon didn't reply in time. A change may have been made. */
    | { type: "daemon-timeout"; detail: string }
    /** The connection was lost during the call. A change may have been made. */
    | { type: "connection-lost"; detail: string }
    /** The daemon's reply doesn't conform to the protocol, for example because the versions differ. */
    | { type: "protocol-mismatch"; detail: string };

/** Name and private key of the person who signs calls. */
export interface OperatorIdentity {
    signer: string;
    privateKey: KeyObject;
}

const issuesText = (error: z.ZodError): string =>
    error.issues.map(issue => [issue.path.join("."), issue.message].filter(text => text !== "").join(": ")).join(" ");

/** Failures before the first reply, other than a refused connection, are caused by the transport security. */
const remedyOf = (reason: string): string =>
    reason.includes("ECONNREFUSED")
        ? "Check that the daemon runs, and the address in its section [listen], field operators."
        : "Check that it is the address for operators, that both sides use TLS (--plain only with mode = plain), and " +
          "that the certificates come from the same authority.";

const toClientError = (address: string, connected: boolean, error: grpc.ServiceError): OperatorClientError => {
    const type = error.metadata?.get(ERROR_TYPE_METADATA)[0]?.toString();
    if (type !== undefined && isOperatorErrorType(type)) {
        return { type, detail: error.details };
    }
    if (error.code === grpc.status.DEADLINE_EXCEEDED && connected) {
        return { type: "daemon-timeout", detail: `${address} gave no answer in time.` };
    }
    // gRPC appends a note about name resolution, which is empty for IP addresses.
    const reason = error.details.replace(/ Resolution note: *$/, "").replace(/[\s.]+$/, "");
    if (error.code === grpc.status.UNAVAILABLE || error.code === grpc.status.DEADLINE_EXCEEDED) {
        return connected
            ? { type: "connection-lost", detail: `The connection to ${address} was lost: ${reason}.` }
            : { type: "daemon-unreachable", detail: `${address} can't be reached: ${reason}. ${remedyOf(reason)}` };
    }
    return { type: "protocol-mismatch", detail: `${address} answered ${grpc.status[error.code]}: ${error.details}.` };
};

/**
 * Client of a daemon's operator interface. Signs the calls if it has an identity.
 *
 * @example
 * const client = new OperatorClient({ address: "10.0.0.5:7400", credentials, identity });
 * const reply = await client.call("moves", {});
 * client.dispose();
 */
export class OperatorClient {
    private readonly address: string;
    private readonly client: grpc.Client;
    private readonly identity: OperatorIdentity | undefined;
    private readonly callMs: number;
    private readonly wallMs: () => number;
    private instance: OperatorReply<"identify"> | undefined;

    constructor(options: {
        /** `host:port` of the daemon's operator interface. */
        address: string;
        credentials: grpc.ChannelCredentials;
        identity: OperatorIdentity | undefined;
        /** Timeout of a unary call in milliseconds. */
        callMs?: number;
        wallMs?: () => number;
    }) {
        this.address = options.address;
        // Retries are off: a call must fail at once if the daemon is down, and a signed call must not be repeated.
        // The pings end a stream whose daemon is frozen.
        this.client = new grpc.Client(options.address, options.credentials, {
            "grpc.enable_retries": 0,
            "grpc.keepalive_time_ms": STREAM_PING_MS,
            "grpc.keepalive_timeout_ms": STREAM_PING_MS,
        });
        this.identity = options.identity;
        this.callMs = options.callMs ?? DEFAULT_OPERATOR_CALL_MS;
        this.wallMs = options.wallMs ?? (() => Date.now());
    }

    dispose(): void {
        this.client.close();
    }

    /** Makes a unary call. */
    async call<Name extends OperatorUnaryName>(
        name: Name,
        request: OperatorRequest<Name>,
    ): Promise<Result<OperatorReply<Name>, OperatorClientError>> {
        const prepared = await this.prepare(name, request);
        return prepared.isErr() ? err(prepared.error) : this.send(name, prepared.value.bytes, prepared.value.metadata);
    }

    /** Makes a streaming call. The last update is the result or a failure. */
    async *stream<Name extends OperatorStreamName>(
        name: Name,
        request: OperatorRequest<Name>,
    ): AsyncGenerator<Result<OperatorReply<Name>, OperatorClientError>> {
        const prepared = await this.prepare(name, request);
        if (prepared.isErr()) {
            yield err(prepared.error);
            return;
        }
        const method = operatorMethod(name);
        const updates = this.client.makeServerStreamRequest(
            method.path,
            (bytes: Buffer) => bytes,
            method.responseDeserialize,
            prepared.value.bytes,
            prepared.value.metadata,
        );
        try {
            for await (const update of updates) {
                yield this.validate(name, update);
            }
        } catch (error) {
            yield err(toClientError(this.address, true, error as grpc.ServiceError));
        } finally {
            updates.cancel();
        }
    }

    private async prepare(
        name: OperatorCallName,
        request: object,
    ): Promise<Result<{ bytes: Buffer; metadata: grpc.Metadata }, OperatorClientError>> {
        const checked = OPERATOR_CALLS[name].request.safeParse(request);
        if (!checked.success) {
            return err({ type: "invalid-request", detail: issuesText(checked.error) });
        }
        // Also checks that the daemon is reachable before a change is sent.
        if (this.instance === undefined) {
            const identified = await this.send("identify", Buffer.alloc(0), new grpc.Metadata());
            if (identified.isErr()) {
                return err(identified.error);
            }
            this.instance = identified.value;
        }
        const bytes = operatorMethod(name).requestSerialize(checked.data);
        return ok({ bytes, metadata: this.sign(name, bytes, this.instance) });
    }

    private sign(name: OperatorCallName, payload: Buffer, recipient: OperatorReply<"identify">): grpc.Metadata {
        const metadata = new grpc.Metadata();
        if (this.identity === undefined) {
            return metadata;
        }
        const { signer, privateKey } = this.identity;
        const { instance, incarnation } = recipient;
        const timeMs = this.wallMs();
        const nonce = randomBytes(16).toString("hex");
        const facts = { method: operatorMethod(name).path, payload, signer, timeMs, nonce, instance, incarnation };
        metadata.set(SIGNATURE_METADATA.signer, signer);
        metadata.set(SIGNATURE_METADATA.time, String(timeMs));
        metadata.set(SIGNATURE_METADATA.nonce, nonce);
        metadata.set(SIGNATURE_METADATA.instance, instance);
        metadata.set(SIGNATURE_METADATA.incarnation, incarnation);
        metadata.set(SIGNATURE_METADATA.signature, signCall(facts, privateKey));
        return metadata;
    }

    private send<Name extends OperatorUnaryName>(
        name: Name,
        bytes: Buffer,
        metadata: grpc.Metadata,
    ): Promise<Result<OperatorReply<Name>, OperatorClientError>> {
        const method = operatorMethod(name);
        return new Promise(resolve => {
            this.client.makeUnaryRequest(
                method.path,
                (request: Buffer) => request,
                method.responseDeserialize,
                bytes,
                metadata,
                { deadline: Date.now() + this.callMs },
                (error, reply) =>
                    resolve(
                        error === null
                            ? this.validate(name, reply)
                            : err(toClientError(this.address, this.instance !== undefined, error)),
                    ),
            );
        });
    }

    private validate<Name extends OperatorCallName>(
        name: Name,
        reply: unknown,
    ): Result<OperatorReply<Name>, OperatorClientError> {
        const parsed = OPERATOR_CALLS[name].reply.safeParse(reply);
        return parsed.success
            ? ok(parsed.data as OperatorReply<Name>)
            : err({ type: "protocol-mismatch", detail: `${this.address} sent a bad reply: ${parsed.error.message}` });
    }
}
