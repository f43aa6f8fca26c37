import { benchKeys } from "../support/benchKeys.js";
import { LatencyRecorder, percentileMs } from "../support/latencyRecorder.js";
import { runLoad } from "../support/loadGenerator.js";
import { atLeast, atMost, type Bound, type Scenario, type ScenarioContext } from "../support/scenario.js";
import { plainServiceOf, startBaselines, startUserCluster } from "../support/userCluster.js";
import { USER_SIZES } from "../support/userSizes.js";

/** Few targets and slow work, so that processes rarely wait for a core of the machine, which would count as latency. */
const TARGETS = 2;
/** Service times of short work in milliseconds, equally likely; the mean is 20. */
const SHORT_MS = [8, 14, 20, 26, 32];
/** Service times of long work in milliseconds, 30 to 100 times the mean of short work. */
const LONG_MS = [600, 950, 1_300, 1_650, 2_000];
/** Utilization of the slots; the highest mix at which the policy experiment of `test/policy` meets its goal with 3 slots. */
const SHORT_LOAD = 0.3;
const LONG_LOAD = 0.3;
const LONG_DEADLINE_MS = 5_000;
const ROUNDS = 2;
const WARMUP_MS = 500;
const ROUND_MS = 4_500;
const QUICK_ROUND_MS = 800;
const P99_RATIO_LIMIT = 1.5;
/**
 * A higher p99 without long work means that the machine disturbed the measurement. A ratio to it would be meaningless, so
 * that a bound on this p99 reports the run as missed.
 */
const UNDISTURBED_P99_MS = 4 * Math.max(...SHORT_MS);
const LONG_SHARE_LIMIT = 0.5;

const PHASES = ["product alone", "product mixed", "baseline alone", "baseline mixed"] as const;

const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;

const streamsOf = (addressesOf: (service: string) => string[], isProduct: boolean, mixed: boolean) =>
    USER_SIZES.flatMap(({ service, slots }) => {
        const rate = (load: number, times: readonly number[]) =>
            (load * slots * TARGETS * 1_000) / mean(times) / times.length;
        const served = isProduct ? service : plainServiceOf(service);
        const common = { service: served, addresses: addressesOf(service), keys: benchKeys(2_000) };
        const short = SHORT_MS.map(serviceMs => ({
            ...common,
            name: `${service} short`,
            path: `/${service}/:key?serviceMs=${serviceMs}`,
            deadlineMs: 1_000,
            giveUpMs: 6_000,
            mode: { type: "open" as const, perSecond: rate(SHORT_LOAD, SHORT_MS) },
        }));
        const long = LONG_MS.map(serviceMs => ({
            ...common,
            name: `${service} long`,
            path: `/${service}/:key/long?serviceMs=${serviceMs}`,
            deadlineMs: LONG_DEADLINE_MS,
            giveUpMs: 6_000,
            mode: { type: "open" as const, perSecond: rate(LONG_LOAD, LONG_MS) },
        }));
        return mixed ? [...short, ...long] : short;
    });

const run = async ({ seed, quick, progress }: ScenarioContext) => {
    // Targets that don't check grants have a maximum deadline of 1 s, which is too short for long work.
    const cluster = await startUserCluster({ targets: TARGETS, instances: 2, grants: "checked" });
    try {
        const baselines = await startBaselines(cluster);
        const entries = cluster.instances.map(({ callers }) => callers);
        const recorders = new Map<string, LatencyRecorder>();
        for (let round = 0; round < (quick ? 1 : ROUNDS); round++) {
            for (const phase of PHASES) {
                const addressesOf = (service: string) =>
                    phase.startsWith("product") ? entries : [baselines.get(service) ?? ""];
                const { streams } = await runLoad({
                    seed: seed * 10 + round,
                    durationMs: quick ? QUICK_ROUND_MS : ROUND_MS,
                    warmupMs: quick ? 0 : WARMUP_MS,
                    streams: streamsOf(addressesOf, phase.startsWith("product"), phase.endsWith("mixed")),
                });
                for (const [name, recorder] of streams) {
                    const key = `${phase} ${name}`;
                    const sum = recorders.get(key) ?? new LatencyRecorder(500);
                    sum.add(recorder.encode());
                    recorders.set(key, sum);
                    progress(`${key}: p99 ${recorder.percentileMs(99)} ms ${JSON.stringify(recorder.total.outcomes)}`);
                }
            }
        }
        const figures = (router: string, service: string) => {
            const span = (phase: string, kind: string) => recorders.get(`${router} ${phase} ${service} ${kind}`)?.total;
            const [alone, mixed, long] = [span("alone", "short"), span("mixed", "short"), span("mixed", "long")];
            const p99 = (of: typeof alone) => (of === undefined ? NaN : percentileMs(of, 99));
            return {
                shortAloneP99Ms: p99(alone),
                shortMixedP99Ms: p99(mixed),
                ratio: p99(mixed) / p99(alone),
                shortSent: mixed?.sent,
                shortAnswered: mixed?.outcomes.answered,
                longSent: long?.sent,
                longAnswered: long?.outcomes.answered,
            };
        };
        const figuresByUser = (router: string) =>
            Object.fromEntries(USER_SIZES.map(({ user, service }) => [user, figures(router, service)]));
        const [baseline, product] = [figuresByUser("baseline"), figuresByUser("product")];
        const bounds: Record<string, Bound> = {};
        for (const { user } of USER_SIZES) {
            bounds[`${user}ShortP99Ratio`] = atMost(product[user].ratio, P99_RATIO_LIMIT);
            const longShare = (product[user].longAnswered ?? NaN) / (baseline[user].longAnswered ?? NaN);
            bounds[`${user}ShortAloneP99Ms`] = atMost(product[user].shortAloneP99Ms, UNDISTURBED_P99_MS);
            bounds[`${user}LongShare`] = atLeast(longShare, LONG_SHARE_LIMIT);
        }
        return { baseline, product, bounds };
    } finally {
        await cluster.dispose();
    }
};

/** Measures short work with and without work that takes 30 to 100 times as long on the same targets. */
export const headOfLine: Scenario = { summary: "short work with long work on the same targets", run };
