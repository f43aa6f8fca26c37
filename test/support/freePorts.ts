import { createServer, type AddressInfo } from "node:net";

/** Loopback ports that are currently free; another process may still take one before it is used. */
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
