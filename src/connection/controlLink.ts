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

/** Pause before a broken control stream is opened again. */
export const CONTROL_REDIAL_PAUSE_MS = 100;

/** What the owner of a control link does with what arrives. */
export interface ControlEvents {
    /** The stream has been opened; the messages returned are sent first. */
    opened(): Control[];
    /** A message other than a reply to a question arrived. */
    received(control: Control): void;
}

/**
 * The control stream from this instance to one peer. It is opened again when it breaks, and on a new connection when
 * `redial` is called because the present one has gone silent.
 *
 * @example
 * const link = new ControlLink({ address, channel, clock, events });
 * link.send({ heartbeat: { sequence: 1, bundleVersion: 4, countsReceiver: true } });
 */
export class ControlLink {
    private client: Client | undefined;
    private stream: ClientDuplexStream<ControlBatch, ControlBatch> | undefined;
    private cancelRedial: TimerCancellation = () => undefined;
    private disposed = false;
    private nextCorrelation = 1;
    private readonly questions = new Map<number, (payload: string | undefined) => void>();
    private readonly batcher = new Batcher<Control>(controls => this.stream?.write({ controls }));

    constructor(
        private readonly options: {
            address: string;
            channel: PeerChannel;
            clock: Clock;
            events: ControlEvents;
        },
    ) {
        this.dial();
    }

    /** Sends a message; it is dropped while the stream is broken. */
    send(control: Control): void {
        if (this.stream !== undefined) {
            this.batcher.add(control);
        }
    }

    /** Sends a note that expects no answer. */
    notify(kind: string, payload: unknown): void {
        this.send(noteControl(kind, JSON.stringify(payload)));
    }

    /** Asks the peer; gives the answer's JSON, or `undefined` when none came within `timeoutMs` or the stream broke. */
    ask(kind: string, payload: unknown, timeoutMs: number): Promise<string | undefined> {
        return this.askText(kind, JSON.stringify(payload), timeoutMs);
    }

    /** Asks the peer with a payload that is passed on as it is. */
    askText(kind: string, payload: string, timeoutMs: number): Promise<string | undefined> {
        if (this.stream === undefined) {
            return Promise.resolve(undefined);
        }
        const correlation = this.nextCorrelation++;
        return new Promise(resolve => {
            const cancelTimer = this.options.clock.setTimer(timeoutMs, () => settle(undefined));
            const settle = (answer: string | undefined) => {
                cancelTimer();
                this.questions.delete(correlation);
                resolve(answer);
            };
            this.questions.set(correlation, settle);
            this.send(noteControl(kind, payload, correlation));
        });
    }

    /** Closes the present connection and opens a new one. */
    redial(): void {
        if (!this.disposed) {
            this.close();
            this.dial();
        }
    }

    dispose(): void {
        this.disposed = true;
        this.close();
    }

    private dial(): void {
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
            this.questions.get(note.correlation)?.(note.payload);
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
            this.cancelRedial = this.options.clock.setTimer(CONTROL_REDIAL_PAUSE_MS, () => this.dial());
        }
    }

    private close(): void {
        this.cancelRedial();
        const { stream, client } = this;
        this.stream = undefined;
        this.client = undefined;
        stream?.cancel();
        client?.close();
        [...this.questions.values()].forEach(settle => settle(undefined));
    }
}
