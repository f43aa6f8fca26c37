import { RING_SIZE, slicesSize } from "../../src/process/ownership/sliceMap.js";
import {
    doubleCommits,
    executionsOf,
    falseNotRuns,
    ownershipViolations,
    type Violation,
} from "../support/executionChecker.js";
import { RouterCluster } from "../support/routerCluster.js";
import { pause, waitFor } from "../support/waitFor.js";
import { seededRandom } from "../support/seededRandom.js";
import { injectFault } from "./faultActions.js";
import { FaultCallers, type CallerReport } from "./faultCallers.js";
import { FAULT_MIX_BUNDLE, FAULT_MIX_SERVICES, faultMixTargets } from "./faultMix.js";
import { drawPair, drawSchedule, FAULT_PERIOD_MS, type Fault } from "./faultSchedule.js";

/** Result of a fault run. All lists of violations are expected to be empty. */
export interface FaultRunResult {
    faults: Fault[];
    requests: number;
    outcomes: CallerReport["outcomes"];
    ownershipViolations: Violation[];
    doubleExecutions: Violation[];
    falseNotRuns: Violation[];
    /** Results of the sends of each identifier with a false not-run report. */
    histories: string[][];
    wrongAnswers: string[];
    lostAssignments: string[];
    /** Maximum time from a failed lookup of a key to its next answer, by service; times in milliseconds. */
    longestGaps: Record<string, { key: string; gapMs: number; endedAt: number }>;
}

/** Services with positions that have no owner, and targets without a registered dispatcher. */
const findLostAssignments = async (router: RouterCluster): Promise<string[]> => {
    const replica = await router.rows();
    const members = new Set(replica.allMembers().map(({ value }) => value.incarnation));
    const lost: string[] = [];
    for (const { name } of FAULT_MIX_SERVICES) {
        const rows = replica.targets(name).map(({ value }) => value);
        const covered = slicesSize(rows.flatMap(({ slices }) => slices));
        if (covered !== RING_SIZE) {
            lost.push(`${name}: ${covered} of ${RING_SIZE} positions have an owner`);
        }
        rows.filter(row => row.slices.length > 0 && !members.has(row.dispatcher)).forEach(row =>
            lost.push(`${name}: ${row.target} has no registered dispatcher`),
        );
    }
    return lost;
};

const longestByService = (gaps: CallerReport["longestGaps"]): FaultRunResult["longestGaps"] => {
    const longest: FaultRunResult["longestGaps"] = {};
    for (const [name, gap] of gaps) {
        const [service, key] = name.split(" ");
        if (gap.gapMs > (longest[service]?.gapMs ?? 0)) {
            longest[service] = { key, ...gap };
        }
    }
    return longest;
};

/** Runs callers during a schedule of faults and checks what the targets executed. */
export const runFaults = async (
    faults: Fault[],
    options: {
        seed: number;
        domains?: number;
        instancesPerDomain?: number;
        callers?: number;
        /** Chooses the victim of a fault when it is injected; defaults to the fault's own. */
        victimOf?: (router: RouterCluster, fault: Fault) => Promise<number>;
        logFolder?: (text: string) => void;
    },
): Promise<FaultRunResult> => {
    const random = seededRandom(options.seed);
    const domains = Array.from({ length: options.domains ?? 2 }, (_, index) => `d${index + 1}`);
    const router = await RouterCluster.start({
        domains,
        services: faultMixTargets(1),
        bundle: FAULT_MIX_BUNDLE,
        instancesPerDomain: options.instancesPerDomain ?? 3,
        proxied: true,
        splittable: true,
    });
    try {
        await router.waitUntilOwned();
        const callers = new FaultCallers(() => router.instances.map(({ callers }) => callers), random);
        callers.start(options.callers ?? 12);
        const startedAt = performance.now();
        await Promise.all(
            faults.map(async fault => {
                await pause(Math.max(0, fault.at - (performance.now() - startedAt)));
                const victim = (await options.victimOf?.(router, fault)) ?? fault.victim;
                await injectFault(router, { ...fault, victim });
            }),
        );
        await pause(Math.max(0, Math.min(FAULT_PERIOD_MS, 2_000)));
        await waitFor(async () => (await findLostAssignments(router)).length === 0, 15_000).catch(() => undefined);
        const lostAssignments = await findLostAssignments(router);
        const report = await callers.stop();
        const executions = executionsOf(router.cluster.events());
        const untrue = falseNotRuns(executions, report.notRuns);
        options.logFolder?.(router.logs());
        return {
            faults,
            requests: report.requests,
            outcomes: report.outcomes,
            ownershipViolations: ownershipViolations(executions),
            doubleExecutions: doubleCommits(executions, ({ method }) => method === "POST"),
            falseNotRuns: untrue,
            histories: untrue.map(({ executions: [first] }) => report.histories.get(first.identifier ?? "") ?? []),
            wrongAnswers: report.wrongAnswers,
            lostAssignments,
            longestGaps: longestByService(report.longestGaps),
        };
    } finally {
        await router.dispose();
    }
};

/** All violations of a run, and the kinds of request of which none was answered. */
export const faultProblems = (result: FaultRunResult): unknown[] => [
    ...result.ownershipViolations,
    ...result.doubleExecutions,
    ...result.falseNotRuns,
    ...result.wrongAnswers,
    ...result.lostAssignments,
    ...["lookup answered", "once answered"].filter(outcome => !(result.outcomes[outcome] > 0)),
];

/** The faults generated from a seed: single and overlapping ones, and one pair. */
export const faultsOfSeed = (seed: number): Fault[] => [
    ...drawSchedule(seededRandom(seed * 7919), 5),
    ...drawPair(seededRandom(seed * 104_729)),
];

/** Runs the faults generated from a seed. */
export const runSeed = (seed: number, logFolder?: (text: string) => void): Promise<FaultRunResult> =>
    runFaults(faultsOfSeed(seed), { seed, logFolder });
