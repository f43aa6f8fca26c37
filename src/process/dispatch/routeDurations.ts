import { cachedQuantile, DurationEstimate } from "./durationEstimate.js";

/** Maximum number of routes tracked per target; the one whose last request ended longest ago is evicted. */
export const DEFAULT_MAX_ROUTES = 64;
/** Mean service time assumed before the first measurement, in milliseconds. */
export const DEFAULT_SERVICE_MS = 10;
/** A route becomes long when its p50 exceeds this multiple of the p50 of the target's short requests. */
export const LONG_FACTOR = 10;
/** A route learned as long becomes short again below this multiple; the hysteresis prevents it from alternating. */
const SHORT_AGAIN_FACTOR = 7;
/** Minimum number of samples before a route is classified; with fewer, one slow answer could decide it. */
const MIN_ROUTE_SAMPLES = 5;
/** Minimum number of samples of short requests before routes are compared with them. */
const MIN_SHORT_SAMPLES = 20;

interface RouteRecord {
    estimate: DurationEstimate;
    p50: () => number | undefined;
    p99: () => number | undefined;
    long: boolean;
}

/** Learned durations of a route, in milliseconds. */
export interface RouteFigures {
    meanMs: number;
    p50Ms: number;
    p99Ms: number;
    samples: number;
}

/**
 * Durations by route of one target, learned from completed requests.
 *
 * @example
 * const durations = new RouteDurations();
 * durations.record("stock.lookup", false, 8.2);
 * durations.isLong("stock.lookup"); // false
 */
export class RouteDurations {
    private readonly routes = new Map<string, RouteRecord>();
    private readonly classes = { short: new DurationEstimate(), long: new DurationEstimate() };
    private readonly shortP50 = cachedQuantile(this.classes.short, 0.5);
    private readonly maxRoutes: number;

    constructor(options: { maxRoutes?: number } = {}) {
        this.maxRoutes = options.maxRoutes ?? DEFAULT_MAX_ROUTES;
    }

    /** Number of tracked routes. */
    get size(): number {
        return this.routes.size;
    }

    /** Records the service time of a completed request; `long` is the class in which it was scheduled. */
    record(route: string, long: boolean, serviceMs: number): void {
        const record = this.touch(route);
        record.estimate.record(serviceMs);
        this.classes[long ? "long" : "short"].record(serviceMs);
        if (record.estimate.samples < MIN_ROUTE_SAMPLES || this.classes.short.samples < MIN_SHORT_SAMPLES) {
            return;
        }
        const factor = (record.p50() ?? 0) / (this.shortP50() ?? Infinity);
        record.long = factor > (record.long ? SHORT_AGAIN_FACTOR : LONG_FACTOR);
    }

    /** Whether the route is classified as long by its learned p50. */
    isLong(route: string): boolean {
        return this.routes.get(route)?.long ?? false;
    }

    /** Mean service time of a route in milliseconds, or that of its class if the route is unknown. */
    meanMs(route: string, long: boolean): number {
        return this.routes.get(route)?.estimate.meanMs ?? this.classMeanMs(long);
    }

    /**
     * Mean service time of long or short requests in milliseconds. Before the first sample it is `DEFAULT_SERVICE_MS`
     * for short requests, and `LONG_FACTOR` times the mean of short ones for long requests.
     */
    classMeanMs(long: boolean): number {
        const shortMean = this.classes.short.meanMs ?? DEFAULT_SERVICE_MS;
        return long ? (this.classes.long.meanMs ?? LONG_FACTOR * shortMean) : shortMean;
    }

    /** `serviceMs` divided by the route's long-run mean, or `undefined` while the route has too few samples. */
    slowness(route: string, serviceMs: number): number | undefined {
        const estimate = this.routes.get(route)?.estimate;
        const longRunMs = estimate?.longRunMs;
        return longRunMs === undefined || estimate === undefined || estimate.samples < MIN_SHORT_SAMPLES
            ? undefined
            : serviceMs / longRunMs;
    }

    /** Learned durations of a route, or `undefined` for a route without samples. */
    figures(route: string): RouteFigures | undefined {
        const record = this.routes.get(route);
        const meanMs = record?.estimate.meanMs;
        if (record === undefined || meanMs === undefined) {
            return undefined;
        }
        return {
            meanMs,
            p50Ms: record.p50() ?? meanMs,
            p99Ms: record.p99() ?? meanMs,
            samples: record.estimate.samples,
        };
    }

    private touch(route: string): RouteRecord {
        let record = this.routes.get(route);
        if (record === undefined) {
            const estimate = new DurationEstimate();
            record = { estimate, p50: cachedQuantile(estimate, 0.5), p99: cachedQuantile(estimate, 0.99), long: false };
            const [oldest] = this.routes.keys();
            if (this.routes.size >= this.maxRoutes && oldest !== undefined) {
                this.routes.delete(oldest);
            }
        } else {
            this.routes.delete(route);
        }
        this.routes.set(route, record);
        return record;
    }
}
