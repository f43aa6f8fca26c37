// A process that hosts stand-ins of upstreams. Commands come from its parent, which writes their entries to the store.
import { Ledger, Upstream } from "./upstream.mjs";

const ledger = new Ledger();
const upstreams = new Map();
const store = { put: (table, key, value) => process.send({ type: "put", table, key, value }) };
let lagMs = 0;
let lookedAt = performance.now();
setInterval(() => {
    lagMs = Math.max(lagMs, performance.now() - lookedAt - 50);
    lookedAt = performance.now();
}, 50);

const handlers = {
    start: async ({ options }) => {
        const upstream = new Upstream({ store, ledger, ...options });
        upstreams.set(options.id, upstream);
        await upstream.start();
    },
    drain: ({ id }) => {
        const upstream = upstreams.get(id);
        upstream.state = "draining";
        upstream.beat();
    },
    crash: ({ id }) => upstreams.get(id).crash(),
    runs: ({ from, until }) => {
        const sinceMs = performance.timeOrigin + ledger.startedAt;
        const runs = ledger.runs
            .map(run => ({
                ...run,
                at: run.at + sinceMs,
                ended: run.ended === undefined ? undefined : run.ended + sinceMs,
            }))
            .filter(({ at }) => at >= from && at < until);
        return { runs, lagMs: Math.round(lagMs) };
    },
};
process.on("message", async ({ type, question, ...content }) => {
    process.send({ type: "done", question, result: await handlers[type](content) });
});
process.on("disconnect", () => process.exit(0));
