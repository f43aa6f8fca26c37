// An upstream answers one request with bytes that are no answer: a status line with the status 099.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configOf, Gateway, need, now, pause, runCase, send, Store, Upstream, waitFor } from "../support/kit.mjs";

/** `timeout_ms` of the route, as the site's `refund-credit` has it. */
const TIMEOUT_MS = 1_200;
/** Time after it at which a request must have its final answer. */
const LATE_MS = 500;
/** Requests and part of them that break the rule. */
const LEAST = 8;
const SHARE = 0.25;
const DEADLINE_MS = 2_500;
const PER_S = 25;
const LASTS_MS = 12_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ recording, folder, hasTrouble, keep }) => {
    const store = keep(new Store());
    await store.start();
    const routes = [["balance", "/balance/", "idempotent", "lookup"]];
    store.put("op", "config", configOf(1, routes, [["lookup", false]], TIMEOUT_MS));
    let oddAnswers = 0;
    const upstreams = ["i-1", "i-2", "i-3"].map(id => {
        const upstream = keep(new Upstream({ id, service: "lookup", store, recording }));
        upstream.answer = async (self, request, response) => {
            await pause(20 + 60 * Math.random());
            if (oddAnswers > 0) {
                oddAnswers--;
                const requestId = request.headers["x-request-id"];
                recording.note(`${self.id} answers ${requestId} with the status 099`);
                response.socket.write(`HTTP/1.1 099 Odd\r\nX-Request-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`);
                return;
            }
            self.finish(request, response, 200, "whole");
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
    const answers = [];
    const requests = [];
    const until = now() + LASTS_MS;
    const oddAt = now() + 3_000;
    let isDue = hasTrouble;
    while (now() < until) {
        if (isDue && now() >= oddAt) {
            isDue = false;
            oddAnswers = 1;
        }
        for (const gateway of gateways) {
            const at = now();
            const request = send(gateway, { path: `/balance/${answers.length}`, deadlineMs: DEADLINE_MS, recording });
            requests.push(request.then(answer => answers.push({ ...answer, gateway, ms: now() - at })));
        }
        await pause(1_000 / PER_S);
    }
    await Promise.all(requests);
    // A request without any answer counts as one that has none in time.
    const long = answers.filter(({ ms }) => ms > TIMEOUT_MS);
    const late = long.filter(({ ms, status }) => status === 0 || ms > TIMEOUT_MS + LATE_MS);
    const served = answers.filter(({ status }) => status === 200).length;
    const byGateway = gateways.map(gateway => late.filter(answer => answer.gateway === gateway).length);
    const text =
        `${answers.length} requests, ${served} served; ${long.length} lasted over ${TIMEOUT_MS} ms, ${late.length} of these ` +
        `without a final answer ${LATE_MS} ms later (${byGateway.join(" and ")} at the two machines)`;
    recording.note(text);
    console.log(text);
    need(served > 100, "too few requests were served");
    return !(late.length >= LEAST && late.length > SHARE * long.length);
});
