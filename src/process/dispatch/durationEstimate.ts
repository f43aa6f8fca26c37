/** Shortest duration that the buckets tell apart, in milliseconds. */
const LOWEST_MS = 0.05;
/** Ratio between the bounds of neighbouring buckets; a quantile is off by at most half of this step (7%). */
const BUCKET_RATIO = 1.15;
/** Number of buckets; the last one begins near 60 s. */
const BUCKETS = 101;
/** Total weight at which all weights are halved, so that old samples fade. Enough for a p99 of 10 samples or more. */
const HALVING_WEIGHT = 2_048;
/** Number of samples over which the mean averages. */
const MEAN_SAMPLES = 64;
/** Number of samples over which the long-run mean averages; a slow period has to outlast it to count as normal. */
const LONG_RUN_SAMPLES = 1_024;
/** Quantiles are computed again after this many samples; a scan per sample would cost 100 additions. */
const QUANTILE_REFRESH = 16;

const LOG_RATIO = Math.log(BUCKET_RATIO);

const bucketOf = (ms: number): number =>
    ms <= LOWEST_MS ? 0 : Math.min(BUCKETS - 1, Math.ceil(Math.log(ms / LOWEST_MS) / LOG_RATIO));

/** Geometric middle of a bucket in milliseconds. */
const middleOf = (bucket: number): number => LOWEST_MS * BUCKET_RATIO ** (bucket - 0.5);

/**
 * Mean and quantiles of durations, in which recent samples weigh more. Takes about 0.5 kB, where an HDR histogram of
 * the same range takes several kilobytes and doesn't forget.
 *
 * @example
 * const estimate = new DurationEstimate();
 * estimate.record(9.5);
 * estimate.quantile(0.99);
 */
export class DurationEstimate {
    private readonly weights = new Float32Array(BUCKETS);
    private weight = 0;
    private mean: number | undefined;
    private longRunMean: number | undefined;
    private recorded = 0;

    /** Number of samples recorded so far. */
    get samples(): number {
        return this.recorded;
    }

    /** Mean in milliseconds, or `undefined` before the first sample. */
    get meanMs(): number | undefined {
        return this.mean;
    }

    /** Mean in milliseconds over a much longer run of samples, or `undefined` before the first one. */
    get longRunMs(): number | undefined {
        return this.longRunMean;
    }

    /** Adds a duration in milliseconds. */
    record(ms: number): void {
        this.recorded++;
        const average = (mean: number | undefined, samples: number) =>
            mean === undefined ? ms : mean + (ms - mean) / Math.min(this.recorded, samples);
        this.mean = average(this.mean, MEAN_SAMPLES);
        this.longRunMean = average(this.longRunMean, LONG_RUN_SAMPLES);
        this.weights[bucketOf(ms)]++;
        this.weight++;
        if (this.weight >= HALVING_WEIGHT) {
            this.weight = 0;
            for (let bucket = 0; bucket < BUCKETS; bucket++) {
                this.weights[bucket] /= 2;
                this.weight += this.weights[bucket];
            }
        }
    }

    /** The duration in milliseconds that the share `quantile` of samples doesn't exceed, or `undefined` without any. */
    quantile(quantile: number): number | undefined {
        if (this.recorded === 0) {
            return undefined;
        }
        const wanted = this.weight * quantile;
        let sum = 0;
        for (let bucket = 0; bucket < BUCKETS; bucket++) {
            sum += this.weights[bucket];
            if (sum >= wanted && sum > 0) {
                return middleOf(bucket);
            }
        }
        return middleOf(BUCKETS - 1);
    }
}

/**
 * Remembers a quantile of an estimate for a few samples.
 *
 * @example
 * const p50 = cachedQuantile(estimate, 0.5);
 * p50(); // milliseconds, or undefined without samples
 */
export const cachedQuantile = (estimate: DurationEstimate, quantile: number): (() => number | undefined) => {
    let value: number | undefined;
    let computedAt = 0;
    return () => {
        const age = estimate.samples - computedAt;
        if (value === undefined || age >= QUANTILE_REFRESH || (age > 0 && estimate.samples < QUANTILE_REFRESH)) {
            value = estimate.quantile(quantile);
            computedAt = estimate.samples;
        }
        return value;
    };
};
