import { GatewayHarness, isWhole } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";

const SIGNED = "X-Upstream-Signature: s";

/** The bytes of an answer that a target breaks off. */
type Bytes = (id: string) => string;

const withHeaders =
    (body: string, ...headers: string[]): Bytes =>
    id =>
        ["HTTP/1.1 200 OK", `X-Request-Id: ${id}`, SIGNED, ...headers, "", body].join("\r\n");

const ANSWERS: [string, Bytes][] = [
    ["a length", withHeaders("x".repeat(1_234), "Content-Length: 1234")],
    [
        "a length and the end of its connection",
        withHeaders("x".repeat(1_234), "Connection: close", "Content-Length: 1234"),
    ],
    ["no content", withHeaders("", "Content-Length: 0")],
    ["chunks", withHeaders("4\r\nhalf\r\n4\r\nwhol\r\n0\r\n\r\n", "Transfer-Encoding: chunked")],
    [
        "chunks, a trailer and the end of its connection",
        withHeaders(
            "4\r\nhalf\r\n0\r\nX-Upstream-Sum: 1\r\n\r\n",
            "Connection: close",
            "Trailer: X-Upstream-Sum",
            "Transfer-Encoding: chunked",
        ),
    ],
    ["informational answers before it", id => `HTTP/1.1 103 Early\r\nConnection: close\r\n\r\n${ANSWERS[0][1](id)}`],
];

const requestOf = (path: string, method = "POST"): string =>
    `${method} ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-0\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n`;

/** Places at which an answer is broken off: each byte of its head, and some of its content. */
const cutsOf = (bytes: string): number[] => {
    const head = bytes.lastIndexOf("\r\n\r\n", bytes.length - 5) + 4;
    const all = [...Array(bytes.length).keys()];
    return bytes.length < 400 ? all : all.filter(cut => cut <= head || cut % 97 === 0 || cut === bytes.length - 1);
};

describe("an answer that is broken off", () => {
    let harness: GatewayHarness;
    let target: ScriptedTarget;
    let write: (arrival: TargetArrival) => void;

    beforeEach(async () => {
        target = await startScriptedTarget(arrival => write(arrival));
        harness = await GatewayHarness.start({ t0: target });
    });

    afterEach(async () => {
        harness.dispose();
        await target.dispose();
    });

    it.each(
        ANSWERS.flatMap(([name, bytes]) =>
            (["FIN", "RST"] as const).flatMap(end =>
                (["new", "kept"] as const).map(connection => ({ name, bytes, end, connection })),
            ),
        ),
    )(
        "isn't forwarded as whole: $name, broken off by $end on a $connection connection",
        async ({ bytes, end, connection }) => {
            const whole: number[] = [];
            for (const cut of cutsOf(bytes("id-0"))) {
                if (connection === "kept") {
                    write = arrival => arrival.answer();
                    await harness.request("POST", "/order/first", { id: "id-1", body: "1" });
                }
                write = arrival => {
                    arrival.socket.write(bytes("id-0").slice(0, cut), "latin1");
                    setImmediate(() => (end === "FIN" ? arrival.socket.end() : arrival.socket.resetAndDestroy()));
                };
                const { status } = await harness.request("POST", "/order/cut", { id: "id-0", body: "1" });
                if (status === 200) {
                    whole.push(cut);
                }
            }
            expect(whole).toEqual([]);
        },
        60_000,
    );

    it.each([
        ["no length", 5],
        ["a transfer coding that isn't chunked", 5],
    ])("isn't framed as whole if only the connection ends it: %s, %d bytes", async (name, length) => {
        const headers = name === "no length" ? [] : ["Transfer-Encoding: gzip"];
        write = arrival => arrival.socket.end(withHeaders("x".repeat(length), "Connection: close", ...headers)("id-0"));
        const text = await harness.exchange(
            requestOf("/order/1"),
            received => /content-length/i.test(received) && isWhole(received),
        );
        const [head, ...rest] = text.split("\r\n\r\n");
        expect(head).toMatch(/^HTTP\/1\.1 200 /);
        expect(head).toMatch(/connection: close/i);
        expect(head).not.toMatch(/content-length|transfer-encoding: chunked/i);
        expect(rest.join("\r\n\r\n")).toHaveLength(length);
    });
});
