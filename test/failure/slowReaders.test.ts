import { request as send } from "node:http";
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { GatewayBundle } from "../support/gatewayBundle.js";
import { standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Memory of the smallest instance, in megabytes. */
const INSTANCE_MB = 210;
/** Callers, or uploads, at once. */
const STREAMS = 300;
/** Requests that a caller sends before it reads the first answer. */
const PIPELINED = 12;
/** Sizes in bytes. */
const ANSWER_BYTES = 900_000;
const LONG_ANSWER_BYTES = 4_000_000;
const UPLOAD_BYTES = 1_000_000;
/** Made once, so that the process of the test stays fast enough to serve the other callers. */
const ANSWER = Buffer.alloc(ANSWER_BYTES, "s");
const LONG_ANSWER = Buffer.alloc(LONG_ANSWER_BYTES, "s");
const UPLOAD = Buffer.alloc(UPLOAD_BYTES, "u");
/** Interval of requests of other callers, in milliseconds, and the time for which the streams are kept. */
const SOUND_INTERVAL_MS = 40;
const KEPT_MS = 3_000;

const config = (): unknown => {
    const given = standInConfig(1, [
        ["slow", "shop.example", "/slow/", "idempotent", 3_000, 400, 2, "slow", 3, null],
        ["upload", "shop.example", "/upload/", "non_idempotent", 3_000, 400, 2, "deaf", 3, null],
        ["replace", "shop.example", "/replace/", "idempotent", 3_000, 400, 2, "deaf", 3, null],
    ]) as { services: { rows: unknown[][] }; limits: { max_body_bytes: number } };
    given.services.rows.push(["slow", "/healthz", 130, null], ["deaf", "/healthz", 130, null]);
    given.limits.max_body_bytes = 2_000_000;
    return given;
};

/** The entry with so many slots that admission doesn't bound the streams. */
const withSlots = (entry: unknown): unknown => {
    const { info, ...rest } = entry as { info: object };
    return { ...rest, info: { ...info, slots: STREAMS } };
};

/** What an instance buffers for those that read or write slowly, against the bundle with the options of the deploy file. */
describe("the memory of the gateway as it is deployed", () => {
    let sound: ScriptedTarget;
    let slow: ScriptedTarget[];
    let deaf: Server;
    let gateway: GatewayBundle;
    const sockets = new Set<Socket>();
    let ids = 0;

    beforeEach(async () => {
        sound = await startScriptedTarget(arrival => arrival.answer());
        const answer = (arrival: TargetArrival) => {
            const body = arrival.url.includes("long") ? LONG_ANSWER : ANSWER;
            const id = arrival.headers.get("x-request-id");
            const fields = `X-Request-Id: ${id}\r\nX-Upstream-Signature: signature\r\nContent-Length: ${body.length}`;
            arrival.socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\n`);
            arrival.socket.write(body);
        };
        slow = await Promise.all(Array.from({ length: 4 }, () => startScriptedTarget(answer)));
        deaf = createServer({ pauseOnConnect: true }, socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
        });
        await new Promise<void>(resolve => deaf.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(deaf.address() as AddressInfo).port}`;
        gateway = await GatewayBundle.start(config(), {
            t1: standInEntry(sound),
            ...Object.fromEntries(
                slow.map((target, index) => [`s${index}`, standInEntry(target, { service: "slow" })]),
            ),
            d1: withSlots(standInEntry({ ...sound, address }, { service: "deaf" })),
        });
        await waitFor(async () => (await ask("/read/1")) === 200);
        await waitFor(async () => (await ask("/slow/1")) === 200);
    });
    afterEach(async () => {
        gateway.dispose();
        sockets.forEach(socket => socket.destroy());
        sockets.clear();
        await Promise.all([sound.dispose(), ...slow.map(target => target.dispose())]);
        await new Promise(resolve => deaf.close(resolve));
    });

    /** Sends one request and returns the status of its answer, 0 without one. */
    const ask = (path: string): Promise<number> =>
        new Promise(resolve => {
            const headers = { host: "shop.example", "x-request-id": `ask-${ids++}`, "x-deadline-ms": "2000" };
            const sent = send({ host: "127.0.0.1", port: gateway.port, path, headers, agent: false }, response => {
                response.resume();
                response.on("error", () => resolve(0));
                response.on("end", () => resolve(response.statusCode ?? 0));
            });
            sent.on("error", () => resolve(0));
            sent.end();
        });

    /** Opens a connection of a caller that reads nothing, and writes to it. */
    const open = (bytes: string, body?: Buffer): Socket => {
        const socket = connect(gateway.port, "127.0.0.1");
        socket.on("error", () => undefined).pause();
        sockets.add(socket);
        socket.write(bytes);
        if (body !== undefined) {
            socket.write(body);
        }
        return socket;
    };

    const headOf = (method: string, path: string, ...fields: string[]): string =>
        [
            `${method} ${path} HTTP/1.1`,
            "Host: shop.example",
            `X-Request-Id: id-${ids++}`,
            "X-Deadline-Ms: 5000",
            ...fields,
            "",
            "",
        ].join("\r\n");

    /** Starts streams over a second, and returns the statuses of other callers meanwhile. */
    const beside = async (start: () => void): Promise<number[]> => {
        const asked: Promise<number>[] = [];
        const starting = (async () => {
            for (let count = 0; count < STREAMS; count++) {
                start();
                await pause(3);
            }
        })();
        const until = performance.now() + KEPT_MS;
        while (performance.now() < until) {
            asked.push(ask("/read/1"));
            await pause(SOUND_INTERVAL_MS);
        }
        await starting;
        return Promise.all(asked);
    };

    const CASES: [string, () => void][] = [
        ["callers that read nothing of an answer", () => open(headOf("GET", "/slow/1"))],
        ["callers that read nothing of a long answer", () => open(headOf("GET", "/slow/long"))],
        [
            "callers that read nothing of pipelined answers",
            () => open(Array.from({ length: PIPELINED }, () => headOf("GET", "/slow/1")).join("")),
        ],
        [
            "uploads to a target that reads nothing",
            () => open(headOf("POST", "/upload/1", `Content-Length: ${UPLOAD_BYTES}`), UPLOAD),
        ],
        [
            "uploads to a target that reads nothing, of callers that leave",
            () => {
                const socket = open(headOf("POST", "/upload/1", `Content-Length: ${UPLOAD_BYTES}`), UPLOAD);
                setTimeout(() => socket.destroy(), 300);
            },
        ],
        [
            "uploads that don't end",
            () => open(headOf("PUT", "/replace/1", `Content-Length: ${UPLOAD_BYTES + 1}`), UPLOAD),
        ],
    ];

    const ALL: [string, () => void] = ["all of these", () => CASES.forEach(([, start]) => start())];

    it.each([...CASES, ALL])("is bounded beside %s, and other callers are served", async (_, start) => {
        const statuses = await beside(start);
        const peak = gateway.peakMb();
        expect(gateway.ended).toBeUndefined();
        expect(peak).toBeLessThan(INSTANCE_MB);
        expect(statuses.filter(status => status !== 200)).toEqual([]);
    });
});
