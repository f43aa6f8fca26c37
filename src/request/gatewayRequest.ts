import type { SentRequest, TargetAnswer, TargetFailure } from "../connection/targetConnections.js";
import { afterInput } from "../process/runtime/afterInput.js";
import type { TimerCancellation } from "../process/runtime/clock.js";
import type { AwaitedAnswer } from "../process/gateway/awaitedAnswers.js";
import type { ForwardingPeer } from "../process/gateway/forwardingPeer.js";
import type { GatewayTarget } from "../process/gateway/gatewayTarget.js";
import type { PathAttempt } from "../process/gateway/targetReach.js";
import { FORWARDED_PERMIT_MS } from "../process/gateway/warmupLimit.js";
import type { Route } from "../version/routeConfig.js";
import { pauseFor } from "../process/gateway/decideAdmission.js";
import { maxIdleMs, RUN_OUT_MS } from "./attemptLimits.js";
import { isFramed, type AnswerHead } from "./answerHead.js";
import { decideConnectionWait } from "./decideConnectionWait.js";
import { decideAfterAttempt, type AttemptEnd, type NextStep, type RetryCause } from "./decideAfterAttempt.js";
import {
    type AnswerFacts,
    type AnswerStream,
    type CallerEnd,
    type GatewayCall,
    type GatewayReply,
} from "./gatewayCall.js";
import type { ForwardFields } from "./forwardFields.js";
import type {
    AttemptRecord,
    GatewayServices,
    Placement,
    PlacementQuery,
    RequestOutcome,
    RequestState,
} from "./gatewayServices.js";
import type { HeldAnswer } from "./heldAnswers.js";
import { maxOwnerWaitMs } from "./maxOwnerWaitMs.js";
import { delayField, refuse, type Refusal } from "./refusal.js";
import { refuseStopping } from "./refuseStopping.js";
import { RoomWait } from "./roomWait.js";

/** Time reserved for sending the answer to the caller, in milliseconds; the final answer is due that much earlier. */
const REPLY_MARGIN_MS = 15;
/** Share of a route's target latency that the service time is assumed to take. */
const EXPECTED_SERVICE_SHARE = 0.25;
/** Share of the time left after which an idempotent request without any answer is sent to another target. */
const SILENCE_SHARE = 0.5;
/** Number of times that a request is sent to other instances because paths to targets are cut. */
const MAX_FORWARDINGS = 4;

/** Name of the field in an answer's head that states after which delay its caller may return. */
const RETRY_AFTER = "retry-after";
const UNAVAILABLE = 503;

/** Statuses that promise a caller that its request hasn't run and won't run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** One attempt at a target. */
interface Attempt {
    record: AttemptRecord;
    target: GatewayTarget;
    sent: SentRequest | undefined;
    startedAt: number;
    /** Monotonic time in milliseconds; `undefined` until it is sent. */
    sentAt: number | undefined;
    /** Monotonic time in milliseconds at which its connection to the target was established; `Infinity` if it isn't known. */
    connectedAt: number;
    loadAtStart: number;
    /** Monotonic time in milliseconds until which its permit may be used; `undefined` without one for a cold target. */
    usableUntil: number | undefined;
    wasSent: boolean;
    hasEnded: boolean;
    /** The instance through which it is sent; `undefined` on the direct path. */
    peer: ForwardingPeer | undefined;
    /** The attempt as it is observed on the direct path. */
    path: PathAttempt | undefined;
    /** The wait for an answer on the direct path; `undefined` until it is sent. */
    awaited: AwaitedAnswer | undefined;
    /** Content of the answer until it is complete or forwarded. */
    held: HeldAnswer;
}

/**
 * One request of a caller with all its attempts, until the caller has received the final answer or has gone.
 *
 * @example
 * const request = new GatewayRequest(call, route, "stock", reply, services);
 * request.start();
 * request.callerGone({ since: clock.monotonicMs(), cause: undefined });
 */
export class GatewayRequest {
    /** Number of times that the request was sent to a target. */
    sends = 0;
    /** All attempts in order, including those that sent nothing. */
    readonly attempts: AttemptRecord[] = [];
    private readonly tried = new Set<GatewayTarget>();
    private readonly unreached = new Set<GatewayTarget>();
    private readonly notOwners = new Set<GatewayTarget>();
    /** Instances that didn't forward it, or answered nothing. */
    private readonly triedPeers = new Set<ForwardingPeer>();
    /** Number of times that it was sent to another instance. */
    private forwardings = 0;
    private readonly limited = new Map<GatewayTarget, number>();
    /** Whether it waits for the permit to send to a target with a limit. */
    private isWaitingForPermit = false;
    /** Whether it waits for a connection to a target all of whose connections are in use. */
    private isWaitingForConnection = false;
    /** Target with a connection that is reserved for it. */
    private reservedAt: GatewayTarget | undefined;
    /** Monotonic time in milliseconds at which it first waited for a connection. */
    private connectionWaitFrom: number | undefined;
    /** Time from the arrival until the final answer is due, in milliseconds. */
    readonly allowedMs: number;
    /** Monotonic time in milliseconds at which the final answer is due. */
    private readonly dueAt: number;
    /** Monotonic time in milliseconds at which a stopping instance gives its last answers; `Infinity` unless it stops. */
    private stopsAt = Infinity;
    private readonly dispose: TimerCancellation[] = [];
    private mayHaveRun = false;
    private isDone = false;
    /** The attempt that is under way. There is never more than one. */
    private attempt: Attempt | undefined;
    /** The answer that is being forwarded while it arrives. */
    private stream: AnswerStream | undefined;
    private cancelOwnerWait: TimerCancellation = () => undefined;
    private ownerWaitEndsAt: number | undefined;
    private isWaitingForOwner = false;
    private readonly roomWait: RoomWait;
    /** Why the last attempt that was sent has not answered the request. */
    private retryCause: RetryCause = "lost";
    /** Last refusal by a target or by placement, used if the request ends without an answer. */
    private lastRefusal = refuse("deadline-passed", "No target could run it in time.");

    constructor(
        readonly call: GatewayCall,
        readonly route: Route,
        readonly service: string,
        private readonly reply: GatewayReply,
        private readonly services: GatewayServices,
    ) {
        this.allowedMs = Math.min(route.timeoutMs, (call.deadlineMs ?? Infinity) - REPLY_MARGIN_MS);
        this.dueAt = call.arrivedAt + this.allowedMs;
        this.roomWait = new RoomWait({ call, route, service }, services);
    }

    get roomWaitMs(): number {
        return this.roomWait.waitedMs;
    }

    /** Time left until the final answer is due, in milliseconds. */
    leftMs(): number {
        return Math.min(this.dueAt, this.stopsAt) - this.services.clock.monotonicMs();
    }

    start(): void {
        if (this.leftMs() <= 0) {
            this.finishRefused(refuse("deadline-passed", "Its time had passed when it arrived."));
            return;
        }
        this.onTimeout(this.dueAt - this.services.clock.monotonicMs(), () => this.expire("deadline"));
        this.place();
    }

    /**
     * Has the request end by a monotonic time in milliseconds, because the instance stops. An answer that is being forwarded
     * then may take until its deadline.
     */
    endBy(stopsAt: number): void {
        if (this.isDone || stopsAt >= this.dueAt) {
            return;
        }
        this.stopsAt = stopsAt;
        this.onTimeout(Math.max(0, this.leftMs()), () => this.expire("stop"));
    }

    /**
     * Ends the request of a caller that has gone. A request that can't be repeated runs to its end at the target: if it
     * were aborted, it would be unknown whether it took effect.
     */
    callerGone(end: CallerEnd): void {
        if (this.isDone) {
            return;
        }
        const { attempt } = this;
        const sentLateMs = Math.max(0, (attempt?.sentAt ?? end.since) - end.since);
        const mustRunToEnd = attempt?.wasSent === true && this.route.repeatability === "nonIdempotent";
        const runOutMs = Math.max(0, this.leftMs()) + RUN_OUT_MS;
        this.finish({ type: "caller-gone", state: this.state(), end, sentLateMs });
        if (mustRunToEnd) {
            this.services.clock.setTimer(runOutMs, () => this.abortAttempt("its deadline has passed"));
        } else {
            this.abortAttempt("the caller has gone");
        }
    }

    private state(): RequestState {
        if (this.stream !== undefined) {
            return "forwarding";
        }
        if (this.attempt !== undefined) {
            return this.attempt.wasSent ? "at-target" : "connecting";
        }
        if (this.isWaitingForPermit) {
            return "limit-wait";
        }
        if (this.isWaitingForConnection) {
            return "connection-wait";
        }
        if (this.roomWait.isWaiting) {
            return "room-wait";
        }
        return this.isWaitingForOwner ? "owner-wait" : "placement";
    }

    /** Starts an attempt if none is under way and the limits of the request allow another one. */
    private place(): void {
        const isWaiting = this.isWaitingForPermit || this.isWaitingForConnection || this.roomWait.isWaiting;
        if (this.isDone || this.attempt !== undefined || isWaiting) {
            return;
        }
        if (this.leftMs() <= 0) {
            this.expire(this.stopsAt < this.dueAt ? "stop" : "deadline");
            return;
        }
        if (this.sends >= this.route.maxAttempts) {
            this.finishUnanswered();
            return;
        }
        const placement = this.choosePlacement();
        switch (placement.type) {
            case "target":
                if (this.isOutOfReach(placement.target)) {
                    this.giveUp(placement.target, this.lastRefusal);
                    this.place();
                } else if (this.hasConnection(placement.target)) {
                    this.sendIfAdmitted(placement.target);
                } else {
                    this.waitForConnection(placement.target);
                }
                return;
            case "wait":
                this.waitForOwner(placement.maxWaitMs);
                return;
            case "room":
                this.roomWait.wait(placement.target, placement.maxWaitMs, this.leftMs(), () => this.place());
                return;
            case "refuse":
                this.lastRefusal = placement.refusal;
                this.finishUnanswered();
                return;
        }
    }

    private query(): PlacementQuery {
        const { call, route, service, tried, unreached, notOwners, limited } = this;
        const leftMs = this.leftMs();
        const stopsInMs = this.stopsAt === Infinity ? undefined : leftMs;
        const { waitedMs } = this.roomWait;
        return { call, route, service, tried, unreached, notOwners, limited, leftMs, stopsInMs, waitedMs };
    }

    /** Chooses a target; one to which all connections are in use only if there is no other. */
    private choosePlacement(): Placement {
        const query = this.query();
        const first = this.services.place(query);
        const tried = new Set(this.tried);
        let next = first;
        while (next.type === "target" && !tried.has(next.target)) {
            if (this.hasConnection(next.target)) {
                return next;
            }
            tried.add(next.target);
            next = this.services.place({ ...query, tried });
        }
        return first;
    }

    private get isIdempotent(): boolean {
        return this.route.repeatability === "idempotent";
    }

    /** The instance through which the request is sent to a target, if the direct path is cut and one is left to be tried. */
    private peerTo(target: GatewayTarget): ForwardingPeer | undefined {
        return this.forwardings < MAX_FORWARDINGS
            ? this.services.peerTo(target, this.triedPeers, this.isIdempotent)
            : undefined;
    }

    /** Whether neither this instance nor one that is left to be tried reaches a target. */
    private isOutOfReach(target: GatewayTarget): boolean {
        return target.reach.isCut && this.forwardings > 0 && this.peerTo(target) === undefined;
    }

    private hasConnection(target: GatewayTarget): boolean {
        return this.reservedAt === target || target.reach.isCut || target.connections.queue.hasFree();
    }

    /** Waits for a connection to a target, or refuses the request if none is expected in time. */
    private waitForConnection(target: GatewayTarget): void {
        const { queue } = target.connections;
        const now = this.services.clock.monotonicMs();
        this.connectionWaitFrom ??= now;
        const waitMs = decideConnectionWait({
            connections: target.connectionLimit,
            queued: queue.size,
            expectedMs: target.expectedMs(),
            waitedMs: now - this.connectionWaitFrom,
            leftMs: this.leftMs(),
            targetLatencyMs: this.route.targetLatencyMs,
        });
        if (waitMs === undefined) {
            const text = `All connections to target ${target.id} are in use.`;
            this.lastRefusal = refuse("overloaded", text, this.pauseSeconds());
            this.finishUnanswered();
            return;
        }
        this.isWaitingForConnection = true;
        let isOver = false;
        const end = () => {
            if (!isOver) {
                isOver = true;
                this.isWaitingForConnection = false;
                // Places anew: the target may have begun to leave or to rest, or its keys may have moved.
                this.place();
                this.reservedAt = undefined;
                leave();
            }
        };
        const leave = queue.join(() => {
            this.reservedAt = target;
            this.dispose.push(afterInput(end));
        });
        this.dispose.push(leave);
        this.onTimeout(waitMs, end);
    }

    /** Sends the request to a target, if the target has no limit or its limit admits the request. */
    private sendIfAdmitted(target: GatewayTarget): void {
        const { limit } = target;
        if (limit === undefined) {
            this.send(target);
            return;
        }
        this.isWaitingForPermit = true;
        let isSynchronous = true;
        const cancel = this.services.permit(target, limit, permit => {
            this.isWaitingForPermit = false;
            if (permit.type === "refused") {
                this.limited.set(target, permit.retryAfterMs);
                this.place();
            } else if (isSynchronous) {
                this.send(target, permit.usableUntil);
            } else {
                this.dispose.push(afterInput(() => this.sendAdmitted(target, permit.usableUntil)));
            }
        });
        isSynchronous = false;
        this.dispose.push(cancel);
    }

    private sendAdmitted(target: GatewayTarget, usableUntil?: number): void {
        if (this.isDone || this.attempt !== undefined) {
            return;
        }
        if (this.leftMs() <= 0) {
            this.expire(this.stopsAt < this.dueAt ? "stop" : "deadline");
            return;
        }
        if (!this.services.takes(target, this.call)) {
            this.place();
            return;
        }
        this.send(target, usableUntil);
    }

    private waitForOwner(maxWaitMs: number): void {
        const now = this.services.clock.monotonicMs();
        this.ownerWaitEndsAt ??= now + maxOwnerWaitMs(this.route.targetLatencyMs);
        if (now >= this.ownerWaitEndsAt) {
            this.lastRefusal = refuse("no-owner", "The key is changing its owner.", 0.2 + 0.2 * Math.random());
            this.finishUnanswered();
            return;
        }
        const waitMs = Math.min(maxWaitMs, this.ownerWaitEndsAt - now);
        const cancelTimer = this.services.clock.setTimer(waitMs, () => this.endOwnerWait());
        const cancelCallback = this.services.onOwnerChange(this.service, () => this.endOwnerWait());
        this.isWaitingForOwner = true;
        this.cancelOwnerWait = () => {
            cancelTimer();
            cancelCallback();
        };
    }

    private endOwnerWait(): void {
        this.cancelOwnerWait();
        this.cancelOwnerWait = () => undefined;
        this.isWaitingForOwner = false;
        this.placeAfterInput();
    }

    /** Places the request unless the end of the caller's connection has arrived. */
    private placeAfterInput(): void {
        this.dispose.push(afterInput(() => this.place()));
    }

    /**
     * @param usableUntil monotonic time in milliseconds until which the permit of a cold target may be used; `undefined` if the
     *   target wasn't cold when the request was placed
     */
    private send(target: GatewayTarget, usableUntil?: number): void {
        const { clock } = this.services;
        const { call } = this;
        const startedAt = clock.monotonicMs();
        const loadAtStart = target.load();
        const peer = this.peerTo(target);
        const record: AttemptRecord = {
            target: target.id,
            startedMs: startedAt - call.arrivedAt,
            load: loadAtStart,
            through: peer?.name,
        };
        this.attempts.push(record);
        const attempt: Attempt = {
            record,
            target,
            sent: undefined,
            startedAt,
            sentAt: undefined,
            connectedAt: Infinity,
            loadAtStart,
            usableUntil,
            wasSent: false,
            hasEnded: false,
            peer,
            path: peer === undefined ? target.reach.begin(() => this.pathCut(attempt)) : undefined,
            awaited: undefined,
            held: this.services.heldAnswers.create(),
        };
        this.attempt = attempt;
        this.roomWait.ended("sent");
        this.forwardings += peer === undefined ? 0 : 1;
        target.started();
        let head: AnswerHead | undefined;
        let facts: AnswerFacts | undefined;
        const request = {
            method: call.method,
            path: call.url,
            headers: this.services.targetHeaders(call, target.id, this.leftMs()),
            body: call.body,
        };
        const answer: TargetAnswer = {
            sent: (connectedAt = Infinity) => {
                attempt.wasSent = true;
                attempt.sentAt = clock.monotonicMs();
                attempt.connectedAt = connectedAt;
                attempt.path?.sent();
                if (peer === undefined) {
                    attempt.awaited = target.awaited.sent(() => this.answerMissing(attempt));
                    if (usableUntil === undefined) {
                        this.services.sentUnbounded(target);
                    }
                }
                this.sends++;
                if (this.sends > 1) {
                    this.services.retried(this.service, this.retryCause);
                } else {
                    this.services.rooms.started(this.service, this.route);
                }
                this.tried.add(target);
            },
            head: (status, headers) => {
                attempt.path?.heard();
                head = { status, headers };
                facts = this.services.factsOf(status, headers);
                if (facts.requestId !== call.requestId) {
                    // It may be a repetition of an earlier answer, which says nothing about this request.
                    attempt.sent?.abort("the answer doesn't carry the identifier of the request");
                    return;
                }
                if (facts.load !== undefined) {
                    target.report(facts.load);
                }
                if (attempt.awaited !== undefined) {
                    target.awaited.answered(attempt.awaited, facts.load && facts.load.running + facts.load.waiting);
                }
                this.services.answerStated(target, facts, attempt.sentAt ?? startedAt, attempt.connectedAt);
            },
            data: chunk => {
                attempt.path?.heard();
                if (this.isDone || attempt.hasEnded) {
                    return;
                }
                if (this.stream !== undefined) {
                    if (!this.stream.data(chunk)) {
                        attempt.sent?.pause();
                    }
                    return;
                }
                attempt.held.add(chunk);
                if (attempt.held.isTooLarge()) {
                    this.forwardOrAbort(attempt, head, facts);
                }
            },
            end: () => {
                const content = attempt.held.take();
                if (!this.endAttempt(attempt)) {
                    return;
                }
                if (this.stream !== undefined) {
                    this.recordLatency(attempt, facts);
                    if (!this.isDone) {
                        this.stream.end();
                        this.finish({ type: "answered", status: head?.status ?? 0 });
                    }
                    return;
                }
                this.completed(attempt, head as AnswerHead, facts as AnswerFacts, content);
            },
            failed: failure => {
                // An attempt that the request has aborted itself has ended before.
                if (!this.endAttempt(attempt)) {
                    return;
                }
                this.services.attemptFailed(this.service, failure.type, attempt.wasSent);
                if (failure.type === "excessive-framing") {
                    this.services.excessiveAnswer(this, target, "framing", failure.detail);
                }
                if (this.stream !== undefined) {
                    if (!this.isDone) {
                        this.finishRefused(refuse("answer-broken", "The target broke a long answer off."));
                    }
                    return;
                }
                this.attemptFailed(attempt, failure);
            },
        };
        const { isIdempotent } = this;
        attempt.sent =
            peer === undefined
                ? target.connections.send(request, answer, {
                      fresh: false,
                      maxIdleMs: maxIdleMs(isIdempotent),
                      maySend: () => this.maySend(target, usableUntil),
                  })
                : peer.send(request, this.forwardFields(target, usableUntil), answer, () =>
                      this.maySend(target, usableUntil === undefined ? undefined : usableUntil - FORWARDED_PERMIT_MS),
                  );
        if (isIdempotent) {
            this.watchSilence(attempt);
        }
    }

    /**
     * Whether the request may be sent once its connection is established: its target may have turned cold, its permit may have
     * expired, or the evacuation of its target may have ended all sends.
     */
    private maySend(target: GatewayTarget, usableUntil: number | undefined): boolean {
        const isPermitted =
            usableUntil === undefined ? !target.isCold : this.services.clock.monotonicMs() <= usableUntil;
        return isPermitted && target.sendsForMs() !== 0;
    }

    /** What the instance through which the request is sent has to know. */
    private forwardFields(target: GatewayTarget, usableUntil?: number): ForwardFields {
        const {
            listed: { entry },
            limit,
        } = target;
        return {
            target: entry.id,
            startedAtMs: entry.startedAtMs,
            address: entry.address,
            ageMs: Math.max(0, this.services.clock.monotonicMs() - this.call.arrivedAt),
            targetLatencyMs: this.route.targetLatencyMs,
            isIdempotent: this.isIdempotent,
            isAdmitted: limit !== undefined,
            sendWithinMs: target.sendsForMs(),
            permitMs: usableUntil === undefined ? undefined : FORWARDED_PERMIT_MS,
        };
    }

    /** Forwards an answer that is too large to be held while it arrives, or aborts its attempt. */
    private forwardOrAbort(attempt: Attempt, head: AnswerHead | undefined, facts: AnswerFacts | undefined): void {
        if (!this.canStream(attempt, head, facts)) {
            const detail = "the answer is too large to be held until it is complete";
            this.services.excessiveAnswer(this, attempt.target, "content", detail);
            attempt.sent?.abort(detail);
            return;
        }
        if (!this.canEnd(head as AnswerHead)) {
            attempt.sent?.abort("the answer has no length and is too large to be held");
            return;
        }
        const stream = this.reply.stream(head as AnswerHead, () => attempt.sent?.resume());
        this.stream = stream;
        attempt.held.take().forEach(chunk => stream.data(chunk));
    }

    /** Whether an answer can be ended: one without a length closes its connection, on which other requests may be pending. */
    private canEnd(head: AnswerHead): boolean {
        return isFramed(head) || !this.isIdempotent || this.reply.canClose();
    }

    /** Whether an answer can be streamed: everything except its completeness must have been checked. */
    private canStream(attempt: Attempt, head: AnswerHead | undefined, facts: AnswerFacts | undefined): boolean {
        return (
            !this.isDone &&
            this.attempt === attempt &&
            head !== undefined &&
            facts?.signed === true &&
            facts.requestId === this.call.requestId
        );
    }

    /** Sends an idempotent request to another target if its target doesn't answer; the answer may have been lost. */
    private watchSilence(attempt: Attempt): void {
        this.onTimeout(this.leftMs() * SILENCE_SHARE, () => this.checkSilence(attempt));
    }

    /** Calls `callback` after a time without an answer, unless an answer is found to have arrived in that time. */
    private onTimeout(delayMs: number, callback: () => void): void {
        const cancelTimer = this.services.clock.setTimer(delayMs, () => this.dispose.push(afterInput(callback)));
        this.dispose.push(cancelTimer);
    }

    /**
     * Sends an idempotent request again whose answer is missing. Another one keeps waiting on its connection, which carries nothing else
     * until then.
     */
    private answerMissing(attempt: Attempt): void {
        if (this.isIdempotent) {
            this.dispose.push(afterInput(() => this.checkSilence(attempt, true)));
        }
    }

    /** @param isMissing whether answers to other requests show that this one won't come */
    private checkSilence(attempt: Attempt, isMissing = false): void {
        if (this.isDone || attempt.hasEnded || !attempt.wasSent || this.stream !== undefined) {
            return;
        }
        if (attempt.peer?.isSilentSince(attempt.startedAt) === true) {
            this.leavePeer(attempt, attempt.peer);
            return;
        }
        const query = this.query();
        const end = isMissing ? "lost" : "silent";
        const placement = this.services.canPlaceAgain(query, end) ? this.services.place(query) : undefined;
        // A target that might refuse the request isn't used, as its answer may still arrive.
        const isFurther =
            placement?.type === "target" &&
            placement.target.limit === undefined &&
            this.hasConnection(placement.target);
        const further = isFurther ? placement.target : undefined;
        const step = this.decide("silent", further !== undefined);
        if (step !== "send-again" || further === undefined) {
            return;
        }
        attempt.record.next = step;
        attempt.record.end = isMissing ? "its answer is missing" : "no answer in time";
        attempt.target.missingAnswers += Number(isMissing);
        this.unanswered(attempt);
        this.abortAttempt("the target sent no answer");
        this.send(further);
    }

    /** Sends an idempotent request through another instance, because the one that was to forward it is silent. */
    private leavePeer(attempt: Attempt, peer: ForwardingPeer): void {
        this.triedPeers.add(peer);
        this.services.forwardingLost(peer);
        this.sendAgain(attempt, "lost", "the other instance is silent");
    }

    /** Ends an attempt and sends the request again, if another way is left and the retry budget allows it. */
    private sendAgain(attempt: Attempt, end: AttemptEnd, reason: string): void {
        if (this.peerTo(attempt.target) === undefined) {
            return;
        }
        const step = this.decide(end, this.services.canPlaceAgain(this.query(), end));
        if (step !== "send-again") {
            return;
        }
        attempt.record.next = step;
        attempt.record.end = reason;
        this.mayHaveRun ||= attempt.wasSent;
        this.abortAttempt(reason);
        this.placeAfterInput();
    }

    /** Marks an attempt as ended. Returns `false` if it has already ended. */
    private endAttempt(attempt: Attempt): boolean {
        if (attempt.hasEnded) {
            return false;
        }
        attempt.hasEnded = true;
        attempt.held.take();
        attempt.path?.end();
        if (attempt.awaited !== undefined) {
            attempt.target.awaited.ended(attempt.awaited);
        }
        if (this.attempt === attempt) {
            this.attempt = undefined;
        }
        attempt.record.durationMs = this.services.clock.monotonicMs() - attempt.startedAt;
        attempt.target.ended();
        this.services.rooms.wake(attempt.target);
        return true;
    }

    private recordLatency(attempt: Attempt, facts: AnswerFacts | undefined): void {
        const { target, startedAt, loadAtStart, peer } = attempt;
        const durationMs = this.services.clock.monotonicMs() - startedAt;
        target.answered(durationMs, loadAtStart, peer !== undefined);
        if (facts !== undefined) {
            this.services.rooms.answered(this, target, { durationMs, loadAtStart, facts });
        }
    }

    /** Handles a complete answer. */
    private completed(attempt: Attempt, head: AnswerHead, facts: AnswerFacts, chunks: Buffer[]): void {
        const { target } = attempt;
        if (facts.notRun && facts.answeredBy !== undefined && facts.answeredBy !== target.id) {
            this.services.addressLost(target);
        }
        attempt.record.end = `status ${head.status}`;
        if (facts.notRun) {
            attempt.record.end += ", not run";
            if (head.status === 421) {
                this.notOwners.add(target);
            } else {
                target.failed();
            }
            const text = `Target ${target.id} did not run it (status ${head.status}).`;
            this.lastRefusal =
                this.restRefusal(facts) ??
                refuse(head.status === 421 ? "no-owner" : "overloaded", text, this.pauseSeconds());
            this.next(attempt, "not-run");
            return;
        }
        const isSuccess = head.status >= 200 && head.status < 300;
        if (isSuccess && !facts.signed) {
            attempt.record.end += ", unsigned";
            target.failed();
            this.next(attempt, "lost");
            return;
        }
        if (NOT_RUN_STATUSES.has(head.status) && this.route.repeatability === "nonIdempotent") {
            // The caller would take the status for a promise, which the target hasn't made.
            attempt.record.end += ", may have run";
            target.failed();
            this.next(attempt, "lost");
            return;
        }
        if (this.isDone) {
            return;
        }
        if (!this.canEnd(head)) {
            attempt.record.end += ", without a length";
            this.next(attempt, "lost");
            return;
        }
        if (head.status >= 500) {
            target.failed();
            this.next(attempt, "failed", () => this.deliver(this.withDelay(head, facts), chunks));
            return;
        }
        this.recordLatency(attempt, facts);
        this.deliver(head, chunks);
    }

    /** Refusal with the time after which a target takes the request again, if its target has stated a rest and no other does. */
    private restRefusal({ restMs }: AnswerFacts): Refusal | undefined {
        const placement = restMs === undefined || this.isDone ? undefined : this.services.place(this.query());
        return placement?.type === "refuse" ? placement.refusal : undefined;
    }

    /** Replaces the delay in a refusal that its target wrote by the one after which this caller may return. */
    private withDelay(head: AnswerHead, facts: AnswerFacts): AnswerHead {
        if (head.status !== UNAVAILABLE || !head.headers.some(({ name }) => name.toLowerCase() === RETRY_AFTER)) {
            return head;
        }
        const delayS = this.restRefusal(facts)?.retryAfterSeconds ?? this.pauseSeconds();
        const headers = head.headers.filter(({ name }) => name.toLowerCase() !== RETRY_AFTER);
        return { ...head, headers: [...headers, { name: "Retry-After", value: delayField(delayS) }] };
    }

    private deliver(head: AnswerHead, chunks: Buffer[]): void {
        this.reply.answer(head, chunks);
        this.finish({ type: "answered", status: head.status });
    }

    private attemptFailed(attempt: Attempt, failure: TargetFailure): void {
        const { target } = attempt;
        attempt.record.end = `${failure.type}: ${failure.detail}`;
        if (attempt.peer !== undefined && failure.type !== "withheld") {
            this.forwardingFailed(attempt, attempt.peer, failure);
            return;
        }
        if (!attempt.wasSent) {
            this.notReached(attempt, failure);
            return;
        }
        target.unansweredCall(attempt.startedAt);
        if (failure.type === "broken") {
            this.services.brokeWhileRunning(this.call, target, failure);
        }
        this.next(attempt, "lost");
    }

    /** Handles an attempt of which nothing was sent on the direct path. */
    private notReached(attempt: Attempt, failure: TargetFailure): void {
        const { target } = attempt;
        if (failure.type === "withheld") {
            this.sendWithheld(attempt);
            return;
        }
        if (failure.type !== "connection-limit") {
            this.services.connectionFailed(target, failure);
        }
        if (this.peerTo(target) === undefined) {
            if (failure.type !== "connection-limit") {
                target.unansweredCall(attempt.startedAt);
            }
            const text = `Target ${target.id} can't be reached (${failure.type}).`;
            this.giveUp(target, refuse("owner-unreachable", text, this.pauseSeconds()));
        }
        this.next(attempt, "not-sent");
    }

    /** Handles an attempt whose connection was established when the request might not be sent any more. */
    private sendWithheld(attempt: Attempt): void {
        const { target, usableUntil } = attempt;
        if (target.sendsForMs() === 0) {
            // It is placed anew, since its key may have another owner or another target may take it.
            this.lastRefusal = refuse("no-owner", `Target ${target.id} is evacuated.`, this.pauseSeconds());
        } else if (usableUntil !== undefined) {
            this.limited.set(target, this.pauseSeconds() * 1_000);
        }
        this.next(attempt, "not-sent");
    }

    /** Handles an attempt through another instance that has got no answer of the target. */
    private forwardingFailed(attempt: Attempt, peer: ForwardingPeer, failure: TargetFailure): void {
        const { target } = attempt;
        this.triedPeers.add(peer);
        if (attempt.wasSent && failure.type !== "not-forwarded") {
            if (failure.refusal === undefined) {
                this.services.forwardingLost(peer);
            }
            this.next(attempt, "lost");
            return;
        }
        if (attempt.wasSent) {
            // The other instance states that it has sent nothing to the target.
            attempt.wasSent = false;
            this.sends--;
            this.tried.delete(target);
        }
        const isLast = this.peerTo(target) === undefined;
        this.services.notForwarded(target, peer, failure, isLast);
        if (isLast) {
            const text = `Target ${target.id} can't be reached through other instances (${failure.detail}).`;
            const delayS = failure.refusal?.retryAfterSeconds ?? this.pauseSeconds();
            this.giveUp(target, refuse(failure.refusal?.type ?? "owner-unreachable", text, delayS));
            if (failure.refusal?.type === "overloaded") {
                // It may pass the request on to another target.
                this.triedPeers.delete(peer);
            }
        }
        this.next(attempt, "not-sent");
    }

    /** Doesn't try a target again that can't be reached. */
    private giveUp(target: GatewayTarget, refusal: Refusal): void {
        this.tried.add(target);
        this.unreached.add(target);
        this.lastRefusal = refusal;
    }

    /**
     * Sends the request through another instance, because the direct path was found to be cut. One that was sent and can't be
     * repeated waits for its answer, which may still arrive.
     */
    private pathCut(attempt: Attempt): void {
        const isEnded = this.isDone || attempt.hasEnded || this.stream !== undefined;
        const mustWait = attempt.wasSent && this.route.repeatability === "nonIdempotent";
        if (!isEnded && !mustWait) {
            this.sendAgain(attempt, attempt.wasSent ? "lost" : "not-sent", "the path to the target is cut");
        }
    }

    private next(attempt: Attempt, end: AttemptEnd, deliver: () => void = () => undefined): void {
        if (end === "lost" || end === "failed") {
            this.mayHaveRun = true;
        }
        if (this.isDone) {
            return;
        }
        const step = this.decide(end, this.services.canPlaceAgain(this.query(), end));
        attempt.record.next = step;
        switch (step) {
            case "send-again":
                this.placeAfterInput();
                return;
            case "deliver":
                deliver();
                return;
            case "report-lost":
            case "refuse":
            case "wait":
                this.finishUnanswered();
                return;
        }
    }

    /** Decides the next step after the end of an attempt, and takes a retry from the budget if it is needed. */
    private decide(end: AttemptEnd, hasTarget: boolean): NextStep {
        const step = decideAfterAttempt({
            end,
            repeatability: this.route.repeatability,
            mayHaveRun: this.mayHaveRun,
            sends: this.sends,
            maxAttempts: this.route.maxAttempts,
            leftMs: this.leftMs(),
            hasTarget,
            takeRetry: () => this.services.takeRetry(this.service),
        });
        if (step === "send-again" && end !== "not-sent") {
            this.retryCause = end;
            this.mayHaveRun ||= end === "silent";
        }
        return step;
    }

    /** Delay in seconds before the caller may retry, with jitter so that callers don't retry simultaneously. */
    private pauseSeconds(): number {
        const { targetLatencyMs } = this.route;
        const spentMs = this.services.clock.monotonicMs() - this.call.arrivedAt;
        const spread = 0.7 + 0.6 * Math.random();
        return (pauseFor(targetLatencyMs - spentMs, targetLatencyMs * EXPECTED_SERVICE_SHARE) / 1_000) * spread;
    }

    /** Gives the final answer because its time has come, or that of the instance. */
    private expire(cause: "deadline" | "stop"): void {
        const isStopped = cause === "stop";
        if (this.isDone || (isStopped && this.stream !== undefined)) {
            return;
        }
        const { attempt } = this;
        if (attempt?.wasSent === true) {
            this.mayHaveRun = true;
            this.unanswered(attempt);
        }
        if (this.mayHaveRun) {
            const waitedMs = Math.round(this.services.clock.monotonicMs() - this.call.arrivedAt);
            this.finishRefused(refuse("answer-lost", `No answer came within ${waitedMs} ms.`));
        } else {
            this.finishRefused(isStopped ? refuseStopping() : refuse("deadline-passed", this.lastRefusal.detail));
        }
        this.abortAttempt(isStopped ? "the instance stops" : "its deadline has passed");
    }

    private unanswered({ target, peer, startedAt }: Attempt): void {
        target.unansweredCall(startedAt);
        if (peer?.isSilentSince(startedAt) === true) {
            this.services.forwardingLost(peer);
        }
    }

    /** Ends the request without a target's answer; the refusal depends on whether it may have run. */
    private finishUnanswered(): void {
        this.finishRefused(
            this.mayHaveRun ? refuse("answer-broken", "The target's answer was lost.") : this.lastRefusal,
        );
    }

    private finishRefused(refusal: Refusal): void {
        if (this.stream === undefined) {
            this.reply.refuse(refusal);
        } else {
            // The caller has part of the answer, which must not look complete.
            this.stream.abort();
        }
        this.finish({ type: "refused", refusal });
    }

    private finish(outcome: RequestOutcome): void {
        this.isDone = true;
        this.cancelOwnerWait();
        this.roomWait.finish(outcome);
        this.dispose.forEach(cancel => cancel());
        this.services.ended(this, outcome);
    }

    /**
     * Ends the attempt that is under way and closes its connection. The attempt ends first, because the connection reports
     * its failure before `abort` returns, and that report must not decide about the request again.
     */
    private abortAttempt(reason: string): void {
        const { attempt } = this;
        if (attempt !== undefined && this.endAttempt(attempt)) {
            attempt.record.end ??= `aborted: ${reason}`;
            this.services.attemptFailed(this.service, "aborted", attempt.wasSent);
            attempt.sent?.abort(reason);
        }
    }
}
