import { H3 } from "h3";
import { startHttpEndpoint, type HttpEndpoint } from "../../connection/httpEndpoint.js";

/**
 * Starts the readiness endpoint for the balancer. It answers with status 200 when ready and with 503 otherwise.
 *
 * @example
 * const server = await startReadinessServer({ host: "10.1.0.15", port: 8640, isReady: () => true });
 */
export const startReadinessServer = (options: {
    host: string;
    port: number;
    isReady: () => boolean;
}): Promise<HttpEndpoint> => {
    const app = new H3();
    app.get("/**", event => {
        event.res.status = options.isReady() ? 200 : 503;
        return options.isReady() ? "ready\n" : "not ready\n";
    });
    return startHttpEndpoint(app, options);
};
