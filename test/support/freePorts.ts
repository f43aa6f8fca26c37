import { createServer, type AddressInfo } from "node:net";

/** Ports of the loopback address that were free a moment ago. */
export const freePorts = async (count: number): Promise<number[]> => {
    const servers = await Promise.all(
        Array.from({ length: count }, () => {
            const server = createServer();
            return new Promise<typeof server>(resolve => server.listen(0, "127.0.0.1", () => resolve(server)));
        }),
    );
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};
