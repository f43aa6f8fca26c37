import type { ExecutionEvent } from "../../test/support/executionLog.js";
import { seededRandom } from "../../test/support/seededRandom.js";
import type { ClusterTarget } from "../../test/support/testCluster.js";
import { benchBundle } from "../support/benchBundle.js";
import { BenchCluster, type BenchInstance } from "../support/benchCluster.js";
import { benchKeys, incarnationOf } from "../support/benchKeys.js";
import { KeyProber, outcomesOf, recoveryOf, type ProbedKey, type Recovery } from "../support/keyProber.js";
import { atMost, type Scenario, type ScenarioContext, type ScenarioResult } from "../support/scenario.js";
import { scrapeMetric } from "../support/scrapeMetric.js";
import { writeTrace } from "../support/writeTrace.js";
import { pause } from "../../test/support/waitFor.js";

/** The service whose targets check grants, and the one whose targets don't. */
const CHECKED = "stock";
const UNCHECKED = "balance";
const SERVICES = [
    // Slots of the two users.
    { name: CHECKED, grants: "checked", slots: 6 },
    { name: UNCHECKED, grants: "unchecked", slots: 3 },
] as const;
const INSTANCES = 6;
const TARGETS = 6;
const KEYS = 36;
/** Observation period after each loss, and settling time before the next one, in milliseconds. */
const OBSERVE_MS = 4_500;
const SETTLE_MS = 1_000;
/** Limits of section 11 of the design page. */
const SERVED_AGAIN_LIMIT_MS = 3_000;
const SENDS_LIMIT = 1.1;
/** Marks lookups that are sent through the baseline router. */
const BASELINE_SUFFIX = "?router=plain";

/** Numbers of instances, and of targets of each service, that are killed at the same time. */
const LOSSES = [
    { name: "third", instances: 2, targets: 2 },
    { name: "dispatcher", instances: 1, targets: 0 },
    { name: "target", instances: 0, targets: 1 },
    { name: "both", instances: 1, targets: 1 },
] as const;

const RETRIES = "sassafrasloom_retries_total";

/** Sums the retries of instances, with the last known value of those that were killed. */
class RetryCount {
    private readonly byInstance = new Map<string, number>();

    async read(instances: readonly BenchInstance[]): Promise<void> {
        await Promise.all(
            instances.map(async ({ name, program }) => {
                const value = await scrapeMetric(program.listening.metrics, RETRIES);
                this.byInstance.set(name, value ?? this.byInstance.get(name) ?? 0);
            }),
        );
    }

    get total(): number {
        return [...this.byInstance.values()].reduce((sum, value) => sum + value, 0);
    }
}

const receipts = (events: readonly ExecutionEvent[], ofBaseline: boolean): number =>
    events.filter(
        event =>
            (event.type === "start" || event.type === "refuse") && event.path.endsWith(BASELINE_SUFFIX) === ofBaseline,
    ).length;

const drawSome = <Item>(items: readonly Item[], count: number, random: () => number): Item[] =>
    items
        .map(item => ({ item, order: random() }))
        .sort((a, b) => a.order - b.order)
        .slice(0, count)
        .map(({ item }) => item);

/** Returns instances that dispatch targets of all services or, if there are none, of one: only their loss affects keys. */
const findDispatchers = async (cluster: BenchCluster, live: readonly BenchInstance[]): Promise<BenchInstance[]> => {
    const rows = await cluster.rows();
    const servicesOf = ({ name }: BenchInstance) => {
        const incarnation = incarnationOf(rows, name);
        const own = rows
            .allTargets()
            .filter(({ value }) => value.dispatcher === incarnation && value.slices.length > 0);
        return new Set(own.map(({ value }) => value.service)).size;
    };
    const ofEach = live.filter(instance => servicesOf(instance) === SERVICES.length);
    return ofEach.length > 0 ? ofEach : live.filter(instance => servicesOf(instance) > 0);
};

const run = async ({ seed, quick = false, traces, progress }: ScenarioContext): Promise<ScenarioResult> => {
    const random = seededRandom(seed * 15_485_863);
    const cluster = await BenchCluster.start({
        domains: ["d1"],
        services: SERVICES.map(({ name, grants, slots }) => ({
            name,
            targetsPerDomain: quick ? 2 : TARGETS,
            options: { slots, checksGrants: grants === "checked", keepLog: false },
        })),
        bundle: benchBundle(SERVICES),
        instancesPerDomain: quick ? 3 : INSTANCES,
        logLevel: traces === undefined ? "warn" : "info",
    });
    try {
        await cluster.waitUntilOwned();
        progress("all targets and keys are assigned");
        const live = [...cluster.instances];
        const liveTargets = [...cluster.cluster.targets];
        const keys = SERVICES.flatMap(({ name }) =>
            benchKeys(quick ? 4 : KEYS).map((key): ProbedKey => ({ service: name, key })),
        );
        const uncheckedKeys = keys.filter(({ service }) => service === UNCHECKED);
        const baseline = await cluster.startBaseline({ slots: 3 });
        const product = new KeyProber(keys, () => live.map(({ callers }) => callers), random);
        const plain = new KeyProber(uncheckedKeys, () => [baseline.listening.callers], random, {
            pauseMs: 120,
            pathSuffix: BASELINE_SUFFIX,
        });
        const retries = new RetryCount();
        product.start();
        plain.start();
        await pause(quick ? 200 : SETTLE_MS);
        const recoveries: Record<string, Recovery> = {};
        const plainRecoveries: Record<string, Recovery> = {};
        for (const loss of quick ? LOSSES.slice(0, 1) : LOSSES) {
            await retries.read(live);
            const instances = drawSome(await findDispatchers(cluster, live), loss.instances, random);
            const targets: ClusterTarget[] = SERVICES.flatMap(({ name }) =>
                drawSome(
                    liveTargets.filter(({ service }) => service === name),
                    loss.targets,
                    random,
                ),
            );
            const lostAt = performance.now();
            // A load balancer removes an instance when it refuses connections.
            instances.forEach(instance => live.splice(live.indexOf(instance), 1));
            targets.forEach(target => liveTargets.splice(liveTargets.indexOf(target), 1));
            await Promise.all([...instances, ...targets].map(({ program }) => program.kill()));
            await pause(quick ? 300 : OBSERVE_MS);
            const until = performance.now();
            for (const { name } of SERVICES) {
                const ofService = ({ service }: ProbedKey) => service === name;
                const recovery = recoveryOf(product.lookups.filter(ofService), keys.filter(ofService), lostAt, until);
                recoveries[`${loss.name} ${name === CHECKED ? "checked" : "unchecked"}`] = recovery;
            }
            plainRecoveries[loss.name] = recoveryOf(plain.lookups, uncheckedKeys, lostAt, until);
            progress(`${loss.name}: ${JSON.stringify(recoveries)}`);
            await pause(quick ? 0 : SETTLE_MS);
        }
        await retries.read(live);
        const lookups = await product.stop();
        const plainLookups = await plain.stop();
        // A daemon that exits without being killed is a fault in itself.
        const crashed = live.filter(({ program }) => !program.running).map(({ name }) => name);
        if (traces !== undefined) {
            writeTrace(traces, `takeover-${seed}.log`, cluster.logs());
            writeTrace(traces, `takeover-${seed}.json`, JSON.stringify(lookups));
        }
        const events = cluster.cluster.events();
        const sends = (lookups.length + retries.total) / lookups.length;
        const received = receipts(events, false) / lookups.length;
        const plainReceived = receipts(events, true) / plainLookups.length;
        return {
            baseline: {
                recoveries: plainRecoveries,
                receiptsPerRequest: plainReceived,
                outcomes: outcomesOf(plainLookups),
            },
            product: {
                recoveries,
                crashed,
                sendsPerRequest: sends,
                receiptsPerRequest: received,
                outcomes: outcomesOf(lookups),
            },
            bounds: {
                ...Object.fromEntries(
                    Object.entries(recoveries).map(([name, { slowestKeyMs }]) => [
                        `servedAgainMs ${name}`,
                        atMost(slowestKeyMs, SERVED_AGAIN_LIMIT_MS),
                    ]),
                ),
                instancesThatCrashed: atMost(crashed.length, 0),
                sendsPerRequest: atMost(Math.max(sends, received), SENDS_LIMIT),
            },
        };
    } finally {
        await cluster.dispose();
    }
};

/**
 * Kills instances and targets during lookups of fixed keys, and measures for each key the time from the kill to its first
 * answered lookup.
 */
export const takeover: Scenario = { summary: "time until every key is served again after losses", run };
