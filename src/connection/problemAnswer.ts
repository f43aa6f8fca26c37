import { STATUS_CODES, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { delayField, problemOfRefusal, type Refusal } from "../request/refusal.js";

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
        response.setHeader("retry-after", delayField(problem.retryAfterSeconds));
    }
    response.end(body);
};

/** Answers on a socket whose bytes the HTTP parser rejected, and closes it. */
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
 * Handles requests that the HTTP parser rejects or that time out.
 *
 * @param responses unfinished responses of a socket
 * @param refuse answers the invalid request and closes the socket
 *
 * @example
 * handleClientErrors(server, responsesOf, (socket, error) => endWithProblem(socket, refusalOf(error)));
 */
export const handleClientErrors = (
    server: Server,
    responses: (socket: Socket) => Iterable<ServerResponse>,
    refuse: (socket: Socket, error: NodeJS.ErrnoException) => void,
): void => {
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        if (!socket.writable || error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        const complete = [...responses(socket)].filter(({ req }) => req.complete);
        if (complete.length === 0) {
            refuse(socket, error);
            return;
        }
        // Complete requests arrived before the invalid bytes. The refusal must not be taken for their answer.
        socket.pause();
        const refuseWhenAnswered = () => {
            if (complete.every(({ closed }) => closed) && socket.writable) {
                refuse(socket, error);
            }
        };
        complete.forEach(response => response.once("close", refuseWhenAnswered));
    });
};
