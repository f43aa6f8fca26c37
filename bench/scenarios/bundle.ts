import { RouterCluster, type RouterInstance } from "../../test/support/routerCluster.js";
import { pause } from "../../test/support/waitFor.js";
import { seededRandom } from "../../test/support/seededRandom.js";
import { benchBundle } from "../support/benchBundle.js";
import { BundleWatch } from "../support/bundleWatch.js";
import { atMost, type Scenario, type ScenarioContext, type ScenarioResult } from "../support/scenario.js";

/** Number of domains of each of the two users. */
const SIZES = [3, 4];
const INSTANCES_PER_DOMAIN = 2;
const RACES = 100;
/** Number of clusters that run races in parallel, since each race has to wait for the domains' polls. */
const RACE_CLUSTERS = 5;
/** Limit of section 6.1 of the design page. */
const IN_FORCE_LIMIT_MS = 5_000;
const IN_FORCE_TIMEOUT_MS = 9_000;

const SERVICES = [{ name: "stock", grants: "checked", slots: 6 }] as const;

const textOf = (version: number, name: string): string =>
    benchBundle(SERVICES, version).replace("name = bench", `name = ${name}`);

/** Time from acceptance, or from the end of a fault that delayed an instance, until the version is in force everywhere. */
interface RolloutTiming {
    case: string;
    inForceMs: number;
    /** Time from the start of the rollout until its acceptance, in milliseconds. */
    acceptedAfterMs: number;
    behind: string[];
}

/** Rolls out consecutive versions to a cluster. */
class Rollouts {
    readonly results: RolloutTiming[] = [];
    readonly watch: BundleWatch;
    private replacements = 0;

    constructor(
        readonly router: RouterCluster,
        private readonly random: () => number,
        private version = 1,
    ) {
        this.watch = new BundleWatch(() => this.router.instances);
    }

    anyInstance(): RouterInstance {
        const { instances } = this.router;
        return instances[Math.floor(this.random() * instances.length)];
    }

    /** Rolls out the next version and returns the time of its acceptance. */
    async accept(onStage?: (stage: string) => void): Promise<{ at: number; tookMs: number }> {
        const from = performance.now();
        let acceptedAt: number | undefined;
        const result = await this.router.tryRoll(textOf(++this.version, "bench"), {
            limitMs: 20_000,
            pollMs: 100,
            onProgress: ({ stage }) => {
                acceptedAt ??= stage === "accepted" ? performance.now() : undefined;
                onStage?.(stage);
            },
        });
        if (result.isErr()) {
            throw new Error(`Version ${this.version} was not accepted: ${JSON.stringify(result.error)}`);
        }
        const at = acceptedAt ?? performance.now();
        return { at, tookMs: at - from };
    }

    /** Waits until the last accepted version is in force at all instances, and records the time since `from`. */
    async measure(name: string, accepted: { tookMs: number }, from: number): Promise<void> {
        const inForceAt = await this.watch.waitForVersion(this.version, IN_FORCE_TIMEOUT_MS);
        this.results.push({
            case: name,
            inForceMs: Math.max(0, Math.round(inForceAt - from)),
            acceptedAfterMs: Math.round(accepted.tookMs),
            behind: this.watch.behind(this.version),
        });
    }

    async replace(instance: RouterInstance): Promise<void> {
        const { router } = this;
        if (!router.instances.includes(instance)) {
            return;
        }
        await router.unlist(instance);
        instance.daemon.program.signal("SIGTERM");
        await router.startInstance(instance.domain, `${instance.domain}-r${++this.replacements}`);
    }
}

const setTrafficHeld = (instances: readonly RouterInstance[], held: boolean): void =>
    instances.forEach(({ platformProxy, peerProxy }) =>
        [platformProxy, peerProxy].forEach(proxy => {
            proxy.hold("toServer", held);
            proxy.hold("toClient", held);
        }),
    );

/** The faults of section 6.1 of the design page except races, each during one or two rollouts. */
const CASES: Record<string, (rollouts: Rollouts) => Promise<void>> = {
    quiet: async rollouts => {
        const accepted = await rollouts.accept();
        await rollouts.measure("quiet", accepted, accepted.at);
    },
    "reply-lost": async rollouts => {
        const { platform } = rollouts.router.cluster;
        let lost = Promise.resolve();
        const accepted = await rollouts.accept(stage => {
            if (stage === "confirming" || stage === "accepting") {
                lost = platform.control({ table: { loseReplies: 1 } });
            }
        });
        await lost;
        await rollouts.measure("reply-lost", accepted, accepted.at);
        await platform.control({ table: { loseReplies: 0 } });
    },
    "platform-down": async rollouts => {
        const { platform } = rollouts.router.cluster;
        let outage: Promise<void> | undefined;
        const accepted = await rollouts.accept(stage => {
            outage ??=
                stage === "confirming"
                    ? platform
                          .control({ table: { outage: "unavailable" } })
                          .then(() => pause(1_500))
                          .then(() => platform.control({ table: { outage: "off" } }))
                    : undefined;
        });
        await rollouts.measure("platform-down", accepted, accepted.at);
    },
    "platform-down-after": async rollouts => {
        const { platform } = rollouts.router.cluster;
        const accepted = await rollouts.accept();
        await platform.control({ table: { outage: "unavailable" } });
        await pause(1_500);
        await platform.control({ table: { outage: "off" } });
        await rollouts.measure("platform-down-after", accepted, accepted.at + 1_500);
    },
    "domain-cut-off": async rollouts => {
        const { domain } = rollouts.anyInstance();
        const members = rollouts.router.instances.filter(instance => instance.domain === domain);
        setTrafficHeld(members, true);
        const end = pause(1_500).then(() => setTrafficHeld(members, false));
        // The rollout can't be accepted before the domain is reachable again.
        const accepted = await rollouts.accept();
        await end;
        await rollouts.measure("domain-cut-off", accepted, accepted.at);
    },
    "instances-replaced": async rollouts => {
        const replaced: Promise<void>[] = [];
        const accepted = await rollouts.accept(() => {
            replaced.push(rollouts.replace(rollouts.anyInstance()));
        });
        await Promise.all(replaced);
        // Excludes the start-up time of an instance that starts after the acceptance.
        await rollouts.measure("instances-replaced", accepted, Math.max(accepted.at, performance.now()));
    },
    "paused-across-two": async rollouts => {
        const { program } = rollouts.anyInstance().daemon;
        program.signal("SIGSTOP");
        await rollouts.accept();
        const accepted = await rollouts.accept();
        program.signal("SIGCONT");
        await rollouts.measure("paused-across-two", accepted, performance.now());
    },
    "older-peer": async rollouts => {
        const old = rollouts.anyInstance();
        setTrafficHeld([old], true);
        const accepted = await rollouts.accept();
        // The starting instance connects to the one that offers the older version.
        const started = rollouts.router.startInstance(old.domain, `${old.domain}-late`);
        await pause(200);
        setTrafficHeld([old], false);
        const from = performance.now();
        await started;
        await rollouts.measure("older-peer", accepted, from);
    },
};

const startCluster = (domains: number, instancesPerDomain: number): Promise<RouterCluster> =>
    RouterCluster.start({
        domains: Array.from({ length: domains }, (_, index) => `d${index + 1}`),
        services: [],
        bundle: textOf(1, "bench"),
        instancesPerDomain,
    });

const runCases = async (
    domains: number,
    { seed, quick, progress }: ScenarioContext,
): Promise<{ results: RolloutTiming[]; reversals: string[] }> => {
    const router = await startCluster(domains, quick ? 1 : INSTANCES_PER_DOMAIN);
    const rollouts = new Rollouts(router, seededRandom(seed * 1_000 + domains));
    try {
        await rollouts.watch.waitForVersion(1, IN_FORCE_TIMEOUT_MS);
        for (const [name, run] of Object.entries(CASES).slice(0, quick ? 1 : undefined)) {
            await run(rollouts);
            progress(`${domains} domains: ${JSON.stringify(rollouts.results.at(-1))}`);
            if (rollouts.results.at(-1)?.case !== name) {
                throw new Error(`The case ${name} recorded no result.`);
            }
        }
        return { results: rollouts.results, reversals: rollouts.watch.reversals };
    } finally {
        rollouts.watch.dispose();
        await router.dispose();
    }
};

interface RaceReport {
    races: number;
    withOneWinner: number;
    /** Races in which the loser received the wrong winner. */
    wronglyTold: number;
    reversals: string[];
    odd: string[];
}

/** Repeatedly lets two operators offer the same version almost simultaneously. */
const runRaces = async (count: number, random: () => number): Promise<RaceReport> => {
    const router = await startCluster(3, 1);
    const watch = new BundleWatch(() => router.instances);
    const report: RaceReport = { races: 0, withOneWinner: 0, wronglyTold: 0, reversals: watch.reversals, odd: [] };
    try {
        for (let version = 2; version < 2 + count; version++) {
            const delays = [random() * 60, random() * 60];
            const results = await Promise.all(
                delays.map(async (delayMs, index) => {
                    await pause(delayMs);
                    return router.tryRoll(textOf(version, `operator-${index}`), { limitMs: 15_000, pollMs: 50 });
                }),
            );
            report.races++;
            const won = results.flatMap(result => (result.isOk() ? [result.value] : []));
            const lost = results.flatMap(result => (result.isErr() ? [result.error] : []));
            if (won.length === 1) {
                report.withOneWinner++;
            } else {
                report.odd.push(JSON.stringify(results));
            }
            const reportedWinners = lost.map(failure => ("winner" in failure ? failure.winner?.digest : undefined));
            if (reportedWinners.some(digest => digest !== won[0]?.digest)) {
                report.wronglyTold++;
                report.odd.push(JSON.stringify(results));
            }
        }
        return report;
    } finally {
        watch.dispose();
        await router.dispose();
    }
};

const run = async (context: ScenarioContext): Promise<ScenarioResult> => {
    const { seed, quick = false, progress } = context;
    const sizes = quick ? SIZES.slice(0, 1) : SIZES;
    const clusters = quick ? 1 : RACE_CLUSTERS;
    const perCluster = quick ? 1 : RACES / RACE_CLUSTERS;
    // Runs in parallel, since the polls that each race waits for would otherwise take more than a minute.
    const [cases, races] = await Promise.all([
        Promise.all(sizes.map(domains => runCases(domains, context))),
        Promise.all(
            Array.from({ length: clusters }, (_, index) => runRaces(perCluster, seededRandom(seed * 10_000 + index))),
        ),
    ]);
    const sum = (figure: (report: RaceReport) => number) => races.reduce((total, report) => total + figure(report), 0);
    progress(`races: ${JSON.stringify(races)}`);
    const reversals = [...cases, ...races].flatMap(report => report.reversals);
    const inForce = cases.flatMap(({ results }, index) =>
        results.map(({ case: name, inForceMs }) => [
            `inForceMs ${name}, ${sizes[index]} domains`,
            atMost(inForceMs, IN_FORCE_LIMIT_MS),
        ]),
    );
    return {
        baseline: {},
        product: {
            ...Object.fromEntries(cases.map(({ results }, index) => [`${sizes[index]} domains`, results])),
            races,
            reversals,
        },
        bounds: {
            ...(Object.fromEntries(inForce) as ScenarioResult["bounds"]),
            reversals: atMost(reversals.length, 0),
            racesWithoutOneWinner: atMost(clusters * perCluster - sum(({ withOneWinner }) => withOneWinner), 0),
            racesWithAWrongAnswer: atMost(
                sum(({ wronglyTold }) => wronglyTold),
                0,
            ),
        },
    };
};

/**
 * Measures the time from the acceptance of a bundle until it is in force at every instance, without faults and with those
 * of section 6.1 of the design page, and checks the outcome of races between two operators.
 */
export const bundle: Scenario = { summary: "time until accepted bundles are in force, with faults and races", run };
