import { GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Size of an answer that isn't held until it is complete, in bytes. */
const LARGE_BYTES = 3_000_000;
const SMALL_BYTES = 540_000;
/** Number of answers that are held, and the size of each in bytes; together they are more than the gateway holds. */
const HELD_ANSWERS = 120;
const HELD_BYTES = 300_000;
const HOLDING_TARGETS = 16;

/** What a caller has received on a connection until it ended. */
interface Received {
    head: string;
    content: string;
    /** Whether the connection ended with the end of its bytes, not with a reset. */
    hasEnd: boolean;
}

const answerHead = (arrival: TargetArrival, ...fields: string[]): string =>
    [
        "HTTP/1.1 200 OK",
        `X-Request-Id: ${arrival.headers.get("x-request-id")}`,
        "X-Upstream-Signature: s",
        ...fields,
        "",
        "",
    ].join("\r\n");

const requestTo = (path: string): string =>
    `GET /${path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${path}\r\nX-Deadline-Ms: 20000\r\n\r\n`;

const ROUTES = ["read", "held"].map(name => [
    `long-${name}`,
    "shop.example",
    `/long-${name}/`,
    "idempotent",
    20_000,
    400,
    2,
    name === "held" ? "other" : "stock",
    2,
    null,
]);

/** Answers that only the end of their connection delimits, and that aren't held until they are complete. */
describe("an answer without a length", () => {
    let harness: GatewayHarness;
    let target: ScriptedTarget;
    let holding: ScriptedTarget[];
    /** Size of the answers in bytes, and how their connections end. */
    let given: { bytes: number; end: "FIN" | "RST" | undefined };

    beforeEach(async () => {
        const hold = (arrival: TargetArrival) => {
            arrival.socket.write(answerHead(arrival, `Content-Length: ${HELD_BYTES + 1}`));
            arrival.socket.write("h".repeat(HELD_BYTES));
        };
        // The connections to each of them are limited.
        holding = await Promise.all(Array.from({ length: HOLDING_TARGETS }, () => startScriptedTarget(hold)));
        target = await startScriptedTarget(arrival => {
            const { bytes, end } = given;
            arrival.socket.write(answerHead(arrival) + "u".repeat(bytes), () => {
                if (end === "FIN") {
                    arrival.socket.end();
                } else if (end === "RST") {
                    setTimeout(() => arrival.socket.resetAndDestroy(), 300);
                }
            });
        });
        harness = await GatewayHarness.start({ t1: target }, standInConfig(1, ROUTES));
        for (const [index, each] of holding.entries()) {
            const entry = standInEntry(each, { service: "other" }) as { info: object };
            harness.store.put("servers", `h${index}`, { ...entry, info: { ...entry.info, slots: HELD_ANSWERS } });
        }
        await waitFor(async () => (await harness.request("GET", "/long-held/0", { deadlineMs: 200 })).status === 504);
    });
    afterEach(async () => {
        harness.dispose();
        await target.dispose();
        await Promise.all(holding.map(each => each.dispose()));
    });

    /** Sends bytes and reads until the connection ends, with a pause after each part that is read. */
    const receive = (bytes: string, pauseMs = 0): Promise<Received> =>
        new Promise(resolve => {
            const socket = harness.connect();
            let text = "";
            let hasEnd = false;
            socket.on("data", chunk => {
                text += chunk.toString("latin1");
                if (pauseMs > 0) {
                    socket.pause();
                    setTimeout(() => socket.resume(), pauseMs);
                }
            });
            // A reset that is read with the last bytes is reported as an end, too; there is no peer then.
            socket.once("end", () => (hasEnd = socket.remoteAddress !== undefined));
            socket.once("close", () => {
                const end = text.indexOf("\r\n\r\n");
                resolve({ head: text.slice(0, end), content: text.slice(end + 4), hasEnd });
            });
            socket.write(bytes);
        });

    /** Has the gateway hold as many bytes of answers as it can. */
    const fillHeldAnswers = async (): Promise<void> => {
        let isFull = false;
        for (let index = 0; index < HELD_ANSWERS; index++) {
            const socket = harness.connect();
            // An answer beyond the limit is forwarded while it arrives.
            socket.on("data", chunk => (isFull ||= chunk.toString("latin1").startsWith("HTTP/1.1 200 ")));
            socket.write(requestTo(`long-held/${index}`));
        }
        await waitFor(() => isFull);
    };

    const looksWhole = ({ head, content, hasEnd }: Received): boolean =>
        /transfer-encoding: chunked/i.test(head) ? content.endsWith("0\r\n\r\n") : hasEnd && head !== "";

    const expectWholeWithoutLength = ({ head, content, hasEnd }: Received): void => {
        expect(head).toMatch(/^HTTP\/1\.1 200 /);
        // A length, or a last chunk, would mark an answer as complete that its target may have broken off.
        expect(head).not.toMatch(/content-length|transfer-encoding/i);
        expect(head).toMatch(/connection: close/i);
        expect(content === "u".repeat(given.bytes)).toBe(true);
        expect(hasEnd).toBe(true);
    };

    // Guards against a truncated answer that looks complete because it was forwarded in chunks.
    it("isn't given an end that its target hasn't stated, above the size up to which answers are held", async () => {
        given = { bytes: LARGE_BYTES, end: "FIN" };
        expectWholeWithoutLength(await receive(requestTo("long-read/1")));
    });

    it("isn't given an end that its target hasn't stated, while other answers take all memory for held ones", async () => {
        given = { bytes: SMALL_BYTES, end: "FIN" };
        await fillHeldAnswers();
        expectWholeWithoutLength(await receive(requestTo("long-read/1")));
    });

    it.each([
        ["at once", 0],
        ["slowly", 20],
    ])("doesn't look whole if its target resets the connection, for a caller that reads %s", async (_, pauseMs) => {
        given = { bytes: LARGE_BYTES, end: "RST" };
        expect(looksWhole(await receive(requestTo("long-read/1"), pauseMs))).toBe(false);
    });

    it.each([
        ["fails", (gateway: GatewayHarness["gateway"]) => gateway.fail()],
        ["ends", (gateway: GatewayHarness["gateway"]) => Promise.resolve(gateway.dispose())],
    ])("doesn't look whole if the instance %s in its midst", async (_, end) => {
        given = { bytes: LARGE_BYTES, end: undefined };
        const received = receive(requestTo("long-read/1"));
        await waitFor(() => target.arrivals.length > 0);
        await pause(300);
        await end(harness.gateway);
        expect(looksWhole(await received)).toBe(false);
    });

    it("isn't given one either if a further request of its connection waits", async () => {
        given = { bytes: LARGE_BYTES, end: "FIN" };
        const { head } = await receive(requestTo("long-read/1") + requestTo("long-read/2"));
        expect(head).not.toMatch(/content-length: 3000000|transfer-encoding/i);
    });
});
