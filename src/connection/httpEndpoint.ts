import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { H3 } from "h3";
import { toNodeHandler } from "h3/node";

/** A running HTTP endpoint for operators or the platform. */
export interface HttpEndpoint {
    port: number;
    dispose(): Promise<void>;
}

/**
 * Serves an app at an address. Rejects if it can't listen there.
 *
 * @example
 * const endpoint = await startHttpEndpoint(app, { host: "10.0.0.5", port: 7500 });
 */
export const startHttpEndpoint = (app: H3, address: { host: string; port: number }): Promise<HttpEndpoint> => {
    const server = createServer(toNodeHandler(app));
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => {
            const dispose = () =>
                new Promise<void>(done => {
                    server.close(() => done());
                    server.closeAllConnections();
                });
            resolve({ port: (server.address() as AddressInfo).port, dispose });
        });
    });
};
