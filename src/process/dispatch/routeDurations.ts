import { cachedQuantile, DurationEstimate } from "./durationEstimate.js";

/** Routes remembered per target; the least recently finished one makes room. */
export const DEFAULT_MAX_ROUTES = 64;
/** Mean service time assumed before anything was measured, in milliseconds. */
export const DEFAULT_SERVICE_MS = 10;
/** A route becomes long when its p50 exceeds this multiple of the target's short p50. */
export const LONG_FACTOR = 10;
/** A learned long route becomes short again below this multiple; the gap prevents it from changing back and forth. */
const SHORT_AGAIN_FACTOR = 7;
/** Samples of a route before it can be judged; fewer would let one slow answer decide. */
const MIN_ROUTE_SAMPLES = 5;
/** Samples of short work before routes are compared with it. */
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
 * Durations of the routes of one target, learned from completed requests.
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

    /** Number of routes remembered. */
    get size(): number {
        return this.routes.size;
    }

    /** Learns the service time of a completed request; `long` is the class in which it was scheduled. */
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

    /** Whether the route's learned p50 marks it as long. */
    isLong(route: string): boolean {
        return this.routes.get(route)?.long ?? false;
    }

    /** Mean service time of a route in milliseconds; that of its class while the route is unknown. */
    meanMs(route: string, long: boolean): number {
        return this.routes.get(route)?.estimate.meanMs ?? this.classMeanMs(long);
    }

    /** Mean service time of long or short work in milliseconds, or `DEFAULT_SERVICE_MS` before the first sample. */
    classMeanMs(long: boolean): number {
        const shortMean = this.classes.short.meanMs ?? DEFAULT_SERVICE_MS;
        return long ? (this.classes.long.meanMs ?? LONG_FACTOR * shortMean) : shortMean;
    }

    /** `serviceMs` over the route's long-run mean, or `undefined` while the route has too little history. */
    slowness(route: string, serviceMs: number): number | undefined {
        const estimate = this.routes.get(route)?.estimate;
        const longRunMs = estimate?.longRunMs;
        return longRunMs === undefined || estimate === undefined || estimate.samples < MIN_SHORT_SAMPLES
            ? undefined
            : serviceMs / longRunMs;
    }

    /** Learned figures of a route, or `undefined` for a route without samples. */
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
