import { benchBundle } from "../support/benchBundle.js";
import { BenchCluster } from "../support/benchCluster.js";
import { leastSquares, type FitPoint, type LinearFit } from "../support/leastSquares.js";
import { observeUsage } from "../support/processUsage.js";
import { pause, waitFor } from "../../test/support/waitFor.js";

/** Numbers of targets of the only dispatcher, in ascending order, since targets are only added. */
const TARGETS = [4, 12, 24] as const;
const OBSERVED_MS = 3_000;

/** Measures a dispatcher's traffic, CPU time and memory per target, caused by grants, probes and connections. */
export const targetSlopes = async (progress: (text: string) => void): Promise<Record<string, LinearFit>> => {
    const cluster = await BenchCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: TARGETS[0], options: { keepLog: false } }],
        bundle: benchBundle([{ name: "stock", grants: "checked", slots: 6 }]),
        instancesPerDomain: 1,
    });
    const bytes: FitPoint[] = [];
    const cpu: FitPoint[] = [];
    const resident: FitPoint[] = [];
    try {
        const [{ program }] = cluster.instances;
        for (const size of TARGETS) {
            while (cluster.cluster.targets.length < size) {
                await cluster.cluster.startTarget("stock", "d1", `stock-d1-${cluster.cluster.targets.length + 1}`);
            }
            await waitFor(async () => (await cluster.rows()).allTargets().length >= size, 20_000);
            await pause(1_000);
            const [usage] = await observeUsage([program.pid], OBSERVED_MS);
            const seconds = usage.elapsedMs / 1_000;
            bytes.push({ size, cost: (usage.bytesRead + usage.bytesWritten) / seconds });
            cpu.push({ size, cost: usage.cpuMs / seconds });
            resident.push({ size, cost: usage.residentBytes });
            progress(`targets ${size}: ${(usage.cpuMs / seconds).toFixed(1)} ms/s`);
        }
        return {
            bytesPerSecondPerTarget: leastSquares(bytes),
            cpuMsPerSecondPerTarget: leastSquares(cpu),
            residentBytesPerTarget: leastSquares(resident),
        };
    } finally {
        await cluster.dispose();
    }
};
