import { afterAll, beforeAll, expect, test } from "@jest/globals";
import { fingerprintOf } from "../../src/request/normalizeRequest.js";
import { FAILURE_BUNDLE, keysOf, startsOf, outcomesOf } from "../support/failureSupport.js";
import { RequestClient, type TestReply, type TestRequest } from "../support/requestClient.js";
import { RouterCluster } from "../support/routerCluster.js";
import { pause, waitFor } from "../support/waitFor.js";
import type { ClusterTarget } from "../support/testCluster.js";

/** Time within which a request must be quarantined. It is below the test's timeout, so that a failure shows the replies. */
const QUARANTINE_LIMIT_MS = 30_000;

let router: RouterCluster;
const client = new RequestClient();
let disposed = false;
let restarts = 0;
/** Restarts in progress; one that finishes after the disposal would leave a process behind. */
const restarting = new Set<Promise<void>>();

/** Restarts a target whenever its process has ended, as the platform does. */
const supervise = (target: ClusterTarget): void => {
    void target.program.ended.then(async () => {
        if (!disposed) {
            const restart = router.cluster.restartTarget(target);
            restarting.add(restart);
            await restart;
            restarting.delete(restart);
            restarts++;
            supervise(target);
        }
    });
};

beforeAll(async () => {
    router = await RouterCluster.start({
        domains: ["d1"],
        services: [
            {
                name: "stock",
                targetsPerDomain: 3,
                options: { crash: [{ path: "/stock/poison" }, { body: "poison" }], serviceMs: 3 },
            },
        ],
        bundle: FAILURE_BUNDLE,
        instancesPerDomain: 2,
        proxied: true,
    });
    await router.waitUntilOwned();
    router.cluster.targets.forEach(supervise);
    await allServed();
}, 60_000);

afterAll(async () => {
    disposed = true;
    await Promise.allSettled(restarting);
    await client.dispose();
    await router.dispose();
});

const lookUp = (path: string, key: string, instance = 0): Promise<TestReply> =>
    client.send({ address: router.instances[instance].callers, path, key, deadlineMs: 15_000 });

/** Sends lookups, since the retry budget of a service is a share of its recent requests. */
const fillRetryBudget = async (): Promise<void> => {
    for (let round = 0; round < 10; round++) {
        await Promise.all(
            Array.from({ length: 30 }, (_, index) => lookUp("/stock/steady", `steady-${index}`, index % 2)),
        );
    }
};

/** Waits until each target owns slices and lookups through each instance are answered. */
const allServed = async (): Promise<void> => {
    await waitFor(async () => {
        const rows = (await router.rows()).targets("stock").map(({ value }) => value);
        const replies = await Promise.all(
            [0, 1].flatMap(instance => ["k1", "k2", "k3"].map(key => lookUp("/stock/served", key, instance))),
        );
        return rows.some(({ slices }) => slices.length > 0) && replies.every(({ outcome }) => outcome === "answered");
    });
};

/** The target that owns the largest share of the ring; others may own no keys after they have rejoined. */
const busiestTarget = async (): Promise<ClusterTarget> => {
    const rows = (await router.rows()).targets("stock").map(({ value }) => value);
    const sizeOf = (name: string) =>
        (rows.find(({ target }) => target === name)?.slices ?? []).reduce((sum, [start, end]) => sum + end - start, 0);
    return [...router.cluster.targets].sort((a, b) => sizeOf(b.name) - sizeOf(a.name))[0];
};

/** Fingerprints that any instance has logged as quarantined. */
const quarantined = (): Set<string> =>
    new Set(
        [...router.logs().matchAll(/quarantined after a second crash.*?([0-9a-f]{64})/g)].map(([, found]) => found),
    );

const startsUnder = (prefix: string): number => startsOf(router).filter(({ path }) => path.startsWith(prefix)).length;

/** Sends a request until it is refused as quarantined; fails after more sends or more time than can be needed. */
const sendUntilQuarantined = async (request: Omit<TestRequest, "address">): Promise<TestReply[]> => {
    const replies: TestReply[] = [];
    const giveUpAt = performance.now() + QUARANTINE_LIMIT_MS;
    while (replies.at(-1)?.problem !== "quarantined") {
        if (replies.length >= 40 || performance.now() > giveUpAt) {
            throw new Error(`Not quarantined after ${replies.length} sends: ${outcomesOf(replies).join("; ")}`);
        }
        const { callers } = router.instances[replies.length % 2];
        replies.push(await client.send({ ...request, address: callers, deadlineMs: 4_000 }));
        await pause(200);
    }
    return replies;
};

test("a lookup that crashes targets is refused after the second crash; concurrent requests are answered", async () => {
    await allServed();
    await fillRetryBudget();
    const victim = await busiestTarget();
    const keys = await keysOf(router, victim.name, 6);
    const neighbours = keys.slice(1).map((key, index) => lookUp(`/stock/neighbour-${index}?serviceMs=400`, key));
    await waitFor(() => startsUnder("/stock/neighbour-") >= 5);
    const poison = { path: "/stock/poison-1", key: keys[0] };
    const replies = await sendUntilQuarantined(poison);
    expect(replies.at(-1)).toMatchObject({ outcome: "not-run", status: 503 });
    const answered = await Promise.all(neighbours);
    expect(outcomesOf(answered)).toEqual(keys.slice(1).map(() => "answered"));
    await allServed();
    // Other keys have other owners and partly other dispatchers.
    for (const key of ["k1", "k2", "k3", "k4", "k5", "k6"]) {
        for (const instance of [0, 1]) {
            const reply = await lookUp(poison.path, key, instance);
            expect(reply).toMatchObject({ outcome: "not-run", problem: "quarantined" });
        }
    }
    expect(startsUnder("/stock/poison-1")).toBe(2);
    expect([...quarantined()]).toEqual([fingerprintOf("GET", poison.path, Buffer.alloc(0)).toString("hex")]);
    for (const [index, key] of keys.slice(1).entries()) {
        expect(await lookUp(`/stock/neighbour-${index}?serviceMs=400`, key)).toMatchObject({ outcome: "answered" });
    }
});

test("an order that crashes targets is refused after the second crash, even with new identifiers", async () => {
    const before = quarantined();
    const request: Omit<TestRequest, "address"> = {
        method: "POST",
        path: "/stock?poison-order",
        key: "k1",
        body: "poison",
        identifier: "new",
    };
    const replies = await sendUntilQuarantined(request);
    expect(replies.at(-1)).toMatchObject({ outcome: "not-run" });
    await allServed();
    for (const { callers } of router.instances) {
        for (const key of ["k2", "k3", "k4", "k5"]) {
            const reply = await client.send({ ...request, key, address: callers });
            expect(reply).toMatchObject({ outcome: "not-run", problem: "quarantined" });
        }
    }
    const starts = startsOf(router).filter(({ path }) => path === request.path);
    expect(starts.length).toBe(2);
    // A request that has crashed a target has run.
    const crashed = new Set(starts.map(({ identifier }) => identifier));
    replies
        .filter(({ identifier }) => crashed.has(identifier))
        .forEach(({ outcome }) => expect(outcome).toBe("unknown"));
    const fingerprint = fingerprintOf("POST", request.path, Buffer.from("poison")).toString("hex");
    expect([...quarantined()].filter(found => !before.has(found))).toEqual([fingerprint]);
});

test("the kill of a target with requests in flight quarantines none of them", async () => {
    const before = quarantined();
    await allServed();
    await fillRetryBudget();
    const victim = await busiestTarget();
    const keys = await keysOf(router, victim.name, 6);
    const restartsBefore = restarts;
    const inFlight = keys.map((key, index) => lookUp(`/stock/killed-${index}?serviceMs=300`, key));
    await waitFor(() => startsUnder("/stock/killed-") >= 6);
    victim.program.signal("SIGKILL");
    expect(outcomesOf(await Promise.all(inFlight))).toEqual(keys.map(() => "answered"));
    await waitFor(() => restarts > restartsBefore);
    const again = await Promise.all(keys.map((key, index) => lookUp(`/stock/killed-${index}?serviceMs=300`, key, 1)));
    expect(outcomesOf(again)).toEqual(keys.map(() => "answered"));
    expect(quarantined()).toEqual(before);
});

test("connection resets by the network quarantine no request", async () => {
    const before = quarantined();
    await allServed();
    await fillRetryBudget();
    const victim = await busiestTarget();
    const keys = await keysOf(router, victim.name, 6);
    for (let round = 1; round <= 2; round++) {
        const running = startsUnder("/stock/reset-");
        const inFlight = keys.map((key, index) => lookUp(`/stock/reset-${index}?serviceMs=300`, key));
        await waitFor(() => startsUnder("/stock/reset-") >= running + 6);
        victim.proxy?.resetConnections();
        expect(outcomesOf(await Promise.all(inFlight))).toEqual(keys.map(() => "answered"));
    }
    expect(quarantined()).toEqual(before);
});
