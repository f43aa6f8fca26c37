import { KEY_COUNT } from "./keyMap.js";

/** Factor by which counts fall with each decay. Half-life of 2.5 s at a decay each 500 ms. */
const DECAY = 0.87;
/** Time between two decays in milliseconds. */
export const DECAY_PERIOD_MS = 500;
/** Requests that are assumed to lie evenly on all keys: a sample of few requests says little about most keys. */
const EVEN_REQUESTS = 40;

/** Most keys of which requests are kept for the next report: busy keys are among the first, and reports cost the assigner time. */
const MAX_UNREPORTED_KEYS = 500;

/**
 * Recent requests by key: those of this instance, and those that others have reported. The balancer spreads callers over
 * instances by a hash, so one instance's requests are a sample of all when there are no reports.
 *
 * @example
 * traffic.record(4711);
 * const loads = new KeyLoads(traffic.weights());
 */
export class KeyTraffic {
    private readonly counts = new Float32Array(KEY_COUNT);
    private total = 0;
    private unreported = new Map<number, number>();

    /** Counts a request that this instance got. */
    record(key: number): void {
        this.add(key, 1);
        const count = this.unreported.get(key) ?? 0;
        if (count > 0 || this.unreported.size < MAX_UNREPORTED_KEYS) {
            this.unreported.set(key, count + 1);
        }
    }

    /** Counts requests that another instance got. */
    add(key: number, requests: number): void {
        this.counts[key] += requests;
        this.total += requests;
    }

    /** Requests of this instance by key since the last call. */
    takeUnreported(): [key: number, requests: number][] {
        const entries = [...this.unreported];
        this.unreported = new Map();
        return entries;
    }

    /** Makes older requests count less; call it every `DECAY_PERIOD_MS`. */
    decay(): void {
        let total = 0;
        for (let key = 0; key < KEY_COUNT; key++) {
            const count = this.counts[key];
            if (count !== 0) {
                const left = count * DECAY;
                this.counts[key] = left < 0.01 ? 0 : left;
                total += this.counts[key];
            }
        }
        this.total = total;
    }

    /** Load of each key. The sum is 1. */
    weights(): Float64Array {
        const weights = new Float64Array(KEY_COUNT);
        const sum = EVEN_REQUESTS + this.total;
        for (let key = 0; key < KEY_COUNT; key++) {
            weights[key] = (EVEN_REQUESTS / KEY_COUNT + this.counts[key]) / sum;
        }
        return weights;
    }
}
