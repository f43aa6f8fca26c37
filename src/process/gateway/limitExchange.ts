import type { Clock, TimerCancellation } from "../runtime/clock.js";
import { EndedConnections } from "./endedConnections.js";
import type { LimitAdmitter, LimitAnswer, LimitedTarget } from "./limitAdmitter.js";
import { LimitBucket } from "./limitBucket.js";
import { decodeLimitMessage, encodeLimitMessage, type LimitKnowledge, type LimitMessage } from "./limitMessage.js";
import type { DatagramHandler, PeerAddress } from "./peerPort.js";
import type { WarmingTarget } from "./warmupWatch.js";
import { PERMIT_ANSWER_MS, PERMIT_CONNECT_MS } from "./warmupLimit.js";

/**
 * Time after which a question counts as unanswered, in milliseconds. It is also the longest time from the admission of a
 * request to its sending.
 */
export const ANSWER_TIMEOUT_MS = PERMIT_ANSWER_MS;
/** Time for which requests are refused without a question after one that wasn't answered, in milliseconds. */
export const SILENCE_PAUSE_MS = 500;
/** Maximum time for which requests are refused without a question, in milliseconds; the limit may have changed. */
const MAX_CLOSED_MS = 1_000;

/**
 * Suspicions of restarts that the instance that admits passes on, per second and at once. Full targets reset connections, too, and
 * each of these messages goes to all instances.
 */
const SUSPICIONS_PER_SECOND = 30;
const SUSPICION_BURST = 120;
/**
 * Time in which one suspicion of a target is passed on, in milliseconds. A restart breaks connections of many instances, each of which
 * reports it.
 */
const SAME_SUSPICION_MS = 500;

/** Decision about one request, with the delay in milliseconds after which its caller may return. */
export type Permit =
    | {
          type: "admitted";
          result: "admitted";
          /** Monotonic time in milliseconds until which the request may be written; missing unless the target is cold. */
          usableUntil?: number;
      }
    | {
          type: "refused";
          /** Whether the limit refused it, or no instance answered that admits. */
          result: "refused" | "unanswered";
          retryAfterMs: number;
      };

type EndedMessage = Extract<LimitMessage, { type: "limit-ended" }>;

/** The time until which requests to a target are refused without a question. */
interface Closing {
    until: number;
    /** Monotonic time in milliseconds of the turn of the last refused caller. */
    lastTurnAt: number;
    /** Time between two turns, in milliseconds. */
    turnMs: number;
}

/**
 * Asks the instance that admits requests to targets with limits for each request, and answers the questions of the others
 * while this instance admits. Without an answer the request is refused, so that instances that can't reach each other don't
 * exceed the limit together.
 *
 * @example
 * const exchange = new LimitExchange({ clock, admitter, isAdmitting, admittingAddress, send, unanswered });
 * const cancel = exchange.permit({ id: "stock-7", startedAtMs, perSecond: 2, ageMs: 40 }, permit => proceed(permit));
 */
export class LimitExchange {
    private readonly pending = new Map<number, (answer: LimitAnswer | { type: "not-admitting" }) => void>();
    private readonly closings = new Map<string, Closing>();
    /** Requests that were refused without a question since the last one, by target. */
    private readonly refused = new Map<string, number>();
    private questions = 0;
    /** Meters the suspicions that are passed on. */
    private readonly suspicions: LimitBucket;
    /** Monotonic times in milliseconds at which suspicions were passed on, by target, oldest first. */
    private readonly suspectedAt = new Map<string, number>();
    private readonly ended: EndedConnections;

    constructor(
        private readonly options: {
            clock: Clock;
            /** Decides while this instance admits. */
            admitter: LimitAdmitter;
            isAdmitting: () => boolean;
            /** Address of the instance that admits; `undefined` while it is unknown or is this one. */
            admittingAddress: () => PeerAddress | undefined;
            send: (address: PeerAddress, content: Buffer) => void;
            /** Called when no instance has admitted or refused a request. */
            unanswered: () => void;
            /** Called when a target is found to have ended its limit before a time, in milliseconds of the monotonic clock. */
            limitEnded: (target: LimitedTarget, before: number) => void;
            /** Addresses of the other instances, as far as this one knows them while it admits. */
            others?: () => PeerAddress[];
            /** Called when another instance has found that a target has turned cold. */
            coldReported?: (target: WarmingTarget, leftMs: number, isSuspected: boolean, aliveMsAgo?: number) => void;
        },
    ) {
        this.suspicions = new LimitBucket(options.clock, SUSPICIONS_PER_SECOND, SUSPICION_BURST);
        this.ended = new EndedConnections(options.clock);
    }

    /**
     * Calls back once, at the latest after `ANSWER_TIMEOUT_MS`; returns a function that cancels this. A permit that is
     * cancelled is lost.
     */
    permit(knowledge: LimitKnowledge, callback: (permit: Permit) => void): TimerCancellation {
        const { admitter, isAdmitting, admittingAddress, send } = this.options;
        const askedAt = this.options.clock.monotonicMs();
        const closed = this.refuseIfClosed(knowledge);
        if (closed !== undefined) {
            callback(closed);
            return () => undefined;
        }
        if (isAdmitting()) {
            callback(this.applied(askedAt, knowledge, admitter.ask(knowledge, this.takeRefused(knowledge))));
            return () => undefined;
        }
        const address = admittingAddress();
        if (address === undefined) {
            callback(this.applied(askedAt, knowledge, { type: "not-admitting" }));
            return () => undefined;
        }
        return this.question(knowledge, callback, content => send(address, content));
    }

    /** Passes a changed limit on to the instance that admits. */
    learned(knowledge: LimitKnowledge): void {
        const { admitter, isAdmitting, admittingAddress, send } = this.options;
        this.closings.delete(knowledge.id);
        if (isAdmitting()) {
            admitter.learn(knowledge);
            return;
        }
        const address = admittingAddress();
        if (address !== undefined) {
            send(address, encodeLimitMessage({ type: "limit-learned", knowledge }));
        }
    }

    /** Passes on to all instances that a target has turned cold, so that none sends to it without a permit. */
    turnedCold(
        { id, service, startedAtMs }: WarmingTarget,
        leftMs: number,
        isSuspected = false,
        aliveMsAgo?: number,
    ): void {
        const { isAdmitting, admittingAddress, send } = this.options;
        const message = { type: "limit-cold" as const, id, service, startedAtMs, leftMs, isSuspected, aliveMsAgo };
        if (isAdmitting()) {
            this.passOn({ ...message, isPassedOn: true });
            return;
        }
        const address = admittingAddress();
        if (address !== undefined) {
            send(address, encodeLimitMessage({ ...message, isPassedOn: false }));
        }
    }

    /** Reports that the last connection to a target has ended while it was idle, as happens when the target restarts. */
    connectionEnded({ id, service, startedAtMs }: WarmingTarget, aliveMsAgo: number): void {
        const { isAdmitting, admittingAddress, send } = this.options;
        const message = { type: "limit-ended" as const, id, service, startedAtMs, aliveMsAgo };
        if (isAdmitting()) {
            this.countEnded(message, "");
            return;
        }
        const address = admittingAddress();
        if (address !== undefined) {
            send(address, encodeLimitMessage(message));
        }
    }

    private countEnded({ id, service, startedAtMs, aliveMsAgo }: EndedMessage, instance: string): void {
        const instances = 1 + (this.options.others?.().length ?? 0);
        const restartedMsAgo = this.ended.add(id, instance, aliveMsAgo, instances);
        if (restartedMsAgo !== undefined) {
            const target = { id, service, startedAtMs };
            this.options.coldReported?.(target, 0, true, restartedMsAgo);
            this.turnedCold(target, 0, true, restartedMsAgo);
        }
    }

    private passOn(message: Extract<LimitMessage, { type: "limit-cold" }>): void {
        if (message.isSuspected && !this.mayPassOnSuspicion(message.id)) {
            return;
        }
        const content = encodeLimitMessage(message);
        this.options.others?.().forEach(address => this.options.send(address, content));
    }

    private mayPassOnSuspicion(id: string): boolean {
        const now = this.options.clock.monotonicMs();
        for (const [suspected, at] of this.suspectedAt) {
            if (now - at < SAME_SUSPICION_MS) {
                break;
            }
            this.suspectedAt.delete(suspected);
        }
        if (this.suspectedAt.has(id) || this.suspicions.take().type === "refused") {
            return false;
        }
        this.suspectedAt.set(id, now);
        return true;
    }

    /** Handles a datagram of another instance; returns `false` if it isn't about limits. */
    receive: DatagramHandler = (content, sender) => {
        const message = decodeLimitMessage(content);
        if (message === undefined) {
            return false;
        }
        const { admitter, isAdmitting, send } = this.options;
        switch (message.type) {
            case "limit-ask": {
                const { question, knowledge, refused } = message;
                const answer = isAdmitting() ? admitter.ask(knowledge, refused) : { type: "not-admitting" as const };
                send(sender, encodeLimitMessage({ type: "limit-answer", question, answer }));
                break;
            }
            case "limit-learned":
                if (isAdmitting()) {
                    admitter.learn(message.knowledge);
                }
                break;
            case "limit-cold":
                this.options.coldReported?.(message, message.leftMs, message.isSuspected, message.aliveMsAgo);
                if (!message.isPassedOn && isAdmitting()) {
                    this.passOn({ ...message, isPassedOn: true });
                }
                break;
            case "limit-ended":
                if (isAdmitting()) {
                    this.countEnded(message, `${sender.host}:${sender.port}`);
                }
                break;
            case "limit-answer":
                this.pending.get(message.question)?.(message.answer);
                break;
        }
        return true;
    };

    private question(
        knowledge: LimitKnowledge,
        callback: (permit: Permit) => void,
        send: (content: Buffer) => void,
    ): TimerCancellation {
        const question = ++this.questions;
        const askedAt = this.options.clock.monotonicMs();
        const settle = (answer: LimitAnswer | { type: "not-admitting" }) => {
            this.pending.delete(question);
            cancelTimer();
            // After a stall an answer may be read before the overdue timer fires; the permit counts from the question.
            const isLate = this.options.clock.monotonicMs() - askedAt > ANSWER_TIMEOUT_MS;
            callback(this.applied(askedAt, knowledge, isLate ? { type: "not-admitting" } : answer));
        };
        const cancelTimer = this.options.clock.setTimer(ANSWER_TIMEOUT_MS, () => settle({ type: "not-admitting" }));
        this.pending.set(question, settle);
        send(encodeLimitMessage({ type: "limit-ask", question, knowledge, refused: this.takeRefused(knowledge) }));
        return () => {
            this.pending.delete(question);
            cancelTimer();
        };
    }

    /** Converts an answer to a permit, and keeps what it says about the next requests. */
    private applied(askedAt: number, target: LimitKnowledge, answer: LimitAnswer | { type: "not-admitting" }): Permit {
        switch (answer.type) {
            case "admitted":
                return target.cold === undefined
                    ? { type: "admitted", result: "admitted" }
                    : {
                          type: "admitted",
                          result: "admitted",
                          usableUntil: askedAt + PERMIT_ANSWER_MS + PERMIT_CONNECT_MS,
                      };
            case "unlimited":
                this.options.limitEnded(target, askedAt);
                // An instance of a version without cold targets doesn't bound their requests.
                return target.cold === undefined
                    ? { type: "admitted", result: "admitted" }
                    : this.applied(askedAt, target, { type: "not-admitting" });
            case "refused":
                this.close(target, answer.freeInMs, answer.retryAfterMs);
                return { type: "refused", result: "refused", retryAfterMs: answer.retryAfterMs };
            case "not-admitting":
                this.options.unanswered();
                this.close(target, SILENCE_PAUSE_MS, SILENCE_PAUSE_MS);
                return { type: "refused", result: "unanswered", retryAfterMs: SILENCE_PAUSE_MS };
        }
    }

    private close({ id, perSecond, cold }: LimitKnowledge, freeInMs: number, retryAfterMs: number): void {
        const now = this.options.clock.monotonicMs();
        this.closings.set(id, {
            until: now + Math.min(MAX_CLOSED_MS, freeInMs),
            lastTurnAt: now + retryAfterMs,
            turnMs: 1_000 / Math.min(perSecond ?? cold?.perSecond ?? 1, cold?.perSecond ?? Infinity),
        });
    }

    private takeRefused({ id }: LimitedTarget): number {
        const count = this.refused.get(id) ?? 0;
        this.refused.delete(id);
        return count;
    }

    /** Refuses a request that the target's limit can't admit yet. Its caller's turn comes after those refused before. */
    private refuseIfClosed({ id }: LimitedTarget): Permit | undefined {
        const now = this.options.clock.monotonicMs();
        const closing = this.closings.get(id);
        if (closing === undefined || now >= closing.until) {
            this.closings.delete(id);
            return undefined;
        }
        closing.lastTurnAt += closing.turnMs;
        this.refused.set(id, (this.refused.get(id) ?? 0) + 1);
        return { type: "refused", result: "refused", retryAfterMs: closing.lastTurnAt - now };
    }
}
