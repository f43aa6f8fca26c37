import { afterAll, beforeAll, beforeEach, expect, test } from "@jest/globals";
import { taggedBody } from "../support/answerBody.js";
import { doubleCommits, executionsOf } from "../support/executionChecker.js";
import { dispatcherOf, FAILURE_BUNDLE, keysOf, startsOf, outcomesOf } from "../support/failureSupport.js";
import { RequestClient, type TestReply } from "../support/requestClient.js";
import { RouterCluster, type RouterInstance } from "../support/routerCluster.js";
import { waitFor } from "../support/waitFor.js";
import type { ClusterTarget } from "../support/testCluster.js";

const BYTES = 200_000;

let router: RouterCluster;
const client = new RequestClient();
let target: ClusterTarget;
let keys: string[];
/** The dispatcher of the target and another instance. */
let dispatcher: RouterInstance;
let other: RouterInstance;

const lookUp = (instance: RouterInstance, path: string, key: string): Promise<TestReply> =>
    client.send({ address: instance.callers, path, key, deadlineMs: 10_000 });

/** Opens connections on the complete path and fills the retry budget. */
const warmUp = async (instance: RouterInstance, name: string): Promise<void> => {
    for (let round = 0; round < 40; round++) {
        const replies = await Promise.all(keys.map(key => lookUp(instance, `/stock/${name}-${round}`, key)));
        expect(replies.map(({ outcome }) => outcome)).toEqual(keys.map(() => "answered"));
    }
};

const hangTargets = (): void => router.cluster.targets.forEach(({ proxy }) => proxy?.hangConnections());

/** Current owner of the first key; on a busy machine, a hanging connection may have been treated as a lost target. */
const ownerNow = async (): Promise<ClusterTarget> => {
    for (const candidate of router.cluster.targets) {
        if ((await keysOf(router, candidate.name, 50).catch((): string[] => [])).includes(keys[0])) {
            return candidate;
        }
    }
    throw new Error("No target owns the first key.");
};

const printSlowest = (what: string, replies: readonly TestReply[]): void => {
    const slowest = Math.max(...replies.map(({ elapsedMs }) => elapsedMs));
    process.stdout.write(`${what}: the slowest answer took ${Math.round(slowest)} ms\n`);
};

const expectAtMostOnce = (): void => {
    expect(doubleCommits(executionsOf(router.cluster.events()), ({ method }) => method === "POST")).toEqual([]);
};

/** Sends orders, hangs the connections once all of them run, and resends each with its identifier. */
const orderDuringHang = async (hang: () => void, name: string): Promise<void> => {
    const path = `/stock?serviceMs=300&${name}`;
    const running = keys
        .slice(0, 4)
        .map(key =>
            client.send({ address: other.callers, method: "POST", path, key, identifier: "new", deadlineMs: 2_000 }),
        );
    await waitFor(() => startsOf(router).filter(start => start.path === path).length === 4);
    hang();
    const first = await Promise.all(running);
    first.forEach(({ outcome }) => expect(["answered", "unknown"]).toContain(outcome));
    const again = await Promise.all(
        first.map(({ identifier }, index) =>
            client.send({ address: dispatcher.callers, method: "POST", path, key: keys[index], identifier }),
        ),
    );
    again.forEach(({ outcome }) => expect(["answered", "unknown"]).toContain(outcome));
    expect(startsOf(router).filter(start => start.path === path).length).toBe(4);
    expectAtMostOnce();
};

beforeAll(async () => {
    router = await RouterCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: 2, options: { serviceMs: 3 } }],
        bundle: FAILURE_BUNDLE,
        instancesPerDomain: 2,
        proxied: true,
    });
    await router.waitUntilOwned();
    target = router.cluster.targets[0];
    keys = await keysOf(router, target.name, 5);
    await waitFor(async () => (await lookUp(router.instances[0], "/stock/x", keys[0])).status === 200);
}, 60_000);

// Targets may have been handed over to their preferred dispatchers since the last test.
beforeEach(async () => {
    dispatcher = await dispatcherOf(router, (await ownerNow()).name);
    other = router.instances.filter(instance => instance !== dispatcher)[0];
});

afterAll(async () => {
    await client.dispose();
    await router.dispose();
});

test("hanging connections to a target cause no errors for callers of idempotent requests", async () => {
    await warmUp(dispatcher, "warm");
    hangTargets();
    const replies = await Promise.all(keys.map(key => lookUp(dispatcher, "/stock/after-silence", key)));
    printSlowest("target connections", replies);
    expect(outcomesOf(replies)).toEqual(keys.map(() => "answered"));
    const next = await Promise.all(keys.map(key => lookUp(dispatcher, "/stock/replaced", key)));
    expect(outcomesOf(next)).toEqual(keys.map(() => "answered"));
});

test("an order on a target connection that hangs ends as unknown or answered and runs once", async () => {
    await orderDuringHang(() => hangTargets(), "target");
});

test("hanging connections between instances cause no errors for callers of idempotent requests", async () => {
    await warmUp(other, "peers");
    router.instances.forEach(({ peerProxy }) => peerProxy.hangConnections());
    const replies = await Promise.all(keys.map(key => lookUp(other, "/stock/after-peer-silence", key)));
    printSlowest("peer connections", replies);
    expect(outcomesOf(replies)).toEqual(keys.map(() => "answered"));
    const next = await Promise.all(keys.map(key => lookUp(other, "/stock/peers-replaced", key)));
    expect(outcomesOf(next)).toEqual(keys.map(() => "answered"));
});

test("an order on a peer connection that hangs ends as unknown or answered and runs once", async () => {
    await orderDuringHang(() => router.instances.forEach(({ peerProxy }) => peerProxy.hangConnections()), "peer");
});

test.each([
    ["a stated length", "", 0],
    ["a stated length, through another instance", "", 1],
    ["chunks", "&chunked=1", 0],
    ["chunks, through another instance", "&chunked=1", 1],
])("a truncated answer with %s is not forwarded as complete", async (_, query, hops) => {
    const instance = hops === 0 ? dispatcher : other;
    const path = `/stock/exports/cut-${hops}?bytes=${BYTES}${query}`;
    (await ownerNow()).proxy?.cutAfter("toClient", BYTES / 2);
    const reply = await lookUp(instance, path, keys[0]);
    expect(reply.whole).toBe(false);
    expect(reply.body.length).toBeLessThan(BYTES);
    const whole = await lookUp(instance, path, keys[0]);
    expect(whole.whole).toBe(true);
    expect(whole.body.equals(taggedBody(path, BYTES))).toBe(true);
});

test("a request whose answer is truncated within its head is retried", async () => {
    (await ownerNow()).proxy?.cutAfter("toClient", 20);
    const path = `/stock/exports/cut-head?bytes=${BYTES}`;
    const reply = await lookUp(other, path, keys[0]);
    expect(reply).toMatchObject({ outcome: "answered", whole: true });
    expect(reply.body.equals(taggedBody(path, BYTES))).toBe(true);
});
