import { H3 } from "h3";
import { err, ok, type Result } from "neverthrow";
import { startHttpEndpoint, type HttpEndpoint } from "../../connection/httpEndpoint.js";
import type { Metrics } from "./metrics.js";
import { PROMETHEUS_MEDIA_TYPE, prometheusText } from "./prometheusText.js";

export interface MetricsServerError {
    type: "metrics-bind-failed";
    address: string;
    detail: string;
}

/**
 * Starts an HTTP server that exposes the metrics at `GET /metrics` in the Prometheus text format.
 *
 * @example
 * const server = await startMetricsServer({ host: "10.0.0.5", port: 7500, metrics });
 */
export const startMetricsServer = (options: {
    host: string;
    port: number;
    metrics: Metrics;
}): Promise<Result<HttpEndpoint, MetricsServerError>> => {
    const { host, port, metrics } = options;
    const app = new H3();
    app.get("/metrics", event => {
        event.res.headers.set("content-type", PROMETHEUS_MEDIA_TYPE);
        return prometheusText(metrics.read());
    });
    return startHttpEndpoint(app, { host, port }).then(
        endpoint => ok(endpoint),
        (error: Error) => err({ type: "metrics-bind-failed", address: `${host}:${port}`, detail: error.message }),
    );
};
