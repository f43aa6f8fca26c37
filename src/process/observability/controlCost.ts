import type { Clock } from "../runtime/clock.js";
import {
    CONTROL_CPU_BUDGET_RATIO,
    CONTROL_MEMORY_BUDGET_BYTES,
    CONTROL_TRAFFIC_BUDGET_BYTES_PER_SECOND,
} from "./metricDefinitions.js";
import type { Metrics } from "./metrics.js";

/** Minimum time between two measurements; collections in between report the previous values. */
export const MIN_MEASUREMENT_INTERVAL_MS = 1_000;

/** Resource usage of the whole process. */
export interface ProcessUsage {
    /** CPU time since the start, in microseconds. */
    cpuUs: number;
    residentBytes: number;
}

const usageOfProcess = (): ProcessUsage => {
    const { user, system } = process.cpuUsage();
    return { cpuUs: user + system, residentBytes: process.memoryUsage.rss() };
};

/**
 * Measures the cost of control work, which excludes the handling of requests, and exposes it beside its budgets. Node.js
 * reports no CPU time per task, so control work is measured as the elapsed time of its synchronous parts, which includes
 * time spent waiting for a CPU.
 *
 * @example
 * const cost = new ControlCost({ metrics, clock: systemClock });
 * cost.measure(() => sendHeartbeats());
 * cost.addBytes(message.length);
 */
export class ControlCost {
    private readonly clock: Clock;
    private readonly usage: () => ProcessUsage;
    private busyMs = 0;
    private bytes = 0;
    private lastReading: { atMs: number; busyMs: number; bytes: number; cpuUs: number };

    constructor(options: { metrics: Metrics; clock: Clock; usage?: () => ProcessUsage }) {
        const { metrics, clock } = options;
        this.clock = clock;
        this.usage = options.usage ?? usageOfProcess;
        this.lastReading = { atMs: clock.monotonicMs(), busyMs: 0, bytes: 0, cpuUs: this.usage().cpuUs };
        metrics.gauge("control_cpu_budget_ratio", {}).set(CONTROL_CPU_BUDGET_RATIO);
        metrics.gauge("control_memory_budget_bytes", {}).set(CONTROL_MEMORY_BUDGET_BYTES);
        metrics.gauge("control_traffic_budget_bytes_per_second", {}).set(CONTROL_TRAFFIC_BUDGET_BYTES_PER_SECOND);
        const controlCpu = metrics.gauge("control_cpu_ratio", {});
        const processCpu = metrics.gauge("process_cpu_ratio", {});
        const memory = metrics.gauge("control_memory_bytes", {});
        const traffic = metrics.gauge("control_traffic_bytes_per_second", {});
        metrics.onCollect(() => {
            const atMs = clock.monotonicMs();
            const elapsedMs = atMs - this.lastReading.atMs;
            if (elapsedMs < MIN_MEASUREMENT_INTERVAL_MS) {
                return;
            }
            const { cpuUs, residentBytes } = this.usage();
            controlCpu.set((this.busyMs - this.lastReading.busyMs) / elapsedMs);
            processCpu.set((cpuUs - this.lastReading.cpuUs) / 1000 / elapsedMs);
            memory.set(residentBytes);
            traffic.set(((this.bytes - this.lastReading.bytes) * 1000) / elapsedMs);
            this.lastReading = { atMs, busyMs: this.busyMs, bytes: this.bytes, cpuUs };
        });
    }

    /** Runs synchronous control work and adds its elapsed time to the total. */
    measure<Value>(work: () => Value): Value {
        const started = this.clock.monotonicMs();
        try {
            return work();
        } finally {
            this.busyMs += this.clock.monotonicMs() - started;
        }
    }

    /** Adds control traffic that was sent or received. */
    addBytes(count: number): void {
        this.bytes += count;
    }
}
