import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { err, ok, type Result } from "neverthrow";
import type { Metrics } from "./metrics.js";
import { PROMETHEUS_MEDIA_TYPE, prometheusText } from "./prometheusText.js";

/** Why the metrics endpoint couldn't be started. */
export interface MetricsServerError {
    type: "metrics-bind-failed";
    address: string;
    detail: string;
}

/** A running metrics endpoint. */
export interface MetricsServer {
    port: number;
    dispose(): Promise<void>;
}

/**
 * Starts an HTTP server that gives the metrics at `GET /metrics` in the Prometheus text format.
 *
 * @example
 * const server = await startMetricsServer({ host: "10.0.0.5", port: 7500, metrics });
 */
export const startMetricsServer = (options: {
    host: string;
    port: number;
    metrics: Metrics;
}): Promise<Result<MetricsServer, MetricsServerError>> => {
    const { host, port, metrics } = options;
    const app = new H3();
    app.get("/metrics", event => {
        event.res.headers.set("content-type", PROMETHEUS_MEDIA_TYPE);
        return prometheusText(metrics.read());
    });
    const server = createServer(toNodeHandler(app));
    return new Promise(resolve => {
        server.once("error", error =>
            resolve(err({ type: "metrics-bind-failed", address: `${host}:${port}`, detail: error.message })),
        );
        server.listen(port, host, () => {
            const dispose = () =>
                new Promise<void>(done => {
                    server.close(() => done());
                    server.closeAllConnections();
                });
            resolve(ok({ port: (server.address() as AddressInfo).port, dispose }));
        });
    });
};
