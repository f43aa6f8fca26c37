import { faultsOfSeed, runFaults } from "../../test/faults/faultRun.js";
import { atMost, type Scenario, type ScenarioContext, type ScenarioResult } from "../support/scenario.js";
import { writeTrace } from "../support/writeTrace.js";

/** Number of faults of a quick run. */
const QUICK_FAULTS = 1;

const run = async ({ seed, quick, traces, progress }: ScenarioContext): Promise<ScenarioResult> => {
    const drawn = faultsOfSeed(seed).sort((a, b) => a.at - b.at);
    const faults = quick ? drawn.slice(0, QUICK_FAULTS).map(fault => ({ ...fault, at: 0, durationMs: 300 })) : drawn;
    faults.forEach(({ kind, at, durationMs, victim }) =>
        progress(`fault ${kind} at ${Math.round(at)} ms for ${Math.round(durationMs)} ms, victim ${victim}`),
    );
    let logs = "";
    const verdict = await runFaults(faults, { seed, logFolder: text => (logs = text) });
    const bounds = {
        ownershipViolations: atMost(verdict.ownershipViolations.length, 0),
        doubleExecutions: atMost(verdict.doubleExecutions.length, 0),
        falseNotRuns: atMost(verdict.falseNotRuns.length, 0),
        wrongAnswers: atMost(verdict.wrongAnswers.length, 0),
        lostAssignments: atMost(verdict.lostAssignments.length, 0),
    };
    if (traces !== undefined && Object.values(bounds).some(({ held }) => !held)) {
        writeTrace(traces, `faults-${seed}.json`, JSON.stringify(verdict, undefined, 1));
        writeTrace(traces, `faults-${seed}.log`, logs);
    }
    return { baseline: {}, product: { ...verdict }, bounds };
};

/** Runs callers during a random schedule of single and overlapping faults, and checks the execution logs of the targets. */
export const faults: Scenario = { summary: "violations of invariants under random faults", run };
