import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

/** A request as a scripted target received it. */
export interface TargetArrival {
    method: string;
    url: string;
    headers: Map<string, string>;
    body: string;
    socket: Socket;
    /** Writes a complete, signed answer to this request. */
    answer: (options?: { status?: number; body?: string; headers?: string[]; requestId?: string }) => void;
}

/** A target whose script writes raw bytes, so that it can also send invalid answers. */
export interface ScriptedTarget {
    address: string;
    /** Requests received so far. */
    arrivals: TargetArrival[];
    /** Number of connections accepted so far. */
    connections: () => number;
    script: (arrival: TargetArrival) => void;
    /** Whether requests are passed to the script, with an empty body, before their bodies have been read. */
    answerBeforeBody: boolean;
    /** Request bodies that were read after the answer had been sent. */
    bodies: string[];
    dispose: () => Promise<void>;
}

/** Time after which a target that answered early reads the rest of the body, in milliseconds. */
const RESUME_DELAY_MS = 150;

const parseHeaders = (lines: string[]): Map<string, string> =>
    new Map(
        lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }),
    );

/** Starts a scripted target on a free loopback port. */
export const startScriptedTarget = async (script: ScriptedTarget["script"]): Promise<ScriptedTarget> => {
    const sockets = new Set<Socket>();
    let connections = 0;
    const target: ScriptedTarget = {
        address: "",
        arrivals: [],
        connections: () => connections,
        script,
        answerBeforeBody: false,
        bodies: [],
        dispose: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                sockets.forEach(socket => socket.destroy());
            }),
    };
    const received = (socket: Socket, head: string, body: string) => {
        const [line, ...lines] = head.split("\r\n");
        const [method, url] = line.split(" ");
        const headers = parseHeaders(lines);
        const arrival: TargetArrival = {
            method,
            url,
            headers,
            body,
            socket,
            answer: ({ status = 200, body: content = "whole", headers: extra = [], requestId } = {}) => {
                const head = [
                    `HTTP/1.1 ${status} Scripted`,
                    `X-Request-Id: ${requestId ?? headers.get("x-request-id")}`,
                    "X-Upstream-Signature: signature",
                    `Content-Length: ${content.length}`,
                    ...extra,
                ];
                socket.write(`${head.join("\r\n")}\r\n\r\n${content}`);
            },
        };
        target.arrivals.push(arrival);
        target.script(arrival);
    };
    const server: Server = createServer(socket => {
        connections++;
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => undefined);
        let buffered = "";
        let isAnswered = false;
        socket.on("data", chunk => {
            buffered += chunk.toString("latin1");
            for (;;) {
                const end = buffered.indexOf("\r\n\r\n");
                const length = Number(/content-length: (\d+)/i.exec(buffered.slice(0, Math.max(end, 0)))?.[1] ?? 0);
                if (end < 0) {
                    return;
                }
                const head = buffered.slice(0, end);
                if (target.answerBeforeBody && !isAnswered) {
                    isAnswered = true;
                    received(socket, head, "");
                    socket.pause();
                    setTimeout(() => socket.resume(), RESUME_DELAY_MS);
                }
                if (buffered.length < end + 4 + length) {
                    return;
                }
                const body = buffered.slice(end + 4, end + 4 + length);
                buffered = buffered.slice(end + 4 + length);
                if (isAnswered) {
                    isAnswered = false;
                    target.bodies.push(body);
                } else {
                    received(socket, head, body);
                }
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    target.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return target;
};
