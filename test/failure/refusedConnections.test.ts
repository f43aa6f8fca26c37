import { connect, type Socket } from "node:net";
import { GatewayHarness, isWhole, standInConfig } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget } from "../support/scriptedTarget.js";
import { stall } from "../support/stall.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Time within which the head of a request must arrive, in milliseconds. */
const HEADER_TIMEOUT_MS = 600;
const BODY_LIMIT = 1_000;
/** Time in which a request that wrongly runs reaches its target, in milliseconds. */
const RUN_MS = 400;

const config = (): unknown => ({
    ...(standInConfig(1) as object),
    limits: {
        max_header_bytes: 4_096,
        max_body_bytes: BODY_LIMIT,
        header_timeout_ms: HEADER_TIMEOUT_MS,
        idle_timeout_ms: 15_000,
    },
});

const head = (id: string, ...fields: string[]): string =>
    [`POST /order/${id} HTTP/1.1`, "Host: shop.example", `X-Request-Id: ${id}`, "X-Deadline-Ms: 3000", ...fields]
        .map(line => `${line}\r\n`)
        .join("");
const order = (id: string): string => `${head(id, "Content-Length: 5")}\r\norder`;

/** Bytes that get an answer outside of the request's own path, the status, and what follows on the connection. */
const REFUSED: [string, number, string, string][] = [
    ["408 without any byte", 408, "", order("late")],
    ["408 within a head", 408, head("late", "Content-Length: 5"), "\r\norder"],
    [
        "408 within a head, and two requests behind",
        408,
        head("late", "Content-Length: 5"),
        `\r\norder${order("late-2")}`,
    ],
    ["400", 400, "NOT HTTP\r\n\r\n", order("late")],
    [
        "400 within a body",
        400,
        `${head("late", "Transfer-Encoding: chunked")}\r\nxyz\r\n`,
        `0\r\n\r\n${order("late-2")}`,
    ],
    ["413 by the length", 413, `${head("large", "Content-Length: 2000")}\r\n`, `${"x".repeat(2_000)}${order("late")}`],
    [
        "413 by the bytes",
        413,
        `${head("large", "Transfer-Encoding: chunked")}\r\n7d0\r\n${"x".repeat(2_000)}\r\n`,
        `0\r\n\r\n${order("late")}`,
    ],
    ["431", 431, `${head("large", `X-More: ${"x".repeat(5_000)}`)}\r\n`, order("late")],
];

describe("a connection on which a refusal was written", () => {
    let target: ScriptedTarget;
    let harness: GatewayHarness;

    beforeEach(async () => {
        target = await startScriptedTarget(arrival => arrival.answer());
        harness = await GatewayHarness.start({ t1: target }, config());
        await waitFor(async () => (await harness.request("GET", "/read/ready")).status === 200);
        target.arrivals.length = 0;
    });
    afterEach(async () => {
        sockets.splice(0).forEach(socket => socket.destroy());
        harness.dispose();
        await target.dispose();
    });

    const sockets: Socket[] = [];
    /** Opens a connection of a caller that doesn't close it after the gateway. */
    const open = (): Socket => {
        const socket = connect({ port: harness.port, host: "127.0.0.1", allowHalfOpen: true });
        socket.on("error", () => undefined);
        sockets.push(socket);
        return socket;
    };
    /** Collects what a connection receives. */
    const receive = (socket: Socket): (() => string) => {
        let text = "";
        socket.on("data", chunk => (text += chunk.toString("latin1")));
        return () => text;
    };
    const ran = () => target.arrivals.map(({ headers }) => headers.get("x-request-id"));

    // Orders ran that had been answered 408, which promises that they never will.
    it.each(REFUSED)("runs nothing that follows: %s", async (_, status, refused, following) => {
        const socket = open();
        const received = receive(socket);
        socket.write(refused);
        await waitFor(() => isWhole(received()));
        expect(received()).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
        socket.write(following);
        await pause(RUN_MS);
        expect(ran()).toEqual([]);
        expect(received().match(/HTTP\/1\.1 \d{3} /g)).toHaveLength(1);
    });

    it.each(REFUSED.filter(([, status]) => status !== 408 && status !== 400))(
        "runs nothing that comes in the same packet: %s",
        async (_, status, refused, following) => {
            const socket = open();
            const received = receive(socket);
            socket.write(refused + following);
            await pause(RUN_MS);
            expect(received()).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
            expect(ran()).toEqual([]);
        },
    );

    it("runs nothing behind a request after which its caller wants the connection closed", async () => {
        const socket = open();
        const received = receive(socket);
        socket.write(`${head("last", "Connection: close", "Content-Length: 5")}\r\norder${order("late")}`);
        await waitFor(() => isWhole(received()));
        await pause(RUN_MS);
        expect(ran()).toEqual(["last"]);
    });

    // Node.js runs overdue timers before it reads from sockets.
    it.each([
        ["a whole request", "", order("waiting")],
        ["the rest of a head", head("waiting", "Content-Length: 5"), "\r\norder"],
        ["a whole request and another one", "", `${order("waiting")}${order("waiting-2")}`],
    ])("answers %s that came during a stall, instead of timing it out", async (_, before, during) => {
        for (let round = 0; round < 5; round++) {
            target.arrivals.length = 0;
            const socket = open();
            const received = receive(socket);
            socket.write(before);
            await pause(100);
            // The bytes wait in the socket until the process runs again.
            socket.write(during);
            stall(2 * HEADER_TIMEOUT_MS);
            await waitFor(() => received().length > 0);
            expect(received()).toMatch(/^HTTP\/1\.1 200 /);
            await waitFor(() => ran().length === during.split("POST").length - (before === "" ? 1 : 0));
        }
    });

    it("still times out what doesn't come during a stall", async () => {
        const socket = open();
        const received = receive(socket);
        socket.write(head("half", "Content-Length: 5"));
        await pause(100);
        stall(2 * HEADER_TIMEOUT_MS);
        await waitFor(() => isWhole(received()));
        expect(received()).toMatch(/^HTTP\/1\.1 408 /);
        socket.write("\r\norder");
        await pause(RUN_MS);
        expect(ran()).toEqual([]);
    });
});
