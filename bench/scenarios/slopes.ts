import { memberSlopes } from "../slopes/memberSlopes.js";
import { memorySlopes } from "../slopes/memorySlopes.js";
import { requestSlopes } from "../slopes/requestSlopes.js";
import { takeoverSlopes } from "../slopes/takeoverSlopes.js";
import { targetSlopes } from "../slopes/targetSlopes.js";
import type { LinearFit } from "../support/leastSquares.js";
import { atMost, type Scenario, type ScenarioContext, type ScenarioResult } from "../support/scenario.js";

/** The limits of section 1.6 of the design page that can be checked with a single domain. */
const SERVED_AGAIN_LIMIT_MS = 3_000;
const CONTROL_BYTES_LIMIT = 3_000;
const CONTROL_CPU_LIMIT_MS = 31;

const largest = ({ points }: LinearFit): number => points[points.length - 1].cost;

const run = async ({ seed, progress }: ScenarioContext): Promise<ScenarioResult> => {
    const [requests, members, targets, takeovers] = await Promise.all([
        requestSlopes(seed, progress),
        memberSlopes(progress),
        targetSlopes(progress),
        takeoverSlopes(progress),
    ]);
    const memory = memorySlopes();
    return {
        // The baseline router has no control plane; the scenario `hop` measures its CPU time per request.
        baseline: {},
        product: { requests, members, targets, takeovers, memory },
        bounds: {
            takeoverMs: atMost(
                Math.max(...takeovers.takeoverMsPerTargetHeld.points.map(({ cost }) => cost)),
                SERVED_AGAIN_LIMIT_MS,
            ),
            controlBytesPerSecondOf24Members: atMost(
                largest(members.controlBytesPerSecondOfInstance),
                CONTROL_BYTES_LIMIT,
            ),
            controlCpuMsPerSecondOf24Members: atMost(
                largest(members.controlCpuMsPerSecondOfInstance),
                CONTROL_CPU_LIMIT_MS,
            ),
        },
    };
};

/** Measures how costs grow with sizes, as least-squares lines; `docs/CAPACITY.md` is derived from them. */
export const slopes: Scenario = {
    summary: "how costs grow with members, targets, slices, identifiers and requests",
    run,
};
