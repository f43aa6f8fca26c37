import { afterAll, beforeAll, expect, test } from "@jest/globals";
import { answerProblems } from "../support/assignments.js";
import { FaultMixHarness, faultMixKeys } from "../support/faultMixHarness.js";
import { instanceRows } from "../support/instanceRows.js";
import type { AtMostOnceCalls } from "../support/atMostOnceCalls.js";
import type { RequestClient } from "../support/requestClient.js";
import type { RouterCluster } from "../support/routerCluster.js";
import { pause, waitFor } from "../support/waitFor.js";
import type { TableReplica } from "../../src/process/store/tableReplica.js";
import { positionOf } from "../../src/request/position.js";

const OUTAGE_MS = 10_000;
/** Time for which the refusals are checked after they have begun, in milliseconds. */
const REFUSAL_WATCH_MS = 4_000;
const KEYS = faultMixKeys(8);
const CHECKED = KEYS.filter(({ service }) => service !== "labels");
const UNCHECKED = KEYS.filter(({ service }) => service === "labels");
/** Longer than the suspicion time, the promise and a grant, so that the other members or the dispatcher react, in ms. */
const FREEZE_MS = 2_500;
type Key = (typeof KEYS)[number];

let harness: FaultMixHarness;
let router: RouterCluster;
let client: RequestClient;
let calls: AtMostOnceCalls;

beforeAll(async () => {
    harness = await FaultMixHarness.start(2);
    ({ router, client, calls } = harness);
    await inPlace();
}, 60_000);

afterAll(() => harness.dispose());

const inPlace = (): Promise<void> => harness.inPlace(KEYS, true);

const setPlatform = (outage: "off" | "unavailable" | "hang") =>
    router.cluster.platform.control({ table: { outage }, objects: { outage }, instances: { outage } });

const dispatcherNameOf = (replica: TableReplica, { service, key }: Key): string | undefined =>
    replica.sliceMap(service).ownerOf(positionOf(service, key))?.dispatcher.split(".")[0];

/** Ends an outage of the platform; all keys must have been served before, and assignments be in place after it. */
const expectServedInOutage = async (): Promise<void> => {
    let problems: string[] = [];
    await waitFor(async () => {
        problems = await answerProblems(await instanceRows(router.instances[0]), router.instances[0], client, KEYS);
        return problems.length === 0;
    }).catch(() => undefined);
    await setPlatform("off");
    expect(problems).toEqual([]);
    await inPlace();
    expect(calls.violations()).toEqual([]);
};

test.each(["unavailable", "hang"] as const)(
    "the platform's outage (%s) doesn't stop any key from being served",
    async outage => {
        await setPlatform(outage);
        const downUntil = performance.now() + OUTAGE_MS / 2;
        const problems: string[] = [];
        while (performance.now() < downUntil) {
            for (const instance of router.instances) {
                problems.push(...(await answerProblems(await instanceRows(instance), instance, client, KEYS)));
                for (const service of ["orders", "labels"]) {
                    const run = await calls.send(instance.callers, calls.request(service, "k1"));
                    if (run.outcome !== "answered") {
                        problems.push(`${service} once: ${run.outcome} ${run.problem}`);
                    }
                }
                // The durable record can't be written, so these must not run.
                const unrecorded = calls.request("payouts", "k1");
                const refused = await calls.send(instance.callers, unrecorded);
                if (refused.outcome === "answered" || calls.executions(unrecorded).length > 0) {
                    problems.push(`payouts once: ${refused.outcome} ${refused.problem}`);
                }
            }
            await pause(100);
        }
        await setPlatform("off");
        expect(problems).toEqual([]);
        await inPlace();
        expect(calls.violations()).toEqual([]);
    },
    60_000,
);

test.each(["unavailable", "hang"] as const)(
    "a member wrongly suspected in an outage (%s) serves its targets again before the platform is back",
    async outage => {
        const replica = await router.rows();
        const labels = KEYS.find(({ service }) => service === "labels") as Key;
        const frozen = router.instances.find(({ name }) => name === dispatcherNameOf(replica, labels));
        await setPlatform(outage);
        frozen?.daemon.program.signal("SIGSTOP");
        await pause(FREEZE_MS);
        frozen?.daemon.program.signal("SIGCONT");
        await expectServedInOutage();
    },
    60_000,
);

test.each(["unavailable", "hang"] as const)(
    "a target that was silent in an outage (%s) serves its keys again before the platform is back",
    async outage => {
        const target = router.cluster.targets.find(({ service }) => service === "orders");
        await setPlatform(outage);
        target?.program.signal("SIGSTOP");
        await pause(FREEZE_MS);
        target?.program.signal("SIGCONT");
        await expectServedInOutage();
    },
    60_000,
);

test("with the platform down and a member killed, unchecked targets don't run under an expired lease, and others continue", async () => {
    const replica = await router.rows();
    const isOthers = (key: Key, name: string) => dispatcherNameOf(replica, key) !== name;
    // Incarnations are random, so the hash may give one instance all targets of a kind. The other instances must still
    // dispatch for checked and for unchecked targets after the loss; of three instances, one fulfils that.
    const killed = router.instances.find(({ name }) =>
        [CHECKED, UNCHECKED].every(keys =>
            keys.some(key => isOthers(key, name) && dispatcherNameOf(replica, key) !== undefined),
        ),
    );
    if (killed === undefined) {
        const dispatchers = KEYS.map(key => `${key.service} ${key.key}: ${dispatcherNameOf(replica, key)}`);
        throw new Error(`The loss of any instance leaves one kind of targets without a dispatcher. ${dispatchers}`);
    }
    const others = router.instances.filter(instance => instance !== killed);
    const checked = CHECKED.filter(key => isOthers(key, killed.name));
    const unchecked = UNCHECKED.filter(key => isOthers(key, killed.name));
    expect(checked.length).toBeGreaterThan(0);
    expect(unchecked.length).toBeGreaterThan(0);
    await setPlatform("unavailable");
    await killed.daemon.program.kill();
    const sendLabels = () =>
        Promise.all(
            others.flatMap(({ callers }) =>
                unchecked.map(({ key }) => calls.send(callers, calls.request("labels", key))),
            ),
        );
    await waitFor(async () => (await sendLabels()).every(({ problem }) => problem === "lease-lapsed"));
    const watchedUntil = performance.now() + REFUSAL_WATCH_MS;
    while (performance.now() < watchedUntil) {
        const refusals = await sendLabels();
        expect(refusals.filter(({ outcome, problem }) => outcome !== "not-run" || problem !== "lease-lapsed")).toEqual(
            [],
        );
        for (const instance of others) {
            expect(await answerProblems(await instanceRows(instance), instance, client, checked)).toEqual([]);
        }
        const run = checked.find(({ service }) => service === "orders");
        if (run !== undefined) {
            expect((await calls.send(others[0].callers, calls.request("orders", run.key))).outcome).toBe("answered");
        }
        await pause(200);
    }
    await router.unlist(killed).catch(() => undefined);
    await setPlatform("off");
    await inPlace();
    for (const key of unchecked) {
        const settled = await calls.sendUntilSettled(others, calls.request("labels", key.key));
        expect(["answered", "unknown"]).toContain(settled.outcome);
    }
    expect(calls.violations()).toEqual([]);
}, 60_000);
