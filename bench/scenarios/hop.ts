import { benchBundle } from "../support/benchBundle.js";
import { BenchCluster } from "../support/benchCluster.js";
import { incarnationOf, keysByDispatcher } from "../support/benchKeys.js";
import { runLoad } from "../support/loadGenerator.js";
import { observeUsage } from "../support/processUsage.js";
import { atMost, type Scenario, type ScenarioContext, type ScenarioResult } from "../support/scenario.js";

const SERVICE = "stock";
/** The users have 20 targets with 6 slots (stock) and 20 with 3 (balance lookup); the hop is the same for both. */
const TARGETS = 20;
const SLOTS = 6;
const ANSWER_BYTES = 200;
const CALLERS = [4, 64] as const;
const ROUNDS = 3;
const WARMUP_MS = 500;
const ROUND_MS = 2_000;
/** Limit of section 1.6 of the design page, in milliseconds. */
const P99_LIMIT_MS = 9;

/** Path of requests to their target. */
interface RequestPath {
    address: string;
    /** IDs of the processes whose CPU time is measured, by name. */
    pids: Record<string, number>;
}

interface Figures {
    perSecond: number;
    p50Ms: number;
    p99Ms: number;
    failed: number;
    /** CPU time per answered request in microseconds by process, without the CPU time of the idle process. */
    cpuUs: Record<string, number>;
}

/** The median of each figure limits the influence of other work on the machine. */
const median = (values: readonly number[]): number => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];

const summarize = (rounds: readonly Figures[]): Figures => ({
    perSecond: Math.round(median(rounds.map(({ perSecond }) => perSecond))),
    p50Ms: median(rounds.map(({ p50Ms }) => p50Ms)),
    p99Ms: median(rounds.map(({ p99Ms }) => p99Ms)),
    failed: rounds.reduce((sum, { failed }) => sum + failed, 0),
    cpuUs: Object.fromEntries(
        Object.keys(rounds[0].cpuUs).map(name => [name, Math.round(median(rounds.map(({ cpuUs }) => cpuUs[name])))]),
    ),
});

const measure = async (path: RequestPath, keys: string[], callers: number, seed: number, idle: Map<number, number>) => {
    const pids = Object.values(path.pids);
    const plan = {
        seed,
        durationMs: ROUND_MS,
        warmupMs: WARMUP_MS,
        streams: [
            {
                name: "reads",
                addresses: [path.address],
                path: `/${SERVICE}/:key?bytes=${ANSWER_BYTES}&serviceMs=1`,
                keys,
                mode: { type: "closed" as const, callers },
            },
        ],
    };
    const { streams, usage } = await runLoad(plan, { observe: pids });
    const reads = streams.get("reads");
    const answered = reads?.total.outcomes.answered ?? 0;
    const cpuUs = Object.entries(path.pids).map(([name, pid]): [string, number] => {
        const used = usage.get(pid);
        const idleMs = (idle.get(pid) ?? 0) * (used?.elapsedMs ?? 0);
        return [name, (((used?.cpuMs ?? NaN) - idleMs) * 1_000) / answered];
    });
    return {
        perSecond: (answered * 1_000) / (ROUND_MS - WARMUP_MS),
        p50Ms: reads?.percentileMs(50) ?? NaN,
        p99Ms: reads?.percentileMs(99) ?? NaN,
        failed: (reads?.total.sent ?? 0) - answered,
        cpuUs: Object.fromEntries(cpuUs),
    };
};

/** Measures the share of a core that each process uses without requests. */
const idleShares = async (pids: readonly number[]): Promise<Map<number, number>> => {
    const usage = await observeUsage(pids, 2_000);
    return new Map(pids.map((pid, index) => [pid, usage[index].cpuMs / usage[index].elapsedMs]));
};

const run = async ({ seed, progress }: ScenarioContext): Promise<ScenarioResult> => {
    const cluster = await BenchCluster.start({
        domains: ["d1"],
        // Unchecked targets also serve the baseline, which has no terms.
        services: [
            {
                name: SERVICE,
                targetsPerDomain: TARGETS,
                options: { slots: SLOTS, checksGrants: false, keepLog: false },
            },
        ],
        bundle: benchBundle([{ name: SERVICE, grants: "unchecked", slots: SLOTS }]),
        instancesPerDomain: 2,
    });
    try {
        const rows = await cluster.waitUntilOwned();
        const [dispatcher, entry] = cluster.instances;
        const baseline = await cluster.startBaseline({ slots: SLOTS });
        // Uses keys of one dispatcher only, so that the CPU times of entry and dispatcher can be measured separately.
        const keys = keysByDispatcher(rows, SERVICE, 4_000).get(incarnationOf(rows, dispatcher.name)) ?? [];
        const dispatcherPid = dispatcher.program.pid;
        const paths: Record<string, RequestPath> = {
            baseline: { address: baseline.listening.callers, pids: { router: baseline.pid } },
            direct: { address: dispatcher.callers, pids: { dispatcher: dispatcherPid } },
            forwarded: { address: entry.callers, pids: { entry: entry.program.pid, dispatcher: dispatcherPid } },
        };
        const idle = await idleShares([baseline.pid, dispatcherPid, entry.program.pid]);
        const rounds = new Map<string, Figures[]>();
        for (let round = 0; round < ROUNDS; round++) {
            for (const callers of CALLERS) {
                for (const [name, path] of Object.entries(paths)) {
                    const figures = await measure(path, keys, callers, seed * 100 + round, idle);
                    const key = `${name} ${callers}`;
                    rounds.set(key, [...(rounds.get(key) ?? []), figures]);
                    progress(`${key}: ${JSON.stringify(figures)}`);
                }
            }
        }
        const figures = (name: string) =>
            Object.fromEntries(
                CALLERS.map(callers => [`${callers} callers`, summarize(rounds.get(`${name} ${callers}`) ?? [])]),
            );
        const product = { direct: figures("direct"), forwarded: figures("forwarded") };
        const all = [...rounds.values()].flat();
        return {
            baseline: figures("baseline"),
            product,
            bounds: {
                forwardedP99Ms4Callers: atMost(product.forwarded["4 callers"].p99Ms, P99_LIMIT_MS),
                forwardedP99Ms64Callers: atMost(product.forwarded["64 callers"].p99Ms, P99_LIMIT_MS),
                failedRequests: atMost(
                    all.reduce((sum, { failed }) => sum + failed, 0),
                    0,
                ),
            },
        };
    } finally {
        await cluster.dispose();
    }
};

/**
 * Measures the latency and the CPU time per request of the hop to the dispatcher: compares requests that arrive at the
 * dispatcher with requests that another instance forwards, and with the baseline router.
 */
export const hop: Scenario = { summary: "forwarding hop compared with direct dispatch", run };
