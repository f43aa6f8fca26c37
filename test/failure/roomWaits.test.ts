import { GatewayHarness, standInConfig, standInEntry, type CallerAnswer } from "../support/gatewayHarness.js";
import { MemoryRowStore } from "../support/memoryRowStore.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Requests that an instance gives a target of one slot before it takes it as full. */
const FULL = 2;
const TARGET_LATENCY_MS = 4_000;
const BACKENDS = ["stock", "other"].map(service => ({ service, weight: 1 }));
const ROUTES = [
    ["busy", "shop.example", "/busy/", "non_idempotent", 9_000, TARGET_LATENCY_MS, 1, "stock", 3, null],
    ["split", "shop.example", "/split/", "non_idempotent", 1_500, 400, 1, "stock", 3, BACKENDS],
];

describe("a request that waits for room at a full target", () => {
    let harness: GatewayHarness;
    let targets: ScriptedTarget[];
    let held: TargetArrival[];
    let filling: Promise<CallerAnswer>[];

    const ask = (id: string, deadlineMs = 9_000) => harness.request("POST", `/busy/${id}`, { id, deadlineMs });
    const oneSlotEntry = (state: string) => {
        const entry = standInEntry(targets[0], { state }) as { info: object };
        return { ...entry, info: { ...entry.info, slots: 1 } };
    };
    const arrivedAt = (target: ScriptedTarget) => target.arrivals.map(({ url }) => url);
    const metrics = async () => (await fetch(`http://127.0.0.1:${harness.metricsPort}/metrics`)).text();
    const waiting = (count: number) =>
        waitFor(async () =>
            (await metrics()).includes(`sassafrasloom_room_waiting_requests{service="stock"} ${count}\n`),
        );
    const waits = (result: string) =>
        `sassafrasloom_room_waits_total{service="stock",result="${result}",priority="1"} 1\n`;

    beforeEach(async () => {
        held = [];
        const hold = (arrival: TargetArrival) => void held.push(arrival);
        targets = await Promise.all([startScriptedTarget(hold), startScriptedTarget(arrival => arrival.answer())]);
        const store = new MemoryRowStore();
        store.put("op", "config", standInConfig(1, ROUTES));
        store.put("servers", "t1", oneSlotEntry("ready"));
        harness = await GatewayHarness.join(store, "a1");
        filling = Array.from({ length: FULL }, (_, index) => ask(`fill-${index}`));
        await waitFor(() => held.length === FULL);
    });
    afterEach(async () => {
        harness.dispose();
        await Promise.all(targets.map(target => target.dispose()));
        await Promise.all(filling);
    });

    it("guards against its refusal although a request to the target ends soon", async () => {
        const answer = ask("next");
        await waiting(1);
        expect(arrivedAt(targets[0])).not.toContain("/busy/next");
        held[0].answer();
        await waitFor(() => arrivedAt(targets[0]).includes("/busy/next"));
        held.at(-1)?.answer();
        expect((await answer).status).toBe(200);
        expect(await metrics()).toContain(waits("sent"));
    });

    it("guards against a request of a caller that left, and one behind it that isn't sent then", async () => {
        const caller = harness.connect();
        caller.write(
            "POST /busy/gone HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: gone\r\nX-Deadline-Ms: 8000\r\n" +
                "Content-Length: 0\r\n\r\n",
        );
        await waiting(1);
        const answer = ask("behind");
        await waiting(2);
        caller.destroy();
        await waiting(1);
        const text = await metrics();
        expect(text).toContain('sassafrasloom_callers_gone_total{service="stock",state="room-wait"} 1\n');
        expect(text).toContain(waits("caller-gone"));
        held[0].answer();
        await waitFor(() => arrivedAt(targets[0]).includes("/busy/behind"));
        held.at(-1)?.answer();
        expect((await answer).status).toBe(200);
        expect(arrivedAt(targets[0])).not.toContain("/busy/gone");
    });

    it("guards against a wait for a target that leaves, and for the only one when another has come", async () => {
        const answer = ask("moved");
        await waiting(1);
        harness.store.put("servers", "t1", oneSlotEntry("draining"));
        harness.putTarget("t2", targets[1], "stock");
        expect((await answer).status).toBe(200);
        expect([arrivedAt(targets[0]).includes("/busy/moved"), arrivedAt(targets[1])]).toEqual([
            false,
            ["/busy/moved"],
        ]);
    });

    it("guards against a backend of a weighted route that gets the requests for which another has no room", async () => {
        harness.putTarget("t2", targets[1], "other");
        const split = async () => (await harness.request("POST", "/split/1", { deadlineMs: 1_400 })).status;
        await waitFor(async () => (await split()) === 200);
        const served = targets[1].arrivals.length;
        const statuses = await Promise.all(Array.from({ length: 6 }, split));
        expect(statuses.sort()).toEqual([200, 200, 200, 503, 503, 503]);
        expect(targets[1].arrivals).toHaveLength(served + 3);
        expect(targets[0].arrivals).toHaveLength(FULL);
    });

    it("guards against waits without an end for a target that hangs", async () => {
        const began = performance.now();
        const answers = await Promise.all([ask("hung-1", 2_000), ask("hung-2", 2_000)]);
        expect(answers.map(({ status }) => status)).toEqual([503, 503]);
        expect(performance.now() - began).toBeLessThan(2_000);
        expect(arrivedAt(targets[0])).toHaveLength(FULL);
        await waiting(0);
    });

    it("guards against a request that is sent or reported as lost when its instance stops", async () => {
        const answer = ask("stopped", 20_000);
        await waiting(1);
        const stopped = harness.gateway.shutDown();
        const { status, body, head } = await answer;
        expect(status).toBe(503);
        expect(body).toContain("not-run");
        expect(/retry-after/i.test(head)).toBe(true);
        await pause(50);
        expect(arrivedAt(targets[0])).not.toContain("/busy/stopped");
        await stopped;
    }, 15_000);
});
