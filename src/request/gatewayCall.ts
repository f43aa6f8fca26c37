import type { Header } from "../connection/peerProtocol.js";
import type { Refusal } from "./refusal.js";

/** A caller's request as it arrived, with its whole body. */
export interface GatewayCall {
    method: string;
    /** Path and query as the caller sent them. */
    url: string;
    host: string;
    /** Names and values by turns, in the caller's order and spelling, without those of the caller's connection. */
    headers: string[];
    body: Buffer;
    /** Identifier that the answer must carry. */
    requestId: string;
    /** Time for which the caller waits, counted from the arrival of the request, in milliseconds. */
    deadlineMs: number | undefined;
    key: number | undefined;
    /** Monotonic time in milliseconds at which the first byte of the request was read. */
    arrivedAt: number;
}

/** What a target's answer says beside its content. */
export interface AnswerFacts {
    /** Identifier of the request that is answered, if the target repeats it. */
    requestId: string | undefined;
    /** Whether the answer bears the target's signature. */
    signed: boolean;
    /** Whether the target states that it has not run the request. */
    notRun: boolean;
    /** Identifier of the target that answers, if it names itself. */
    answeredBy: string | undefined;
    load: ReportedLoad | undefined;
}

/** Load that a target reports with an answer. */
export interface ReportedLoad {
    running: number;
    waiting: number;
    slots: number;
}

/** The start of an answer. */
export interface AnswerHead {
    status: number;
    headers: Header[];
}

/**
 * Whether an answer states where it ends, so that a part of it can't be taken for the whole.
 *
 * @example
 * isFramed({ status: 200, headers: [{ name: "content-length", value: "4" }] }); // true
 */
export const isFramed = ({ status, headers }: AnswerHead): boolean =>
    status === 204 || status === 304 || headers.some(({ name }) => FRAMING_HEADERS.has(name.toLowerCase()));

const FRAMING_HEADERS = new Set(["content-length", "transfer-encoding"]);

/** The caller's side of a request. Exactly one of `answer`, `refuse` and `stream` is called, unless the caller has gone. */
export interface GatewayReply {
    /**
     * Sends an answer. One whose length the target didn't state is ended by closing the connection, as it may have been
     * broken off: a length would vouch for it.
     */
    answer(head: AnswerHead, body: Buffer[]): void;
    /** Whether the connection can be closed behind this answer, because no other request is under way on it. */
    canClose(): boolean;
    refuse(refusal: Refusal): void;
    /** Starts an answer whose end isn't there yet. */
    stream(head: AnswerHead, onDrain: () => void): AnswerStream;
}

/** An answer that is passed on while it arrives. */
export interface AnswerStream {
    /** Returns `false` when the caller's connection has no room; `onDrain` follows. */
    data(chunk: Uint8Array): boolean;
    end(): void;
    /** Breaks the caller's connection off, so that the answer doesn't look complete. */
    abort(): void;
}
