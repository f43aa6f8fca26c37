import { connect, type Socket } from "node:net";
import { afterAll, beforeAll, expect, test } from "@jest/globals";
import { v4 as uuidv4, v7 as uuidv7 } from "uuid";
import { FAILURE_BUNDLE, HeldAnswer, startsOf } from "../support/failureSupport.js";
import { RequestClient, type TestReply, type TestRequest } from "../support/requestClient.js";
import { RouterCluster } from "../support/routerCluster.js";
import { pause, waitFor } from "../support/waitFor.js";

const HELD_BYTES = 33_554_432;
const BODY_LIMIT = 8 * 1_048_576;

let router: RouterCluster;
const client = new RequestClient();
let held: HeldAnswer;
let stopped = false;
let background: Promise<TestReply[]>;

/** Sends lookups through the instance that receives the bad input, until the end of the tests. */
const lookUpSteadily = async (address: string): Promise<TestReply[]> => {
    const replies: TestReply[] = [];
    while (!stopped) {
        replies.push(await client.send({ address, path: `/stock/steady-${replies.length}`, key: "steady" }));
        await pause(10);
    }
    return replies;
};

beforeAll(async () => {
    router = await RouterCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: 2 }],
        bundle: FAILURE_BUNDLE,
        instancesPerDomain: 2,
    });
    await router.waitUntilOwned();
    const { callers } = router.instances[0];
    await waitFor(async () => (await client.send({ address: callers, path: "/stock/x", key: "k1" })).status === 200);
    const path = `/stock/exports/held?bytes=${HELD_BYTES}`;
    held = await HeldAnswer.open({ address: callers, path, key: "k1", bytes: HELD_BYTES });
    background = lookUpSteadily(callers);
}, 60_000);

afterAll(async () => {
    await client.dispose();
    await router.dispose();
});

/** Writes to a new socket and collects the response until the peer closes the connection or `until` holds. */
const exchange = async (bytes: string | Buffer, until?: (received: string) => boolean): Promise<string> => {
    const [host, port] = router.instances[0].callers.split(":");
    const socket: Socket = connect({ host, port: Number(port) });
    let received = "";
    let closed = false;
    socket.on("data", chunk => (received += chunk.toString("latin1")));
    socket.on("error", () => undefined);
    socket.on("close", () => (closed = true));
    socket.write(bytes);
    await waitFor(() => closed || (until?.(received) ?? false), 45_000);
    socket.destroy();
    return received;
};

const expectRefusal = (raw: string, status: number, type: string): void => {
    const [head, body] = raw.split("\r\n\r\n");
    expect(head).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(head.toLowerCase()).toContain("content-type: application/problem+json");
    expect(head.toLowerCase()).toContain("sassafrasloom-outcome: invalid");
    expect(JSON.parse(body)).toMatchObject({ type: `urn:sassafrasloom:${type}`, outcome: "invalid", status });
};

const order: Omit<TestRequest, "address"> = { method: "POST", path: "/stock", key: "k1", body: "bad" };
const now = Date.now();

test.each<[string, Omit<TestRequest, "address">, number, string]>([
    ["no key", { path: "/stock/bad" }, 400, "missing-key"],
    ["an empty key", { path: "/stock/bad", key: "" }, 400, "missing-key"],
    ["a key with characters beyond ASCII", { path: "/stock/bad", key: "k\u00e4se" }, 400, "bad-key"],
    ["a key with a tab", { path: "/stock/bad", key: "a\tb" }, 400, "bad-key"],
    ["a key that is too long", { path: "/stock/bad", key: "k".repeat(513) }, 400, "bad-key"],
    ["no identifier", { ...order }, 400, "missing-identifier"],
    ["a malformed identifier", { ...order, identifier: "order-17" }, 400, "bad-identifier"],
    ["a UUIDv4", { ...order, identifier: uuidv4() }, 400, "bad-identifier"],
    [
        "a future identifier",
        { ...order, identifier: uuidv7({ msecs: now + 3_600_000 }) },
        400,
        "identifier-from-future",
    ],
    [
        "a bad deadline",
        { path: "/stock/bad", key: "k1", headers: { "sassafrasloom-deadline-ms": "soon" } },
        400,
        "bad-deadline",
    ],
    ["an unknown service", { path: "/bad", key: "k1" }, 404, "unknown-service"],
    ["an unknown named service", { path: "/stock/bad", key: "k1", service: "bad" }, 404, "unknown-service"],
    ["an unknown path", { path: "/stock/bad/bad/bad", key: "k1" }, 404, "unknown-kind"],
    ["a bad method", { path: "/stock/bad", method: "DELETE", key: "k1" }, 405, "bad-method"],
    [
        "headers that are too large",
        { path: "/stock/bad", key: "k1", headers: { filler: "x".repeat(20_000) } },
        431,
        "header-too-large",
    ],
])("%s is refused as invalid and runs nowhere", async (_, request, status, type) => {
    for (const { callers } of router.instances) {
        const reply = await client.send({ ...request, address: callers });
        expect(reply).toMatchObject({ status, outcome: "invalid", problem: type, whole: true });
        expect(reply.headers["content-type"]).toContain("application/problem+json");
    }
    expect(startsOf(router).filter(({ path }) => path.includes("bad") || path === "/stock")).toEqual([]);
});

const HEAD = "POST /stock HTTP/1.1\r\nhost: x\r\nsassafrasloom-key: k1\r\n";

test("a body whose content length exceeds the limit is refused before it is sent", async () => {
    const raw = await exchange(`${HEAD}content-length: ${BODY_LIMIT + 1}\r\n\r\nabc`);
    expectRefusal(raw, 413, "body-too-large");
});

test("a chunked body is refused as soon as it exceeds the limit", async () => {
    const chunk = `100000\r\n${"x".repeat(0x100000)}\r\n`;
    const raw = await exchange(`${HEAD}transfer-encoding: chunked\r\n\r\n${chunk.repeat(9)}`);
    expectRefusal(raw, 413, "body-too-large");
});

test("a body that is shorter than its content length runs nowhere", async () => {
    const [host, port] = router.instances[0].callers.split(":");
    const socket = connect({ host, port: Number(port) });
    let received = "";
    let closed = false;
    socket.on("data", chunk => (received += chunk.toString("latin1")));
    socket.on("error", () => undefined);
    socket.on("close", () => (closed = true));
    socket.end(`${HEAD}idempotency-key: ${uuidv7()}\r\ncontent-length: 100\r\n\r\ntruncated`);
    await waitFor(() => closed);
    // An answer can still arrive, since only the sending half of the connection has been closed.
    expectRefusal(received, 400, "truncated-body");
    expect(startsOf(router).filter(({ path }) => path === "/stock")).toEqual([]);
});

test.each([
    ["bytes that are not HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 not HTTP\r\n\r\n"],
    ["a request line with a bad version", "GET /stock/bad HTTP/9.9\r\n\r\n"],
    ["two lengths that differ", `${HEAD}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd`],
    ["both a length and chunks", `${HEAD}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`],
    ["a bad chunk size", `${HEAD}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n`],
])("%s: refused as invalid", async (_, bytes) => {
    expectRefusal(await exchange(Buffer.from(bytes, "latin1")), 400, "malformed-request");
});

test("a stalled incomplete request is refused after the timeout", async () => {
    expectRefusal(await exchange("GET /stock/bad HTTP/1.1\r\nhost: x\r\nsassafrasloom-ke"), 408, "request-timeout");
});

test("garbage after a valid request doesn't affect the valid one", async () => {
    const valid = "GET /stock/pipelined?serviceMs=200 HTTP/1.1\r\nhost: x\r\nsassafrasloom-key: k1\r\n\r\n";
    const raw = await exchange(`${valid}\x00\x01garbage\r\n\r\n`);
    expect(raw).toMatch(/^HTTP\/1.1 200 /);
    expect(raw.toLowerCase()).toContain("sassafrasloom-outcome: answered");
    expect(raw).toContain('"path":"/stock/pipelined?serviceMs=200"');
});

test("bad input doesn't affect other requests or end the processes", async () => {
    stopped = true;
    const replies = await background;
    expect(replies.length).toBeGreaterThan(20);
    expect(replies.filter(({ outcome, whole }) => outcome !== "answered" || !whole)).toEqual([]);
    expect(await held.finish()).toMatchObject({ whole: true, isOwn: true });
    expect(router.instances.map(({ daemon }) => daemon.program.running)).toEqual([true, true]);
});
