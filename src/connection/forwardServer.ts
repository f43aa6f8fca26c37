import type { ServerDuplexStream } from "@grpc/grpc-js";
import type { AnswerSink, DispatchedRequest } from "./answerSink.js";
import { Batcher } from "./batcher.js";
import type { Frame, FrameBatch, OpenFrame } from "./peerProtocol.js";

/** Runs one request and sends its answer to the sink. */
export type Dispatch = (open: OpenFrame, sink: AnswerSink) => DispatchedRequest;

/**
 * Serves one forward stream from a peer.
 *
 * @example
 * server.addService(peerService, { forward: stream => serveForwardStream(stream, dispatch) });
 */
export const serveForwardStream = (
    stream: ServerDuplexStream<FrameBatch, FrameBatch>,
    dispatch: Dispatch,
    /** Called with changes of the number of ended answers that the peer hasn't consumed completely. */
    unconsumedChanged: (change: 1 | -1) => void = () => undefined,
): void => {
    /** Bytes sent and not credited, by request; an ended request stays until the peer has credited all its bytes. */
    const uncredited = new Map<number, number>();
    const unconsumed = new Set<number>();
    const markConsumed = (id: number) => {
        uncredited.delete(id);
        if (unconsumed.delete(id)) {
            unconsumedChanged(-1);
        }
    };
    const running = new Map<number, DispatchedRequest>();
    let ended = false;
    const batcher = new Batcher<Frame>(frames => {
        if (!ended) {
            stream.write({ frames });
        }
    });
    const finish = (frame: Frame) => {
        running.delete(frame.id);
        if (uncredited.has(frame.id) && !ended) {
            unconsumed.add(frame.id);
            unconsumedChanged(1);
        }
        batcher.add(frame);
    };
    const sinkOf = (id: number): AnswerSink => ({
        head: (status, headers) => batcher.add({ id, head: { status, headers } }),
        data: chunk => {
            uncredited.set(id, (uncredited.get(id) ?? 0) + chunk.length);
            batcher.add({ id, data: chunk });
        },
        end: whole => finish({ id, end: { whole } }),
        refused: ({ type, detail }, { rows, mayHaveRun }) =>
            finish({ id, refused: { type, detail, rows: rows.length === 0 ? "" : JSON.stringify(rows), mayHaveRun } }),
    });
    const receive = (frame: Frame) => {
        if (frame.open) {
            let answered = false;
            const sink = sinkOf(frame.id);
            const request = dispatch(frame.open, {
                ...sink,
                end: whole => {
                    answered = true;
                    sink.end(whole);
                },
                refused: (refusal, context) => {
                    answered = true;
                    sink.refused(refusal, context);
                },
            });
            // A request that was answered during the call must not be listed as running.
            if (!answered) {
                running.set(frame.id, request);
            }
        } else if (frame.cancel) {
            running.get(frame.id)?.cancel();
            running.delete(frame.id);
            markConsumed(frame.id);
        } else if (frame.credit) {
            const remaining = (uncredited.get(frame.id) ?? 0) - frame.credit.bytes;
            if (remaining > 0) {
                uncredited.set(frame.id, remaining);
            } else {
                markConsumed(frame.id);
            }
            running.get(frame.id)?.credit(frame.credit.bytes);
        }
    };
    const close = () => {
        ended = true;
        running.forEach(request => request.cancel());
        running.clear();
        [...uncredited.keys()].forEach(markConsumed);
    };
    stream.on("data", (batch: FrameBatch) => batch.frames.forEach(receive));
    stream.on("end", () => {
        close();
        stream.end();
    });
    stream.on("error", close);
    stream.on("cancelled", close);
};
