/** Evidence of the load of a target. Times are in milliseconds, loads in requests that run or wait. */
export interface LoadEvidence {
    /** Requests of this instance that are in flight at the target. */
    own: number;
    /** The last report of the target, its age, and the requests of this instance that were in flight at it. */
    report?: { load: number; own: number; ageMs: number };
    slots: number;
    /** Requests that fit in the target's queue. */
    queueLimit: number;
    /** Mean time that a request takes in a free slot. */
    serviceMs: number;
    /** What the reports of all targets of the service have shown; missing while none has been read. */
    service?: ServiceLoad;
    /**
     * Requests that this instance has recently had for the target, sent or not, relative to the mean of the targets of its service.
     * Callers are distributed over instances evenly, so the requests of the others are in the same ratio.
     */
    demand: number;
}

/** Mean load of the targets of a service, for a target with as many slots as the one in question. */
export interface ServiceLoad {
    /** Requests that run or wait at a target. */
    load: number;
    /** Requests that run at a target. */
    running: number;
    /** Number of instances that send to the service. */
    instances: number;
}

export interface LoadEstimate {
    load: number;
    /** Standard deviation of the load, because of requests that others may have sent since the report. */
    deviation: number;
}

/**
 * Estimates the load of a target to which other instances send, too. It handles many instances that seldom hear of one target: with
 * 85 of them, a target that serves 12 requests a second answers each one every 7 s, and an instance that took it for idle after
 * its last report would send to it again and again while it is saturated.
 *
 * The requests of others that the last report shows change towards the ones that are expected without a report: a longer queue falls as
 * fast as the slots work less the requests that arrive meanwhile, a shorter one grows within a service time. Without a report, others are expected to have the mean load of the
 * service at the target, in proportion to the demand for it. The own requests are known.
 *
 * @example
 * estimateLoad({ own: 0, report: { load: 15, own: 0, ageMs: 400 }, slots: 3, serviceMs: 240, ... }).load; // 10
 */
export const estimateLoad = (evidence: LoadEvidence): LoadEstimate => {
    const { own, report, slots, queueLimit, serviceMs, service, demand } = evidence;
    if (service === undefined) {
        return { load: own, deviation: 0 };
    }
    const maxLoad = slots + queueLimit;
    const othersShare = 1 - 1 / service.instances;
    const expectedOthers = Math.min(maxLoad, service.load * demand) * othersShare;
    // Arrivals of earlier requests have no effect once as many requests have been served as fit in the target.
    const memoryMs = (maxLoad * serviceMs) / slots;
    const unknownMs = Math.min(memoryMs, report?.ageMs ?? Infinity);
    const arrivals = Math.min(((service.running * demand) / serviceMs) * unknownMs, maxLoad * demand) * othersShare;
    const freeShare = Math.max(0, 1 - (service.running * demand) / slots);
    const drainPerMs = (freeShare * slots) / serviceMs;
    const others =
        report === undefined ? expectedOthers : othersAfter(report, evidence, { expectedOthers, maxLoad, drainPerMs });
    return { load: others + own, deviation: Math.sqrt(arrivals) };
};

/** Requests of others at a target some time after its report. */
const othersAfter = (
    report: NonNullable<LoadEvidence["report"]>,
    { own, serviceMs }: LoadEvidence,
    { expectedOthers, maxLoad, drainPerMs }: { expectedOthers: number; maxLoad: number; drainPerMs: number },
): number => {
    const reported = Math.max(0, report.load - report.own);
    // Others send at the same time as this instance. One request is added to both counts, as single ones come by chance.
    const grown = Math.max(reported, Math.min(maxLoad, (reported * (own + 1)) / (report.own + 1)));
    return grown > expectedOthers
        ? Math.max(expectedOthers, grown - report.ageMs * drainPerMs)
        : expectedOthers - (expectedOthers - grown) * Math.exp(-report.ageMs / serviceMs);
};
