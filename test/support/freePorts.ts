import { createServer, type Server } from "node:net";

/**
 * Range that the ports are drawn from. It is below the ports that systems give to outgoing connections, so that none of these takes a
 * port before it is used.
 */
const FIRST_PORT = 10_000;
const END_OF_PORTS = 30_000;

const listenOnFreePort = async (): Promise<{ server: Server; port: number }> => {
    for (;;) {
        const port = FIRST_PORT + Math.floor(Math.random() * (END_OF_PORTS - FIRST_PORT));
        const server = createServer();
        const isFree = await new Promise<boolean>(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        if (isFree) {
            return { server, port };
        }
    }
};

/** Loopback ports that are currently free; another process may still take one before it is used. */
export const freePorts = async (count: number): Promise<number[]> => {
    const listening = await Promise.all(Array.from({ length: count }, listenOnFreePort));
    await Promise.all(listening.map(({ server }) => new Promise(resolve => server.close(resolve))));
    return listening.map(({ port }) => port);
};
