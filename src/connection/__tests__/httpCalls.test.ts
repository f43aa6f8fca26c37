import { createServer, type ServerResponse } from "node:http";
import { createServer as createSocketServer, type AddressInfo } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { pause } from "../../../test/support/waitFor.js";
import { call, callUntilTrusted, createCallPool } from "../httpCalls.js";

const TIMEOUT_MS = 300;
/** Time after which a call counts as one without a timeout, in milliseconds. */
const PATIENCE_MS = 5_000;
/** Number of calls after which the function has been compiled by the optimizing compiler. */
const CALLS_UNTIL_OPTIMIZED = 3_000;

const collectGarbage = (): void => {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
};

describe("call", () => {
    const held: ServerResponse[] = [];
    let isAnswering = true;
    const server = createServer((_, response) => (isAnswering ? response.end("x") : held.push(response)));
    let pool: ReturnType<typeof createCallPool>;

    beforeAll(async () => {
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        pool = createCallPool(`127.0.0.1:${(server.address() as AddressInfo).port}`, 4);
    });
    beforeEach(() => {
        isAnswering = true;
    });
    afterAll(async () => {
        await pool.destroy();
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    });

    const ask = (signal?: AbortSignal) => call(pool, { method: "GET", path: "/", signal }, TIMEOUT_MS);

    // A held read of the store had no timeout after a garbage collection, so a follower never called the store again.
    it.each([[true], [false]])(
        "guards against a call without an answer that outlasts its timeout after a garbage collection (signal: %s)",
        async hasSignal => {
            const signal = () => (hasSignal ? new AbortController().signal : undefined);
            for (let count = 0; count < CALLS_UNTIL_OPTIMIZED; count++) {
                await ask(signal());
            }
            isAnswering = false;
            const calls = Promise.all(Array.from({ length: 4 }, () => ask(signal())));
            for (let round = 0; round < 5; round++) {
                await pause(TIMEOUT_MS / 10);
                collectGarbage();
            }
            const results = await Promise.race([calls, pause(PATIENCE_MS)]);
            expect(results).toEqual(Array(4).fill({ type: "unanswered", detail: "The call has timed out." }));
        },
        60_000,
    );

    it("guards against a call that goes on after its signal was aborted", async () => {
        isAnswering = false;
        const controller = new AbortController();
        const result = ask(controller.signal);
        controller.abort(new Error("restored"));
        expect(await result).toEqual({ type: "unanswered", detail: "restored" });
        expect(await ask(controller.signal)).toEqual({ type: "unanswered", detail: "restored" });
    });
});

// A config that took longer than the timeout over a narrow link was asked for again and again.
describe("a call for a large response", () => {
    const PARTS = 8;
    const PART_MS = 100;
    const bodyTimeouts = { partMs: TIMEOUT_MS, wholeMs: PATIENCE_MS };

    /** Makes a call whose response has `sent` parts of `PARTS`, the first one `heldMs` milliseconds after its head. */
    const ask = async (sent: number, timeouts = bodyTimeouts, heldMs = 0) => {
        const server = createServer((_, response) => {
            response.writeHead(200, { "content-length": String(PARTS) });
            response.flushHeaders();
            void (async () => {
                await pause(heldMs);
                for (let part = 0; part < sent; part++) {
                    response.write("x");
                    await pause(PART_MS);
                }
            })();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const pool = createCallPool(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
        const counts: number[] = [];
        const received = (bytes: number) => void counts.push(bytes);
        const result = await call(pool, { method: "GET", path: "/", received, bodyTimeouts: timeouts }, TIMEOUT_MS);
        await pool.destroy();
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
        return { result, bytes: counts.reduce((sum, bytes) => sum + bytes, 0) };
    };

    it("goes on while parts of the body arrive", async () => {
        expect(await ask(PARTS)).toMatchObject({ result: { type: "response", status: 200 }, bytes: PARTS });
    });

    it("waits for the body of a held call whose head comes at once", async () => {
        const timeouts = { partMs: 1.5 * PART_MS, wholeMs: PATIENCE_MS };
        expect(await ask(PARTS, timeouts, 2 * PART_MS)).toMatchObject({ result: { type: "response" }, bytes: PARTS });
    });

    it("ends when no further part arrives", async () => {
        expect(await ask(2)).toMatchObject({ result: { type: "unanswered" }, bytes: 2 });
    });

    it("ends after the time for the whole body", async () => {
        const { result } = await ask(PARTS, { partMs: PATIENCE_MS, wholeMs: 2 * PART_MS });
        expect(result.type).toBe("unanswered");
    });
});

// A status of 600 counted as a refusal of the call, which the process may have carried out.
describe("a call whose response has an invalid status", () => {
    it.each(["000", "099", "199", "600", "999", "1000", "2 0"])(
        "is unanswered, and its connection reset (%s)",
        async status => {
            let connections = 0;
            const closed: Promise<void>[] = [];
            const server = createSocketServer(socket => {
                connections++;
                closed.push(new Promise(resolve => socket.once("close", () => resolve())));
                socket.on("error", () => undefined);
                socket.on("data", () => socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`));
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const pool = createCallPool(address, 1);
            const from = performance.now();
            const request = { method: "POST", path: "/grant", body: "{}" } as const;
            expect(await call(pool, request, PATIENCE_MS)).toMatchObject({ type: "unanswered" });
            const copy = () => ({ request, isDoubted: () => false });
            expect(await callUntilTrusted({ address, pool, copy }, PATIENCE_MS)).toMatchObject({ type: "unanswered" });
            expect(performance.now() - from).toBeLessThan(PATIENCE_MS);
            await Promise.all(closed);
            expect(connections).toBe(2);
            await pool.destroy();
            await new Promise(resolve => server.close(resolve));
        },
    );
});
