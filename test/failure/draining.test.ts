import { afterAll, beforeAll, expect, test } from "@jest/globals";
import { machineMonotonicMs } from "../support/executionLog.js";
import { FAILURE_BUNDLE, HeldAnswer, keysOf, startsOf, outcomesOf } from "../support/failureSupport.js";
import { RequestClient, type TestReply } from "../support/requestClient.js";
import { RouterCluster } from "../support/routerCluster.js";
import { pause, waitFor } from "../support/waitFor.js";
import type { ClusterTarget } from "../support/testCluster.js";

const HELD_BYTES = 33_554_432;
/** Specified bound: time after the notice from which a leaving target starts no requests, in milliseconds. */
const NOTICE_BOUND_MS = 2_000;

let router: RouterCluster;
const client = new RequestClient();

beforeAll(async () => {
    router = await RouterCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: 4, options: { serviceMs: 3 } }],
        bundle: FAILURE_BUNDLE,
        // No proxies for the targets, since they reset answers still in transit when the target's process exits.
        instancesPerDomain: 2,
    });
    await router.waitUntilOwned();
    const keys = ["k1", "k2", "k3", "k4", "k5", "k6"];
    await waitFor(async () => {
        const replies = await Promise.all(keys.map(key => lookUp(0, "/stock/served", key)));
        return replies.every(({ outcome }) => outcome === "answered");
    });
}, 60_000);

afterAll(async () => {
    await client.dispose();
    await router.dispose();
});

const lookUp = (instance: number, path: string, key: string): Promise<TestReply> =>
    client.send({ address: router.instances[instance].callers, path, key, deadlineMs: 10_000 });

const servedBy = ({ body }: TestReply): string => (JSON.parse(body.toString()) as { target: string }).target;

/** Gives a target notice under load; checks that it starts nothing late and its keys move despite a long answer. */
const expectOrderlyLeave = async (leaving: ClusterTarget, giveNotice: () => Promise<void>): Promise<HeldAnswer> => {
    const [heldKey, ...keys] = await keysOf(router, leaving.name, 9);
    const path = `/stock/exports/held-${leaving.name}?bytes=${HELD_BYTES}`;
    const held = await HeldAnswer.open({
        address: router.instances[0].callers,
        path,
        key: heldKey,
        bytes: HELD_BYTES,
    });
    const replies: TestReply[] = [];
    let stopped = false;
    const load = [0, 1].map(async instance => {
        for (let round = 0; !stopped; round++) {
            const sent = keys.map(key => lookUp(instance, `/stock/load-${leaving.name}-${round}`, key));
            replies.push(...(await Promise.all(sent)));
            await pause(10);
        }
    });
    await waitFor(() => replies.length > 50);
    await giveNotice();
    const noticeAt = machineMonotonicMs();
    await waitFor(async () => {
        const answers = await Promise.all(keys.map(key => lookUp(1, "/stock/moved", key)));
        return answers.every(reply => reply.outcome === "answered" && servedBy(reply) !== leaving.name);
    });
    // The long answer is still in transit, so the other keys didn't wait for it.
    expect(held.isOpen).toBe(true);
    // The load must continue beyond the bound; otherwise no violation could occur.
    await waitFor(() => machineMonotonicMs() > noticeAt + NOTICE_BOUND_MS + 1_000);
    stopped = true;
    await Promise.all(load);
    expect(outcomesOf(replies).filter(text => text !== "answered")).toEqual([]);
    const late = startsOf(router).filter(
        ({ target, at }) => target === leaving.name && at > noticeAt + NOTICE_BOUND_MS,
    );
    expect(late).toEqual([]);
    return held;
};

test("a target listed as leaving gets no new requests after 2 s, and its long answer is completed", async () => {
    const [leaving] = router.cluster.targets;
    const { name, service, domain, address } = leaving;
    const held = await expectOrderlyLeave(leaving, () =>
        router.cluster.platform.changeInstance({ name, role: "target", service, domain, address, state: "leaving" }),
    );
    expect(await held.finish()).toMatchObject({ whole: true, isOwn: true });
});

test("a target that reports draining gets no new requests after 2 s, although it would still accept them", async () => {
    const leaving = router.cluster.targets[1];
    const held = await expectOrderlyLeave(leaving, () =>
        router.cluster.controlTarget(leaving, { lie: { state: "draining" } }),
    );
    expect(await held.finish()).toMatchObject({ whole: true, isOwn: true });
});

test("a draining target that refuses new work exits after its long answer", async () => {
    const leaving = router.cluster.targets[2];
    const held = await expectOrderlyLeave(leaving, () => router.cluster.controlTarget(leaving, { drain: true }));
    expect(leaving.program.running).toBe(true);
    expect(await held.finish()).toMatchObject({ whole: true, isOwn: true });
    expect(await leaving.program.ended).toMatchObject({ code: 0 });
});
