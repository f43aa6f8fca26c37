import { readFileSync } from "node:fs";
import { join } from "node:path";
import { expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import type { AuditTrail } from "../../audit/auditTrail.js";
import { ControlCost } from "../controlCost.js";
import type { Daemon } from "../../daemon.js";
import { DaemonMetrics } from "../../daemonMetrics.js";
import { loadImbalance } from "../../balance/loadImbalance.js";
import { Metrics } from "../metrics.js";
import { renderMetricsPage } from "../metricsPage.js";
import { startMetricsServer } from "../metricsServer.js";
import { PeakWindow } from "../peakWindow.js";
import { prometheusText } from "../prometheusText.js";

test("guards against output that isn't in the Prometheus text format, such as unescaped label values", async () => {
    const metrics = new Metrics();
    metrics.counter("requests_total", { service: 'a"b\\c\nd', outcome: "answered" }).add(3);
    const moves = metrics.summary("move_seconds", { service: "stock" });
    for (let ms = 1; ms <= 100; ms++) {
        moves.record(ms * 1000);
    }
    const server = (await startMetricsServer({ host: "127.0.0.1", port: 0, metrics }))._unsafeUnwrap();
    const response = await fetch(`http://127.0.0.1:${server.port}/metrics`);
    const lines = (await response.text()).split("\n");
    expect(response.headers.get("content-type")).toBe("text/plain; version=0.0.4; charset=utf-8");
    expect(lines).toContain('sassafrasloom_requests_total{service="a\\"b\\\\c\\nd",outcome="answered"} 3');
    expect(lines).toContain("# TYPE sassafrasloom_move_seconds summary");
    expect(lines).toContain('sassafrasloom_move_seconds_count{service="stock"} 100');
    expect(lines).toContain('sassafrasloom_move_seconds_sum{service="stock"} 5.05');
    const p99 = lines.find(line => line.includes('quantile="0.99"'))?.split(" ")[1];
    expect(Math.abs(Number(p99) - 0.099)).toBeLessThan(0.001);
    expect((await fetch(`http://127.0.0.1:${server.port}/other`)).status).toBe(404);
    await server.dispose();
});

test("guards against invalid durations that throw on the request path, and old ones that stay in the quantiles", () => {
    const summary = new Metrics().summary("request_seconds", { service: "stock" });
    [Number.NaN, -5, 1e15, Number.POSITIVE_INFINITY].forEach(us => summary.record(us));
    expect(summary.count).toBe(4);
    summary.rotate();
    summary.rotate();
    summary.record(500);
    expect(summary.quantilesUs().every(us => Math.abs(us - 500) <= 5)).toBe(true);
});

test("guards against series that grow without bound with label values from callers", () => {
    const metrics = new Metrics({ maxSeries: 3 });
    for (let index = 0; index < 10; index++) {
        metrics.counter("requests_total", { service: `s${index}`, outcome: "invalid" }).add();
    }
    const text = prometheusText(metrics.read());
    expect(text).toContain('sassafrasloom_requests_total{service="other",outcome="other"} 7');
    expect(text).toContain('sassafrasloom_series_limited_total{metric="requests_total"} 7');
});

test("guards against a peak ratio of another second than the busiest, also when the ring buffer wraps", () => {
    const window = new PeakWindow();
    const second = (at: number, requests: number, inTime: number) => {
        for (let index = 0; index < requests; index++) {
            window.arrived(at * 1000 + index);
        }
        for (let index = 0; index < inTime; index++) {
            window.answeredInTime(at * 1000 + index);
        }
    };
    expect(window.ratioAtPeak(0)).toBe(1);
    second(1, 10, 9);
    second(2, 100, 40);
    second(3, 10, 10);
    expect(window.ratioAtPeak(4_000)).toBe(0.4);
    second(62, 20, 10);
    expect(window.ratioAtPeak(63_000)).toBe(0.5);
    expect(window.ratioAtPeak(200_000)).toBe(1);
});

test("guards against control cost that isn't per second or includes the rest of the process", () => {
    const clock = new ManualClock();
    const metrics = new Metrics();
    let cpuUs = 0;
    const cost = new ControlCost({ metrics, clock, usage: () => ({ cpuUs, residentBytes: 64 }) });
    cost.measure(() => clock.advance(40));
    cost.addBytes(6_000);
    clock.advance(1_960);
    cpuUs = 500_000;
    const value = (name: string) => {
        const family = metrics.read().find(found => found.name === `sassafrasloom_${name}`);
        return family?.samples[0].value;
    };
    expect(value("control_cpu_ratio")).toBeCloseTo(0.02);
    expect(value("process_cpu_ratio")).toBeCloseTo(0.25);
    expect(value("control_traffic_bytes_per_second")).toBe(3_000);
    expect(value("control_cpu_budget_ratio")).toBe(0.031);
});

test("guards against an imbalance that isn't the load of the busiest target over the mean", () => {
    expect(loadImbalance([6, 3, 3])).toBe(1.5);
    expect(loadImbalance([0, 0])).toBe(1);
    expect(loadImbalance([])).toBe(1);
});

test("guards against counters of retries and silent connections that decrease after the handover of a target", () => {
    const metrics = new Metrics();
    const clock = new ManualClock();
    const dispatcher = (retries: number, silentConnections: number) => ({
        service: { name: "stock" },
        target: "t1",
        scheduler: { snapshot: () => ({ queued: 0, inFlight: 0, limit: 1 }) },
        counters: { retries, silentConnections },
    });
    let currentDispatchers = [dispatcher(5, 2)];
    const daemon = {
        dispatchers: { all: () => currentDispatchers },
        services: () => [{ name: "stock" }],
        retriesAvailable: () => 0,
        rebalancer: { imbalanceOf: () => undefined },
        now: () => clock.monotonicMs(),
        table: { silenceMs: () => 0 },
        uptimeMs: () => 0,
        lease: { validUntil: () => 0 },
        domain: "linz",
        bundleVersion: () => 1,
    };
    const audit = { head: () => ({ buffered: 0, dropped: 0 }) };
    const observer = new DaemonMetrics(metrics, new ControlCost({ metrics, clock }));
    observer.collectFrom(daemon as unknown as Daemon, audit as unknown as AuditTrail);
    const counts = () => {
        const families = metrics.read();
        return ["sassafrasloom_retries_total", "sassafrasloom_silent_connections_total"].map(
            wanted => families.find(({ name }) => name === wanted)?.samples[0].value,
        );
    };
    expect(counts()).toEqual([5, 2]);
    expect(counts()).toEqual([5, 2]);
    currentDispatchers = [dispatcher(3, 1)];
    expect(counts()).toEqual([8, 3]);
});

test("guards against a docs/metrics.md that differs from the metrics and log prefixes in the code", () => {
    expect(readFileSync(join(process.cwd(), "docs/metrics.md"), "utf8")).toBe(renderMetricsPage());
});
