import type { Socket } from "node:net";
import { createCallPool, call } from "../../src/connection/httpCalls.js";
import { PlatformObjects } from "../../src/process/store/platformObjects.js";
import { GatewayHarness, standInConfig } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { waitFor } from "../support/waitFor.js";

/** Time allowed for requests of the test routes, in milliseconds. */
const TIMEOUT_MS = 1_200;
/** Bytes that a target may get rid of before its connection is closed; most of them stay in the buffers of the sockets. */
const MAX_WRITTEN_BYTES = 24 * 1_048_576;
/** Growth of this process's memory for one endless answer, in bytes; the target's own buffers are part of it. */
const MAX_GROWTH_BYTES = 64 * 1_048_576;

/** Time allowed for a call, in milliseconds. */
const CALL_TIMEOUT_MS = 20_000;
/** Bytes after which a caller stops reading. */
const READ_BYTES = 65_536;

const ROUTES = [
    ["once", "shop.example", "/once/", "non_idempotent", TIMEOUT_MS, 400, 2, "endless", 2, null],
    ["again", "shop.example", "/again/", "idempotent", TIMEOUT_MS, 400, 2, "endless", 2, null],
];

const config = (): unknown => {
    const given = standInConfig(1, ROUTES) as { services: { rows: unknown[][] } };
    given.services.rows.push(["endless", "/healthz", 130, null]);
    return given;
};

/** Writes `bytes` again and again until the connection is closed. */
const flood = (socket: Socket, bytes: string): void => {
    const block = Buffer.from(bytes.repeat(Math.ceil(16_384 / bytes.length)), "latin1");
    const writeMore = () => {
        while (!socket.destroyed && socket.write(block)) {
            // The buffer of the socket isn't full.
        }
    };
    socket.on("drain", writeMore);
    writeMore();
};

interface EndlessCase {
    name: string;
    /** Beginning of the answer to the request with this identifier. */
    start: (id: string) => string;
    /** Bytes that follow without end. */
    then: string;
}

const headOf = (id: string, status: string, ...headers: string[]): string =>
    [`HTTP/1.1 ${status}`, `X-Request-Id: ${id}`, ...headers].join("\r\n");
const SIGNED = "X-Upstream-Signature: s";
const CHUNKED = "Transfer-Encoding: chunked";

const CASES: EndlessCase[] = [
    { name: "bytes that are no head", start: () => "", then: "\u0001\u0002nonsense" },
    { name: "a status line", start: () => "HTTP/1.1 200 ", then: "very good" },
    { name: "headers", start: id => `${headOf(id, "200 OK")}\r\n`, then: "X-More: more\r\n" },
    { name: "a header's value", start: id => `${headOf(id, "200 OK")}\r\nX-More: `, then: "more" },
    { name: "informational responses", start: () => "", then: "HTTP/1.1 102 Processing\r\n\r\n" },
    { name: "a chunk extension", start: id => `${headOf(id, "200 OK", SIGNED, CHUNKED)}\r\n\r\n4;`, then: "more=more" },
    {
        name: "trailers",
        start: id => `${headOf(id, "200 OK", SIGNED, CHUNKED)}\r\n\r\n4\r\nfour\r\n0\r\n`,
        then: "X-More: more\r\n",
    },
    { name: "a body without a signature", start: id => `${headOf(id, "200 OK")}\r\n\r\n`, then: "no answer" },
    { name: "a body for another request", start: () => `${headOf("other", "200 OK", SIGNED)}\r\n\r\n`, then: "other" },
    {
        name: "tiny chunks without a signature",
        start: id => `${headOf(id, "200 OK", CHUNKED)}\r\n\r\n`,
        then: "1\r\nx\r\n",
    },
    {
        name: "a body after the statement that it didn't run",
        start: id => `${headOf(id, "503 Full", "X-Not-Executed: 1")}\r\n\r\n`,
        then: "no answer",
    },
    { name: "a body after a status of failure", start: id => `${headOf(id, "500 Wrong", SIGNED)}\r\n\r\n`, then: "no" },
    { name: "a signed body", start: id => `${headOf(id, "200 OK", SIGNED)}\r\n\r\n`, then: "whole" },
    { name: "signed chunks", start: id => `${headOf(id, "200 OK", SIGNED, CHUNKED)}\r\n\r\n`, then: "4\r\nfour\r\n" },
];

describe("an answer without end", () => {
    let harness: GatewayHarness;
    let endless: ScriptedTarget;
    let sound: ScriptedTarget;
    let current: EndlessCase;

    const written = (): number => endless.arrivals.reduce((sum, { socket }) => sum + socket.bytesWritten, 0);
    const isClosed = (): boolean => endless.arrivals.every(({ socket }) => socket.destroyed);
    /**
     * Sends a request and returns what its caller receives until the connection ends, and whether it ends properly, not with a
     * reset. The caller stops reading after some time, so that the target's answer has to be held back.
     */
    const receive = async (method: string, path: string): Promise<{ text: string; hasEnd: boolean }> => {
        const socket = harness.connect();
        let text = "";
        let hasEnd = false;
        // A reset that is read with the last bytes is reported as an end, too; there is no peer then.
        socket.once("end", () => (hasEnd = socket.remoteAddress !== undefined));
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            if (text.length > READ_BYTES && !isClosed()) {
                socket.pause();
            }
        });
        const isEnded = new Promise<void>(resolve => void socket.on("close", () => resolve()));
        const headers = "Host: shop.example\r\nX-Request-Id: r1\r\nContent-Length: 0\r\nConnection: close";
        socket.write(`${method} ${path} HTTP/1.1\r\n${headers}\r\n\r\n`);
        await waitFor(() => endless.arrivals.length > 0 && isClosed());
        socket.resume();
        await isEnded;
        return { text, hasEnd };
    };
    const memory = (): number => process.memoryUsage.rss();
    const metric = async (name: string): Promise<number> => {
        const text = await (await fetch(`http://127.0.0.1:${harness.metricsPort}/metrics`)).text();
        return [...text.matchAll(new RegExp(`^${name}{.*} (\\d+)$`, "gm"))].reduce((sum, [, n]) => sum + Number(n), 0);
    };

    beforeAll(async () => {
        endless = await startScriptedTarget((arrival: TargetArrival) => {
            arrival.socket.write(current.start(String(arrival.headers.get("x-request-id"))), "latin1");
            flood(arrival.socket, current.then);
        });
        sound = await startScriptedTarget(arrival => arrival.answer());
        harness = await GatewayHarness.start({ t1: sound }, config());
        harness.store.put("servers", "t0", {
            address: endless.address,
            born: 1_700_000_000_000,
            info: { service: "endless", version: "v1", zone: "linz", slots: 6 },
            status: { state: "ready", seq: 1, warmup_left_ms: 0 },
        });
        current = CASES[0];
        await waitFor(async () => (await harness.request("POST", "/once/1", { body: "order" })).status !== 503);
    });

    afterAll(async () => {
        harness.dispose();
        await endless.dispose();
        await sound.dispose();
    });

    it.each(
        CASES.flatMap(given => [
            { given, path: "/once/", method: "POST" },
            { given, path: "/again/", method: "GET" },
        ]),
    )("of $given.name is broken off and never taken for one ($method)", async ({ given, path, method }) => {
        current = given;
        endless.arrivals.length = 0;
        const before = memory();
        const ended = receive(method, `${path}1`);
        const neighbours = await Promise.all(
            Array.from({ length: 20 }, () => harness.request("GET", "/read/neighbour")),
        );
        expect(neighbours.map(({ status }) => status)).toEqual(neighbours.map(() => 200));
        const { text, hasEnd } = await ended;
        if (text.startsWith("HTTP/1.1 200 ") || text.startsWith("HTTP/1.1 500 ")) {
            // It was being forwarded, delimited as its target delimits it, and must not look whole.
            const isChunked = given.start("r1").includes(CHUNKED);
            expect(/transfer-encoding: chunked/i.test(text)).toBe(isChunked);
            expect(isChunked ? text.endsWith("0\r\n\r\n") : hasEnd).toBe(false);
        } else {
            expect(text).toMatch(/^HTTP\/1\.1 50[24] /);
        }
        await waitFor(isClosed);
        expect(endless.arrivals.length).toBe(1);
        expect(written()).toBeLessThan(MAX_WRITTEN_BYTES);
        expect(memory() - before).toBeLessThan(MAX_GROWTH_BYTES);
    });

    it("is counted and logged", async () => {
        [current] = CASES.filter(({ name }) => name === "a status line");
        const before = await metric("sassafrasloom_excessive_answers_total");
        await harness.request("POST", "/once/1", { body: "order" });
        expect(await metric("sassafrasloom_excessive_answers_total")).toBe(before + 1);
        const lines = harness.log.filter(line => line.includes("Target t0 sent more than an answer may have"));
        expect(lines.length).toBeGreaterThan(0);
    });

    it("is broken off after its deadline when its caller has gone", async () => {
        [current] = CASES.filter(({ name }) => name === "a body without a signature");
        endless.arrivals.length = 0;
        endless.script = arrival => {
            // Slow enough to stay below every limit of bytes.
            const timer = setInterval(() => arrival.socket.write("more"), 50);
            arrival.socket.write(current.start(String(arrival.headers.get("x-request-id"))), "latin1");
            arrival.socket.on("close", () => clearInterval(timer));
        };
        const caller = harness.connect();
        caller.write("POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: gone\r\nContent-Length: 0\r\n\r\n");
        await waitFor(() => endless.arrivals.length === 1);
        caller.destroy();
        await waitFor(isClosed);
    });
});

test.each([
    {
        name: "the platform's adapter",
        read: async (address: string) => {
            const pool = createCallPool(address, 1);
            const result = await call(pool, { method: "GET", path: "/rows-get" }, CALL_TIMEOUT_MS);
            await pool.destroy();
            return result.type === "response";
        },
    },
    {
        name: "the client of the object store",
        read: async (address: string) => {
            const objects = new PlatformObjects({ url: `http://${address}`, timeoutMs: CALL_TIMEOUT_MS });
            const result = await objects.get("bundle");
            await objects.dispose();
            return result.isOk();
        },
    },
])("the answer without end to a call of $name is broken off", async ({ read }) => {
    let written = 0;
    const endless = await startScriptedTarget(({ socket }) => {
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        flood(socket, "more");
        socket.on("close", () => (written = socket.bytesWritten));
    });
    expect(await read(endless.address)).toBe(false);
    await waitFor(() => written > 0);
    expect(written).toBeLessThan(MAX_WRITTEN_BYTES);
    await endless.dispose();
});
