import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { Server as NetServer } from "node:net";

/** Starts listening on a loopback port, by default one that the system chooses, and returns `host:port`. */
export const listenOnLoopback = async (server: NetServer, port = 0): Promise<string> => {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => {
            server.off("error", reject);
            resolve();
        });
    });
    const address = server.address();
    if (address === null || typeof address === "string") {
        throw new Error("The server has no TCP address.");
    }
    return `127.0.0.1:${address.port}`;
};

/** An HTTP server that keeps idle connections open, as entry instances need it. */
export const createLongLivedServer = (listener: RequestListener): Server => {
    const server = createServer({ keepAliveTimeout: 0, requestTimeout: 0, headersTimeout: 0 }, listener);
    server.on("connection", socket => socket.setNoDelay(true));
    return server;
};

/** Closes a server and its open connections. */
export const closeServer = async (server: Server): Promise<void> => {
    if (!server.listening) {
        return;
    }
    await new Promise<void>(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
};

/** The body of a request, or `undefined` if the connection ended before the body was complete. */
export const readRequestBody = async (request: IncomingMessage): Promise<Buffer | undefined> => {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
    } catch {
        return undefined;
    }
    return request.complete ? Buffer.concat(chunks) : undefined;
};

/** Parses JSON text; `undefined` if it isn't JSON. */
export const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text) as unknown;
    } catch {
        return undefined;
    }
};

export const sendJson = (
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Record<string, string> = {},
): void => {
    const content = Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": content.byteLength,
        ...headers,
    });
    response.end(content);
};

/** Value of a header; the first one if it occurs several times. */
export const headerOf = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
};
