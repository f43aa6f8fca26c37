import type { TargetSettings } from "../../test/support/targetOptions.js";
import { benchBundle } from "./benchBundle.js";
import { BenchCluster } from "./benchCluster.js";
import { USER_SIZES, type UserSize } from "./userSizes.js";

/** Returns the name of the service of the baseline targets that mirrors a service with checked grants. */
export const plainServiceOf = (service: string): string => `${service}-plain`;

/**
 * Starts entry instances and the targets of both users in one domain. Unchecked targets also serve the baseline. Checked
 * ones refuse requests without a term, so the baseline gets the same number of separate unchecked targets.
 *
 * @example
 * const cluster = await startUserCluster({ targets: 4, instances: 2 });
 */
export const startUserCluster = async ({
    targets,
    instances,
    sizes = USER_SIZES,
    grants = "unchecked",
    limits,
}: {
    targets: number;
    instances: number;
    sizes?: readonly UserSize[];
    grants?: "checked" | "unchecked";
    limits?: Record<string, string>;
}): Promise<BenchCluster> => {
    const options = (slots: number, checksGrants: boolean): Omit<TargetSettings, "service" | "target"> => ({
        slots,
        checksGrants,
        keepLog: false,
        // Load reports are delayed by seconds.
        reportLagMs: 2_000,
    });
    const cluster = await BenchCluster.start({
        domains: ["d1"],
        services: sizes.flatMap(({ service, slots }) => [
            { name: service, targetsPerDomain: targets, options: options(slots, grants === "checked") },
            ...(grants === "checked"
                ? [{ name: plainServiceOf(service), targetsPerDomain: targets, options: options(slots, false) }]
                : []),
        ]),
        bundle: benchBundle(sizes.map(({ service, slots }) => ({ name: service, grants, slots }))),
        instancesPerDomain: instances,
        limits,
    });
    try {
        await cluster.waitUntilOwned();
        return cluster;
    } catch (error) {
        await cluster.dispose();
        throw error;
    }
};

/** Starts a baseline router for each user and returns their addresses by service. */
export const startBaselines = async (
    cluster: BenchCluster,
    sizes: readonly UserSize[] = USER_SIZES,
): Promise<Map<string, string>> => {
    const routers = new Map<string, string>();
    for (const { service, slots } of sizes) {
        routers.set(service, (await cluster.startBaseline({ slots })).listening.callers);
    }
    return routers;
};
