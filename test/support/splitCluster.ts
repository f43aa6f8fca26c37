import { FAULT_MIX_BUNDLE, faultMixTargets } from "../faults/faultMix.js";
import { RouterCluster } from "./routerCluster.js";

/** Bundle that applies until all domains have started. */
const FIRST_BUNDLE = `version = 1
name = first
expires = 2099-12-31

[service unused]
path = /unused
divided-by = key
grants = checked
slots = 6
record = memory
deadline-ms = 1000

[kind unused.lookup]
methods = GET
pattern = /unused/:item
idempotent = true
`;

/** A router cluster whose domains can be partitioned from the platform and from each other. */
export interface SplitCluster {
    router: RouterCluster;
    /** Isolates a domain from the platform and the other domains, or reconnects it. */
    setPartitioned(domain: string, isPartitioned: boolean): void;
}

/**
 * Starts a cluster with the services of the fault mix and one target per service and domain.
 *
 * @example
 * const split = await startSplitCluster(["d1", "d2"], 2);
 * split.setCut("d2", true);
 */
export const startSplitCluster = async (
    domains: readonly string[],
    instancesPerDomain: number,
    timing: Record<string, string> = {},
): Promise<SplitCluster> => {
    const [first, ...others] = domains;
    // The slices must be distributed only after the targets of all domains have been listed.
    const services = faultMixTargets(1);
    const router = await RouterCluster.start({
        domains: [first],
        services,
        bundle: FIRST_BUNDLE,
        instancesPerDomain,
        proxied: true,
        splittable: true,
        timing,
    });
    try {
        for (const domain of others) {
            for (const { name } of services) {
                await router.cluster.startTarget(name, domain, `${name}-${domain}-1`);
            }
            for (let index = 1; index <= instancesPerDomain; index++) {
                await router.startInstance(domain, `${domain}-e${index}`);
            }
        }
        await router.roll(FAULT_MIX_BUNDLE.replace("version = 1", "version = 2"));
        await router.waitUntilOwned();
    } catch (error) {
        await router.dispose();
        throw error;
    }
    const setPartitioned = (domain: string, isPartitioned: boolean) => {
        if (isPartitioned) {
            router.network.partition(domain, node => node.domain === domain);
        } else {
            router.network.heal(domain);
        }
        for (const { platformProxy } of router.instances.filter(instance => instance.domain === domain)) {
            platformProxy.hold("toServer", isPartitioned);
            platformProxy.hold("toClient", isPartitioned);
        }
    };
    return { router, setPartitioned };
};
