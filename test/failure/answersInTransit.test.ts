import { afterAll, beforeAll, expect, test } from "@jest/globals";
import { spreadProblems } from "../support/assignments.js";
import { dispatcherOf, FAILURE_BUNDLE, HeldAnswer, keysOf } from "../support/failureSupport.js";
import { RequestClient } from "../support/requestClient.js";
import { RouterCluster } from "../support/routerCluster.js";
import type { ClusterTarget } from "../support/testCluster.js";
import { pause, waitFor } from "../support/waitFor.js";

const HELD_BYTES = 33_554_432;
/** Bytes that the caller reads at once; far less than the buffers of the connections hold. */
const STEP_BYTES = 262_144;
/** Time in which a target that has nothing left to write exits, in milliseconds. */
const STEP_PAUSE_MS = 50;
/** Time in which a dispatcher finds that its target refuses connections, or that its keys have moved, in milliseconds. */
const NOTICE_MS = 2_000;

let router: RouterCluster;
const client = new RequestClient();

beforeAll(async () => {
    router = await RouterCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: 5, options: { serviceMs: 3 } }],
        bundle: FAILURE_BUNDLE,
        // No proxies for the targets, since they reset answers still in transit when the target's process exits.
        instancesPerDomain: 2,
    });
    await router.waitUntilOwned();
    await waitFor(async () => spreadProblems(await router.rows()).length === 0);
    await waitFor(async () => {
        const replies = await Promise.all(
            router.instances.flatMap(({ callers }) =>
                ["k1", "k2", "k3", "k4", "k5", "k6"].map(key =>
                    client.send({ address: callers, path: "/stock/served", key }),
                ),
            ),
        );
        return replies.every(({ outcome }) => outcome === "answered");
    });
}, 60_000);

afterAll(async () => {
    await client.dispose();
    await router.dispose();
});

const stockRows = async () => (await router.rows()).targets("stock").map(({ value }) => value);

/**
 * A target that owns keys, with a dispatcher that has most targets: one whose targets all stop answering suspects its
 * own network.
 */
const chooseTarget = async (): Promise<ClusterTarget> => {
    const rows = await stockRows();
    const count = (dispatcher: string) => rows.filter(row => row.dispatcher === dispatcher).length;
    const [{ target }] = rows
        .filter(({ slices }) => slices.length > 0)
        .sort((a, b) => count(b.dispatcher) - count(a.dispatcher));
    return router.cluster.targets.find(({ name }) => name === target) as ClusterTarget;
};

/** Opens a long answer of the target through its dispatcher, so that no other instance can lose it. */
const openAnswer = async (target: ClusterTarget): Promise<HeldAnswer> => {
    const [key] = await keysOf(router, target.name, 1);
    const { callers } = await dispatcherOf(router, target.name);
    const path = `/stock/exports/${target.name}?bytes=${HELD_BYTES}`;
    return HeldAnswer.open({ address: callers, path, key, bytes: HELD_BYTES });
};

test("guards against losing the rest of an answer whose target was frozen for so long that its keys moved", async () => {
    const target = await chooseTarget();
    const held = await openAnswer(target);
    target.program.signal("SIGSTOP");
    await waitFor(async () => (await stockRows()).every(row => row.target !== target.name || row.slices.length === 0));
    await pause(NOTICE_MS);
    target.program.signal("SIGCONT");
    expect(await held.finish()).toMatchObject({ whole: true, isOwn: true });
});

test("guards against losing what a draining target wrote before it exited", async () => {
    const target = await chooseTarget();
    const held = await openAnswer(target);
    await router.cluster.controlTarget(target, { drain: true });
    // The target exits as soon as the rest of its answer is in the buffers of the connections.
    while (target.program.running && held.isOpen) {
        await held.read(STEP_BYTES);
        await pause(STEP_PAUSE_MS);
    }
    expect(await target.program.ended).toMatchObject({ code: 0 });
    await pause(NOTICE_MS);
    expect(await held.finish()).toMatchObject({ whole: true, isOwn: true });
});
