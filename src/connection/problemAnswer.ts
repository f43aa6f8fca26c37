import { STATUS_CODES, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { problemOfRefusal, type Refusal } from "../request/refusal.js";

const MEDIA_TYPE = "application/problem+json";

/** Answers a request with the problem details of a refusal. */
export const writeProblem = (
    response: ServerResponse,
    refusal: Refusal,
    headers: Record<string, string> = {},
): void => {
    const problem = problemOfRefusal(refusal);
    const body = JSON.stringify(problem.body);
    response.statusCode = problem.status;
    response.setHeader("content-type", MEDIA_TYPE);
    response.setHeader("content-length", Buffer.byteLength(body));
    Object.entries(headers).forEach(([name, value]) => response.setHeader(name, value));
    if (problem.retryAfterSeconds !== undefined) {
        response.setHeader("retry-after", Number(problem.retryAfterSeconds.toFixed(2)));
    }
    response.end(body);
};

/** Answers on a socket of which the parser has given up, and closes it. */
export const endWithProblem = (socket: Socket, refusal: Refusal, headers: Record<string, string> = {}): void => {
    const problem = problemOfRefusal(refusal);
    const body = JSON.stringify(problem.body);
    const lines = [
        `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status]}`,
        `content-type: ${MEDIA_TYPE}`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        `content-length: ${Buffer.byteLength(body)}`,
        "connection: close",
    ];
    socket.end(`${lines.join("\r\n")}\r\n\r\n${body}`);
};

/**
 * Handles bytes that the parser doesn't take as a request.
 *
 * @param responses answers that aren't finished on a socket
 * @param refuseBytes answers the bad bytes and closes the socket
 *
 * @example
 * onBadBytes(server, socket => open.get(socket) ?? [], (socket, error) => endWithProblem(socket, refusalOf(error)));
 */
export const onBadBytes = (
    server: Server,
    responses: (socket: Socket) => Iterable<ServerResponse>,
    refuseBytes: (socket: Socket, error: NodeJS.ErrnoException) => void,
): void => {
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        if (!socket.writable || error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        const whole = [...responses(socket)].filter(({ req }) => req.complete);
        if (whole.length === 0) {
            refuseBytes(socket, error);
            return;
        }
        // Whole requests came before the bad bytes. The refusal must not be taken for the answer to one of them.
        socket.pause();
        const refuseWhenAnswered = () => {
            if (whole.every(({ closed }) => closed) && socket.writable) {
                refuseBytes(socket, error);
            }
        };
        whole.forEach(response => response.once("close", refuseWhenAnswered));
    });
};
