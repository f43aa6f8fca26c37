import { DEFAULT_ANSWER_WINDOW_BYTES, type AnswerSink, type RefusalContext } from "../connection/answerSink.js";
import type { Header, OpenFrame } from "../connection/peerProtocol.js";
import type { SentRequest, TargetFailure } from "../connection/targetConnections.js";
import { PRIORITIES, type Priority } from "../process/dispatch/admissionQueue.js";
import type { TimerCancellation } from "../process/runtime/clock.js";
import {
    DEFAULT_RECORDED_ANSWER_BYTES,
    type RecordedAnswer,
    type RunHandle,
} from "../process/records/identifierRecord.js";
import type { QuarantineRun } from "../process/dispatch/quarantine.js";
import type { ScheduledWork } from "../process/dispatch/targetScheduler.js";
import { ABANDONED_HEADER, NOT_RUN_HEADER } from "./outcome.js";
import { refuse, type Refusal } from "./refusal.js";

/** Time after the deadline in which the target's report that it abandoned the request may still arrive. */
export const DEADLINE_GRACE_MS = 100;

/** Why a dispatcher closed the connection of a send. */
export type AbortCause = "deadline" | "late" | "crash" | "moved" | "caller-gone";

/** How one send of a task to its target ended. */
export type SendResult =
    | { type: "answered" }
    /** The target refused it and states that it has not run; the reason is given by the target. */
    | { type: "not-run"; reason: string }
    /** The target had started it and abandoned it without effect. */
    | { type: "abandoned"; reason: string }
    /** The connection failed before or after the request may have reached the target. */
    | {
          type: "failed";
          failure: TargetFailure;
          /** Set if the dispatcher closed the connection itself. */
          cause: AbortCause | undefined;
          sent: boolean;
          headForwarded: boolean;
      };

/** Callbacks by which the dispatcher handles the events of a task. */
export interface TaskEvents {
    start(task: TargetTask): void;
    sendEnded(task: TargetTask, result: SendResult): void;
    /** Called when the task ends at the dispatcher: answered, refused, or abandoned because the caller has gone. */
    left(task: TargetTask): void;
}

/**
 * One request at its dispatcher, from its arrival until its answer has been forwarded.
 *
 * @example
 * const task = new TargetTask(open, sink, { deadlineAt, suspect: false, events });
 * scheduler.submit(task);
 */
export class TargetTask implements ScheduledWork {
    readonly caller: string;
    readonly priority: Priority;
    readonly route: string;
    readonly declaredLong: boolean;
    readonly position: number;
    readonly deadlineAt: number;
    readonly fingerprint: string;
    suspect: boolean;
    /** Permission to run a non-idempotent request; settled when its outcome is known. */
    runHandle: RunHandle | undefined;
    /** Run of the current send in the quarantine. */
    quarantineRun: QuarantineRun | undefined;
    /** Whether a send with an unknown result has reached the target. */
    mayHaveRun = false;
    /** Number of sends to the target so far. */
    sends = 0;
    /** Start of the current send, as monotonic time in milliseconds. */
    sentAt = 0;
    /** Number of sends that were aborted because their answers were late. */
    lateSends = 0;
    /** Whether the next send must use a new connection. */
    freshConnection = false;
    /** Whether it occupies a slot of the scheduler. */
    inFlight = false;
    cancelTimers: TimerCancellation[] = [];
    /** Timers of the current send. They are cancelled at its end, because they would otherwise abort a later send. */
    sendTimers: TimerCancellation[] = [];
    private sent: SentRequest | undefined;
    private wasSent = false;
    private abortCause: AbortCause | undefined;
    private headForwarded = false;
    private callerGone = false;
    private finished = false;
    private window: number;
    private notRunReason: string | undefined;
    private abandonedReason: string | undefined;
    private status = 0;
    private headers: Header[] = [];
    private kept: Uint8Array[] | undefined;
    private keptBytes = 0;
    private answerStarted = false;

    constructor(
        readonly open: OpenFrame,
        private readonly sink: AnswerSink,
        options: {
            deadlineAt: number;
            suspect: boolean;
            fingerprint: string;
            /** Maximum number of bytes of the answer on the way that the receiver has not yet credited. */
            windowBytes?: number;
            events: TaskEvents;
        },
    ) {
        this.window = options.windowBytes ?? DEFAULT_ANSWER_WINDOW_BYTES;
        this.caller = open.caller;
        this.priority = PRIORITIES[open.priority] ?? "normal";
        this.route = open.kind;
        this.declaredLong = open.long;
        this.position = open.position;
        this.deadlineAt = options.deadlineAt;
        this.suspect = options.suspect;
        this.fingerprint = options.fingerprint;
        this.events = options.events;
    }

    private readonly events: TaskEvents;

    /** Whether any part of an answer to the current send has arrived. */
    get hasAnswerStarted(): boolean {
        return this.answerStarted;
    }

    get isFinished(): boolean {
        return this.finished;
    }

    start(): void {
        this.events.start(this);
    }

    refuse(refusal: Refusal): void {
        this.refuseWith(refusal, []);
    }

    /** Ends the task without an answer. If it may have run, it is not reported as not run. */
    refuseWith(refusal: Refusal, rows: RefusalContext["rows"]): void {
        if (this.finished) {
            return;
        }
        const { mayHaveRun } = this;
        this.runHandle?.settle(mayHaveRun ? { type: "unknown" } : { type: "not-run" });
        if (!this.callerGone) {
            if (this.headForwarded) {
                this.sink.end(false);
            } else {
                this.sink.refused(refusal, { rows, mayHaveRun });
            }
        }
        this.finish();
    }

    /** Handles the loss of the caller. A sent non-idempotent request runs on, so that its outcome is recorded. */
    callerLeft(): void {
        this.callerGone = true;
        if (this.finished) {
            return;
        }
        if (this.sent === undefined) {
            this.runHandle?.settle(this.mayHaveRun ? { type: "unknown" } : { type: "not-run" });
            this.finish();
        } else if (this.open.idempotent) {
            this.abortSend("caller-gone");
        } else {
            this.sent.resume();
        }
    }

    /** Extends the window of the answer by a number of bytes that the receiver can accept. */
    credit(bytes: number): void {
        const wasClosed = this.window <= 0;
        this.window += bytes;
        if (wasClosed && this.window > 0) {
            this.sent?.resume();
        }
    }

    /** Closes the connection of the current send. */
    abortSend(cause: AbortCause): void {
        this.abortCause = cause;
        this.sent?.abort(`Closed by the dispatcher: ${cause}.`);
    }

    /** Sends the request to the target: calls `send` with the receiver of the answer. */
    sendThrough(
        send: (answer: {
            sent(): void;
            head(status: number, headers: Header[], boot: string | undefined): void;
            data(chunk: Uint8Array): void;
            end(): void;
            failed(failure: TargetFailure): void;
        }) => SentRequest,
    ): void {
        this.wasSent = false;
        this.answerStarted = false;
        this.notRunReason = undefined;
        this.abandonedReason = undefined;
        this.abortCause = undefined;
        this.kept = this.runHandle === undefined ? undefined : [];
        this.keptBytes = 0;
        let ended = false;
        const end = (result: SendResult) => {
            if (!ended) {
                ended = true;
                this.sent = undefined;
                this.cancelSendTimers();
                this.events.sendEnded(this, result);
            }
        };
        const sent = send({
            sent: () => {
                this.wasSent = true;
                this.mayHaveRun = true;
                this.sends++;
            },
            head: (status, headers) => this.takeHead(status, headers),
            data: chunk => this.takeData(chunk),
            end: () => {
                if (this.notRunReason !== undefined) {
                    this.mayHaveRun = this.mayHaveRunBefore;
                    end({ type: "not-run", reason: this.notRunReason });
                    return;
                }
                if (this.abandonedReason !== undefined) {
                    end({ type: "abandoned", reason: this.abandonedReason });
                    return;
                }
                this.completeAnswer();
                end({ type: "answered" });
            },
            failed: failure => {
                if (!this.wasSent) {
                    this.mayHaveRun = this.mayHaveRunBefore;
                }
                const { abortCause: cause, wasSent, headForwarded } = this;
                end({ type: "failed", failure, cause, sent: wasSent, headForwarded });
            },
        });
        if (!ended) {
            this.sent = sent;
        }
    }

    /** Whether earlier sends may have run. Separate from the current send, which the target may report as not run. */
    mayHaveRunBefore = false;

    /** Forwards a recorded answer of an earlier send. */
    replay(answer: RecordedAnswer): void {
        if (!this.callerGone && !this.finished) {
            this.sink.head(
                answer.status,
                answer.headers.map(([name, value]) => ({ name, value })),
            );
            this.sink.data(answer.body);
            this.sink.end(true);
        }
        this.finish();
    }

    private takeHead(status: number, headers: Header[]): void {
        this.answerStarted = true;
        this.notRunReason = headers.find(({ name }) => name === NOT_RUN_HEADER)?.value;
        this.abandonedReason = headers.find(({ name }) => name === ABANDONED_HEADER)?.value;
        if (this.isRefusedByTarget()) {
            return;
        }
        this.status = status;
        this.headers = headers;
        if (!this.callerGone) {
            this.headForwarded = true;
            this.sink.head(status, headers);
        }
    }

    private takeData(chunk: Uint8Array): void {
        this.answerStarted = true;
        if (this.isRefusedByTarget()) {
            return;
        }
        this.keep(chunk);
        if (this.callerGone) {
            return;
        }
        this.sink.data(chunk);
        this.window -= chunk.length;
        if (this.window <= 0) {
            this.sent?.pause();
        }
    }

    private isRefusedByTarget(): boolean {
        return this.notRunReason !== undefined || this.abandonedReason !== undefined;
    }

    private keep(chunk: Uint8Array): void {
        this.keptBytes += chunk.length;
        if (this.keptBytes > DEFAULT_RECORDED_ANSWER_BYTES) {
            this.kept = undefined;
        }
        this.kept?.push(chunk);
    }

    private completeAnswer(): void {
        const answer =
            this.kept === undefined
                ? undefined
                : {
                      status: this.status,
                      headers: this.headers.map(({ name, value }): [string, string] => [name, value]),
                      body: Buffer.concat(this.kept),
                  };
        this.runHandle?.settle({ type: "answered", answer });
        if (!this.callerGone) {
            this.sink.end(true);
        }
        this.finish();
    }

    private cancelSendTimers(): void {
        this.sendTimers.forEach(cancel => cancel());
        this.sendTimers = [];
    }

    private finish(): void {
        if (this.finished) {
            return;
        }
        this.finished = true;
        this.cancelTimers.forEach(cancel => cancel());
        this.cancelTimers = [];
        this.cancelSendTimers();
        this.events.left(this);
    }
}

/** Refusal of a request whose answer did not arrive. */
export const answerLost = (detail: string): Refusal => refuse("answer-lost", detail);

/** Refusal of a request whose deadline passed before the target could accept it. */
export const deadlineRefusal = (task: TargetTask, detail: string): Refusal =>
    task.mayHaveRun ? answerLost(detail) : refuse("deadline-passed", detail);
