import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { spreadProblems } from "../support/assignments.js";
import { FAILURE_BUNDLE } from "../support/failureSupport.js";
import { RouterCluster } from "../support/routerCluster.js";
import { waitFor } from "../support/waitFor.js";

let router: RouterCluster;

beforeEach(async () => {
    router = await RouterCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: 6, options: { serviceMs: 3 } }],
        bundle: FAILURE_BUNDLE,
        instancesPerDomain: 3,
        proxied: true,
    });
    await router.waitUntilOwned();
}, 60_000);

afterEach(() => router.dispose());

/** Targets dispatched by an instance, by name, according to the table. */
const targetsOf = async (name: string): Promise<string[]> =>
    (await router.rows())
        .allTargets()
        .filter(({ value }) => value.dispatcher.startsWith(`${name}.`))
        .map(({ value }) => value.target);

test("a dead instance doesn't keep its targets when another instance reuses its address", async () => {
    // The handovers that follow a start must not be taken for the effect of the loss.
    await waitFor(async () => spreadProblems(await router.rows()).length === 0);
    const counts = await Promise.all(router.instances.map(async ({ name }) => (await targetsOf(name)).length));
    // Incarnations are random, so the hash may give an instance no target. Some instance has at least two of the six.
    const dead = router.instances[counts.indexOf(Math.max(...counts))];
    const living = router.instances[dead === router.instances[0] ? 1 : 0];
    expect((await targetsOf(dead.name)).length).toBeGreaterThan(0);
    await dead.daemon.program.kill();
    dead.peerProxy.setUpstream(living.daemon.program.listening.peers);
    // The platform still lists the dead instance, so its loss shows only in missing heartbeats.
    await waitFor(async () => (await targetsOf(dead.name)).length === 0);
    await waitFor(async () => !(await router.rows()).allMembers().some(({ value }) => value.instance === dead.name));
}, 60_000);
