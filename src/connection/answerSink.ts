import type { VersionedRow } from "../process/store/rows.js";
import type { Refusal } from "../request/refusal.js";
import type { Header } from "./peerProtocol.js";

/** What the sender of a refused request needs besides the reason. */
export interface RefusalContext {
    /** Rows that the sender should apply before it routes again. */
    rows: readonly VersionedRow[];
    /** An earlier send of the request may have run, although the last one has not. */
    mayHaveRun: boolean;
}

/** Receives the answer to one request: either a refusal, or a head, data and an end. */
export interface AnswerSink {
    head(status: number, headers: Header[]): void;
    data(chunk: Uint8Array): void;
    /** Ends the answer. `whole` is false when it was interrupted; it must not be forwarded as complete then. */
    end(whole: boolean): void;
    /** Ends the request without an answer. */
    refused(refusal: Refusal, context: RefusalContext): void;
}

/** Controls a request whose answer goes to a sink. */
export interface DispatchedRequest {
    /** The caller has gone; the answer isn't needed. */
    cancel(): void;
    /** The receiver of the answer accepts this many further bytes of data. */
    credit(bytes: number): void;
}

/** Maximum number of bytes of data in transit to the receiver of an answer. */
export const DEFAULT_ANSWER_WINDOW_BYTES = 256 * 1024;
