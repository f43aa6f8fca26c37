import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";

/** A running readiness endpoint. */
export interface ReadinessServer {
    port: number;
    dispose(): void;
}

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
}): Promise<ReadinessServer> => {
    const app = new H3();
    app.get("/**", event => {
        event.res.status = options.isReady() ? 200 : 503;
        return options.isReady() ? "ready\n" : "not ready\n";
    });
    const server = createServer(toNodeHandler(app));
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, () => {
            server.off("error", reject);
            resolve({
                port: (server.address() as AddressInfo).port,
                dispose: () => {
                    server.close();
                    server.closeAllConnections();
                },
            });
        });
    });
};
