import type { AnswerHead } from "./answerHead.js";
import type { ForwardFields } from "./forwardFields.js";
import type { Refusal } from "./refusal.js";

/** A caller's request as received, with its complete body. */
export interface GatewayCall {
    method: string;
    /** Path and query as the caller sent them. */
    url: string;
    host: string;
    /** Alternating names and values, in the caller's order and spelling, without headers of the caller's connection. */
    headers: string[];
    body: Buffer;
    /** Identifier that the answer must carry. */
    requestId: string;
    /** Time that the caller waits for an answer, from the arrival of the request, in milliseconds. */
    deadlineMs: number | undefined;
    key: number | undefined;
    /** What the instance that took the request has decided, if another one forwards it to this instance. */
    forwarded?: ForwardFields;
    /** Monotonic time in milliseconds at which the first byte of the request was read. */
    arrivedAt: number;
}

/** When a caller may have left whose departure is noticed now. */
export interface CallerEnd {
    /** Earliest monotonic time in milliseconds. */
    since: number;
    /** Why it may not have been noticed at once. */
    cause: LateEndCause | undefined;
}

/** Why the end of a caller's connection was read late: the event loop stalled, or the connection wasn't read. */
export type LateEndCause = "stall" | "paused";

/** Protocol information in a target's answer, apart from its content. */
export interface AnswerFacts {
    /** Identifier of the answered request, if the target returns it. */
    requestId: string | undefined;
    /** Whether the answer carries the target's signature. */
    signed: boolean;
    /** Whether the target states that it has not run the request. */
    notRun: boolean;
    /** Identifier of the answering target, if it states one. */
    answeredBy: string | undefined;
    load: ReportedLoad | undefined;
    /** Requests per second that the target takes from all instances together; `undefined` if it states no limit. */
    limitPerSecond: number | undefined;
    /** Whether the target states that it leaves. */
    leaving: boolean;
    /** Time for which the target wants no requests from this instance, in milliseconds; `undefined` if it states none. */
    restMs: number | undefined;
    /** How much longer the target is cold, in milliseconds; missing if it doesn't say so. */
    warmupLeftMs?: number;
}

/** Load that a target reports with an answer. */
export interface ReportedLoad {
    running: number;
    waiting: number;
    slots: number;
    /** How long work takes on the target's machine now, relative to the usual time; missing if the target doesn't say so. */
    slowdown?: number;
}

/** Reply to the caller. Exactly one of `answer`, `refuse` and `stream` is called, unless the caller has gone. */
export interface GatewayReply {
    /**
     * Sends an answer. If the target didn't state its length, the connection is closed to end it: the answer may have
     * been truncated, and a length or a last chunk would mark it as complete.
     */
    answer(head: AnswerHead, body: Buffer[]): void;
    /** Whether the connection can be closed after this answer, because no other request is pending on it. */
    canClose(): boolean;
    refuse(refusal: Refusal): void;
    /** Starts an answer that has not arrived completely. It ends with the connection if the target didn't state its length. */
    stream(head: AnswerHead, onDrain: () => void): AnswerStream;
}

/** An answer that is forwarded while it arrives. */
export interface AnswerStream {
    /** Returns `false` when the buffer of the caller's connection is full; `onDrain` is called when it has drained. */
    data(chunk: Uint8Array): boolean;
    end(): void;
    /** Aborts the caller's connection, so that the answer doesn't appear complete. */
    abort(): void;
}
