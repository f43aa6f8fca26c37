import type { AnswerSink, DispatchedRequest, RefusalContext } from "../connection/answerSink.js";
import type { ForwardLink, ForwardSink } from "../connection/forwardLink.js";
import type { Header, OpenFrame } from "../connection/peerProtocol.js";
import type { Clock, TimerCancellation } from "../process/runtime/clock.js";
import type { RetryBudget } from "../process/dispatch/retryBudget.js";
import type { TargetRow, VersionedRow } from "../process/store/rows.js";
import { refuse, type Refusal } from "./refusal.js";
import type { NormalizedRequest } from "./normalizeRequest.js";

/** Delay before a request without an available dispatcher is routed again, in milliseconds. */
export const REROUTE_PAUSE_MS = 20;
/** Time after the deadline in which the dispatcher's own refusal may still arrive, in milliseconds. */
export const REFUSAL_GRACE_MS = 250;

/** Next destination of a request. */
export type Route =
    | { type: "local"; dispatch: (open: OpenFrame, sink: AnswerSink) => DispatchedRequest }
    | { type: "link"; link: ForwardLink }
    /** No dispatcher is available now, but one is expected soon. */
    | { type: "wait"; refusal: Refusal }
    /** Its owner can't be reached from this instance. */
    | { type: "refuse"; refusal: Refusal };

/** Services of the process that routing depends on. */
export interface RoutingServices {
    clock: Clock;
    /** Row of the target that must run the request. */
    ownerOf: (request: NormalizedRequest) => TargetRow | undefined;
    routeTo: (row: TargetRow) => Route;
    applyRows: (rows: readonly VersionedRow[]) => void;
    retryBudget: (service: string) => RetryBudget;
    /** Whether another request may wait for its dispatcher; limits the memory used by waiting requests. */
    mayWait: () => boolean;
    waiting: (change: 1 | -1) => void;
    /** Called when a request is sent towards a target (1) or has ended there (-1). */
    sending: (row: TargetRow, change: 1 | -1) => void;
}

/** Receives the answer on behalf of the caller. */
export interface CallerSink {
    head(status: number, headers: Header[]): void;
    data(chunk: Uint8Array): void;
    end(whole: boolean): void;
    refused(refusal: Refusal): void;
}

/**
 * One request at the instance that received it: finds its dispatcher, sends it there, and routes it again within the
 * deadline if that instance is no longer its dispatcher.
 *
 * @example
 * const routed = new RoutedRequest(request, body, fingerprint, trace, sink, services);
 * routed.start();
 */
export class RoutedRequest {
    private readonly deadlineAt: number;
    /** Whether a send with an unknown result may have run; the request can then no longer be reported as not run. */
    private mayHaveRun = false;
    private finished = false;
    private headForwarded = false;
    private attempt = 0;
    private attemptedRow: TargetRow | undefined;
    private dispatched: DispatchedRequest | undefined;
    private cancelTimer: TimerCancellation = () => undefined;
    private cancelWait: TimerCancellation = () => undefined;
    private isWaiting = false;

    constructor(
        private readonly request: NormalizedRequest,
        private readonly body: Uint8Array,
        private readonly fingerprint: Uint8Array,
        private readonly trace: string,
        private readonly sink: CallerSink,
        private readonly services: RoutingServices,
    ) {
        this.deadlineAt = services.clock.monotonicMs() + request.deadlineMs;
    }

    start(): void {
        this.services.retryBudget(this.request.service.name).request();
        const wait = this.request.deadlineMs + REFUSAL_GRACE_MS;
        this.cancelTimer = this.services.clock.setTimer(wait, () => this.expire());
        this.route();
    }

    /** Handles the loss of the caller. */
    cancel(): void {
        if (!this.finished) {
            this.finish();
            this.dispatched?.cancel();
        }
    }

    /** Records that the caller has received a number of bytes of the answer. */
    credit(bytes: number): void {
        this.dispatched?.credit(bytes);
    }

    private route(): void {
        this.stopWaiting();
        if (this.finished) {
            return;
        }
        if (this.services.clock.monotonicMs() >= this.deadlineAt) {
            this.refuse(refuse("deadline-passed", "No dispatcher could take it in time."));
            return;
        }
        const row = this.services.ownerOf(this.request);
        if (row === undefined) {
            this.waitAndReroute(refuse("no-owner", "No target owns the key at present."));
            return;
        }
        const route = this.services.routeTo(row);
        switch (route.type) {
            case "local":
                this.dispatchLocally(route.dispatch, row);
                return;
            case "link":
                this.sendOverLink(route.link, row);
                return;
            case "wait":
                this.waitAndReroute(route.refusal);
                return;
            case "refuse":
                this.refuse(route.refusal);
        }
    }

    private dispatchLocally(dispatch: (open: OpenFrame, sink: AnswerSink) => DispatchedRequest, row: TargetRow): void {
        this.dispatched = dispatch(this.openFrame(row), this.createAttemptSink(row));
    }

    private sendOverLink(link: ForwardLink, row: TargetRow): void {
        if (link.isReady()) {
            this.dispatched = link.open(this.openFrame(row), this.createAttemptSink(row));
            return;
        }
        void link.ready().then(ready => {
            if (this.finished) {
                return;
            }
            if (ready) {
                this.dispatched = link.open(this.openFrame(row), this.createAttemptSink(row));
                return;
            }
            const route = this.services.routeTo(row);
            if (route.type === "refuse") {
                this.refuse(route.refusal);
            } else {
                this.waitAndReroute(refuse("owner-unreachable", `Its dispatcher in ${row.domain} doesn't answer.`));
            }
        });
    }

    /** Creates the sink for a new attempt. Events of earlier attempts are ignored from now on. */
    private createAttemptSink(row: TargetRow): ForwardSink {
        this.endAttempt();
        this.attemptedRow = row;
        this.services.sending(row, 1);
        this.attempt++;
        const { attempt } = this;
        const isCurrent = () => !this.finished && this.attempt === attempt;
        return {
            head: (status, headers) => {
                if (isCurrent()) {
                    this.headForwarded = true;
                    this.sink.head(status, headers);
                }
            },
            data: chunk => {
                if (isCurrent()) {
                    this.sink.data(chunk);
                }
            },
            end: whole => {
                if (isCurrent()) {
                    this.finish();
                    this.sink.end(whole);
                }
            },
            refused: (refusal, context) => {
                if (isCurrent()) {
                    this.refused(refusal, context);
                }
            },
            lost: () => {
                if (isCurrent()) {
                    this.lost();
                }
            },
        };
    }

    private refused(refusal: Refusal, { rows, mayHaveRun }: RefusalContext): void {
        this.services.applyRows(rows);
        this.mayHaveRun ||= mayHaveRun;
        if (refusal.type === "not-dispatcher" || refusal.type === "shutting-down") {
            this.waitAndReroute(refusal);
        } else {
            this.refuse(refusal);
        }
    }

    /**
     * Handles a broken stream to the dispatcher. It is safe to send a non-idempotent request again, too: the same
     * dispatcher knows its identifier, and another one refuses identifiers from before its own term.
     */
    private lost(): void {
        this.mayHaveRun = true;
        if (this.headForwarded) {
            this.finish();
            this.sink.end(false);
            return;
        }
        if (this.request.kind.idempotent && !this.services.retryBudget(this.request.service.name).take()) {
            this.refuse(refuse("answer-lost", "The dispatcher was lost and the retry budget is spent."));
            return;
        }
        this.waitAndReroute(refuse("owner-unreachable", "The dispatcher was lost."));
    }

    private waitAndReroute(refusal: Refusal): void {
        if (this.finished) {
            return;
        }
        const { services } = this;
        const { clock } = services;
        if (!services.mayWait()) {
            this.refuse(refusal);
            return;
        }
        this.isWaiting = true;
        services.waiting(1);
        const left = this.deadlineAt - clock.monotonicMs();
        if (left <= 0) {
            this.refuse(refusal);
            return;
        }
        this.cancelWait = clock.setTimer(Math.min(REROUTE_PAUSE_MS, left), () => {
            if (clock.monotonicMs() >= this.deadlineAt) {
                this.refuse(refusal);
            } else {
                this.route();
            }
        });
    }

    private endAttempt(): void {
        if (this.attemptedRow !== undefined) {
            this.services.sending(this.attemptedRow, -1);
            this.attemptedRow = undefined;
        }
    }

    private stopWaiting(): void {
        this.cancelWait();
        if (this.isWaiting) {
            this.isWaiting = false;
            this.services.waiting(-1);
        }
    }

    private expire(): void {
        const { dispatched } = this;
        if (this.headForwarded) {
            // The dispatcher limits the duration of the body; a long body may continue while data arrives.
            return;
        }
        this.mayHaveRun ||= dispatched !== undefined;
        this.refuse(refuse("deadline-passed", "No answer came in time."));
        dispatched?.cancel();
    }

    private refuse(refusal: Refusal): void {
        if (this.finished) {
            return;
        }
        this.finish();
        // If a send may have run, the request can't be reported as not run.
        this.sink.refused(this.mayHaveRun ? refuse("answer-lost", refusal.detail) : refusal);
    }

    private finish(): void {
        this.finished = true;
        this.endAttempt();
        this.cancelTimer();
        this.stopWaiting();
    }

    private openFrame(row: TargetRow): OpenFrame {
        const { request } = this;
        return {
            service: request.service.name,
            target: row.target,
            kind: request.kind.name,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: this.body,
            position: request.position,
            key: request.key,
            identifier: request.identifier,
            deadlineMs: Math.max(1, Math.round(this.deadlineAt - this.services.clock.monotonicMs())),
            caller: request.caller,
            fingerprint: this.fingerprint,
            bundleVersion: request.bundleVersion,
            trace: this.trace,
            idempotent: request.kind.idempotent,
            long: request.kind.long,
            priority: request.priority,
            anyOwner: request.anyOwner,
        };
    }
}
