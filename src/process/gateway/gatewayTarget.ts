import { TargetConnections, type EndedIdle } from "../../connection/targetConnections.js";
import type { ReportedLoad } from "../../request/gatewayCall.js";
import type { Clock } from "../runtime/clock.js";
import { AwaitedAnswers } from "./awaitedAnswers.js";
import { expectedMs, type PlacementCandidate } from "./chooseTarget.js";
import { decideIntake, type Intake } from "./decideIntake.js";
import { slowdownAfter } from "./currentSlowdown.js";
import { DecayingCount } from "./decayingCount.js";
import { estimateLoad, type LoadEstimate } from "./estimateLoad.js";
import type { TargetReport } from "./loadReport.js";
import { DEMAND_HALF_LIFE_MS, ServiceProfile } from "./serviceProfile.js";
import type { DirectoryTarget } from "./targetDirectory.js";
import { TargetReach } from "./targetReach.js";
import { lowerLimit, type ColdLimit, type TargetLimit } from "./warmupLimit.js";

/** Weight of the newest sample in moving averages of times and failures. */
const SAMPLE_WEIGHT = 0.12;
/** Weight of the newest load report in the smoothed pressure. */
const PRESSURE_WEIGHT = 0.3;
/** Number of samples that the service's mean time is weighted as, since few samples say little about a target's speed. */
const PRIOR_SAMPLES = 6;
/** Factor on the assumed service time of a target that is still warming up. */
const WARMUP_FACTOR = 2;
/** Time after which a load report is ignored, in milliseconds. */
const REPORT_LIFETIME_MS = 1_500;
/** Half-life of the failure share without new samples, in milliseconds, so that a failing target is gradually tried again. */
const FAILURE_HALF_LIFE_MS = 2_500;
/** Minimum and maximum time for which an unresponsive target is avoided, in milliseconds. */
const MIN_SUSPICION_MS = 400;
const MAX_SUSPICION_MS = 3_000;

/** Share of a saturated target's capacity that the probes of all instances use together. */
const PROBED_CAPACITY = 0.9;
/** Share of the queue from which a target counts as saturated; probes are sent to it only then. */
const SATURATED_QUEUE_SHARE = 0.5;
/** Maximum share of the queue that is left free because of an uncertain load. */
const MAX_MARGIN_SHARE = 0.5;

/** Intake of a target that has stated neither that it leaves nor a rest, and isn't evacuated. */
const OPEN: Intake = { type: "open" };
/** Ratio of load to slots that is assumed of a target whose limit refuses callers. */
const EXCEEDED_PRESSURE = 1;

/** This instance's view of one target: its connections, load, speed and failures. */
export class GatewayTarget {
    readonly connections: TargetConnections;
    /** Requests that were sent on the direct path and whose answers haven't begun. */
    readonly awaited: AwaitedAnswers;
    /** Number of requests that were sent again because their answers were found to be missing. */
    missingAnswers = 0;
    /** What is known of the direct path to it. */
    readonly reach: TargetReach;
    /** Number of requests that were sent although the target was thought to be saturated. */
    probes = 0;
    private inFlight = 0;
    /** Requests running or waiting at the target when it last reported them, or was last seen to be full. */
    private lastLoad: { load: number; at: number; own: number } | undefined;
    private reported: { load: ReportedLoad; at: number; ownInFlight: number } | undefined;
    private serviceMs = 0;
    private samples = 0;
    private unreported = { answers: 0, serviceMs: 0 };
    private failureShare = 0;
    private failureAt = 0;
    /** Ratio of the reported load to the slots, smoothed. */
    private pressure = 0;
    private lastAnswerAt = -Infinity;
    private unanswered = 0;
    private suspectUntil = -Infinity;
    private readonly warmUntil: number;
    /** Requests that this instance had for the target, sent or not. */
    private readonly asked = new DecayingCount(DEMAND_HALF_LIFE_MS);
    /**
     * Monotonic time in milliseconds from which a request is sent although the target is thought to be saturated; `undefined` while it
     * isn't. It is drawn when the target is first thought to be saturated: earlier pauses would let each instance send at once then.
     */
    private probeFrom: number | undefined;

    constructor(
        readonly listed: DirectoryTarget,
        private readonly clock: Clock,
        private readonly sameDomain: boolean,
        readonly connectionLimit: number,
        private readonly profile = new ServiceProfile(),
        /** The limit that follows from its warm-up; `undefined` while it is warm or any rate is allowed. */
        private readonly coldLimit: () => ColdLimit | undefined = () => undefined,
        private readonly random: () => number = Math.random,
        /** Called when the target has ended an idle connection. */
        idleEnded?: (ended: EndedIdle) => void,
    ) {
        profile.targets++;
        this.connections = new TargetConnections(listed.entry.address, clock, { limit: connectionLimit, idleEnded });
        this.awaited = new AwaitedAnswers(listed.entry.slots);
        this.reach = new TargetReach(clock);
        this.warmUntil = clock.monotonicMs() + listed.entry.warmupLeftMs;
    }

    get id(): string {
        return this.listed.entry.id;
    }

    /** Requests of this instance that are in flight at the target. */
    get running(): number {
        return this.inFlight;
    }

    /** Whether calls to the target recently went unanswered. */
    isSuspect(): boolean {
        return this.clock.monotonicMs() < this.suspectUntil;
    }

    /** Expected time of one more request at the target, in milliseconds. */
    expectedMs(): number {
        return expectedMs(this.candidate());
    }

    /** Requests running or waiting at the target, as estimated. */
    estimatedLoad(): number {
        return this.estimate().load;
    }

    /** The lower one of the limit that the target states and that of a cold target; `undefined` if there is neither. */
    get limit(): TargetLimit | undefined {
        return lowerLimit(this.listed.intake.limit, this.coldLimit());
    }

    /** Whether its warm-up bounds the requests that it may get. */
    get isCold(): boolean {
        return this.coldLimit() !== undefined;
    }

    /**
     * Whether the target takes a request that arrived at a monotonic time in milliseconds. `drainMs` is the time for which a
     * leaving target may get requests, in milliseconds.
     */
    intakeFor(arrivedAt: number, drainMs: number): Intake {
        const { intake, evacuation } = this.listed;
        const { leavingAt, rest } = intake;
        if (leavingAt === undefined && rest === undefined && evacuation === undefined) {
            return OPEN;
        }
        const now = this.clock.monotonicMs();
        return decideIntake({ now, arrivedAt, leavingAt, drainMs, rest, evacuation, inFlight: this.inFlight });
    }

    /** Time in milliseconds for which it may get requests before its evacuation ends them; `undefined` if it isn't evacuated. */
    sendsForMs(): number | undefined {
        const { evacuation } = this.listed;
        return evacuation && Math.max(0, evacuation.sendsUntil - this.clock.monotonicMs());
    }

    started(): void {
        this.inFlight++;
        this.probes += Number(this.isProbeDue(this.estimate(), this.clock.monotonicMs()));
        this.probeFrom = undefined;
        this.countDemand();
    }

    /** Counts a request that isn't sent because the target is too busy. */
    declined(): void {
        this.countDemand();
    }

    /** Counts a request that has ended with any outcome. */
    ended(): void {
        this.inFlight--;
    }

    /** Records the load that an answer reports. */
    report(load: ReportedLoad): void {
        const pressure = (load.running + load.waiting) / Math.max(1, load.slots);
        this.pressure += (pressure - this.pressure) * PRESSURE_WEIGHT;
        const now = this.clock.monotonicMs();
        this.profile.reported(load, now);
        this.reported = { load, at: now, ownInFlight: this.inFlight };
        this.lastLoad = { load: load.running + load.waiting, at: now, own: this.inFlight };
    }

    /**
     * Updates the estimates by an answer that took `durationMs` milliseconds with `loadAtStart` requests ahead of it. One that came
     * through another instance is reported by that instance.
     */
    answered(durationMs: number, loadAtStart: number, isForwarded = false): void {
        const slots = Math.max(1, this.listed.entry.slots);
        // Most of the load at the start may be that of other instances, which only the answer reports.
        const load = Math.max(loadAtStart + 1, this.reportedLoad());
        const rounds = Math.max(1, load / slots);
        const sample = durationMs / rounds / this.reportedSlowdown();
        const weight = Math.max(SAMPLE_WEIGHT, 1 / (this.samples + 1));
        this.serviceMs += (sample - this.serviceMs) * weight;
        this.samples++;
        this.profile.answered(sample);
        this.profile.ownAnswer(this.clock.monotonicMs());
        if (!isForwarded) {
            this.unreported.answers++;
            this.unreported.serviceMs += sample;
        }
        this.lastAnswerAt = this.clock.monotonicMs();
        this.unanswered = 0;
        this.suspectUntil = -Infinity;
        this.countFailure(0);
    }

    /** Requests running or waiting at the target by its last report, if that isn't too old. */
    private reportedLoad(): number {
        const { reported } = this;
        return reported === undefined || this.clock.monotonicMs() - reported.at > REPORT_LIFETIME_MS
            ? 0
            : reported.load.running + reported.load.waiting;
    }

    /** Report of the answers since the last call; `undefined` if there were none. */
    takeReport(): TargetReport | undefined {
        const { answers, serviceMs } = this.unreported;
        this.unreported = { answers: 0, serviceMs: 0 };
        const { id, startedAtMs } = this.listed.entry;
        return answers === 0
            ? undefined
            : { id, startedAtMs, answers, serviceMs: serviceMs / answers, pressure: this.pressure };
    }

    /** Merges another instance's report into the estimates. */
    mergeReport({ answers, serviceMs, pressure }: TargetReport): void {
        const weight = Math.max(1 - (1 - SAMPLE_WEIGHT) ** answers, answers / (this.samples + answers));
        this.serviceMs += (serviceMs - this.serviceMs) * weight;
        this.samples += answers;
        this.profile.answered(serviceMs, answers);
        this.pressure += (pressure - this.pressure) * PRESSURE_WEIGHT;
    }

    /** Counts a request that the target shed or failed. */
    failed(): void {
        this.lastAnswerAt = this.clock.monotonicMs();
        this.unanswered = 0;
        this.countFailure(1);
    }

    /**
     * Counts a failed connection, or a request without an answer. The target is avoided for a while, unless it has answered
     * other requests since `startedAt`: then it is merely slow, or a single answer was lost. A cut of the path since then explains
     * it, too, and says nothing about the target.
     */
    unansweredCall(startedAt: number): void {
        if (this.reach.wasCutAfter(startedAt)) {
            return;
        }
        this.countFailure(1);
        this.noticeLossWhenFull(startedAt);
        if (this.lastAnswerAt > startedAt) {
            return;
        }
        this.unanswered++;
        const durationMs = Math.min(MAX_SUSPICION_MS, MIN_SUSPICION_MS * 2 ** (this.unanswered - 1));
        this.suspectUntil = this.clock.monotonicMs() + durationMs;
    }

    /** Ends the suspicion that followed from a path that was found to be cut. */
    pathCut(): void {
        this.unanswered = 0;
        this.suspectUntil = -Infinity;
    }

    /**
     * Requests running or waiting at the target by a recent report, or those of this instance. Samples of the service time use it, as an
     * estimate of the load would distort them.
     */
    load(): number {
        const { reported } = this;
        if (reported === undefined || this.clock.monotonicMs() - reported.at > REPORT_LIFETIME_MS) {
            return this.inFlight;
        }
        const others = Math.max(0, reported.load.running + reported.load.waiting - reported.ownInFlight);
        // Callers are distributed over instances evenly, so the others' requests grow as those of this instance do.
        const growth = Math.max(1, this.inFlight / Math.max(1, reported.ownInFlight));
        return others * growth + this.inFlight;
    }

    /**
     * Relative capacity by slots, service time and limit, and how much of it is used; input for the assignment of keys.
     *
     * @param limit limit in requests per second, and whether callers are refused because of it
     */
    measure(limit?: { perSecond: number; isExceeded: boolean }): { capacity: number; pressure: number } {
        const { slots } = this.listed.entry;
        const capacity = slots / this.estimatedServiceMs();
        const pressure = Math.max(this.pressure, this.inFlight / slots);
        return limit === undefined
            ? { capacity, pressure }
            : {
                  capacity: Math.min(capacity, limit.perSecond / 1_000),
                  pressure: limit.isExceeded ? Math.max(pressure, EXCEEDED_PRESSURE) : pressure,
              };
    }

    /**
     * Input for the choice among targets.
     *
     * @param crossings number of times that its answers pass from one failure domain to another
     */
    candidate(crossings = this.sameDomain ? 0 : 1): PlacementCandidate & { target: GatewayTarget } {
        const now = this.clock.monotonicMs();
        const isWarm = now >= this.warmUntil;
        const { slots } = this.listed.entry;
        return {
            target: this,
            load: this.load(),
            slots,
            serviceMs: this.estimatedServiceMs() * (isWarm || this.samples > 0 ? 1 : WARMUP_FACTOR),
            slowdown: this.reported && slowdownAfter(this.reportedSlowdown(), now - this.reported.at),
            queueLimit: this.profile.queueLimit(slots),
            failureShare: this.currentFailureShare(),
            crossings,
            suspect: this.isSuspect() || this.listed.claimed,
        };
    }

    /**
     * The same with the load that is estimated from old reports and the demand of all instances. It isn't in force: with many busy
     * targets it has requests refused at idle ones, as docs/design/target-capacity.md says.
     */
    estimatedCandidate(): PlacementCandidate & { target: GatewayTarget } {
        const now = this.clock.monotonicMs();
        const { slots } = this.listed.entry;
        const estimate = this.estimate();
        const isProbe = this.isProbeDue(estimate, now);
        return {
            ...this.candidate(),
            load: isProbe ? Math.max(this.inFlight, slots - 1) : estimate.load,
            margin: isProbe || !this.profile.losesWhenFull(now) ? undefined : this.marginOf(estimate),
        };
    }

    dispose(): void {
        this.profile.targets--;
        this.connections.dispose();
    }

    /** The load of all instances, by the own requests and the reports of the target and of the others of its service. */
    private estimate(): LoadEstimate {
        const now = this.clock.monotonicMs();
        const { slots } = this.listed.entry;
        const { lastLoad } = this;
        return estimateLoad({
            own: this.inFlight,
            report: lastLoad && { load: lastLoad.load, own: lastLoad.own, ageMs: now - lastLoad.at },
            slots,
            queueLimit: this.profile.queueLimit(slots),
            serviceMs: this.estimatedServiceMs(),
            service: this.profile.load(slots, now),
            demand: this.profile.relativeDemand(this.asked.at(now), now),
        });
    }

    /** Whether a request is sent although the target is thought to be saturated, so that a wrong estimate is corrected. */
    private isProbeDue(estimate: LoadEstimate, now: number): boolean {
        this.probeFrom = this.isSaturated(estimate) ? (this.probeFrom ?? now + this.probePauseMs()) : undefined;
        return this.probeFrom !== undefined && now >= this.probeFrom;
    }

    private isSaturated({ load }: LoadEstimate): boolean {
        const { slots } = this.listed.entry;
        return load + 1 > slots + this.profile.queueLimit(slots) * SATURATED_QUEUE_SHARE;
    }

    /** Learns from a request without an answer that was sent at a time at which the target seems to have been full. */
    private noticeLossWhenFull(startedAt: number): void {
        const now = this.clock.monotonicMs();
        const { slots } = this.listed.entry;
        const running = this.profile.load(slots, now)?.running ?? 0;
        const isOverloaded = running * this.profile.relativeDemand(this.asked.at(now), now) >= slots;
        if (!isOverloaded && !this.isSaturated(this.estimate())) {
            return;
        }
        this.profile.lostAtFullTarget(now);
        if (startedAt > (this.lastLoad?.at ?? -Infinity)) {
            this.lastLoad = { load: slots + this.profile.queueLimit(slots), at: startedAt, own: this.inFlight };
        }
    }

    private marginOf({ deviation }: LoadEstimate): number {
        return Math.min(deviation, this.profile.queueLimit(this.listed.entry.slots) * MAX_MARGIN_SHARE);
    }

    /**
     * Time until this instance may send to the target again although that is thought to be saturated. The mean is the time in which the
     * target serves one request of each instance, less a margin. The times of different instances are independent, so that their
     * requests arrive evenly.
     */
    private probePauseMs(): number {
        const instances = this.profile.instances(this.clock.monotonicMs());
        const meanMs = (instances * this.estimatedServiceMs()) / this.listed.entry.slots / PROBED_CAPACITY;
        return -meanMs * Math.log(1 - this.random());
    }

    private countDemand(): void {
        const now = this.clock.monotonicMs();
        this.asked.add(now);
        this.profile.asked(now);
    }

    /** Slowdown of the target's machine that it last reported, relative to the mean of its service. */
    private reportedSlowdown(): number {
        const slowdown = this.reported?.load.slowdown;
        return slowdown === undefined ? 1 : slowdown / this.profile.meanSlowdown;
    }

    /** Time that a request takes in a free slot by this target's answers and, where these are few, those of the others. */
    private estimatedServiceMs(): number {
        const known = this.samples + PRIOR_SAMPLES;
        return (this.serviceMs * this.samples + this.profile.serviceMs * PRIOR_SAMPLES) / known;
    }

    private currentFailureShare(): number {
        return this.failureShare * 2 ** (-(this.clock.monotonicMs() - this.failureAt) / FAILURE_HALF_LIFE_MS);
    }

    private countFailure(sample: 0 | 1): void {
        const share = this.currentFailureShare();
        this.failureShare = share + (sample - share) * SAMPLE_WEIGHT;
        this.failureAt = this.clock.monotonicMs();
    }
}
