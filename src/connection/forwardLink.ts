import { Client, connectivityState, type ClientDuplexStream } from "@grpc/grpc-js";
import type { Clock } from "../process/runtime/clock.js";
import { isRefusalKind, refuse } from "../request/refusal.js";
import type { VersionedRow } from "../process/store/rows.js";
import type { AnswerSink, DispatchedRequest } from "./answerSink.js";
import { Batcher } from "./batcher.js";
import { peerService, type Frame, type FrameBatch, type OpenFrame, type PeerChannel } from "./peerProtocol.js";

/** Longest time that a request waits for the connection to a dispatcher. */
export const CONNECT_WAIT_MS = 80;

/** What the link reports besides the answers: the stream broke while requests were on it. */
export interface ForwardSink extends AnswerSink {
    /** The stream broke after the request was sent; whether it ran is open. */
    lost(): void;
}

/**
 * The forward stream from this instance to one dispatcher, opened on first use and again after it broke.
 *
 * @example
 * const request = link.open(frame, sink);
 * request.cancel();
 */
export class ForwardLink {
    private readonly client: Client;
    private stream: ClientDuplexStream<FrameBatch, FrameBatch> | undefined;
    private readonly pending = new Map<number, ForwardSink>();
    private nextId = 1;
    private disposed = false;
    private readonly batcher = new Batcher<Frame>(frames => this.stream?.write({ frames }));
    /** Bytes and frames sent and received, for the capacity figures. */
    readonly counters = { framesSent: 0, framesReceived: 0 };

    constructor(
        address: string,
        channel: PeerChannel,
        private readonly clock: Clock,
    ) {
        this.client = new Client(address, channel.credentials, channel.options);
    }

    /** Whether the connection is up now. A link that is idle or down starts to connect. */
    isReady(): boolean {
        return this.client.getChannel().getConnectivityState(true) === connectivityState.READY;
    }

    /** Waits until the connection is up. `false` when it failed or took longer than `CONNECT_WAIT_MS`. */
    async ready(): Promise<boolean> {
        if (this.isReady()) {
            return true;
        }
        const state = this.client.getChannel().getConnectivityState(false);
        if (state === connectivityState.TRANSIENT_FAILURE || this.disposed) {
            return false;
        }
        return new Promise(resolve => {
            const cancelTimer = this.clock.setTimer(CONNECT_WAIT_MS, () => resolve(false));
            const watch = () => {
                const channel = this.client.getChannel();
                const current = channel.getConnectivityState(false);
                // Closing the client calls the watcher, and a closed channel throws when it is watched again.
                if (current === connectivityState.SHUTDOWN) {
                    cancelTimer();
                    resolve(false);
                    return;
                }
                if (current === connectivityState.READY || current === connectivityState.TRANSIENT_FAILURE) {
                    cancelTimer();
                    resolve(current === connectivityState.READY);
                    return;
                }
                channel.watchConnectivityState(current, Date.now() + CONNECT_WAIT_MS, error => {
                    if (error === undefined) {
                        watch();
                    }
                });
            };
            watch();
        });
    }

    /** Sends a request to the dispatcher. The sink gets the answer, a refusal, or `lost`. */
    open(frame: OpenFrame, sink: ForwardSink): DispatchedRequest {
        const id = this.nextId;
        this.nextId = this.nextId === 0xffff_ffff ? 1 : this.nextId + 1;
        this.pending.set(id, sink);
        if (this.disposed) {
            // Reported after this call, as every other event of a request.
            queueMicrotask(() => this.losePending());
        }
        this.connect();
        this.send({ id, open: frame });
        return {
            cancel: () => {
                if (this.pending.delete(id)) {
                    this.send({ id, cancel: {} });
                }
            },
            // Also after the end of the answer: a dispatcher that leaves waits until its answers have been taken.
            credit: bytes => this.send({ id, credit: { bytes } }),
        };
    }

    /** Requests whose answers have not ended. */
    get openRequests(): number {
        return this.pending.size;
    }

    /** Ends the stream at once because the peer is held to be gone; pending requests are reported as lost. */
    breakStream(): void {
        this.stream?.cancel();
        this.streamEnded(this.stream);
    }

    dispose(): void {
        this.disposed = true;
        this.breakStream();
        this.client.close();
    }

    private send(frame: Frame): void {
        this.counters.framesSent++;
        this.batcher.add(frame);
    }

    private connect(): void {
        if (this.stream !== undefined || this.disposed) {
            return;
        }
        const { path, requestSerialize, responseDeserialize } = peerService.forward;
        const stream = this.client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize);
        this.stream = stream;
        stream.on("data", (batch: FrameBatch) => batch.frames.forEach(frame => this.receive(frame)));
        stream.on("error", () => this.streamEnded(stream));
        stream.on("end", () => this.streamEnded(stream));
    }

    private streamEnded(stream: ClientDuplexStream<FrameBatch, FrameBatch> | undefined): void {
        if (stream === undefined || this.stream !== stream) {
            return;
        }
        this.stream = undefined;
        this.losePending();
    }

    private losePending(): void {
        const sinks = [...this.pending.values()];
        this.pending.clear();
        sinks.forEach(sink => sink.lost());
    }

    private receive(frame: Frame): void {
        this.counters.framesReceived++;
        const sink = this.pending.get(frame.id);
        if (sink === undefined) {
            return;
        }
        if (frame.head) {
            sink.head(frame.head.status, frame.head.headers);
        } else if (frame.end) {
            this.pending.delete(frame.id);
            sink.end(frame.end.whole);
        } else if (frame.refused) {
            this.pending.delete(frame.id);
            const { type, detail, rows, mayHaveRun } = frame.refused;
            const known = isRefusalKind(type) ? refuse(type, detail) : refuse("internal", detail);
            sink.refused(known, { rows: rows === "" ? [] : (JSON.parse(rows) as VersionedRow[]), mayHaveRun });
        } else if (frame.data) {
            sink.data(frame.data);
        }
    }
}
