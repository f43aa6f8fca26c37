import { systemClock } from "../../src/process/runtime/clock.js";
import { DEFAULT_OBSERVERS } from "../../src/process/membership/observers.js";
import { CONTROL_LINK_IDLE_MS } from "../../src/process/membership/peers.js";
import { PlatformTable } from "../../src/process/store/platformTable.js";
import type { PlatformStatistics } from "../../test/support/platformStandIn.js";
import { benchBundle } from "../support/benchBundle.js";
import { BenchCluster } from "../support/benchCluster.js";
import { leastSquares, type FitPoint, type LinearFit } from "../support/leastSquares.js";
import { observeUsage, type ProcessUsage } from "../support/processUsage.js";
import { pause, waitFor } from "../../test/support/waitFor.js";

/** Maximum size of a domain in which all members stay connected to each other, so that no link is closed after the joins. */
const FULL_MESH_MEMBERS = DEFAULT_OBSERVERS + 1;
/** Numbers of instances, in ascending order, since instances are only added. More sizes would take over a minute. */
const MEMBERS = [2, 8, 24] as const;
/** Time until the links that joining members opened to query all others are closed, in milliseconds. */
const SETTLING_MS = CONTROL_LINK_IDLE_MS + 1_000;
const OBSERVED_MS = 2_500;
const CHANGES = 40;
/** Size of a written row in bytes, about that of a target row with 16 slices. */
const CHANGED_ROW_BYTES = 600;
const SERVICES = [{ name: "stock", grants: "checked", slots: 6 }] as const;

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const perSecond = (usage: readonly ProcessUsage[], value: (usage: ProcessUsage) => number): number =>
    mean(usage.map(one => (value(one) * 1_000) / one.elapsedMs));

const sentAndReceived = ({ bytesRead, bytesWritten }: ProcessUsage): number => bytesRead + bytesWritten;

const tableOperations = (before: PlatformStatistics, after: PlatformStatistics) => ({
    reads: after.table.reads - before.table.reads,
    writes: after.table.writes - before.table.writes,
    objectReads: after.objects.reads - before.objects.reads,
    objectWrites: after.objects.writes - before.objects.writes,
});

/** Writes rows that every instance replicates, one per transaction, and returns the cost of a change per instance. */
const measureChanges = async (cluster: BenchCluster, idleBytesPerSecond: number, idleCpuPerSecond: number) => {
    const table = new PlatformTable({ url: cluster.cluster.platform.url, clock: systemClock });
    const pids = cluster.instances.map(({ program }) => program.pid);
    const observed = observeUsage(pids, OBSERVED_MS);
    const padding = "x".repeat(CHANGED_ROW_BYTES);
    for (let index = 0; index < CHANGES; index++) {
        const key = `drain/bench-${cluster.instances.length}-${index}`;
        await table.transact([{ key, version: 0 }], [{ key, value: { padding } }]);
    }
    await table.dispose();
    const usage = await observed;
    const seconds = OBSERVED_MS / 1_000;
    return {
        bytes: ((perSecond(usage, sentAndReceived) - idleBytesPerSecond) * seconds) / CHANGES,
        cpuUs: ((perSecond(usage, ({ cpuMs }) => cpuMs) - idleCpuPerSecond) * seconds * 1_000) / CHANGES,
    };
};

/**
 * Measures costs that depend on the number of instances in a domain: control traffic and CPU time of each instance, table
 * reads and writes, and the costs of a changed row, a new instance and a bundle.
 */
export const memberSlopes = async (progress: (text: string) => void): Promise<Record<string, LinearFit>> => {
    const cluster = await BenchCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: 1, options: { keepLog: false } }],
        bundle: benchBundle(SERVICES),
        instancesPerDomain: MEMBERS[0],
    });
    const points: Record<string, FitPoint[]> = {};
    const addPoint = (name: string, size: number, cost: number) => {
        points[name] = [...(points[name] ?? []), { size, cost }];
    };
    const { platform } = cluster.cluster;
    try {
        let version = 1;
        for (const size of MEMBERS) {
            const missing = size - cluster.instances.length;
            const beforeJoin = await platform.statistics();
            const numbers = Array.from({ length: missing }, (_, index) => cluster.instances.length + index + 1);
            await Promise.all(numbers.map(number => cluster.startInstance("d1", `d1-e${number}`)));
            await waitFor(async () => (await cluster.activeMembers()) >= size, 20_000);
            if (missing > 0) {
                const { writes } = tableOperations(beforeJoin, await platform.statistics());
                addPoint("tableWritesPerJoinedInstance", size, writes / missing);
            }
            await pause(size > FULL_MESH_MEMBERS ? SETTLING_MS : OBSERVED_MS);
            const before = await platform.statistics();
            const usage = await observeUsage(
                cluster.instances.map(({ program }) => program.pid),
                OBSERVED_MS,
            );
            const idle = tableOperations(before, await platform.statistics());
            const bytes = perSecond(usage, sentAndReceived);
            const cpuMs = perSecond(usage, one => one.cpuMs);
            addPoint("controlBytesPerSecondOfInstance", size, bytes);
            addPoint("controlCpuMsPerSecondOfInstance", size, cpuMs);
            addPoint("tableReadsPerSecondOfDomain", size, (idle.reads * 1_000) / OBSERVED_MS);
            addPoint("tableWritesPerSecondOfDomain", size, (idle.writes * 1_000) / OBSERVED_MS);
            const change = await measureChanges(cluster, bytes, cpuMs);
            addPoint("bytesOfInstancePerChangedRow", size, change.bytes);
            addPoint("cpuUsOfInstancePerChangedRow", size, change.cpuUs);
            const beforeBundle = await platform.statistics();
            await cluster.roll(benchBundle(SERVICES, ++version));
            await pause(700);
            const bundle = tableOperations(beforeBundle, await platform.statistics());
            // The reads include the polls during the rollout.
            addPoint("tableReadsPerBundle", size, bundle.reads);
            addPoint("tableWritesPerBundle", size, bundle.writes);
            addPoint("objectReadsPerBundle", size, bundle.objectReads);
            progress(`members ${size}: ${Math.round(bytes)} bytes/s and ${cpuMs.toFixed(1)} ms/s of each instance`);
        }
        return Object.fromEntries(Object.entries(points).map(([name, measured]) => [name, leastSquares(measured)]));
    } finally {
        await cluster.dispose();
    }
};
