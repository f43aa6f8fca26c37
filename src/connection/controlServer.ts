import type { ServerDuplexStream } from "@grpc/grpc-js";
import { Batcher } from "./batcher.js";
import type { Control, ControlBatch } from "./peerProtocol.js";

/** Handles one message from a peer; `reply` sends a message on the same stream. */
export type ControlHandler = (control: Control, reply: (control: Control) => void) => void;

/**
 * Serves one control stream from a peer.
 *
 * @example
 * server.addService(peerService, { control: stream => serveControlStream(stream, handler()) });
 */
export const serveControlStream = (
    stream: ServerDuplexStream<ControlBatch, ControlBatch>,
    handle: ControlHandler,
): void => {
    let ended = false;
    const batcher = new Batcher<Control>(controls => {
        if (!ended) {
            stream.write({ controls });
        }
    });
    const close = () => {
        ended = true;
    };
    stream.on("data", (batch: ControlBatch) =>
        batch.controls.forEach(control => handle(control, reply => batcher.add(reply))),
    );
    stream.on("end", () => {
        close();
        stream.end();
    });
    stream.on("error", close);
    stream.on("cancelled", close);
};
