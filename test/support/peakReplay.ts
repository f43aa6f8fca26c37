import { seededRandom } from "./seededRandom.js";
import type { Admission, AdmissionInput } from "../../src/process/gateway/decideAdmission.js";

/** Load on one target whose keys can't be moved to another target. All times are in milliseconds. */
export interface PeakLoad {
    seed: number;
    slots: number;
    /** Maximum number of requests that the target queues; it sheds further ones. */
    queueLimit: number;
    meanServiceMs: number;
    /** Arrival rate divided by the target's capacity. */
    loadRatio: number;
    durationMs: number;
    targetLatencyMs: number;
    deadlineMs: number;
    /** Number of retries of a caller after a refusal. */
    retries: number;
}

/** Number of requests by result. */
export interface PeakResult {
    asked: number;
    inTime: number;
    late: number;
    unserved: number;
}

interface Attempt {
    at: number;
    firstAt: number;
    serviceMs: number;
    retriesLeft: number;
}

/**
 * Simulates a load peak in virtual time: random arrivals, a FIFO queue at the target, and callers that retry after the
 * delay stated in the refusal as long as their deadline allows it.
 */
export const replayPeak = (load: PeakLoad, decide: (input: AdmissionInput) => Admission): PeakResult => {
    const random = seededRandom(load.seed);
    const ratePerMs = (load.loadRatio * load.slots) / load.meanServiceMs;
    const waiting: Attempt[] = [];
    for (let at = 0; at < load.durationMs; at += -Math.log(1 - random()) / ratePerMs) {
        const serviceMs = load.meanServiceMs * (0.5 + random());
        waiting.push({ at, firstAt: at, serviceMs, retriesLeft: load.retries });
    }
    const result: PeakResult = { asked: waiting.length, inTime: 0, late: 0, unserved: 0 };
    /** Times at which the slots become free. */
    const freeAt = new Array<number>(load.slots).fill(0);
    /** Times at which accepted requests start; those in the future are queued. */
    let starts: number[] = [];
    while (waiting.length > 0) {
        waiting.sort((a, b) => a.at - b.at);
        const attempt = waiting.shift() as Attempt;
        const { at, firstAt, serviceMs, retriesLeft } = attempt;
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
            if (retriesLeft === 0 || elapsedMs + pauseMs > load.deadlineMs) {
                result.unserved++;
            } else {
                const jitter = 0.7 + 0.6 * random();
                waiting.push({ ...attempt, at: at + pauseMs * jitter, retriesLeft: retriesLeft - 1 });
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
