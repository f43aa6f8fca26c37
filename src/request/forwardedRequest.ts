import type { SentRequest, TargetFailure } from "../connection/targetConnections.js";
import type { Header } from "../connection/peerProtocol.js";
import type { GatewayTarget } from "../process/gateway/gatewayTarget.js";
import type { Permit } from "../process/gateway/limitExchange.js";
import type { TargetLimit } from "../process/gateway/warmupLimit.js";
import type { Clock, TimerCancellation } from "../process/runtime/clock.js";
import { afterInput } from "../process/runtime/afterInput.js";
import { maxIdleMs, RUN_OUT_MS } from "./attemptLimits.js";
import { decideConnectionWait } from "./decideConnectionWait.js";
import { encodeForwardedHead, type ForwardFields } from "./forwardFields.js";
import type { AnswerFacts, AnswerStream, CallerEnd, GatewayCall, GatewayReply } from "./gatewayCall.js";
import { refuse, type Refusal } from "./refusal.js";

/** Delay for a request that this instance can't take now but may soon, in seconds. */
const BUSY_PAUSE_S = 0.3;

/** How a forwarded request ended: answered by its target, refused with nothing sent, or lost. */
export type ForwardedOutcome = "answered" | "not-sent" | "lost" | "caller-gone";

/** Services of the process that a forwarded request depends on. */
export interface ForwardedServices {
    clock: Clock;
    /** The registered target with this identifier and start time. */
    target(id: string, startedAtMs: number): GatewayTarget | undefined;
    /** Time for which a leaving target may get requests, in milliseconds. */
    drainMs: number;
    /** Why this instance takes no forwarded requests at present; `undefined` if it does. */
    closed(): Refusal | undefined;
    isQuarantined(call: GatewayCall): boolean;
    /** Asks whether a request may be sent to a target with a limit; see `GatewayServices`. */
    permit(target: GatewayTarget, limit: TargetLimit, callback: (permit: Permit) => void): TimerCancellation;
    /** Headers for a target: those of the caller and those required by the target's protocol. */
    targetHeaders(call: GatewayCall, target: string, leftMs: number): string[];
    factsOf(status: number, headers: Header[]): AnswerFacts;
    answerStated(target: GatewayTarget, facts: AnswerFacts, sentAt: number, connectedAt: number): void;
    /** Monotonic time in milliseconds since which input that is read now may have waited. */
    unreadSince?(): number;
    /** Called when a request is being sent to a target without a permit for a cold one. */
    sentUnbounded(target: GatewayTarget): void;
    addressLost(target: GatewayTarget): void;
    brokeWhileRunning(call: GatewayCall, target: GatewayTarget, failure: TargetFailure): void;
    /** Called when a connection to a target couldn't be established. */
    connectionFailed(target: GatewayTarget, failure: TargetFailure): void;
    ended(request: ForwardedRequest, outcome: ForwardedOutcome): void;
}

/**
 * A request that another instance has taken from a caller and can't send to its target itself. This instance sends it over its
 * direct path or refuses it, and never forwards it. The route, the target and the limits of the request are decided by the other
 * instance; what this instance knows of the target's intake and of crashes holds as well.
 *
 * @example
 * const request = new ForwardedRequest(call, fields, reply, services);
 * request.start();
 */
export class ForwardedRequest {
    private target: GatewayTarget | undefined;
    private sent: SentRequest | undefined;
    private sentAt: number | undefined;
    private connectedAt = Infinity;
    private startedAt = 0;
    private loadAtStart = 0;
    private facts: AnswerFacts | undefined;
    private stream: AnswerStream | undefined;
    private status = 0;
    private isDone = false;
    private isUnderWay = false;
    private readonly dispose: TimerCancellation[] = [];
    /** Monotonic time in milliseconds until which the permit of a cold target may be used; `undefined` without one. */
    private permitUntil: number | undefined;
    /** Ends the observation of the direct path. */
    private endPath = () => undefined as void;

    constructor(
        readonly call: GatewayCall,
        private readonly fields: ForwardFields,
        private readonly reply: GatewayReply,
        private readonly services: ForwardedServices,
    ) {}

    /** Name of its service, if its target is known here. */
    get service(): string {
        return this.target?.listed.entry.service ?? "";
    }

    start(): void {
        const { target: id, startedAtMs, address } = this.fields;
        const target = this.services.target(id, startedAtMs);
        if (target === undefined || target.listed.entry.address !== address) {
            this.refuse(refuse("no-owner", `Target ${id} isn't registered like this at the forwarding instance.`));
            return;
        }
        this.target = target;
        if (this.fields.permitMs !== undefined) {
            const readSince = Math.min(this.call.arrivedAt, this.services.unreadSince?.() ?? Infinity);
            this.permitUntil = readSince + this.fields.permitMs;
        }
        const refusal = this.refusalNow(target);
        if (refusal !== undefined) {
            this.refuse(refusal);
            return;
        }
        if (target.connections.queue.hasFree()) {
            this.sendIfAdmitted(target);
        } else {
            this.waitForConnection(target);
        }
    }

    /** Waits for a connection to the target, or refuses the request if none is expected in time. */
    private waitForConnection(target: GatewayTarget): void {
        const { queue } = target.connections;
        const waitMs = decideConnectionWait({
            connections: target.connectionLimit,
            queued: queue.size,
            expectedMs: target.expectedMs(),
            waitedMs: 0,
            leftMs: this.leftMs(),
            targetLatencyMs: this.fields.targetLatencyMs,
        });
        if (waitMs === undefined) {
            this.refuse(this.refusalOfFull(target));
            return;
        }
        let isOver = false;
        let isReserved = false;
        const end = () => {
            if (isOver || this.isDone) {
                return;
            }
            isOver = true;
            const refusal = this.refusalNow(target) ?? (isReserved ? undefined : this.refusalOfFull(target));
            if (refusal === undefined) {
                this.sendIfAdmitted(target);
            } else {
                this.refuse(refusal);
            }
            leave();
        };
        const leave = queue.join(() => {
            isReserved = true;
            this.dispose.push(afterInput(end));
        });
        this.dispose.push(leave);
        this.dispose.push(this.services.clock.setTimer(waitMs, () => this.dispose.push(afterInput(end))));
    }

    private refusalOfFull({ id }: GatewayTarget): Refusal {
        return refuse("overloaded", `All connections to target ${id} are in use.`, BUSY_PAUSE_S);
    }

    /** Refusal of a request whose connection was established too late for its permit, or for the evacuation of its target. */
    private refusalOfWithheld(target: GatewayTarget): Refusal {
        return this.isBeforeEvacuation(target)
            ? refuse("overloaded", `Target ${target.id} is cold, and its permit has expired.`, BUSY_PAUSE_S)
            : this.refusalOfEvacuated(target);
    }

    /** Not `no-owner`, which would have the other instance take the target for one that may have ended. */
    private refusalOfEvacuated({ id }: GatewayTarget): Refusal {
        return refuse("overloaded", `Target ${id} is evacuated.`, BUSY_PAUSE_S * (0.7 + 0.6 * Math.random()));
    }

    /** Sends the request to its target, if the target has no limit or its limit admits the request. */
    private sendIfAdmitted(target: GatewayTarget): void {
        const { limit } = target;
        const isColdUnknown = limit?.cold !== undefined && this.permitUntil === undefined;
        if (limit === undefined || (this.fields.isAdmitted && !isColdUnknown)) {
            this.send(target);
            return;
        }
        const { id } = target;
        let isSynchronous = true;
        const cancel = this.services.permit(target, limit, permit => {
            if (permit.type === "refused") {
                const text = `Target ${id} takes ${limit.perSecond} requests a second.`;
                this.refuse(refuse("overloaded", text, permit.retryAfterMs / 1_000));
                return;
            }
            this.permitUntil = permit.usableUntil;
            if (isSynchronous) {
                this.send(target);
            } else {
                this.dispose.push(afterInput(() => this.sendAdmitted(target)));
            }
        });
        isSynchronous = false;
        this.dispose.push(cancel);
    }

    /**
     * Ends the request because the connection to the instance that forwarded it has ended. One that can't be repeated runs to its
     * end at the target, as it would if its caller had left.
     */
    callerGone(_: CallerEnd): void {
        if (this.isDone) {
            return;
        }
        if (this.sentAt !== undefined && !this.fields.isIdempotent) {
            this.isDone = true;
            this.services.ended(this, "caller-gone");
            return;
        }
        this.finish("caller-gone");
        this.abort("the instance that forwarded it has ended it");
    }

    /** Why it isn't sent to its target now. */
    private refusalNow(target: GatewayTarget): Refusal | undefined {
        const { id } = target;
        const closed = this.services.closed();
        if (closed !== undefined) {
            return closed;
        }
        if (this.services.isQuarantined(this.call)) {
            return refuse("quarantined", "Targets crashed while they ran it.");
        }
        if (target.reach.isCut) {
            return refuse("owner-unreachable", `The path of this instance to target ${id} is cut, too.`);
        }
        const arrivedAt = this.call.arrivedAt - this.fields.ageMs;
        const intake = target.intakeFor(arrivedAt, this.services.drainMs);
        if (intake.type === "evacuated" || !this.isBeforeEvacuation(target)) {
            return this.refusalOfEvacuated(target);
        }
        if (intake.type === "leaving") {
            return refuse("no-owner", `Target ${id} leaves.`, BUSY_PAUSE_S);
        }
        if (intake.type === "resting") {
            return refuse("overloaded", `Target ${id} takes no requests for a while.`, intake.forMs / 1_000);
        }
        return undefined;
    }

    /** Whether an evacuation of the target, known here or at the instance that forwards the request, lets it be sent. */
    private isBeforeEvacuation(target: GatewayTarget): boolean {
        const elapsedMs = this.services.clock.monotonicMs() - this.call.arrivedAt;
        return target.sendsForMs() !== 0 && elapsedMs < (this.fields.sendWithinMs ?? Infinity);
    }

    /** Whether the request may be sent once its connection is established. */
    private maySend(target: GatewayTarget): boolean {
        const isPermitted =
            this.permitUntil === undefined ? !target.isCold : this.services.clock.monotonicMs() <= this.permitUntil;
        return isPermitted && this.isBeforeEvacuation(target);
    }

    /** Milliseconds that are left of the time that the forwarding instance allows. */
    private leftMs(): number {
        const { arrivedAt, deadlineMs = 0 } = this.call;
        return arrivedAt + deadlineMs - this.services.clock.monotonicMs();
    }

    private sendAdmitted(target: GatewayTarget): void {
        if (this.isDone) {
            return;
        }
        const refusal =
            this.leftMs() <= 0 ? refuse("deadline-passed", "Its time has passed.") : this.refusalNow(target);
        if (refusal !== undefined) {
            this.refuse(refusal);
        } else if (target.connections.queue.hasFree()) {
            this.send(target);
        } else {
            this.refuse(this.refusalOfFull(target));
        }
    }

    private send(target: GatewayTarget): void {
        const { clock } = this.services;
        const { call, fields } = this;
        this.startedAt = clock.monotonicMs();
        this.loadAtStart = target.load();
        this.isUnderWay = true;
        target.started();
        const path = target.reach.begin(() => this.pathCut());
        this.endPath = () => path.end();
        this.sent = target.connections.send(
            {
                method: call.method,
                path: call.url,
                headers: this.services.targetHeaders(call, target.id, this.leftMs()),
                body: call.body,
            },
            {
                sent: (connectedAt = Infinity) => {
                    this.sentAt = clock.monotonicMs();
                    this.connectedAt = connectedAt;
                    path.sent();
                    if (this.permitUntil === undefined) {
                        this.services.sentUnbounded(target);
                    }
                },
                head: (status, headers) => {
                    path.heard();
                    this.received(target, status, headers);
                },
                data: chunk => {
                    path.heard();
                    if (!this.isDone && this.stream?.data(chunk) === false) {
                        this.sent?.pause();
                    }
                },
                end: () => this.completed(target),
                failed: failure => this.failed(target, failure),
            },
            { fresh: false, maxIdleMs: maxIdleMs(fields.isIdempotent), maySend: () => this.maySend(target) },
        );
        const limitMs = this.leftMs() + (fields.isIdempotent ? 0 : RUN_OUT_MS);
        this.dispose.push(
            clock.setTimer(Math.max(0, limitMs), () => this.dispose.push(afterInput(() => this.expire()))),
        );
    }

    private received(target: GatewayTarget, status: number, headers: Header[]): void {
        const facts = this.services.factsOf(status, headers);
        if (facts.requestId !== this.call.requestId) {
            this.lost("The answer doesn't carry the identifier of the request.");
            this.abort("the answer doesn't carry the identifier of the request");
            return;
        }
        this.facts = facts;
        this.status = status;
        if (facts.load !== undefined) {
            target.report(facts.load);
        }
        this.services.answerStated(target, facts, this.sentAt ?? this.startedAt, this.connectedAt);
        if (!this.isDone) {
            this.stream = this.reply.stream(encodeForwardedHead({ status, headers }), () => this.sent?.resume());
        }
    }

    private completed(target: GatewayTarget): void {
        this.endAttempt();
        const { facts, status } = this;
        if (facts?.notRun === true && facts.answeredBy !== undefined && facts.answeredBy !== target.id) {
            this.services.addressLost(target);
        }
        if (facts?.notRun === true || status >= 500 || (status < 300 && facts?.signed !== true)) {
            target.failed();
        } else {
            target.answered(this.services.clock.monotonicMs() - this.startedAt, this.loadAtStart);
        }
        if (!this.isDone) {
            this.stream?.end();
            this.finish("answered");
        }
    }

    private failed(target: GatewayTarget, failure: TargetFailure): void {
        if (!this.endAttempt()) {
            return;
        }
        if (this.sentAt === undefined) {
            if (failure.type === "withheld") {
                this.refuse(this.refusalOfWithheld(target));
                return;
            }
            if (failure.type !== "connection-limit") {
                this.services.connectionFailed(target, failure);
            }
            this.refuse(refuse("owner-unreachable", `Target ${target.id} can't be reached (${failure.type}).`));
            return;
        }
        if (failure.type === "broken") {
            this.services.brokeWhileRunning(this.call, target, failure);
        }
        this.lost(`The target's answer was lost (${failure.type}).`);
    }

    /** The direct path was found to be cut. What was sent may have run. */
    private pathCut(): void {
        if (this.isDone || (this.sentAt !== undefined && !this.fields.isIdempotent)) {
            return;
        }
        if (this.sentAt === undefined) {
            this.refuse(refuse("owner-unreachable", "The path to the target is cut."));
        } else {
            this.lost("The path to the target is cut.");
        }
        this.abort("the path to the target is cut");
    }

    private expire(): void {
        if (!this.isUnderWay) {
            return;
        }
        this.target?.unansweredCall(this.startedAt);
        if (this.sentAt === undefined) {
            this.refuse(refuse("deadline-passed", "The target couldn't be reached in time."));
        } else {
            this.lost("No answer came in time.");
        }
        this.abort("its deadline has passed");
    }

    /** Refuses the request, of which nothing was sent. */
    private refuse(refusal: Refusal): void {
        if (!this.isDone) {
            this.reply.refuse(refusal);
            this.finish("not-sent");
        }
    }

    /** Ends a request that may have run without a complete answer. */
    private lost(detail: string): void {
        if (this.isDone) {
            return;
        }
        if (this.stream === undefined) {
            this.reply.refuse(refuse("answer-broken", detail));
        } else {
            this.stream.abort();
        }
        this.finish("lost");
    }

    private finish(outcome: ForwardedOutcome): void {
        this.isDone = true;
        this.dispose.forEach(cancel => cancel());
        this.services.ended(this, outcome);
    }

    private abort(reason: string): void {
        if (this.endAttempt()) {
            this.sent?.abort(reason);
        }
    }

    /** Marks the attempt as ended. Returns `false` if it has already ended or wasn't begun. */
    private endAttempt(): boolean {
        if (!this.isUnderWay) {
            return false;
        }
        this.isUnderWay = false;
        this.endPath();
        this.target?.ended();
        return true;
    }
}
