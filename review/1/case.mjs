// An entry of another writer has the address of an upstream that holds keys, and a service that no config names. With
// ENTRY=no-version or ENTRY=no-seq its service is that of the upstream, and the named field is missing instead.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    configOf,
    Gateway,
    KEY_COUNT,
    need,
    now,
    pause,
    runCase,
    send,
    Store,
    Upstream,
    waitFor,
} from "../support/kit.mjs";

/** Longest time for which two upstreams may hold the same keys, in milliseconds. */
const MAX_SHARED_MS = 500;
const WATCHED_MS = 6_000;
/** What makes the entry one of another writer. */
const ODD = {
    "other-service": entry => (entry.info.service = "another"),
    "no-version": entry => delete entry.info.version,
    "no-seq": entry => delete entry.status.seq,
};

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ recording, folder, hasTrouble, keep }) => {
    const store = keep(new Store());
    await store.start();
    const routes = [["balance", "/balance/", "idempotent", "lookup"]];
    store.put("op", "config", configOf(1, routes, [["lookup", true]]));
    const upstreams = ["i-1", "i-2", "i-3"].map(id =>
        keep(new Upstream({ id, service: "lookup", store, recording, sharded: true })),
    );
    await Promise.all(upstreams.map(upstream => upstream.start()));
    const gateways = ["127.0.0.1", "127.0.0.2"].map((ip, index) =>
        keep(new Gateway({ name: `edge-${index + 1}`, ip, store, folder, recording })),
    );
    await Promise.all(gateways.map(gateway => gateway.start()));
    const held = () => upstreams.reduce((sum, upstream) => sum + upstream.held(), 0);
    need(await waitFor(async () => (await gateways[0].isReady()) && (await gateways[1].isReady())), "not ready");
    need(await waitFor(() => held() === KEY_COUNT), "not all keys have an owner");
    await pause(3_000);
    let isSending = true;
    const clients = [0, 1].map(async index => {
        while (isSending) {
            const key = Math.floor(Math.random() * KEY_COUNT);
            await send(gateways[index], { path: `/balance/${key}`, key, recording });
            await pause(20);
        }
    });
    await pause(1_500);
    const [victim] = [...upstreams].sort((a, b) => b.held() - a.held());
    if (hasTrouble) {
        const entry = { ...victim.entry(), born: Date.now() };
        ODD[process.env.ENTRY ?? "other-service"](entry);
        recording.note(`another writer puts servers/odd: ${JSON.stringify(entry)}`);
        store.put("servers", "odd", entry);
    }
    // A key is shared from the moment at which a second upstream holds it.
    const sharedSince = new Float64Array(KEY_COUNT).fill(-1);
    let longestMs = 0;
    let mostKeys = 0;
    const until = now() + WATCHED_MS;
    while (now() < until) {
        let shared = 0;
        const at = now();
        for (let key = 0; key < KEY_COUNT; key++) {
            const holders = upstreams.filter(upstream => upstream.isHolder(key)).length;
            if (holders < 2) {
                sharedSince[key] = -1;
                continue;
            }
            shared++;
            if (sharedSince[key] < 0) {
                sharedSince[key] = at;
            }
            longestMs = Math.max(longestMs, at - sharedSince[key]);
        }
        mostKeys = Math.max(mostKeys, shared);
        await pause(50);
    }
    isSending = false;
    await Promise.all(clients);
    recording.note(`keys held by two upstreams: ${mostKeys} at most, one for ${Math.round(longestMs)} ms`);
    return longestMs <= MAX_SHARED_MS;
});
