import { FAULT_MIX_BUNDLE, FAULT_MIX_SERVICES, faultMixTargets } from "../faults/faultMix.js";
import { assignmentProblems, spreadProblems } from "./assignments.js";
import { AtMostOnceCalls } from "./atMostOnceCalls.js";
import { RequestClient } from "./requestClient.js";
import { RouterCluster } from "./routerCluster.js";
import { waitFor } from "./waitFor.js";

/** Time within which assignments must be in place; generous, since these tests don't check its length. */
const IN_PLACE_LIMIT_MS = 30_000;

/** Names of the services of the fault mix. */
export const FAULT_MIX_NAMES = FAULT_MIX_SERVICES.map(({ name }) => name);

/** The given number of keys for each service of the fault mix. */
export const faultMixKeys = (count: number): { service: string; key: string }[] =>
    FAULT_MIX_NAMES.flatMap(service => Array.from({ length: count }, (_, index) => ({ service, key: `k${index}` })));

/** A router cluster with the services of the fault mix, and clients for it. */
export class FaultMixHarness {
    readonly client = new RequestClient();
    readonly calls: AtMostOnceCalls;

    constructor(readonly router: RouterCluster) {
        this.calls = new AtMostOnceCalls(router);
    }

    /** Starts three instances in one domain, and targets behind fault proxies; waits until all have dispatchers. */
    static async start(targetsPerService: number): Promise<FaultMixHarness> {
        const router = await RouterCluster.start({
            domains: ["d1"],
            services: faultMixTargets(targetsPerService),
            bundle: FAULT_MIX_BUNDLE,
            instancesPerDomain: 3,
            proxied: true,
        });
        const harness = new FaultMixHarness(router);
        await router.waitUntilOwned().catch(async (error: unknown) => {
            await harness.dispose();
            throw error;
        });
        return harness;
    }

    /** Waits until non-idempotent requests to the given services run through each instance. */
    async waitUntilRun(services: readonly string[]): Promise<void> {
        for (const service of services) {
            for (const instance of this.router.instances) {
                await this.calls.sendUntilSettled([instance], this.calls.request(service, instance.callers));
            }
        }
    }

    /**
     * Waits until all assignments are in place and, with `handedOver`, also for the handovers that follow a start: a
     * handover in progress when a network partition begins may block its target until the partition ends.
     */
    async inPlace(keys: readonly { service: string; key: string }[], handedOver: boolean): Promise<void> {
        let problems: string[] = [];
        await waitFor(async () => {
            problems = [
                ...(handedOver ? spreadProblems(await this.router.rows()) : []),
                ...(await assignmentProblems(this.router, this.client, keys)),
            ];
            return problems.length === 0;
        }, IN_PLACE_LIMIT_MS).catch((error: unknown) => {
            throw new Error(`${String(error)}\n${problems.join("\n")}`);
        });
    }

    async dispose(): Promise<void> {
        await this.calls.dispose();
        await this.client.dispose();
        await this.router.dispose();
    }
}
