import { benchBundle } from "../support/benchBundle.js";
import { BenchCluster, type BenchInstance } from "../support/benchCluster.js";
import { incarnationOf } from "../support/benchKeys.js";
import { leastSquares, type FitPoint, type LinearFit } from "../support/leastSquares.js";
import { waitFor } from "../../test/support/waitFor.js";

const INSTANCES = 6;
const TARGETS = 30;
/** Number of consecutive losses; the survivors still have a majority after each. */
const LOSSES = 4;

/** Measures the takeover time and the table writes after the loss of a dispatcher, by its number of targets. */
export const takeoverSlopes = async (progress: (text: string) => void): Promise<Record<string, LinearFit>> => {
    const cluster = await BenchCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: TARGETS, options: { keepLog: false } }],
        bundle: benchBundle([{ name: "stock", grants: "checked", slots: 6 }]),
        instancesPerDomain: INSTANCES,
    });
    const times: FitPoint[] = [];
    const writes: FitPoint[] = [];
    try {
        await cluster.waitUntilOwned();
        for (let loss = 0; loss < LOSSES; loss++) {
            const rows = await cluster.rows();
            const targetsOf = ({ name }: BenchInstance) =>
                rows.allTargets().filter(({ value }) => value.dispatcher === incarnationOf(rows, name)).length;
            // Alternates between the dispatchers with the fewest and the most targets, so that the sizes differ.
            const byTargets = [...cluster.instances].sort((a, b) => targetsOf(a) - targetsOf(b));
            const lost = loss % 2 === 0 ? byTargets[0] : byTargets[byTargets.length - 1];
            const incarnation = incarnationOf(rows, lost.name);
            const size = targetsOf(lost);
            const before = await cluster.cluster.platform.statistics();
            const killedAt = performance.now();
            await lost.program.kill();
            cluster.instances.splice(cluster.instances.indexOf(lost), 1);
            await waitFor(async () => {
                const now = await cluster.rows();
                return (
                    now.allTargets().every(({ value }) => value.dispatcher !== incarnation) &&
                    incarnationOf(now, lost.name) === ""
                );
            }, 10_000);
            times.push({ size, cost: performance.now() - killedAt });
            const after = await cluster.cluster.platform.statistics();
            writes.push({ size, cost: after.table.writes - before.table.writes });
            progress(`takeover of ${size} targets: ${Math.round(performance.now() - killedAt)} ms`);
        }
        return { takeoverMsPerTargetHeld: leastSquares(times), tableWritesPerTargetTakenOver: leastSquares(writes) };
    } finally {
        await cluster.dispose();
    }
};
