import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from "hdr-histogram-js";

/** Outcome of a request as observed by its caller; `failed` is an error response, or an incomplete or missing answer. */
export const LOAD_OUTCOMES = ["answered", "late", "not-run", "unknown", "invalid", "failed"] as const;
export type LoadOutcome = (typeof LOAD_OUTCOMES)[number];
export type OutcomeCounts = Record<LoadOutcome, number>;

/** Requests of a stream that arrived in one period of time. */
export interface RecordedSpan {
    sent: number;
    outcomes: OutcomeCounts;
    /** Answers within the deadline that ended in this period, regardless of when their requests arrived. */
    completed: number;
    /** Latency of answered and late requests, in microseconds. */
    latency: Histogram;
}

/** A `RecordedSpan` as worker processes report it. */
export interface EncodedSpan {
    sent: number;
    outcomes: OutcomeCounts;
    completed: number;
    latency: string;
}

const newSpan = (): RecordedSpan => ({
    sent: 0,
    outcomes: { answered: 0, late: 0, "not-run": 0, unknown: 0, invalid: 0, failed: 0 },
    completed: 0,
    latency: build({
        bitBucketSize: 32,
        lowestDiscernibleValue: 1,
        highestTrackableValue: 2,
        autoResize: true,
        numberOfSignificantValueDigits: 3,
    }),
});

const addSpan = (to: RecordedSpan, from: RecordedSpan): void => {
    to.sent += from.sent;
    to.completed += from.completed;
    LOAD_OUTCOMES.forEach(outcome => {
        to.outcomes[outcome] += from.outcomes[outcome];
    });
    to.latency.add(from.latency);
};

const encodeSpan = ({ sent, outcomes, completed, latency }: RecordedSpan): EncodedSpan => ({
    sent,
    outcomes,
    completed,
    latency: encodeIntoCompressedBase64(latency),
});

const decodeSpan = ({ sent, outcomes, completed, latency }: EncodedSpan): RecordedSpan => ({
    sent,
    outcomes,
    completed,
    latency: decodeFromCompressedBase64(latency, 32),
});

export interface EncodedRecord {
    total: EncodedSpan;
    buckets: [number, EncodedSpan][];
}

/**
 * Records latencies and outcomes of a stream, in total and per time bucket.
 *
 * @example
 * recorder.arrived(atMs);
 * recorder.ended(atMs, "answered", 1.25);
 * recorder.percentileMs(99);
 */
export class LatencyRecorder {
    readonly total = newSpan();
    /** Spans of `bucketMs` each, by bucket number from the start of the load. */
    readonly buckets = new Map<number, RecordedSpan>();

    constructor(private readonly bucketMs: number) {}

    /** Counts a request that arrived at `atMs`, in milliseconds since the start of the load. */
    recordArrival(atMs: number): void {
        this.total.sent++;
        this.bucketAt(atMs).sent++;
    }

    /** Records the end of the request that arrived at `atMs`. */
    recordEnd(atMs: number, outcome: LoadOutcome, latencyMs: number): void {
        if (outcome === "answered") {
            this.total.completed++;
            this.bucketAt(atMs + latencyMs).completed++;
        }
        for (const span of [this.total, this.bucketAt(atMs)]) {
            span.outcomes[outcome]++;
            if (outcome === "answered" || outcome === "late") {
                span.latency.recordValue(Math.max(1, Math.round(latencyMs * 1_000)));
            }
        }
    }

    /** Returns a percentile of the latency in milliseconds, or `NaN` without answers. */
    percentileMs(percentile: number): number {
        return percentileMs(this.total, percentile);
    }

    encode(): EncodedRecord {
        return {
            total: encodeSpan(this.total),
            buckets: [...this.buckets].map(([number, span]) => [number, encodeSpan(span)]),
        };
    }

    /** Adds the record of a worker process. */
    add({ total, buckets }: EncodedRecord): void {
        addSpan(this.total, decodeSpan(total));
        buckets.forEach(([number, span]) => addSpan(this.bucket(number), decodeSpan(span)));
    }

    private bucketAt(atMs: number): RecordedSpan {
        return this.bucket(Math.floor(atMs / this.bucketMs));
    }

    private bucket(number: number): RecordedSpan {
        const span = this.buckets.get(number) ?? newSpan();
        this.buckets.set(number, span);
        return span;
    }
}

/** Returns a percentile of the latency of a span in milliseconds, or `NaN` without answers. */
export const percentileMs = ({ latency }: RecordedSpan, percentile: number): number =>
    latency.totalCount === 0 ? NaN : latency.getValueAtPercentile(percentile) / 1_000;
