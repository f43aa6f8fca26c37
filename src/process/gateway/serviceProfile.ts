import type { ReportedLoad } from "../../request/gatewayCall.js";

/** Service time assumed before the first answer, in milliseconds. */
const INITIAL_SERVICE_MS = 100;
/** Weight of the newest sample in the mean service time. */
const SAMPLE_WEIGHT = 0.02;
/** Queue of a target that is assumed until a longer one has been reported, in requests for each slot. */
const ASSUMED_QUEUE_PER_SLOT = 2;

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

    /** Mean time in milliseconds that a target takes for a request in a free slot. */
    get serviceMs(): number {
        return this.meanMs;
    }

    /** Adds the mean service time in milliseconds of so many answers. */
    answered(serviceMs: number, answers = 1): void {
        const weight = Math.max(1 - (1 - SAMPLE_WEIGHT) ** answers, answers / (this.samples + answers));
        this.meanMs += (serviceMs - this.meanMs) * weight;
        this.samples += answers;
    }

    /** Adds a load that a target has reported. */
    reported({ waiting }: ReportedLoad): void {
        this.longestQueue = Math.max(this.longestQueue, waiting);
    }

    /** Number of requests that are known to fit in the queue of a target with so many slots. */
    queueLimit(slots: number): number {
        return Math.max(this.longestQueue, slots * ASSUMED_QUEUE_PER_SLOT);
    }
}
