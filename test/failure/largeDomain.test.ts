import { expect, test } from "@jest/globals";
import { DEFAULT_OBSERVERS, observersOf } from "../../src/process/membership/observers.js";
import { runFaults } from "../faults/faultRun.js";
import type { Fault } from "../faults/faultSchedule.js";
import type { RouterCluster } from "../support/routerCluster.js";

/** More than an instance with its observers, so that some instances don't observe each other. */
const INSTANCES = 10;
const DISPATCHER = 0;

/** Victim 0 is the dispatcher of the target without grant checks, victim n its current nth observer. */
const victimOf = async (router: RouterCluster, { victim }: Fault): Promise<number> => {
    const rows = await router.rows();
    const dispatcher = rows.targets("labels")[0].value.dispatcher;
    const members = rows.members("d1").map(({ value }) => value.incarnation);
    const chosen = victim === DISPATCHER ? dispatcher : observersOf(dispatcher, members)[victim - 1];
    return Math.max(
        0,
        router.instances.findIndex(({ name }) => chosen.startsWith(`${name}.`)),
    );
};

const kill = (at: number, victim: number): Fault => ({ kind: "kill-instance", at, durationMs: 500, victim });

const FAULTS: Fault[] = [
    kill(500, 1),
    kill(5_000, DISPATCHER),
    { kind: "freeze-instance", at: 9_500, durationMs: 3_600, victim: DISPATCHER },
    kill(10_000, 2),
    ...[DISPATCHER, 1, 2, 3].map(victim => kill(16_000, victim)),
    // Leaves no member that holds an expired promise.
    ...Array.from({ length: DEFAULT_OBSERVERS + 1 }, (_, victim) => kill(22_000, victim)),
];

test("the loss of members and observers of a large domain causes no two owners, double executions or lost assignments", async () => {
    const result = await runFaults(FAULTS, { seed: 12, domains: 1, instancesPerDomain: INSTANCES, victimOf });
    expect(result.ownershipViolations).toEqual([]);
    expect(result.doubleExecutions).toEqual([]);
    expect(result.falseNotRuns).toEqual([]);
    expect(result.wrongAnswers).toEqual([]);
    expect(result.lostAssignments).toEqual([]);
    expect(result.outcomes["lookup answered"]).toBeGreaterThan(0);
    expect(result.outcomes["once answered"]).toBeGreaterThan(0);
}, 120_000);
