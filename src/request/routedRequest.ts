import type { AnswerSink, DispatchedRequest, RefusalContext } from "../connection/answerSink.js";
import type { ForwardLink, ForwardSink } from "../connection/forwardLink.js";
import type { Header, OpenFrame } from "../connection/peerProtocol.js";
import type { Clock, TimerCancellation } from "../process/runtime/clock.js";
import type { RetryBudget } from "../process/dispatch/retryBudget.js";
import type { TargetRow, VersionedRow } from "../process/store/rows.js";
import { refuse, type Refusal } from "./refusal.js";
import type { NormalizedRequest } from "./normalizeRequest.js";

/** Pause before a request that found no dispatcher is routed again, in milliseconds. */
export const REROUTE_PAUSE_MS = 20;
/** Time beyond the deadline for the dispatcher's own refusal to arrive. */
export const ENTRY_GRACE_MS = 250;

/** Where a request goes next. */
export type Route =
    | { type: "local"; dispatch: (open: OpenFrame, sink: AnswerSink) => DispatchedRequest }
    | { type: "link"; link: ForwardLink }
    /** No dispatcher can take it now, but one is expected soon. */
    | { type: "wait"; refusal: Refusal }
    /** Its owner can't be reached from here. */
    | { type: "refuse"; refusal: Refusal };

/** What routing uses of the process. */
export interface RoutingServices {
    clock: Clock;
    /** Row of the target that is to run the request. */
    ownerOf: (request: NormalizedRequest) => TargetRow | undefined;
    routeTo: (row: TargetRow) => Route;
    applyRows: (rows: readonly VersionedRow[]) => void;
    retryBudget: (service: string) => RetryBudget;
    /** Whether another request may wait for its dispatcher; bounds the memory of waiting ones. */
    mayWait: () => boolean;
    waiting: (change: 1 | -1) => void;
    /** A request is sent towards a target, or has ended there. */
    sending: (row: TargetRow, change: 1 | -1) => void;
}

/** Receives the answer for the caller. */
export interface CallerSink {
    head(status: number, headers: Header[]): void;
    data(chunk: Uint8Array): void;
    end(whole: boolean): void;
    refused(refusal: Refusal): void;
}

/**
 * One request at the instance that received it: finds its dispatcher, sends it there, and routes it again within the
 * deadline when that turns out to be another one.
 *
 * @example
 * const routed = new RoutedRequest(request, body, fingerprint, trace, sink, services);
 * routed.start();
 */
export class RoutedRequest {
    private readonly deadlineAt: number;
    /** An open send may have run, so "not run" may no longer be said. */
    private mayHaveRun = false;
    private finished = false;
    private headPassed = false;
    private attempt = 0;
    private attempted: TargetRow | undefined;
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
        const wait = this.request.deadlineMs + ENTRY_GRACE_MS;
        this.cancelTimer = this.services.clock.setTimer(wait, () => this.expire());
        this.route();
    }

    /** The caller has gone. */
    cancel(): void {
        if (!this.finished) {
            this.finish();
            this.dispatched?.cancel();
        }
    }

    /** The caller took this many bytes of the answer. */
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
            this.waitFor(refuse("no-owner", "No target owns the key at present."));
            return;
        }
        const route = this.services.routeTo(row);
        switch (route.type) {
            case "local":
                this.dispatchLocally(route.dispatch, row);
                return;
            case "link":
                this.sendOver(route.link, row);
                return;
            case "wait":
                this.waitFor(route.refusal);
                return;
            case "refuse":
                this.refuse(route.refusal);
        }
    }

    private dispatchLocally(dispatch: (open: OpenFrame, sink: AnswerSink) => DispatchedRequest, row: TargetRow): void {
        this.dispatched = dispatch(this.openFrame(row), this.sinkOfAttempt(row));
    }

    private sendOver(link: ForwardLink, row: TargetRow): void {
        if (link.isReady()) {
            this.dispatched = link.open(this.openFrame(row), this.sinkOfAttempt(row));
            return;
        }
        void link.ready().then(ready => {
            if (this.finished) {
                return;
            }
            if (ready) {
                this.dispatched = link.open(this.openFrame(row), this.sinkOfAttempt(row));
                return;
            }
            const route = this.services.routeTo(row);
            if (route.type === "refuse") {
                this.refuse(route.refusal);
            } else {
                this.waitFor(refuse("owner-unreachable", `Its dispatcher in ${row.domain} doesn't answer.`));
            }
        });
    }

    /** The events of one attempt; those of an earlier attempt are ignored. */
    private sinkOfAttempt(row: TargetRow): ForwardSink {
        this.endAttempt();
        this.attempted = row;
        this.services.sending(row, 1);
        this.attempt++;
        const { attempt } = this;
        const isCurrent = () => !this.finished && this.attempt === attempt;
        return {
            head: (status, headers) => {
                if (isCurrent()) {
                    this.headPassed = true;
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
            this.waitFor(refusal);
        } else {
            this.refuse(refusal);
        }
    }

    /**
     * The stream to the dispatcher broke. Sending again is safe for a non-idempotent request too: the same dispatcher
     * knows its identifier, and another one refuses identifiers from before its own term.
     */
    private lost(): void {
        this.mayHaveRun = true;
        if (this.headPassed) {
            this.finish();
            this.sink.end(false);
            return;
        }
        if (this.request.kind.idempotent && !this.services.retryBudget(this.request.service.name).take()) {
            this.refuse(refuse("answer-lost", "The dispatcher was lost and the retry budget is spent."));
            return;
        }
        this.waitFor(refuse("owner-unreachable", "The dispatcher was lost."));
    }

    private waitFor(refusal: Refusal): void {
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
        if (this.attempted !== undefined) {
            this.services.sending(this.attempted, -1);
            this.attempted = undefined;
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
        if (this.headPassed) {
            // The dispatcher bounds the answer's body; a long body may go on while data flows.
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
        // After an open send, "not run" could be untrue.
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
