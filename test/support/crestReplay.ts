import { seededRandom } from "./seededRandom.js";
import type { Admission, AdmissionInput } from "../../src/process/gateway/decideAdmission.js";

/** Load on one owner of keys that can't be given to another target. All times in milliseconds. */
export interface CrestLoad {
    seed: number;
    slots: number;
    /** Requests that the target queues at most; it sheds others. */
    queueLimit: number;
    meanServiceMs: number;
    /** Arrivals a second over the target's capacity. */
    loadRatio: number;
    durationMs: number;
    targetLatencyMs: number;
    deadlineMs: number;
    /** How often a caller comes back after a refusal. */
    retries: number;
}

/** What callers got. */
export interface CrestResult {
    asked: number;
    inTime: number;
    late: number;
    unserved: number;
}

interface Attempt {
    at: number;
    firstAt: number;
    serviceMs: number;
    triesLeft: number;
}

/**
 * Plays a crest in virtual time: arrivals at random, a first-come queue at the target, and callers that come back after the
 * pause that they are told while they have time.
 */
export const replayCrest = (load: CrestLoad, decide: (input: AdmissionInput) => Admission): CrestResult => {
    const random = seededRandom(load.seed);
    const ratePerMs = (load.loadRatio * load.slots) / load.meanServiceMs;
    const waiting: Attempt[] = [];
    for (let at = 0; at < load.durationMs; at += -Math.log(1 - random()) / ratePerMs) {
        const serviceMs = load.meanServiceMs * (0.5 + random());
        waiting.push({ at, firstAt: at, serviceMs, triesLeft: load.retries });
    }
    const result: CrestResult = { asked: waiting.length, inTime: 0, late: 0, unserved: 0 };
    /** Times at which the slots are free. */
    const freeAt = new Array<number>(load.slots).fill(0);
    /** Times at which accepted requests start; those in the future are queued. */
    let starts: number[] = [];
    while (waiting.length > 0) {
        waiting.sort((a, b) => a.at - b.at);
        const attempt = waiting.shift() as Attempt;
        const { at, firstAt, serviceMs, triesLeft } = attempt;
        starts = starts.filter(start => start > at);
        const running = freeAt.filter(free => free > at).length;
        const ahead = Math.max(0, running + starts.length + 1 - load.slots);
        const expectedMs = (ahead * load.meanServiceMs) / load.slots + load.meanServiceMs;
        const elapsedMs = at - firstAt;
        const admission = decide({
            expectedMs,
            serviceMs: load.meanServiceMs,
            leftMs: load.deadlineMs - elapsedMs,
            elapsedMs,
            targetLatencyMs: load.targetLatencyMs,
        });
        const isShed = starts.length >= load.queueLimit;
        if (admission.type === "refuse" || isShed) {
            const pauseMs = admission.type === "refuse" ? admission.pauseMs : 200;
            if (triesLeft === 0 || elapsedMs + pauseMs > load.deadlineMs) {
                result.unserved++;
            } else {
                const spread = 0.7 + 0.6 * random();
                waiting.push({ ...attempt, at: at + pauseMs * spread, triesLeft: triesLeft - 1 });
            }
            continue;
        }
        const slot = freeAt.indexOf(Math.min(...freeAt));
        const start = Math.max(at, freeAt[slot]);
        freeAt[slot] = start + serviceMs;
        starts.push(start);
        const tookMs = freeAt[slot] - firstAt;
        if (tookMs <= load.targetLatencyMs) {
            result.inTime++;
        } else if (tookMs <= load.deadlineMs) {
            result.late++;
        } else {
            result.unserved++;
        }
    }
    return result;
};
