// A gateway freezes and wakes while clients have opened connections and send orders that may run once only.
import net from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configOf, Gateway, need, pause, requestId, runCase, Store, Upstream, waitFor } from "../support/kit.mjs";

const FREEZES = 14;
const FROZEN_MS = 2_500;
const CLIENTS = 8;
/** Longest time from the opening of a connection to the request (`header_timeout_ms` is 3,000). */
const LONGEST_WAIT_MS = 2_000;
/** Delay of the link to a client in both directions together (the site's page: "3 ms to clients", one way). */
const ROUND_TRIP_MS = 6;
const DEADLINE_MS = 4_000;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ recording, folder, hasTrouble, keep }) => {
    const store = keep(new Store());
    await store.start();
    store.put("op", "config", configOf(1, [["settle", "/settle/", "non_idempotent", "settle"]], [["settle", false]]));
    const upstreams = ["i-1", "i-2", "i-3"].map(id => {
        const upstream = keep(new Upstream({ id, service: "settle", store, recording }));
        upstream.answer = async (self, request, response) => {
            await pause(100 + 160 * Math.random());
            self.finish(request, response, 200, "settled");
        };
        return upstream;
    });
    await Promise.all(upstreams.map(upstream => upstream.start()));
    const gateways = ["127.0.0.1", "127.0.0.2"].map((ip, index) =>
        keep(new Gateway({ name: `edge-${index + 1}`, ip, store, folder, recording })),
    );
    await Promise.all(gateways.map(gateway => gateway.start()));
    need(await waitFor(async () => (await gateways[0].isReady()) && (await gateways[1].isReady())), "not ready");
    await pause(2_000);

    /** Status of the answer to each request, 0 without a complete one. */
    const statuses = new Map();
    let isOn = true;
    /** Opens a connection, sends one request on it a little later, and waits for the answer. */
    const order = gateway =>
        new Promise(resolve => {
            const id = requestId();
            const socket = net.connect({ port: gateway.port, host: gateway.host, allowHalfOpen: true });
            let received = "";
            let timer;
            const answered = status => {
                clearTimeout(timer);
                if (!statuses.has(id)) {
                    statuses.set(id, status);
                    recording.note(`answer to ${id}: status ${status}`);
                }
            };
            /** Ends the connection; the gateway sees that a round trip after it has sent the last that the client waits for. */
            const finish = () => {
                answered(0);
                setTimeout(() => socket.destroy(), ROUND_TRIP_MS);
                resolve();
            };
            socket.on("error", () => undefined);
            socket.on("end", finish);
            socket.on("close", finish);
            socket.on("data", chunk => {
                received += chunk.toString("latin1");
                const end = received.indexOf("\r\n\r\n");
                const length = Number(/\r\ncontent-length: (\d+)/i.exec(received)?.[1] ?? 0);
                if (end < 0 || received.length < end + 4 + length) {
                    return;
                }
                answered(Number(received.slice(9, 12)));
                if (!/\r\nconnection: close/i.test(received)) {
                    finish();
                }
                // Otherwise the gateway closes the connection, and the client after it.
            });
            socket.on("connect", () => {
                setTimeout(() => {
                    recording.note(`send ${id} to ${gateway.name}: POST /settle/${id}`);
                    timer = setTimeout(finish, DEADLINE_MS);
                    socket.write(
                        `POST /settle/${id} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\n` +
                            `X-Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: 6\r\n\r\nsettle`,
                    );
                }, LONGEST_WAIT_MS * Math.random());
            });
        });
    const clients = Array.from({ length: CLIENTS }, async (_, index) => {
        while (isOn) {
            await order(gateways[index % 2]);
            await pause(50);
        }
    });
    for (let index = 0; index < FREEZES; index++) {
        await pause(3_000);
        const gateway = gateways[index % 2];
        if (hasTrouble) {
            gateway.signal("SIGSTOP");
        }
        await pause(FROZEN_MS);
        if (hasTrouble) {
            gateway.signal("SIGCONT");
        }
    }
    await pause(3_000);
    isOn = false;
    await Promise.race([Promise.all(clients), pause(5_000)]);
    await pause(2_000);
    const ran = new Set(upstreams.flatMap(upstream => upstream.runs.map(({ id }) => id)));
    const counts = {};
    const broken = [];
    for (const [id, status] of statuses) {
        counts[status] = (counts[status] ?? 0) + 1;
        if (PROMISES.has(status) && ran.has(id)) {
            broken.push(id);
            recording.note(`${id} was answered ${status}, and has run: REFUSED`);
        }
    }
    const text = `answers by status: ${JSON.stringify(counts)}; answered as not run though they ran: ${broken.length}`;
    recording.note(text);
    console.log(text);
    need((counts[200] ?? 0) > 100, "too few requests were served");
    return broken.length === 0;
});
