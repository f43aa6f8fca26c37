/** Upper bound of the first bucket, in milliseconds; shorter durations aren't distinguished. */
const LOWEST_MS = 0.05;
/** Ratio between the bounds of adjacent buckets; the error of a quantile is at most half of this step (7%). */
const BUCKET_RATIO = 1.15;
/** Number of buckets; the last one begins near 60 s. */
const BUCKETS = 101;
/** Total weight at which all weights are halved, so that old samples decay. Leaves 10 samples or more above the p99. */
const HALVING_WEIGHT = 2_048;
/** Number of samples in the moving mean. */
const MEAN_SAMPLES = 64;
/** Number of samples in the long-run mean; a slow period counts as normal only if it lasts longer than this. */
const LONG_RUN_SAMPLES = 1_024;
/** Number of samples after which a cached quantile is recomputed; a scan for each sample would cost 100 additions. */
const QUANTILE_REFRESH = 16;

const LOG_RATIO = Math.log(BUCKET_RATIO);

const bucketOf = (ms: number): number =>
    ms <= LOWEST_MS ? 0 : Math.min(BUCKETS - 1, Math.ceil(Math.log(ms / LOWEST_MS) / LOG_RATIO));

/** Geometric mean of the bounds of a bucket, in milliseconds. */
const middleOf = (bucket: number): number => LOWEST_MS * BUCKET_RATIO ** (bucket - 0.5);

/**
 * Mean and quantiles of durations, weighted towards recent samples. Takes about 0.5 kB; an HDR histogram of the same
 * range takes several kilobytes and doesn't discard old samples.
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

    /** Mean in milliseconds over a much larger number of samples, or `undefined` before the first one. */
    get longRunMs(): number | undefined {
        return this.longRunMean;
    }

    /** Records a duration in milliseconds. */
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

    /** Quantile (0 to 1) of the recorded durations in milliseconds, or `undefined` before the first sample. */
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
 * Returns a function that computes a quantile of an estimate and caches it for a few samples.
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
