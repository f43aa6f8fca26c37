// Clients that pipeline idempotent requests have connections to gateways that get SIGTERM in turn.
import net from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configOf, Gateway, need, now, pause, requestId, runCase, Store, Upstream, waitFor } from "../support/kit.mjs";

const ROUNDS = 6;
const CLIENTS = 16;
/** Most requests of a client without an answer. */
const DEPTH = 3;
const DEADLINE_MS = 2_500;
const GRACE_MS = 6_000;
/** Delay of the link to a client in both directions together (`client_ms` of the site file is 1.0 one way). */
const ROUND_TRIP_MS = 2;
/** Size of an answer; the site file's largest one has 540,000 bytes. */
const ANSWER_BYTES = 300_000;
const CONTENT = "x".repeat(ANSWER_BYTES);

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ recording, folder, hasTrouble, keep }) => {
    const store = keep(new Store());
    await store.start();
    store.put("op", "config", configOf(1, [["pull", "/ledger/", "download", "ledger"]], [["ledger", false]]));
    /** Moments at which upstreams had written a whole answer, by request. */
    const answered = new Map();
    const upstreams = [1, 2, 3, 4].map(index => {
        const upstream = keep(new Upstream({ id: `i-${index}`, service: "ledger", store, recording, slots: 20 }));
        upstream.answer = async (self, request, response) => {
            await pause(60 + 100 * Math.random());
            const id = request.headers["x-request-id"];
            response.once("finish", () => answered.set(id, now()));
            self.finish(request, response, 200, CONTENT);
        };
        return upstream;
    });
    await Promise.all(upstreams.map(upstream => upstream.start()));
    const gateways = ["127.0.0.1", "127.0.0.2"].map((ip, index) =>
        keep(new Gateway({ name: `edge-${index + 1}`, ip, store, folder, recording })),
    );
    await Promise.all(gateways.map(gateway => gateway.start()));
    need(await waitFor(async () => (await gateways[0].isReady()) && (await gateways[1].isReady())), "not ready");
    await pause(1_500);

    /** The balancer: a gateway with two misses in a row gets no new connections. */
    const inRotation = new Set(gateways);
    const misses = new Map();
    let isOn = true;
    const balancer = (async () => {
        while (isOn) {
            for (const gateway of gateways) {
                const count = (await gateway.isReady()) ? 0 : (misses.get(gateway) ?? 0) + 1;
                misses.set(gateway, count);
                if (count === 0) {
                    inRotation.add(gateway);
                } else if (count >= 2) {
                    inRotation.delete(gateway);
                }
            }
            await pause(1_000);
        }
    })();

    const counts = { whole: 0, refused: 0, other: 0, lost: 0 };
    let stoppedAt = -Infinity;
    let stopping;
    /** Uses one connection until it ends. */
    const useConnection = gateway =>
        new Promise(resolve => {
            const socket = net.connect(gateway.port, gateway.host);
            const pending = [];
            let received = Buffer.alloc(0);
            let head = "";
            /** Bytes of the present answer that are still to come. */
            let left = 0;
            let mayClose = false;
            const usedUntil = now() + 5_000 + 10_000 * Math.random();
            const sendNext = () => {
                if (socket.destroyed || mayClose || !isOn || now() > usedUntil) {
                    return;
                }
                if (pending.length < DEPTH) {
                    const id = requestId();
                    pending.push({ id, at: now() });
                    recording.note(`send ${id} to ${gateway.name}`);
                    socket.write(
                        `GET /ledger/${id} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\n` +
                            `X-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
                    );
                }
                setTimeout(sendNext, 10 + 40 * Math.random());
            };
            socket.on("connect", sendNext);
            socket.on("error", () => undefined);
            const take = chunk => {
                let rest = chunk;
                while (rest.length > 0) {
                    if (left > 0) {
                        const part = Math.min(left, rest.length);
                        left -= part;
                        rest = rest.subarray(part);
                    } else {
                        received = Buffer.concat([received, rest]);
                        const end = received.indexOf("\r\n\r\n");
                        if (end < 0) {
                            return;
                        }
                        head = received.subarray(0, end).toString("latin1");
                        // A client that has read this sends nothing more on the connection.
                        mayClose ||= /\r\nconnection: close/i.test(head);
                        left = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
                        rest = received.subarray(end + 4);
                        received = Buffer.alloc(0);
                    }
                    if (left === 0) {
                        const { id } = pending.shift();
                        const status = Number(head.slice(9, 12));
                        recording.note(`answer to ${id}: status ${status}`);
                        counts[status === 200 ? "whole" : status === 503 ? "refused" : "other"]++;
                    }
                }
            };
            socket.on("data", chunk => {
                take(chunk);
                if (pending.length === 0 && (!isOn || now() > usedUntil)) {
                    socket.end();
                    return;
                }
                // The link to the client has a delay and small windows.
                socket.pause();
                setTimeout(() => socket.resume(), ROUND_TRIP_MS);
            });
            socket.on("close", () => {
                for (const [index, { id, at }] of pending.entries()) {
                    const isPlanned = gateway === stopping && at >= stoppedAt - DEADLINE_MS;
                    const inTime = now() - at < 1_900 && now() < stoppedAt + GRACE_MS + 1_000;
                    const isLost = answered.has(id) && isPlanned && inTime;
                    counts.lost += isLost ? 1 : 0;
                    const part = index === 0 && left > 0 ? ` with ${left} bytes missing` : "";
                    recording.note(
                        `no answer to ${id}: its connection to ${gateway.name} ended ${Math.round(now() - at)} ms after ` +
                            `it was sent${part}${isLost ? "; its upstream had answered it: LOST" : ""}`,
                    );
                }
                resolve();
            });
        });
    const clients = Array.from({ length: CLIENTS }, async (_, index) => {
        while (isOn) {
            const usable = [...inRotation];
            await useConnection(usable[index % usable.length] ?? gateways[0]);
            await pause(10);
        }
    });
    for (let round = 0; round < ROUNDS; round++) {
        await pause(4_000);
        const gateway = gateways[round % 2];
        if (!hasTrouble) {
            await pause(5_000);
            continue;
        }
        stoppedAt = now();
        stopping = gateway;
        gateway.signal("SIGTERM");
        need(await waitFor(() => gateway.ended !== undefined, GRACE_MS + 1_000), "the process didn't end in its grace");
        await pause(500);
        await gateway.start();
        need(await waitFor(() => gateway.isReady()), "not ready again");
    }
    isOn = false;
    await Promise.race([Promise.all([...clients, balancer]), pause(5_000)]);
    recording.note(`answers: ${JSON.stringify(counts)}`);
    console.log(JSON.stringify(counts));
    need(counts.whole > 1_000, "too few requests were served");
    return counts.lost === 0;
});
