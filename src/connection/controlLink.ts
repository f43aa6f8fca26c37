import { Client, type ClientDuplexStream } from "@grpc/grpc-js";
import type { Clock, TimerCancellation } from "../process/runtime/clock.js";
import { Batcher } from "./batcher.js";
import {
    noteControl,
    peerService,
    type Control,
    type ControlBatch,
    type Note,
    type PeerChannel,
} from "./peerProtocol.js";

/** Delay before a broken control stream is reopened, in milliseconds. */
export const CONTROL_RECONNECT_DELAY_MS = 100;

/** Events of a control link that its user handles. */
export interface ControlEvents {
    /** The stream has been opened; the returned messages are sent first. */
    opened(): Control[];
    /** A message other than the reply to a query has arrived. */
    received(control: Control): void;
}

/**
 * The control stream from this instance to one peer. It is reopened when it breaks, and on a new connection when
 * `reconnect` is called because the peer no longer responds on the current one.
 *
 * @example
 * const link = new ControlLink({ address, channel, clock, events });
 * link.send({ heartbeat: { sequence: 1, bundleVersion: 4, countsReceiver: true } });
 */
export class ControlLink {
    private client: Client | undefined;
    private stream: ClientDuplexStream<ControlBatch, ControlBatch> | undefined;
    private cancelReconnect: TimerCancellation = () => undefined;
    private disposed = false;
    private nextCorrelation = 1;
    private readonly pendingQueries = new Map<number, (payload: string | undefined) => void>();
    private readonly batcher = new Batcher<Control>(controls => this.stream?.write({ controls }));

    constructor(
        private readonly options: {
            address: string;
            channel: PeerChannel;
            clock: Clock;
            events: ControlEvents;
        },
    ) {
        this.connect();
    }

    /** Sends a message. It is dropped while no stream is open. */
    send(control: Control): void {
        if (this.stream !== undefined) {
            this.batcher.add(control);
        }
    }

    /** Sends a note that expects no reply. */
    notify(kind: string, payload: unknown): void {
        this.send(noteControl(kind, JSON.stringify(payload)));
    }

    /** Sends a query; resolves to the JSON of the reply, or `undefined` if it timed out or the stream broke. */
    ask(kind: string, payload: unknown, timeoutMs: number): Promise<string | undefined> {
        return this.askText(kind, JSON.stringify(payload), timeoutMs);
    }

    /** Like `ask`, with a payload that is sent unchanged. */
    askText(kind: string, payload: string, timeoutMs: number): Promise<string | undefined> {
        if (this.stream === undefined) {
            return Promise.resolve(undefined);
        }
        const correlation = this.nextCorrelation++;
        return new Promise(resolve => {
            const cancelTimer = this.options.clock.setTimer(timeoutMs, () => settle(undefined));
            const settle = (answer: string | undefined) => {
                cancelTimer();
                this.pendingQueries.delete(correlation);
                resolve(answer);
            };
            this.pendingQueries.set(correlation, settle);
            this.send(noteControl(kind, payload, correlation));
        });
    }

    /** Closes the current connection and opens a new one. */
    reconnect(): void {
        if (!this.disposed) {
            this.close();
            this.connect();
        }
    }

    dispose(): void {
        this.disposed = true;
        this.close();
    }

    private connect(): void {
        const { address, channel, events } = this.options;
        const { path, requestSerialize, responseDeserialize } = peerService.control;
        this.client = new Client(address, channel.credentials, channel.options);
        const stream = this.client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize);
        this.stream = stream;
        stream.on("data", (batch: ControlBatch) => batch.controls.forEach(control => this.receive(control)));
        stream.on("error", () => this.streamEnded(stream));
        stream.on("end", () => this.streamEnded(stream));
        events.opened().forEach(control => this.send(control));
    }

    private receive(control: Control): void {
        const note: Note | null | undefined = control.note;
        if (note?.reply === true) {
            this.pendingQueries.get(note.correlation)?.(note.payload);
            return;
        }
        this.options.events.received(control);
    }

    private streamEnded(stream: ClientDuplexStream<ControlBatch, ControlBatch>): void {
        if (this.stream !== stream) {
            return;
        }
        this.close();
        if (!this.disposed) {
            this.cancelReconnect = this.options.clock.setTimer(CONTROL_RECONNECT_DELAY_MS, () => this.connect());
        }
    }

    private close(): void {
        this.cancelReconnect();
        const { stream, client } = this;
        this.stream = undefined;
        this.client = undefined;
        stream?.cancel();
        client?.close();
        [...this.pendingQueries.values()].forEach(settle => settle(undefined));
    }
}
