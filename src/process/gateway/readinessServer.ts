import { H3 } from "h3";
import { startHttpEndpoint, type HttpEndpoint } from "../../connection/httpEndpoint.js";

/**
 * Starts the endpoint at which the balancer asks whether it should send callers here: status 200 or 503.
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
