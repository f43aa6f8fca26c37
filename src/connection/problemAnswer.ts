import { STATUS_CODES, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { afterInput } from "../process/runtime/afterInput.js";
import { delayField, problemOfRefusal, type Refusal } from "../request/refusal.js";
import type { ConnectionCloser } from "./connectionCloser.js";
import type { RequestGate } from "./requestGate.js";

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

/** Answers on a socket whose bytes the HTTP parser rejected. The connection has to be closed then. */
export const writeLastProblem = (socket: Socket, refusal: Refusal, headers: Record<string, string> = {}): void => {
    const problem = problemOfRefusal(refusal);
    const body = JSON.stringify(problem.body);
    const lines = [
        `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status]}`,
        `content-type: ${MEDIA_TYPE}`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        `content-length: ${Buffer.byteLength(body)}`,
        "connection: close",
    ];
    socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`);
};

/**
 * Handles requests that the HTTP parser rejects or that time out. A request that had arrived by the timeout is read first, since
 * Node.js runs overdue timers before it reads from sockets.
 *
 * @param options.responses unfinished responses of a socket
 * @param options.refuse answers the invalid request; the connection is closed afterwards
 *
 * @example
 * const refuse = (socket: Socket, error: Error) => writeLastProblem(socket, refusalOf(error));
 * handleClientErrors(server, { gate, closer, responses: responsesOf, refuse });
 */
export const handleClientErrors = (
    server: Server,
    {
        gate,
        closer,
        responses,
        refuse,
    }: {
        gate: RequestGate;
        closer: ConnectionCloser;
        responses: (socket: Socket) => Iterable<ServerResponse>;
        refuse: (socket: Socket, error: NodeJS.ErrnoException) => void;
    },
): void => {
    const refuseAndClose = (socket: Socket, error: NodeJS.ErrnoException) => {
        refuse(socket, error);
        closer.close(socket);
    };
    const refuseLast = (socket: Socket, error: NodeJS.ErrnoException) => {
        if (gate.isClosed(socket) || !socket.writable) {
            return;
        }
        const complete = [...responses(socket)].filter(({ req }) => req.complete);
        if (complete.length === 0) {
            refuseAndClose(socket, error);
            return;
        }
        // Complete requests arrived before the invalid bytes. The refusal must not be taken for their answer.
        socket.pause();
        const refuseWhenAnswered = () => {
            if (complete.every(({ closed }) => closed) && socket.writable) {
                refuseAndClose(socket, error);
            }
        };
        complete.forEach(response => response.once("close", refuseWhenAnswered));
    };
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        if (error.code === "ECONNRESET" || (!socket.writable && !gate.isClosed(socket))) {
            socket.destroy();
            return;
        }
        if (error.code !== "ERR_HTTP_REQUEST_TIMEOUT") {
            refuseLast(socket, error);
            return;
        }
        const admitted = gate.admittedOn(socket);
        const incomplete = [...responses(socket)].filter(({ req }) => !req.complete);
        afterInput(() => {
            const hasArrived =
                incomplete.length === 0
                    ? gate.admittedOn(socket) > admitted
                    : incomplete.every(({ req }) => req.complete);
            if (!hasArrived) {
                refuseLast(socket, error);
            }
        });
    });
};
