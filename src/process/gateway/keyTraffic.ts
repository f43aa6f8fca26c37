import { KEY_COUNT } from "./keyMap.js";

/** Factor applied to the counts at each decay. With a decay every 500 ms the half-life is 2.5 s. */
const DECAY = 0.87;
/** Interval between decays, in milliseconds. */
export const DECAY_PERIOD_MS = 500;
/** Number of requests assumed to be spread evenly over all keys, since a small sample says little about most keys. */
const UNIFORM_PRIOR_REQUESTS = 40;

/**
 * Maximum number of keys whose requests are kept for the next report. Hot keys are among the first ones seen, and reports
 * cost the assigner processing time.
 */
const MAX_UNREPORTED_KEYS = 500;

/**
 * Recent requests by key: those of this instance, and those that others have reported. The balancer distributes callers
 * over instances by a hash, so without reports one instance's requests are a sample of all requests.
 *
 * @example
 * traffic.record(4711);
 * const loads = new KeyLoads(traffic.weights());
 */
export class KeyTraffic {
    private readonly counts = new Float32Array(KEY_COUNT);
    private total = 0;
    private unreported = new Map<number, number>();

    /** Counts a request received by this instance. */
    record(key: number): void {
        this.add(key, 1);
        const count = this.unreported.get(key) ?? 0;
        if (count > 0 || this.unreported.size < MAX_UNREPORTED_KEYS) {
            this.unreported.set(key, count + 1);
        }
    }

    /** Counts requests received by another instance. */
    add(key: number, requests: number): void {
        this.counts[key] += requests;
        this.total += requests;
    }

    /** Returns the requests of this instance by key since the last call. */
    takeUnreported(): [key: number, requests: number][] {
        const entries = [...this.unreported];
        this.unreported = new Map();
        return entries;
    }

    /** Reduces the weight of older requests; call it every `DECAY_PERIOD_MS`. */
    decay(): void {
        let total = 0;
        for (let key = 0; key < KEY_COUNT; key++) {
            const count = this.counts[key];
            if (count !== 0) {
                const remaining = count * DECAY;
                this.counts[key] = remaining < 0.01 ? 0 : remaining;
                total += this.counts[key];
            }
        }
        this.total = total;
    }

    /** Load of each key. The sum is 1. */
    weights(): Float64Array {
        const weights = new Float64Array(KEY_COUNT);
        const sum = UNIFORM_PRIOR_REQUESTS + this.total;
        for (let key = 0; key < KEY_COUNT; key++) {
            weights[key] = (UNIFORM_PRIOR_REQUESTS / KEY_COUNT + this.counts[key]) / sum;
        }
        return weights;
    }
}
