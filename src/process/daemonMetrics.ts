import { peerTraffic } from "../connection/peerProtocol.js";
import type { Refusal } from "../request/refusal.js";
import type { DaemonChange } from "./audit/auditedChange.js";
import type { AuditTrail } from "./audit/auditTrail.js";
import { countRefusal } from "./observability/countRefusal.js";
import type { ControlCost } from "./observability/controlCost.js";
import type { Daemon } from "./daemon.js";
import type { CounterCell, Metrics, SummaryCell } from "./observability/metrics.js";
import type { RequestObserver } from "./observability/requestObserver.js";
import { PeakWindow } from "./observability/peakWindow.js";
import { RING_SIZE, slicesSize } from "./ownership/sliceMap.js";

/** Time without a reply after which the platform is reported as down, in milliseconds. */
const PLATFORM_DOWN_MS = 10_000;

interface ServiceCells {
    answered: CounterCell;
    requestTime: SummaryCell;
    peak: PeakWindow;
}

/**
 * Records the metrics of a daemon: of requests on their completion, of changes as they occur, and all others when the
 * metrics are collected.
 *
 * @example
 * const observer = new DaemonMetrics(metrics, cost);
 * observer.collectFrom(daemon, audit);
 */
export class DaemonMetrics implements RequestObserver {
    private readonly cells = new Map<string, ServiceCells>();
    private lastControlBytes = 0;
    private lastDropped = 0;
    /** Counter values of each dispatcher at the last collection. */
    private readonly lastCounters = new WeakMap<object, { retries: number; silentConnections: number }>();

    constructor(
        private readonly metrics: Metrics,
        private readonly cost: ControlCost,
    ) {}

    requestEnded(service: string, refusal: Refusal | undefined, elapsedMs: number, arrivedAtMs: number): void {
        const cells = this.cellsOf(service);
        cells.peak.arrived(arrivedAtMs);
        if (refusal === undefined) {
            cells.answered.add();
            cells.peak.answeredInTime(arrivedAtMs);
        } else {
            countRefusal(this.metrics, service, refusal);
        }
        cells.requestTime.record(elapsedMs * 1_000);
    }

    /** Records a change made by the daemon. */
    changed(change: DaemonChange): void {
        if (change.type !== "moved" && change.type !== "target-lost") {
            return;
        }
        const { transfer } = change;
        const service = transfer.source.split("/")[1];
        const cause = change.type === "moved" ? change.cause : "target-lost";
        const positions = transfer.given.reduce((sum, { slices }) => sum + slicesSize(slices), 0);
        this.metrics.counter("ownership_churn_share_total", { service, cause }).add(positions / RING_SIZE);
        this.metrics.summary("keys_unavailable_seconds", { service, cause }).record(transfer.heldMs * 1_000);
        if (change.type === "moved") {
            this.metrics.summary("move_seconds", { service }).record(transfer.heldMs * 1_000);
        }
    }

    takenOver(kind: "dispatcher" | "target", elapsedMs: number): void {
        this.metrics.summary("takeover_seconds", { kind }).record(elapsedMs * 1_000);
    }

    headOfLineDelay(service: string, delayMs: number): void {
        this.metrics.summary("head_of_line_delay_seconds", { service }).record(delayMs * 1_000);
    }

    /** Reads the state of a daemon and its audit trail on each collection of the metrics. */
    collectFrom(daemon: Daemon, audit: AuditTrail): void {
        this.metrics.onCollect(() => {
            this.collectTargets(daemon);
            this.collectServices(daemon);
            this.collectInstance(daemon, audit);
        });
    }

    private collectTargets(daemon: Daemon): void {
        for (const dispatcher of daemon.dispatchers.all()) {
            const labels = { service: dispatcher.service.name, target: dispatcher.target };
            const { queued, inFlight, limit } = dispatcher.scheduler.snapshot();
            this.metrics.gauge("target_queue_requests", labels).set(queued);
            this.metrics.gauge("target_in_flight_requests", labels).set(inFlight);
            this.metrics.gauge("target_limit_requests", labels).set(limit);
        }
    }

    private collectServices(daemon: Daemon): void {
        for (const { name: service } of daemon.services()) {
            this.metrics.gauge("retry_budget_tokens", { service }).set(daemon.retriesAvailable(service));
            const imbalance = daemon.rebalancer.imbalanceOf(service);
            if (imbalance !== undefined) {
                this.metrics.gauge("load_imbalance_ratio", { service }).set(imbalance);
            }
            const peak = this.cellsOf(service).peak.ratioAtPeak(daemon.now());
            this.metrics.gauge("peak_within_deadline_ratio", { service }).set(peak);
            // Created even while they are 0, so that their first increase is visible.
            const retries = this.metrics.counter("retries_total", { service, cause: "lost" });
            const silent = this.metrics.counter("silent_connections_total", { service });
            for (const { service: dispatched, counters } of daemon.dispatchers.all()) {
                if (dispatched.name === service) {
                    // Compared per dispatcher, because the counters of targets that were handed over disappear.
                    const last = this.lastCounters.get(counters) ?? { retries: 0, silentConnections: 0 };
                    retries.add(counters.retries - last.retries);
                    silent.add(counters.silentConnections - last.silentConnections);
                    this.lastCounters.set(counters, { ...counters });
                }
            }
        }
    }

    private collectInstance(daemon: Daemon, audit: AuditTrail): void {
        const silence = daemon.table.silenceMs();
        const isUp = silence !== undefined && silence < PLATFORM_DOWN_MS;
        this.metrics.gauge("platform_up", {}).set(isUp ? 1 : 0);
        this.metrics.gauge("platform_silence_seconds", {}).set((silence ?? daemon.uptimeMs()) / 1_000);
        const leaseMs = daemon.lease.validUntil() - daemon.now();
        this.metrics.gauge("lease_seconds", {}).set(Math.max(0, leaseMs / 1_000));
        this.metrics.gauge("bundle_version", { domain: daemon.domain }).set(daemon.bundleVersion());
        const { buffered, dropped } = audit.head();
        this.metrics.gauge("audit_buffered_records", {}).set(buffered);
        this.metrics.counter("audit_dropped_records_total", {}).add(Math.max(0, dropped - this.lastDropped));
        this.lastDropped = dropped;
        this.cost.addBytes(peerTraffic.controlBytes - this.lastControlBytes);
        this.lastControlBytes = peerTraffic.controlBytes;
    }

    private cellsOf(service: string): ServiceCells {
        const existing = this.cells.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const cells = {
            answered: this.metrics.counter("requests_total", { service, outcome: "answered" }),
            requestTime: this.metrics.summary("request_seconds", { service }),
            peak: new PeakWindow(),
        };
        this.cells.set(service, cells);
        return cells;
    }
}
