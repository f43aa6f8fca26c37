import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { ServerResponse, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { listenOnLoopback } from "../../../test/support/httpSupport.js";
import { waitFor } from "../../../test/support/waitFor.js";
import { createCallerServer, type CallerResponse, type ReceivedRequest } from "../callerServer.js";

const exchange = (address: string, text: string): Promise<string> =>
    new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        const socket = connect(Number(port), host, () => socket.write(text));
        let received = "";
        socket.setEncoding("utf8").on("data", (data: string) => {
            received += data;
        });
        socket.on("close", () => resolve(received)).on("error", reject);
    });

describe("caller server", () => {
    let server: Server;
    let address: string;
    let isServing: boolean;
    let answer: (request: ReceivedRequest, response: CallerResponse) => void;

    beforeEach(async () => {
        isServing = true;
        server = createCallerServer({
            answer: (request, response) => {
                answer(request, response);
                return { cancel: () => undefined, credit: () => undefined };
            },
            isServing: () => isServing,
            refusedEarly: () => undefined,
            bodyLimit: 1024,
            headerLimit: 4096,
            connectionLimit: 2,
        });
        address = await listenOnLoopback(server);
    });

    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    test("guards against an unlimited number of connections from callers", async () => {
        const [host, port] = address.split(":");
        const held = await Promise.all(
            [1, 2].map(
                () =>
                    new Promise<Socket>(resolve => {
                        const socket = connect(Number(port), host, () => resolve(socket));
                    }),
            ),
        );
        // The server closes the third connection without an answer.
        expect(await exchange(address, "").catch(() => "")).toBe("");
        const [stillOpen] = held;
        const received = new Promise<string>(resolve => stillOpen.once("data", data => resolve(String(data))));
        stillOpen.write("GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n");
        expect(await received).toContain("HTTP/1.1 200");
        held.forEach(socket => socket.destroy());
    });

    test.each([
        ["a head", "POST /orders/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n", "\r\norder"],
        ["a body", "POST /orders/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nor", "der"],
    ])("guards against a request that runs after it was answered 408 within %s", async (_, first, rest) => {
        server.headersTimeout = 300;
        server.requestTimeout = 400;
        const urls: string[] = [];
        answer = ({ url }, response) => {
            urls.push(url);
            response.head(200, []);
            response.end(true);
        };
        const [host, port] = address.split(":");
        const socket = connect({ port: Number(port), host, allowHalfOpen: true });
        const received = new Promise<string>(resolve => socket.once("data", data => resolve(String(data))));
        socket.write(first);
        expect(await received).toContain("HTTP/1.1 408");
        socket.write(rest);
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(urls).toEqual([]);
        socket.destroy();
    });

    test("guards against a leaving instance that closes a connection before its pipelined requests are answered", async () => {
        isServing = false;
        const pending: CallerResponse[] = [];
        answer = (_, response) => pending.push(response);
        const received = exchange(
            address,
            ["1", "2"].map(order => `GET /orders/${order} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""),
        );
        await waitFor(() => pending.length === 2);
        for (const response of pending) {
            response.head(200, [{ name: "content-length", value: "2" }]);
            response.data(Buffer.from("ok"));
            response.end(true);
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        expect((await received).match(/HTTP\/1\.1 200/g)).toHaveLength(2);
    });

    test("guards against a chunked body above the limit that isn't answered 413", async () => {
        const received = await exchange(
            address,
            `POST /orders/1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${"400\r\n".concat("x".repeat(0x400), "\r\n").repeat(9)}`,
        );
        expect(received).toMatch(/^HTTP\/1\.1 413 /);
    });

    test("guards against a path with dot segments that is assigned to the wrong service", async () => {
        const urls: string[] = [];
        answer = ({ url }, response) => {
            urls.push(url);
            response.head(200, []);
            response.end(true);
        };
        await exchange(address, "GET /stock/../orders/7?a=1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        expect(urls).toEqual(["/orders/7?a=1"]);
    });

    test("guards against a second end of the response, which costs the CPU time of an error per request", async () => {
        const end = jest.spyOn(ServerResponse.prototype, "end");
        try {
            answer = (_, response) => {
                response.head(200, [{ name: "content-length", value: "2" }]);
                response.data(Buffer.from("ok"));
                response.end(true);
            };
            const received = await exchange(address, "GET /stock/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            expect(received).toMatch(/^HTTP\/1.1 200 [^]*\r\n\r\nok$/);
            await new Promise(resolve => setImmediate(resolve));
            expect(end).toHaveBeenCalledTimes(1);
        } finally {
            end.mockRestore();
        }
    });

    test("guards against a caller that waits indefinitely because the handling of its request failed", async () => {
        const quiet = jest.spyOn(console, "error").mockImplementation(() => undefined);
        try {
            answer = () => {
                throw new Error("a fault");
            };
            const received = await exchange(address, "GET /stock/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            expect(received).toMatch(/^HTTP\/1.1 500 /);
        } finally {
            quiet.mockRestore();
        }
    });
});
