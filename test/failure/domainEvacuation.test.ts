import { afterAll, beforeAll, expect, test } from "@jest/globals";
import type { TableReplica } from "../../src/process/store/tableReplica.js";
import { positionOf } from "../../src/request/position.js";
import { FAULT_MIX_BUNDLE, FAULT_MIX_SERVICES, faultMixTargets } from "../faults/faultMix.js";
import { answerProblems, assignmentProblems, partitionProblems, spreadProblems } from "../support/assignments.js";
import { executionsOf } from "../support/executionChecker.js";
import { instanceRows } from "../support/instanceRows.js";
import { AtMostOnceCalls } from "../support/atMostOnceCalls.js";
import { RequestClient } from "../support/requestClient.js";
import { RouterCluster } from "../support/routerCluster.js";
import { runTool } from "../support/runTool.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Service whose keys stay in the lost domain; the others may be evacuated. */
const KEPT_SERVICE = "stock";
const BUNDLE = FAULT_MIX_SERVICES.filter(({ name }) => name !== KEPT_SERVICE).reduce(
    (text, { name }) => text.replace(`path = /${name}\n`, `path = /${name}\non-domain-loss = evacuate-by-command\n`),
    FAULT_MIX_BUNDLE,
);
const SERVICES = FAULT_MIX_SERVICES.map(({ name }) => name);
const KEYS = SERVICES.flatMap(service => Array.from({ length: 8 }, (_, index) => ({ service, key: `k${index}` })));
const ONCE_SERVICES = FAULT_MIX_SERVICES.filter(({ nonIdempotent }) => nonIdempotent).map(({ name }) => String(name));
const STATEMENT = ["--gone", "The test has killed every process of the domain."];

let router: RouterCluster;
let client: RequestClient;
let calls: AtMostOnceCalls;

beforeAll(async () => {
    // The programs inherit the environment. Planned moves would mask what gives slices to returned targets.
    process.env.SASSAFRASLOOM_LIMITS_MOVES_PER_MINUTE = "0";
    router = await RouterCluster.start({
        domains: ["d1", "d2"],
        services: faultMixTargets(2),
        bundle: BUNDLE,
        instancesPerDomain: 2,
        proxied: true,
    });
    client = new RequestClient();
    calls = new AtMostOnceCalls(router);
    await router.waitUntilOwned();
    await inPlace();
}, 90_000);

afterAll(async () => {
    delete process.env.SASSAFRASLOOM_LIMITS_MOVES_PER_MINUTE;
    await calls.dispose();
    await client.dispose();
    await router.dispose();
});

const inPlace = async (): Promise<void> => {
    let problems: string[] = [];
    await waitFor(async () => {
        problems = [...spreadProblems(await router.rows()), ...(await assignmentProblems(router, client, KEYS))];
        return problems.length === 0;
    }, 30_000).catch((error: unknown) => {
        throw new Error(`${String(error)}\n${problems.join("\n")}`);
    });
};

const keysOwnedIn = (replica: TableReplica, domain: string) =>
    KEYS.filter(({ service, key }) => replica.sliceMap(service).ownerOf(positionOf(service, key))?.domain === domain);

const rowsOfLost = (replica: TableReplica) => replica.allTargets().filter(({ value }) => value.domain === "d2");

// Guards against keys that move without the operator's command, are lost by it, or have two owners afterwards.
test("only a signed command moves a lost domain's keys, only once, and they aren't moved back when the domain returns", async () => {
    const survivors = router.instances.filter(({ domain }) => domain === "d1");
    const lost = router.instances.filter(({ domain }) => domain === "d2");
    const evacuate = (...options: string[]) => runTool("domain", "evacuate", "d2", ...STATEMENT, ...options);
    const signed = router.operatorOptions(survivors[0]);
    const problemsOf = async (keys: typeof KEYS) =>
        (
            await Promise.all(
                keys.flatMap(({ service, key }) =>
                    survivors.map(({ callers }) =>
                        client.send({ address: callers, path: `/${service}/${key}`, key, deadlineMs: 2_000 }),
                    ),
                ),
            )
        ).map(({ outcome, problem }) => `${outcome} ${problem}`);

    const whileItAnswers = await evacuate(...signed);
    expect(whileItAnswers).toMatchObject({ code: 6 });
    expect(whileItAnswers.error).toContain("d2-e1");

    // When the domain is lost, some requests have been answered and the others run at its targets.
    const placed = keysOwnedIn(await router.rows(), "d2").filter(({ service }) => ONCE_SERVICES.includes(service));
    const once = placed.map(({ service, key }) => calls.request(service, key));
    const running = placed.map(({ service, key }) => calls.request(service, key, { query: "serviceMs=800" }));
    for (const request of once) {
        expect((await calls.send(survivors[0].callers, request)).outcome).toBe("answered");
    }
    const sent = running.map(request => calls.send(survivors[0].callers, request));
    // Reads the logs once for all requests, so that the proxies in this process aren't starved.
    await waitFor(() => {
        const started = new Set(executionsOf(router.cluster.events()).map(({ identifier }) => identifier));
        return running.every(({ identifier }) => started.has(identifier));
    });
    const targets = router.cluster.targets.filter(({ domain }) => domain === "d2");
    await Promise.all(
        [...lost.map(({ daemon }) => daemon.program), ...targets.map(({ program }) => program)].map(program =>
            program.kill(),
        ),
    );
    expect((await Promise.all(sent)).map(({ outcome }) => outcome)).not.toContain("not-run");
    // Read only now, since on a busy machine a target may have lost its slices to others of its service before.
    const before = await router.rows();
    const lostKeys = keysOwnedIn(before, "d2");
    const movable = lostKeys.filter(({ service }) => service !== KEPT_SERVICE);
    const kept = lostKeys.filter(({ service }) => service === KEPT_SERVICE);
    SERVICES.forEach(service => expect(lostKeys.some(key => key.service === service)).toBe(true));
    const owning = before
        .allTargets()
        .filter(({ value }) => value.domain === "d2" && value.service !== KEPT_SERVICE && value.slices.length > 0);

    await waitFor(async () => (await problemsOf(lostKeys)).every(text => text === "not-run owner-unreachable"));
    expect((await evacuate(...signed.slice(0, 3))).code).toBe(5);
    // Longer than any lease, grant or deadline in the domain.
    await pause(4_000);
    expect(new Set(await problemsOf(lostKeys))).toEqual(new Set(["not-run owner-unreachable"]));
    expect(rowsOfLost(await router.rows())).toEqual(rowsOfLost(before));

    const moved = await evacuate(...signed);
    expect(moved).toMatchObject({ code: 0, error: "" });
    expect(moved.out).toContain(`slices of ${owning.length} targets of 3 services out of d2.`);
    const after = await router.rows();
    expect(partitionProblems(after, SERVICES)).toEqual([]);
    expect(keysOwnedIn(after, "d2")).toEqual(kept);
    await waitFor(async () => (await problemsOf(movable)).every(text => text === "answered undefined"));
    expect(new Set(await problemsOf(kept))).toEqual(new Set(["not-run owner-unreachable"]));
    // An identifier that may have run in the lost domain must not run again, and new ones must run.
    const isMoved = ({ service, key }: { service: string; key: string }) =>
        movable.some(other => other.service === service && other.key === key);
    for (const request of [...once, ...running].filter(isMoved)) {
        expect((await calls.sendUntilSettled(survivors, request)).outcome).toBe("unknown");
    }
    await pause(1_500);
    const later = movable.map(({ service, key }) => calls.request(service, key));
    for (const request of later) {
        expect((await calls.sendUntilSettled(survivors, request)).outcome).toBe("answered");
    }

    const again = await evacuate(...router.operatorOptions(survivors[1]));
    expect(again).toMatchObject({ code: 0, error: "" });
    expect(again.out).toContain("Moved 0 slices");
    expect(rowsOfLost(await router.rows())).toEqual(rowsOfLost(after));

    await Promise.all(lost.map(instance => router.unlist(instance)));
    await Promise.all(targets.map(target => router.cluster.restartTarget(target)));
    const returned = await Promise.all(lost.map(({ name }) => router.startInstance("d2", name)));
    await inPlace();
    for (const instance of returned) {
        const held = await instanceRows(instance);
        expect(keysOwnedIn(held, "d2")).toEqual(kept);
        expect(await answerProblems(held, instance, client, KEYS)).toEqual([]);
    }
    for (const request of [...once, ...running, ...later]) {
        await calls.sendUntilSettled(returned, request);
    }
    expect(calls.violations()).toEqual([]);
    const audit = await runTool("audit", "--domain", "d1", "--limit", "500", "--json", ...signed);
    const records = (JSON.parse(audit.out) as { entries: { action: string; actor: string; cause: string }[] }).entries;
    // One record per moved service; the second run changed nothing and added none.
    const evacuations = records.filter(({ action }) => action === "evacuation");
    expect(evacuations).toMatchObject(Array.from({ length: 3 }, () => ({ actor: "tester", cause: STATEMENT[1] })));
}, 120_000);
