import { GatewayHarness, standInConfig, standInEntry, type CallerAnswer } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Connections that an instance may have to a target by the config of the tests. */
const CONNECTIONS = 8;
/** Target latency of the test route, an eighth of which a request may wait, in milliseconds. */
const TARGET_LATENCY_MS = 4_000;
const ROUTES = [
    ["busy", "shop.example", "/busy/", "idempotent", 5_000, TARGET_LATENCY_MS, 2, "stock", 3, null],
    ["slow", "shop.example", "/slow/", "idempotent", 10_000, 6 * TARGET_LATENCY_MS, 2, "stock", 3, null],
];
/** Time within which the gateway has read a changed entry, in milliseconds. */
const ENTRY_READ_MS = 1_200;

describe("a target to which all connections are in use", () => {
    let harness: GatewayHarness;
    let targets: ScriptedTarget[];
    let held: TargetArrival[];

    /** Starts a gateway with two targets, or only with the first one. */
    const start = async (count: number): Promise<void> => {
        held = [];
        const answer = (arrival: TargetArrival) => arrival.answer();
        targets = await Promise.all([startScriptedTarget(answer), startScriptedTarget(answer)]);
        const listed = Object.fromEntries(targets.slice(0, count).map((target, index) => [`t${index + 1}`, target]));
        harness = await GatewayHarness.start(listed, standInConfig(1, ROUTES));
    };
    afterEach(async () => {
        harness.dispose();
        await Promise.all(targets.map(target => target.dispose()));
    });

    const ask = () => harness.request("GET", "/busy/1", { deadlineMs: 5_000 });
    /** Sends requests to the first target that use all connections and aren't answered; later ones are answered at once. */
    const fill = async (): Promise<void> => {
        targets[0].arrivals.length = 0;
        targets[0].script = arrival => void held.push(arrival);
        Array.from({ length: CONNECTIONS }, ask);
        await waitFor(() => held.length === CONNECTIONS);
        targets[0].script = arrival => arrival.answer();
    };
    const metrics = async () => (await fetch(`http://127.0.0.1:${harness.metricsPort}/metrics`)).text();

    it("serves a request for which a connection becomes free 20 ms later, instead of refusing it", async () => {
        await start(1);
        await fill();
        const answer = ask();
        await pause(20);
        held[0].answer();
        expect((await answer).status).toBe(200);
        expect(targets[0].connections()).toBe(CONNECTIONS);
    });

    it("isn't sent a request whose caller has left before a connection became free", async () => {
        await start(1);
        await fill();
        const caller = harness.connect();
        caller.write("GET /busy/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: gone\r\nX-Deadline-Ms: 5000\r\n\r\n");
        await pause(50);
        caller.destroy();
        const left = 'sassafrasloom_callers_gone_total{service="stock",state="connection-wait"} 1\n';
        await waitFor(async () => (await metrics()).includes(left));
        held[0].answer();
        expect((await ask()).status).toBe(200);
        expect(targets[0].arrivals.map(({ headers }) => headers.get("x-request-id"))).not.toContain("gone");
    });

    it("isn't sent a request that was waiting when the target began to leave", async () => {
        await start(1);
        await fill();
        let isAnswered = false;
        const answer = harness.request("GET", "/slow/1", { deadlineMs: 10_000 }).finally(() => (isAnswered = true));
        await pause(50);
        harness.store.put("servers", "t1", standInEntry(targets[0], { state: "draining" }));
        await pause(ENTRY_READ_MS);
        expect(isAnswered).toBe(false);
        held[0].answer();
        const { status, head } = await answer;
        expect([status, /retry-after/i.test(head)]).toEqual([503, true]);
        expect(targets[0].arrivals).toHaveLength(CONNECTIONS);
    });

    it("gets as many requests as can wait, and the others are refused at once as not run", async () => {
        await start(1);
        await fill();
        const refused: CallerAnswer[] = [];
        const answers = Array.from({ length: 40 }, async () => {
            const answer = await ask();
            if (answer.status !== 200) {
                refused.push(answer);
            }
            return answer;
        });
        // Without answers, 150 ms are assumed for one, so that 26 requests have a connection after half a second.
        await waitFor(() => refused.length === 14);
        expect(targets[0].arrivals).toHaveLength(CONNECTIONS);
        held.forEach(arrival => arrival.answer());
        await Promise.all(answers);
        expect(refused).toHaveLength(14);
        expect(refused.filter(({ status, head }) => status !== 503 || !/retry-after/i.test(head))).toEqual([]);
    });

    it("doesn't keep a request waiting that another target serves at once", async () => {
        // A target that states a limit is chosen only where the others can't serve a request.
        await start(2);
        targets[1].script = arrival => arrival.answer({ headers: ["Server-Limit: 100"] });
        await waitFor(async () => (await ask()).status === 200 && targets[1].arrivals.length > 0);
        await fill();
        const answers = [await ask(), await ask()];
        expect(answers.map(({ status }) => status)).toEqual([200, 200]);
        expect(held).toHaveLength(CONNECTIONS);
        expect(targets[0].arrivals).toHaveLength(CONNECTIONS);
    });
});
