import { afterAll, beforeAll, expect, test } from "@jest/globals";
import { request as sendRequest } from "undici";
import { doubleCommits, executionsOf } from "../support/executionChecker.js";
import { dispatcherOf, FAILURE_BUNDLE, HeldAnswer, keysOf, startsOf, targetsOf } from "../support/failureSupport.js";
import { RequestClient, type TestReply } from "../support/requestClient.js";
import { RouterCluster, type RouterInstance } from "../support/routerCluster.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Sizes from one that fits into the buffers between the processes to one that doesn't. */
const HELD_SIZES = [600_000, 2_000_000, 3_000_000, 33_554_432];

let router: RouterCluster;
const client = new RequestClient();
let stopped = false;

beforeAll(async () => {
    router = await RouterCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: 4, options: { serviceMs: 3, slots: 20 } }],
        bundle: FAILURE_BUNDLE.replace("slots = 6", "slots = 20"),
        instancesPerDomain: 3,
    });
    await router.waitUntilOwned();
    await waitFor(async () => {
        const sent = router.instances.flatMap(({ callers: address }) =>
            ["k1", "k2", "k3", "k4"].map(key => client.send({ address, path: "/stock/served", key })),
        );
        return (await Promise.all(sent)).every(({ outcome }) => outcome === "answered");
    });
}, 60_000);

afterAll(async () => {
    stopped = true;
    await client.dispose();
    await router.dispose();
});

const healthOf = async ({ callers }: RouterInstance): Promise<number> => {
    const reply = await sendRequest(`http://${callers}/healthz`);
    await reply.body.dump();
    return reply.statusCode;
};

const order = (address: string, key: string, identifier: string | undefined, path = "/stock"): Promise<TestReply> =>
    client.send({ address, method: "POST", path, key, identifier, body: `order ${key}`, deadlineMs: 15_000 });

test("SIGTERM under load interrupts no request of an instance, including long ones", async () => {
    const leaving = await dispatcherOf(router, router.cluster.targets[0].name);
    const others = router.instances.filter(instance => instance !== leaving);
    const ownTargets = await targetsOf(router, leaving);
    const foreignTarget = router.cluster.targets.find(({ name }) => !ownTargets.includes(name))?.name;
    const ownKeys = await keysOf(router, ownTargets[0], 8);
    const foreignKeys = foreignTarget === undefined ? [] : await keysOf(router, foreignTarget, 8);
    // The leaving instance as receiver, as dispatcher, and as both.
    const routes = [
        ...foreignKeys.slice(0, 4).map(key => ({ address: leaving.callers, key })),
        ...ownKeys.slice(0, 4).map(key => ({ address: others[0].callers, key })),
        ...ownKeys.slice(4, 8).map(key => ({ address: leaving.callers, key })),
    ];
    const held = await Promise.all(
        routes.map(({ address, key }, index) => {
            const bytes = HELD_SIZES[index % HELD_SIZES.length];
            return HeldAnswer.open({ address, key, bytes, path: `/stock/exports/held-${index}?bytes=${bytes}` });
        }),
    );
    const ordersBefore = await Promise.all(ownKeys.map(key => order(leaving.callers, key, "new")));
    expect(ordersBefore.map(({ outcome }) => outcome)).toEqual(ownKeys.map(() => "answered"));

    let balanced = true;
    const replies: TestReply[] = [];
    const orders: { key: string; reply: TestReply }[] = [];
    const load = Array.from({ length: 12 }, async (_, index) => {
        for (let round = 0; !stopped; round++) {
            const key = [...ownKeys, ...foreignKeys][(index + round) % (ownKeys.length + foreignKeys.length)];
            const instances = balanced ? [leaving, ...others] : others;
            const { callers: address } = instances[round % instances.length];
            await pause(5);
            if (round % 3 === 0) {
                const reply = await order(address, key, "new", `/stock?load=${index}-${round}`);
                orders.push({ key, reply });
                replies.push(reply);
            } else {
                replies.push(await client.send({ address, path: `/stock/load-${round}`, key, deadlineMs: 10_000 }));
            }
        }
    });
    await waitFor(() => replies.length > 200);
    const slowPath = "/stock?serviceMs=2500&in-flight";
    const slowOrders = ownKeys.slice(0, 2).map(key => order(others[0].callers, key, "new", slowPath));
    await waitFor(() => startsOf(router).filter(({ path }) => path === slowPath).length === 2);

    leaving.daemon.program.signal("SIGTERM");
    await waitFor(async () => (await healthOf(leaving)) === 503);
    expect(leaving.daemon.program.running).toBe(true);
    // Answers now ask callers to close the connection, so that none sends on one that is about to be closed.
    const reply = await client.send({ address: leaving.callers, path: "/stock/told", key: ownKeys[0] });
    expect(reply.headers.connection).toBe("close");
    balanced = false;

    await waitFor(async () => (await targetsOf(router, leaving)).length === 0);
    const rows = (await router.rows()).targets("stock").map(({ value }) => value.dispatcher);
    expect(rows.every(dispatcher => others.some(({ name }) => dispatcher.startsWith(`${name}.`)))).toBe(true);
    await pause(2_500);
    expect(leaving.daemon.program.running).toBe(true);
    const results = await Promise.all(held.map(answer => answer.finish()));
    expect(results.filter(({ whole, isOwn }) => !whole || !isOwn)).toEqual([]);
    const slow = await Promise.all(slowOrders);
    expect(
        slow.filter(({ outcome, whole }) => outcome !== "answered" || !whole).map(({ body }) => body.toString()),
    ).toEqual([]);
    expect(await leaving.daemon.program.ended).toEqual({ code: 0, signal: null });
    stopped = true;
    await Promise.all(load);
    const failed = replies
        .filter(({ outcome, whole }) => outcome !== "answered" || !whole)
        .filter(({ error }) => !(error ?? "").includes("ECONNREFUSED"));
    expect(failed.map(({ outcome, problem, error }) => ({ outcome, problem, error }))).toEqual([]);

    // Each order that is resent through another instance gets the answer of its only execution.
    const settled = [...ownKeys.map((key, index) => ({ key, reply: ordersBefore[index], path: "/stock" }))];
    for (const { key, reply, path } of settled) {
        const again = await order(others[1].callers, key, reply.identifier, path);
        expect(again.outcome).toBe("answered");
        expect(again.body.equals(reply.body)).toBe(true);
    }
    for (const [index, reply] of slow.entries()) {
        const again = await order(others[1].callers, ownKeys[index], reply.identifier, slowPath);
        // The execution ended at its old dispatcher after the handover, so the new one may know only that it ran.
        expect(["answered", "unknown"]).toContain(again.outcome);
    }
    expect(orders.length).toBeGreaterThan(20);
    expect(doubleCommits(executionsOf(router.cluster.events()), ({ method }) => method === "POST")).toEqual([]);
});
