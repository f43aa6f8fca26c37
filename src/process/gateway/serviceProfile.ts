import type { ReportedLoad } from "../../request/gatewayCall.js";
import { DecayingCount } from "./decayingCount.js";
import type { ServiceLoad } from "./estimateLoad.js";

/** Service time assumed before the first answer, in milliseconds. */
const INITIAL_SERVICE_MS = 100;
/** Weight of the newest sample in the mean service time. */
const SAMPLE_WEIGHT = 0.02;
/** Least and greatest weight of the newest report in the mean load. */
const LOAD_WEIGHT = 0.05;
const MAX_LOAD_WEIGHT = 0.3;
/** Time after which a report has little weight in the mean load, however few have followed, in milliseconds; bursts last some seconds. */
const LOAD_MEMORY_MS = 1_000;
/** Queue of a target that is assumed until a longer one has been reported, in requests for each slot. */
const ASSUMED_QUEUE_PER_SLOT = 2;
/** Number of instances that is assumed until enough answers have shown it, and the largest that is derived from them. */
const ASSUMED_INSTANCES = 12;
const MAX_INSTANCES = 1_000;
/** Number of recent answers that show the number of instances. */
const MIN_ANSWERS = 5;
/** Half-life of the count of answers, in milliseconds. */
const ANSWERS_HALF_LIFE_MS = 10_000;
/** Half-life of the demand for targets, in milliseconds; a hot key is noticed, and forgotten, in about this time. */
export const DEMAND_HALF_LIFE_MS = 3_000;
/** Requests that are added to both sides of a target's relative demand, as few requests come by chance. */
const DEMAND_PRIOR = 1.5;
/** Half-life of the losses at full targets, in milliseconds; a service's behaviour when full changes with its version only. */
const LOSSES_HALF_LIFE_MS = 300_000;
/** Number of recent losses from which a service counts as one that loses requests when it is full. */
const MIN_LOSSES = 0.5;

/**
 * What the answers of all targets of a service have shown. With many instances, each one gets few answers from a single target,
 * so an instance assumes that a target which it doesn't know is like the others.
 *
 * @example
 * const profile = new ServiceProfile();
 * profile.answered(740);
 * profile.serviceMs; // 740
 */
export class ServiceProfile {
    private meanMs = INITIAL_SERVICE_MS;
    private samples = 0;
    private longestQueue = 0;
    /** Number of targets of the service that this instance has a view of. */
    targets = 0;
    private reports = 0;
    private reportedAt = 0;
    /**
     * Mean logarithm of 1 plus the ratio of the load to the slots of a target. Otherwise the reports of a few targets that are slow or have
     * a hot key would let all others seem busy.
     */
    private logLoad = 0;
    /** Mean ratio of the running requests to the slots of a target. */
    private runningRatio = 0;
    private slotsOfTarget = 1;
    private slowdown = 1;
    private readonly ownAnswers = new DecayingCount(ANSWERS_HALF_LIFE_MS);
    private readonly demand = new DecayingCount(DEMAND_HALF_LIFE_MS);
    private computed = { now: NaN, instances: ASSUMED_INSTANCES, meanDemand: 0 };
    private readonly losses = new DecayingCount(LOSSES_HALF_LIFE_MS);

    /** @param lossesFound called when targets are found to lose requests when they are full */
    constructor(private readonly lossesFound: () => void = () => undefined) {}

    /** Mean time in milliseconds that a target takes for a request in a free slot. */
    get serviceMs(): number {
        return this.meanMs;
    }

    /** Mean slowdown that targets report; 1 if they report none. */
    get meanSlowdown(): number {
        return this.slowdown;
    }

    /** Adds the mean service time in milliseconds of so many answers. */
    answered(serviceMs: number, answers = 1): void {
        const weight = Math.max(1 - (1 - SAMPLE_WEIGHT) ** answers, answers / (this.samples + answers));
        this.meanMs += (serviceMs - this.meanMs) * weight;
        this.samples += answers;
    }

    /** Counts an answer that this instance got at a monotonic time in milliseconds. */
    ownAnswer(now: number): void {
        this.ownAnswers.add(now);
    }

    /** Adds a load that a target has reported. */
    reported({ running, waiting, slots, slowdown }: ReportedLoad, now = 0): void {
        this.longestQueue = Math.max(this.longestQueue, waiting);
        this.reports++;
        const aged = Math.min(MAX_LOAD_WEIGHT, 1 - Math.exp((this.reportedAt - now) / LOAD_MEMORY_MS));
        const weight = Math.max(LOAD_WEIGHT, aged, 1 / this.reports);
        this.reportedAt = now;
        const divisor = Math.max(1, slots);
        this.logLoad += (Math.log1p((running + waiting) / divisor) - this.logLoad) * weight;
        this.runningRatio += (Math.min(running, divisor) / divisor - this.runningRatio) * weight;
        this.slotsOfTarget += (divisor - this.slotsOfTarget) * weight;
        if (slowdown !== undefined) {
            this.slowdown += (slowdown - this.slowdown) * Math.max(SAMPLE_WEIGHT, 1 / this.reports);
        }
    }

    /** Number of requests that are known to fit in the queue of a target with so many slots. */
    queueLimit(slots: number): number {
        return Math.max(this.longestQueue, slots * ASSUMED_QUEUE_PER_SLOT);
    }

    /** Mean load of a target with so many slots; `undefined` before the first report. */
    load(slots: number, now: number): ServiceLoad | undefined {
        return this.reports === 0
            ? undefined
            : {
                  load: Math.expm1(this.logLoad) * slots,
                  running: this.runningRatio * slots,
                  instances: this.instances(now),
              };
    }

    /**
     * Number of instances that send to the service: the ratio of the requests that its targets run to those of which this instance got
     * the answers, by the rate of its answers and the service time.
     */
    instances(now: number): number {
        return this.atTime(now).instances;
    }

    /** What depends on the time only. It is computed once for the many targets among which one is chosen at a time. */
    private atTime(now: number): { now: number; instances: number; meanDemand: number } {
        if (this.computed.now !== now) {
            const meanDemand = this.demand.at(now) / Math.max(1, this.targets);
            this.computed = { now, instances: this.countInstances(now), meanDemand };
        }
        return this.computed;
    }

    private countInstances(now: number): number {
        const answers = this.ownAnswers.at(now);
        if (answers < MIN_ANSWERS) {
            return ASSUMED_INSTANCES;
        }
        const running = this.runningRatio * this.slotsOfTarget * this.targets;
        const ownRunning = (answers * this.meanMs) / this.ownAnswers.windowMs;
        return Math.min(MAX_INSTANCES, Math.max(1, running / ownRunning));
    }

    /** Counts a request that this instance had for a target. */
    asked(now: number): void {
        this.demand.add(now);
    }

    /** Ratio of the recent requests for a target, `asked`, to the mean of all targets of the service. */
    relativeDemand(asked: number, now: number): number {
        return Math.max(1, (asked + DEMAND_PRIOR) / (this.atTime(now).meanDemand + DEMAND_PRIOR));
    }

    /** Counts a request that a full target left unanswered or whose connection it reset. */
    lostAtFullTarget(now: number): void {
        const isKnown = this.losesWhenFull(now);
        this.losses.add(now);
        if (!isKnown) {
            this.lossesFound();
        }
    }

    /** Whether targets of the service lose requests when they are full, instead of stating that they haven't run. */
    losesWhenFull(now: number): boolean {
        return this.losses.at(now) >= MIN_LOSSES;
    }
}
