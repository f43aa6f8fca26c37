import { readFileSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { systemClock } from "../../src/process/runtime/clock.js";
import { PlatformTable } from "../../src/process/store/platformTable.js";
import { targetRowSchema } from "../../src/process/store/rows.js";
import { generateSigningKeys } from "../../src/version/signature.js";
import { rollSigned, startEntryInstance } from "../support/entryInstance.js";
import { waitFor } from "../support/waitFor.js";
import { TestCluster, type ClusterDaemon } from "../support/testCluster.js";
import { combineBundles } from "./combineBundles.js";
import { DEPLOYMENTS, DOMAINS, INSTANCES_PER_DOMAIN } from "./deployments.js";

/** An entry instance of the demo. */
export interface DemoInstance extends ClusterDaemon {
    /** Address for callers. */
    callers: string;
}

const BUNDLE_VERSION = 1;
/** Timeout of the bundle rollout, and then of the assignment of all dispatchers, in milliseconds. */
const START_LIMIT_MS = 15_000;
const YEAR_MS = 365 * 86_400_000;

/**
 * The platform stand-in, the targets of both deployments and the entry instances, as separate processes. The instances
 * connect to each other and to the platform directly, without fault proxies, which would run in the process that
 * measures the latencies.
 *
 * @example
 * const router = await DemoRouter.start();
 * await router.rollBundle();
 * await router.dispose();
 */
export class DemoRouter {
    readonly instances: DemoInstance[] = [];
    private readonly keys = generateSigningKeys();

    private constructor(readonly cluster: TestCluster) {}

    static async start(): Promise<DemoRouter> {
        const services = DEPLOYMENTS.flatMap(deployment => deployment.services);
        // Without targets, which are then started concurrently.
        const withoutTargets = services.map(service => ({ ...service, targetsPerDomain: 0 }));
        const cluster = await TestCluster.start({ domains: DOMAINS, services: withoutTargets });
        const router = new DemoRouter(cluster);
        try {
            await settleAll(
                DOMAINS.flatMap(domain => [
                    ...services.flatMap(({ name, targetsPerDomain }) =>
                        numbers(targetsPerDomain).map(index =>
                            cluster.startTarget(name, domain, `${name}-${domain}-${index}`),
                        ),
                    ),
                    ...numbers(INSTANCES_PER_DOMAIN).map(index =>
                        router.startInstance(domain, `entry-${domain}-${index}`),
                    ),
                ]),
            );
            return router;
        } catch (error) {
            await router.dispose();
            throw error;
        }
    }

    /** Signs and rolls out a bundle with the services of both deployments; waits until all targets have dispatchers. */
    async rollBundle(): Promise<void> {
        const texts = DEPLOYMENTS.map(({ bundleFile }) => readFileSync(resolve(bundleFile), "utf8"));
        // With the expiry date of the examples, the demo would stop working on that date.
        const expires = new Date(Date.now() + YEAR_MS).toISOString().slice(0, 10);
        const text = combineBundles(texts, { name: "demo", version: BUNDLE_VERSION, expires });
        const result = await rollSigned(this.cluster, this.keys, text, { limitMs: START_LIMIT_MS });
        if (result.isErr()) {
            throw new Error(`The bundle was not accepted: ${JSON.stringify(result.error)}`);
        }
        const table = new PlatformTable({ url: this.cluster.platform.url, clock: systemClock });
        try {
            await waitFor(() => this.isOwned(table), START_LIMIT_MS);
        } finally {
            await table.dispose();
        }
    }

    /** Removes an ended instance or target from the instance list, as the platform does some time after its exit. */
    unlist(name: string): Promise<void> {
        return this.cluster.platform.changeInstance({ name, remove: true });
    }

    /** Writes the output of all instances and the logs of all targets to a folder. */
    saveLogs(folder: string): void {
        for (const { instance, program } of this.instances) {
            writeFileSync(join(folder, `${instance}.log`), program.stdout + program.stderr);
        }
        for (const { name, logFile } of this.cluster.targets) {
            writeFileSync(join(folder, `${name}.log`), readFileSync(logFile));
        }
    }

    dispose(): Promise<void> {
        return this.cluster.dispose();
    }

    private async isOwned(table: PlatformTable): Promise<boolean> {
        const rows = await table.scan("target/");
        return (
            rows.isOk() &&
            rows.value.rows.length === this.cluster.targets.length &&
            rows.value.rows.every(({ value }) => targetRowSchema.parse(value).dispatcher !== "")
        );
    }

    private async startInstance(domain: string, name: string): Promise<void> {
        const daemon = await startEntryInstance(this.cluster, {
            name,
            domain,
            keys: this.keys,
            settingsFile: join(this.cluster.folder, `${name}.ini`),
            platformUrl: this.cluster.platform.url,
        });
        this.instances.push({ ...daemon, callers: daemon.program.listening.callers });
    }
}

const numbers = (count: number): number[] => Array.from({ length: count }, (_, index) => index + 1);

/** Waits for all promises, even after a failure, so that no start is in progress when the cluster is disposed. */
const settleAll = async (starts: readonly Promise<unknown>[]): Promise<void> => {
    const failed = (await Promise.allSettled(starts)).find(({ status }) => status === "rejected");
    if (failed?.status === "rejected") {
        throw failed.reason;
    }
};
