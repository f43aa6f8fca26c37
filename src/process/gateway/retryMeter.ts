import type { RetryCause } from "../../request/decideAfterAttempt.js";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import { repeat, type Clock, type TimerCancellation } from "../runtime/clock.js";

/** Period that one log line covers, in milliseconds; it determines the resolution at which windows can be evaluated. */
const LINE_PERIOD_MS = 1_000;

/** Requests and retries of a service in one period. */
interface ServiceTraffic {
    requests: number;
    /** Requests that were sent to a further target, by cause. */
    retries: Partial<Record<RetryCause, number>>;
    /** Retries that the budget has granted. */
    granted: number;
    /** Retries that the budget has refused. */
    refused: number;
}

/**
 * Counts requests and retries as the limit on retries counts them: each arrival at a target beyond the first of its request,
 * by service and cause, next to what the retry budget granted. The counts are in the metrics and, in one line per second with
 * requests, in the log, so that windows over all instances and restarts can be summed up afterwards.
 *
 * @example
 * const meter = new RetryMeter({ clock, logger, metrics });
 * meter.request("stock");
 * meter.retried("stock", "silent");
 */
export class RetryMeter {
    private traffic = new Map<string, ServiceTraffic>();
    private periods = 0;

    constructor(private readonly options: { clock: Clock; logger: Logger; metrics: Metrics }) {}

    /** Starts writing log lines. */
    start(): TimerCancellation {
        return repeat(this.options.clock, LINE_PERIOD_MS, () => this.writeLine());
    }

    /** Counts a request of a caller. */
    request(service: string): void {
        this.of(service).requests++;
    }

    /** Counts a decision of the retry budget. */
    budgeted(service: string, isGranted: boolean): void {
        const traffic = this.of(service);
        if (isGranted) {
            traffic.granted++;
        } else {
            traffic.refused++;
        }
        const result = isGranted ? "granted" : "refused";
        this.options.metrics.counter("retry_budget_decisions_total", { service, result }).add();
    }

    /** Counts a request that is being sent to a further target. */
    retried(service: string, cause: RetryCause): void {
        const { retries } = this.of(service);
        retries[cause] = (retries[cause] ?? 0) + 1;
        this.options.metrics.counter("retries_total", { service, cause }).add();
    }

    private of(service: string): ServiceTraffic {
        const known = this.traffic.get(service);
        if (known !== undefined) {
            return known;
        }
        const traffic = { requests: 0, retries: {}, granted: 0, refused: 0 };
        this.traffic.set(service, traffic);
        return traffic;
    }

    private writeLine(): void {
        this.periods++;
        if (this.traffic.size === 0) {
            return;
        }
        // The number makes the message unique; the logger suppresses repeated messages.
        this.options.logger.info(`Requests and retries, period ${this.periods}.`, {
            traffic: JSON.stringify(Object.fromEntries(this.traffic)),
        });
        this.traffic = new Map();
    }
}
