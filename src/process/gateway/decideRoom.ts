import { STARTS_PER_LOWER_START } from "../dispatch/startShare.js";
import { allowedTimeMs, decideAdmission, pauseFor, type AdmissionInput } from "./decideAdmission.js";

/** Share of a service's requests from which on a more urgent route keeps its whole room; one that is asked for less keeps a part. */
const FULL_RESERVE_SHARE = 1 / STARTS_PER_LOWER_START;
/** Share of the target latency after which a waiting request may use its time left: a refusal would leave its caller little time. */
export const COSTLY_WAIT_SHARE = 0.125;
/** Share of the target latency after which a wait goes on only if room is likely; a refusal until then delays its caller little. */
const TRIAL_WAIT_SHARE = 0.12;
/** Least part of its allowed time that a request keeps which needs more work than others of its priority. */
const MIN_WORK_FACTOR = 0.5;
/** Share of its time left after which a caller doesn't return, less a margin. */
const CALLER_LEFT_SHARE = 0.32;
/** Exponent on the share of waits that succeed; with 1, a burst had 0.37 refusals after a long wait for each request, with 2 0.23. */
const WAIT_CAUTION = 2;
/** Shortest wait in milliseconds; rounding errors would otherwise make a wait of no time that is repeated. */
const MIN_WAIT_MS = 1;
/** Shortest delay of a refused caller, in milliseconds. */
const MIN_DELAY_MS = 100;
/** Factor by which the delay grows with each more urgent priority that is asked for. */
const DELAY_STEP = 0.5;
/** Part of a delay by which callers that are refused together are spread. */
const DELAY_SPREAD = 0.5;

/** Another route of the same service, as far as it has been asked for recently. */
export interface Rival {
    /** 0 is the most urgent. */
    priority: number;
    targetLatencyMs: number;
    /** Mean work of its requests, relative to that of all requests of the service. */
    work: number;
    /** Its share of the service's recent requests. */
    share: number;
}

/** The competition for a target, as seen by an instance. */
export interface RoomState {
    /** Whether the routes of the service have several priorities. */
    hasPriorities: boolean;
    rivals: readonly Rival[];
    /** Mean work of the route's requests, relative to that of all requests of the service. */
    work: number;
    /** Whether the route's priority gets the next start, so that more urgent ones can't starve it. */
    isDue: boolean;
    /** Whether a request may be added to those that wait at this instance. */
    canWait: boolean;
    /** Number of requests that wait at this instance for the target and go before this one. */
    ahead: number;
    /** Share of the long waits of the route's priority that ended with a send recently. */
    waitSuccess: number;
    /** Number of callers that were refused because of the target and whose Retry-After hasn't passed. */
    refusedBefore: number;
}

/** Input of the decision; times are in milliseconds. `expectedMs` and `serviceMs` are those of a request of mean work. */
export interface RoomInput extends AdmissionInput, RoomState {
    slots: number;
    priority: number;
    /** Time for which the request has waited for room. */
    waitedMs: number;
    /** Time that its caller has left, of which a retry can use more than the route's time limit. */
    callerLeftMs: number;
    /** Returns a number in [0, 1). */
    random: () => number;
}

export type RoomDecision =
    | { type: "send" }
    /** Room is expected in time: the request waits at its instance, for `forMs` at most. */
    | { type: "wait"; forMs: number }
    | { type: "refuse"; delayMs: number; isFinal: boolean }
    | { type: "stopping" };

/**
 * Decides whether a request is sent to a busy target, waits at its instance for room, or is refused. It handles loads in which a
 * less urgent kind with a long target latency is asked for 2.6 times as often as usual for 6 s: by its own target latency alone it
 * would fill the queue until more urgent kinds are refused. It therefore uses the queue only as far as these still meet their
 * target latency, apart from the share of starts that each priority keeps.
 *
 * @example
 * decideRoom(input); // { type: "wait", forMs: 640 }
 */
export const decideRoom = (input: RoomInput): RoomDecision => {
    const { leftMs, elapsedMs, targetLatencyMs, waitedMs, slots, isFull, stopsInMs } = input;
    const queueMs = input.expectedMs - input.serviceMs;
    const serviceMs = input.serviceMs * input.work;
    const expectedMs = queueMs + serviceMs;
    const isRetry = elapsedMs > 0 || waitedMs > targetLatencyMs * COSTLY_WAIT_SHARE;
    const latencyLeftMs = Math.max(0, targetLatencyMs - elapsedMs - waitedMs);
    const present = decideAdmission({
        ...{ expectedMs, serviceMs, leftMs, stopsInMs, isFull },
        elapsedMs: isRetry ? Math.max(1, elapsedMs) : 0,
        targetLatencyMs: targetLatencyMs - waitedMs,
    });
    if (present.type === "stopping") {
        return present;
    }
    const allowedMs = allowedTimeMs(leftMs, latencyLeftMs, isRetry) * workFactor(input);
    const roomMs = input.isDue ? allowedMs : Math.min(allowedMs, reservedLimitMs(input, allowedMs));
    const aheadMs = (input.ahead * input.serviceMs) / slots;
    if (present.type === "admit" && input.ahead === 0 && (expectedMs <= roomMs || queueMs <= 0)) {
        return { type: "send" };
    }
    const latestMs = allowedMs - serviceMs;
    if (input.canWait && latestMs >= MIN_WAIT_MS && expectedMs + aheadMs <= allowedMs) {
        const trialMs = targetLatencyMs * TRIAL_WAIT_SHARE - waitedMs;
        const roomInMs = Math.max(0, expectedMs + aheadMs - roomMs) / input.waitSuccess ** WAIT_CAUTION;
        if (trialMs >= MIN_WAIT_MS) {
            return { type: "wait", forMs: Math.min(trialMs, latestMs) };
        }
        if (roomInMs <= latestMs) {
            return { type: "wait", forMs: latestMs };
        }
    }
    if (!input.hasPriorities) {
        return { type: "refuse", delayMs: pauseFor(latencyLeftMs, serviceMs), isFinal: false };
    }
    return { type: "refuse", delayMs: delayMs(input, expectedMs + aheadMs - roomMs), isFinal: true };
};

/**
 * Expected time up to which a request may be sent, so that a more urgent one that arrives after it still meets its target latency.
 * A route that is rarely asked for reserves less: room that is kept for it would mostly remain unused.
 */
const reservedLimitMs = (input: RoomInput, allowedMs: number): number => {
    const ownMs = (input.serviceMs * input.work) / input.slots;
    const limits = input.rivals
        .filter(({ priority }) => priority < input.priority)
        .map(({ targetLatencyMs, work, share }) => {
            const rivalMs = allowedTimeMs(Infinity, targetLatencyMs, false) - ownMs;
            // The same wait before a request of the rival's work instead of this one's.
            const strictMs = rivalMs + (input.work - work) * input.serviceMs;
            const reserve = Math.min(1, share / FULL_RESERVE_SHARE);
            return strictMs >= allowedMs ? allowedMs : allowedMs - (allowedMs - strictMs) * reserve;
        });
    return Math.min(Infinity, ...limits);
};

/**
 * Factor on the allowed time of a request that needs more work, for the time that it has left, than others of the same priority:
 * where there is too little room, several cheap requests are served instead of it.
 */
const workFactor = (input: RoomInput): number => {
    const cost = input.work / Math.max(1, Math.min(input.leftMs, input.targetLatencyMs));
    return input.rivals
        .filter(({ priority }) => priority === input.priority)
        .reduce((factor, { work, targetLatencyMs, share }) => {
            const ratio = work / Math.max(1, targetLatencyMs) / cost;
            return factor * (1 - share * (1 - Math.min(1, Math.max(MIN_WORK_FACTOR, ratio))));
        }, 1);
};

/**
 * Delay after which room is expected for a refused caller: the excess of the backlog, and the callers that were refused before. It
 * leaves the caller time for the work: a caller whose Retry-After exceeds its time left doesn't return.
 */
const delayMs = (input: RoomInput, excessMs: number): number => {
    const { serviceMs, slots, refusedBefore, callerLeftMs } = input;
    const spread = DELAY_SPREAD * input.random();
    const urgent = new Set(input.rivals.map(rival => rival.priority).filter(priority => priority < input.priority));
    const backlogMs = Math.max(MIN_DELAY_MS, excessMs + (refusedBefore * serviceMs) / slots);
    const wantedMs = backlogMs * (1 + DELAY_STEP * urgent.size) * (1 + spread);
    const longestMs = Math.min(callerLeftMs * CALLER_LEFT_SHARE, callerLeftMs - serviceMs * input.work);
    return Math.max(0, Math.min(wantedMs, longestMs * (1 - spread)));
};
