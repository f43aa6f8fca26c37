import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { FaultCallers, type CallerReport } from "../faults/faultCallers.js";
import { partitionProblems } from "../support/assignments.js";
import { doubleCommits, executionsOf, falseNotRuns, ownershipViolations } from "../support/executionChecker.js";
import { FAULT_MIX_NAMES, FaultMixHarness, faultMixKeys } from "../support/faultMixHarness.js";
import type { RouterCluster } from "../support/routerCluster.js";
import { pause } from "../support/waitFor.js";
import { seededRandom } from "../support/seededRandom.js";

const CALLERS = 6;
/** Interval between two checks that the slices cover the ring exactly once, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
const KEYS = faultMixKeys(6);

let harness: FaultMixHarness;
let router: RouterCluster;

beforeEach(async () => {
    harness = await FaultMixHarness.start(2);
    router = harness.router;
}, 60_000);

afterEach(() => harness.dispose());

const inPlace = (): Promise<void> => harness.inPlace(KEYS, false);

/** Current terms of all targets, which never decrease. */
const termsNow = async (): Promise<Map<string, number>> =>
    new Map((await router.rows()).allTargets().map(({ value }) => [value.target, value.term]));

/** Runs `replace` under load and checks the assignments during and after it, and the targets' logs. */
const expectAssignmentsKept = async (replace: () => Promise<void>): Promise<void> => {
    await inPlace();
    const termsBefore = await termsNow();
    const callers = new FaultCallers(() => router.instances.map(instance => instance.callers), seededRandom(3));
    callers.start(CALLERS);
    const broken: string[] = [];
    let checking = true;
    const checks = (async () => {
        while (checking) {
            broken.push(...partitionProblems(await router.rows(), FAULT_MIX_NAMES));
            await pause(CHECK_INTERVAL_MS);
        }
    })();
    let report: CallerReport;
    try {
        await replace();
        await inPlace();
    } finally {
        checking = false;
        await checks;
        // Callers left running by a failed test would reach whatever process listens on the same ports next.
        report = await callers.stop();
    }
    const terms = await termsNow();
    const executions = executionsOf(router.cluster.events());
    expect(broken).toEqual([]);
    expect([...termsBefore].filter(([target, term]) => (terms.get(target) ?? -1) < term)).toEqual([]);
    expect(doubleCommits(executions, ({ method }) => method === "POST")).toEqual([]);
    expect(falseNotRuns(executions, report.notRuns)).toEqual([]);
    expect(ownershipViolations(executions)).toEqual([]);
    expect(report.wrongAnswers).toEqual([]);
    expect(report.outcomes["lookup answered"]).toBeGreaterThan(0);
    expect(report.outcomes["once answered"]).toBeGreaterThan(0);
};

test.each(["SIGTERM", "SIGKILL"] as const)(
    "an assignment isn't lost when each instance of its domain is replaced, one after the other (%s)",
    async signal => {
        await expectAssignmentsKept(async () => {
            for (const [index, instance] of [...router.instances].entries()) {
                instance.daemon.program.signal(signal);
                await instance.daemon.program.ended;
                await router.unlist(instance);
                await router.startInstance("d1", `d1-n${index + 1}`);
                await inPlace();
            }
        });
    },
    120_000,
);

test("an assignment isn't lost when all instances of its domain are killed at once and the list lags", async () => {
    await router.cluster.platform.control({ instances: { lagMs: 2_000 } });
    await expectAssignmentsKept(async () => {
        const killed = [...router.instances];
        await Promise.all(killed.map(({ daemon }) => daemon.program.kill()));
        await Promise.all(killed.map(instance => router.unlist(instance)));
        await Promise.all(killed.map((_, index) => router.startInstance("d1", `d1-n${index + 1}`)));
    });
}, 120_000);
