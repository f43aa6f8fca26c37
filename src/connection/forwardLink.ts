import { Client, connectivityState, type ClientDuplexStream } from "@grpc/grpc-js";
import type { Clock } from "../process/runtime/clock.js";
import { isRefusalKind, refuse } from "../request/refusal.js";
import type { VersionedRow } from "../process/store/rows.js";
import type { AnswerSink, DispatchedRequest } from "./answerSink.js";
import { Batcher } from "./batcher.js";
import { peerService, type Frame, type FrameBatch, type OpenFrame, type PeerChannel } from "./peerProtocol.js";

/** Maximum time for which a request waits for the connection to a dispatcher, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 80;

/** An answer sink that is also told when the stream breaks while the request is pending. */
export interface ForwardSink extends AnswerSink {
    /** The stream broke after the request was sent; whether the request ran is unknown. */
    lost(): void;
}

/**
 * The forward stream from this instance to one dispatcher, opened on first use and reopened on the next use after it
 * broke.
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
    /** Frames sent and received, for capacity measurements. */
    readonly counters = { framesSent: 0, framesReceived: 0 };

    constructor(
        address: string,
        channel: PeerChannel,
        private readonly clock: Clock,
    ) {
        this.client = new Client(address, channel.credentials, channel.options);
    }

    /** Whether the connection is established. An idle or broken link starts to connect. */
    isReady(): boolean {
        return this.client.getChannel().getConnectivityState(true) === connectivityState.READY;
    }

    /** Waits until the connection is established. `false` if it failed or took longer than `CONNECT_TIMEOUT_MS`. */
    async ready(): Promise<boolean> {
        if (this.isReady()) {
            return true;
        }
        const state = this.client.getChannel().getConnectivityState(false);
        if (state === connectivityState.TRANSIENT_FAILURE || this.disposed) {
            return false;
        }
        return new Promise(resolve => {
            const cancelTimer = this.clock.setTimer(CONNECT_TIMEOUT_MS, () => resolve(false));
            const watch = () => {
                const channel = this.client.getChannel();
                const current = channel.getConnectivityState(false);
                // Closing the client calls the watcher, and a closed channel throws if it is watched again.
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
                channel.watchConnectivityState(current, Date.now() + CONNECT_TIMEOUT_MS, error => {
                    if (error === undefined) {
                        watch();
                    }
                });
            };
            watch();
        });
    }

    /** Sends a request to the dispatcher. The sink receives the answer, a refusal or `lost`. */
    open(frame: OpenFrame, sink: ForwardSink): DispatchedRequest {
        const id = this.nextId;
        this.nextId = this.nextId === 0xffff_ffff ? 1 : this.nextId + 1;
        this.pending.set(id, sink);
        if (this.disposed) {
            // Reported after this call returns, as all other events of a request are.
            queueMicrotask(() => this.reportPendingLost());
        }
        this.connect();
        this.send({ id, open: frame });
        return {
            cancel: () => {
                if (this.pending.delete(id)) {
                    this.send({ id, cancel: {} });
                }
            },
            // Sent also after the end of the answer: a leaving dispatcher waits until its answers have been consumed.
            credit: bytes => this.send({ id, credit: { bytes } }),
        };
    }

    /** Number of requests whose answers haven't ended. */
    get openRequests(): number {
        return this.pending.size;
    }

    /** Cancels the stream because the peer is considered gone; pending requests are reported as lost. */
    cancelStream(): void {
        this.stream?.cancel();
        this.streamEnded(this.stream);
    }

    dispose(): void {
        this.disposed = true;
        this.cancelStream();
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
        this.reportPendingLost();
    }

    private reportPendingLost(): void {
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
