import type { ChannelCredentials, ChannelOptions, ServiceDefinition } from "@grpc/grpc-js";
import protobuf from "protobufjs";

export interface Header {
    name: string;
    value: string;
}

/** Head and body of a request that is forwarded to the dispatcher. The fields are described in `proto/peer.proto`. */
export interface OpenFrame {
    service: string;
    target: string;
    kind: string;
    method: string;
    path: string;
    headers: Header[];
    body: Uint8Array;
    position: number;
    key: string;
    identifier: string;
    deadlineMs: number;
    caller: string;
    fingerprint: Uint8Array;
    bundleVersion: number;
    trace: string;
    idempotent: boolean;
    long: boolean;
    priority: number;
    anyOwner: boolean;
}

/** One frame of the forward stream; exactly one of the optional fields is set. */
export interface Frame {
    id: number;
    open?: OpenFrame | null;
    cancel?: object | null;
    credit?: { bytes: number } | null;
    head?: { status: number; headers: Header[] } | null;
    data?: Uint8Array | null;
    end?: { whole: boolean } | null;
    refused?: { type: string; detail: string; rows: string; mayHaveRun: boolean } | null;
}

export interface FrameBatch {
    frames: Frame[];
}

/** A message of the control stream with a JSON payload. */
export interface Note {
    kind: string;
    payload: string;
    correlation: number;
    reply: boolean;
}

/** One message of the control stream; exactly one field is set. */
export interface Control {
    hello?: {
        instance: string;
        domain: string;
        incarnation: string;
        completeRevision: number;
        receiver?: string;
    } | null;
    heartbeat?: { sequence: number; bundleVersion: number; countsReceiver: boolean } | null;
    heartbeatReply?: { sequence: number; promiseMs: number } | null;
    note?: Note | null;
}

/**
 * Wraps a note in a message of the control stream. Without a correlation it expects no reply.
 *
 * @example
 * link.send(noteControl("rows", JSON.stringify(rows)));
 */
export const noteControl = (kind: string, payload: string, correlation = 0, reply = false): Control => ({
    note: { kind, payload, correlation, reply },
});

export interface ControlBatch {
    controls: Control[];
}

const root = protobuf.loadSync(new URL("../../proto/peer.proto", sourceModuleUrl()).pathname);

/** URL of this module in the source tree, also for the compiled module; `proto/` isn't copied to the compiled tree. */
function sourceModuleUrl(): string {
    const url = import.meta.url;
    return url.includes("/dist/src/") ? url.replace("/dist/src/", "/src/") : url;
}

// The protobufjs codecs are called directly: proto-loader converts each message to and from plain objects, which
// doubles the cost of a frame.
const codecOf = <Message>(name: string, count: (bytes: number) => void) => {
    const type = root.lookupType(`sassafrasloom.${name}`);
    return {
        serialize: (message: Message): Buffer => {
            const bytes = type.encode(message as object).finish();
            count(bytes.length);
            return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
        },
        deserialize: (bytes: Buffer): Message => {
            count(bytes.length);
            return type.decode(bytes) as unknown as Message;
        },
    };
};

/** Bytes of messages between instances, sent and received since the start of the process. */
export const peerTraffic = { controlBytes: 0, forwardBytes: 0 };

const frameBatch = codecOf<FrameBatch>("FrameBatch", bytes => {
    peerTraffic.forwardBytes += bytes;
});
const controlBatch = codecOf<ControlBatch>("ControlBatch", bytes => {
    peerTraffic.controlBytes += bytes;
});

const streamOf = <Message>(
    path: string,
    codec: { serialize(message: Message): Buffer; deserialize(bytes: Buffer): Message },
) => ({
    path,
    requestStream: true,
    responseStream: true,
    requestSerialize: codec.serialize,
    requestDeserialize: codec.deserialize,
    responseSerialize: codec.serialize,
    responseDeserialize: codec.deserialize,
});

/** gRPC definition of the service between instances. */
export const peerService = {
    forward: streamOf("/sassafrasloom.Peer/Forward", frameBatch),
    control: streamOf("/sassafrasloom.Peer/Control", controlBatch),
} satisfies ServiceDefinition;

/** Interval of the keep-alive pings on a connection between instances, in milliseconds. */
export const DEFAULT_PING_MS = 500;
/** Time within which a keep-alive ping must be answered, in milliseconds. */
export const DEFAULT_PING_TIMEOUT_MS = 500;

/** Interval and timeout of the keep-alive pings, in milliseconds. */
export interface Pings {
    periodMs: number;
    timeoutMs: number;
}

/** Credentials and options of the connections to peers. */
export interface PeerChannel {
    credentials: ChannelCredentials;
    options: ChannelOptions;
}

/**
 * Options of peer channels and servers. Pings detect connections on which the peer no longer responds; large messages
 * are limited by credits.
 *
 * @example
 * const server = new Server(peerChannelOptions({ periodMs: 500, timeoutMs: 500 }));
 */
export const peerChannelOptions = (
    { periodMs, timeoutMs }: Pings = { periodMs: DEFAULT_PING_MS, timeoutMs: DEFAULT_PING_TIMEOUT_MS },
): ChannelOptions => ({
    "grpc.keepalive_time_ms": periodMs,
    "grpc.keepalive_timeout_ms": timeoutMs,
    "grpc.keepalive_permit_without_calls": 1,
    "grpc.http2.max_pings_without_data": 0,
    "grpc.http2.min_ping_interval_without_data_ms": 200,
    "grpc.max_receive_message_length": 64 * 1024 * 1024,
    "grpc.max_send_message_length": 64 * 1024 * 1024,
    "grpc.initial_reconnect_backoff_ms": 50,
    "grpc.max_reconnect_backoff_ms": 500,
    "grpc.use_local_subchannel_pool": 1,
});
