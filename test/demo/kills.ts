import { setTimeout as delay } from "node:timers/promises";
import type { ClusterTarget } from "../support/testCluster.js";
import { UNDIVIDED_SERVICES } from "./deployments.js";
import type { DemoInstance, DemoRouter } from "./demoRouter.js";

/** Times after the start of the traffic, in milliseconds. */
const INSTANCE_KILL_MS = 3_000;
const TARGET_KILL_MS = 7_000;
/** Time after which an ended process disappears from the instance list, in milliseconds. */
const LIST_LAG_MS = 2_000;

const choose = <Item>(items: readonly Item[], random: () => number): Item => items[Math.floor(random() * items.length)];

/** The processes that are killed in a run. */
export interface Victims {
    instance: DemoInstance;
    target: ClusterTarget;
}

/** Chooses an entry instance and a target that owns keys. The start order of the processes doesn't matter. */
export const chooseVictims = (router: DemoRouter, random: () => number): Victims => {
    const instances = [...router.instances].sort((a, b) => (a.instance < b.instance ? -1 : 1));
    const targets = router.cluster.targets
        .filter(({ service }) => !UNDIVIDED_SERVICES.has(service))
        .sort((a, b) => (a.name < b.name ? -1 : 1));
    return { instance: choose(instances, random), target: choose(targets, random) };
};

/** Kills an entry instance, later a target, with SIGKILL, and removes each from the instance list after a delay. */
export const killVictims = async (
    router: DemoRouter,
    { instance, target }: Victims,
    options: { report: (text: string) => void; signal: AbortSignal },
): Promise<void> => {
    const { report, signal } = options;
    await delay(INSTANCE_KILL_MS, undefined, { signal });
    await instance.program.kill();
    report(`Killed entry instance ${instance.instance}.`);
    await delay(LIST_LAG_MS, undefined, { signal });
    await router.unlist(instance.instance);
    await delay(TARGET_KILL_MS - INSTANCE_KILL_MS - LIST_LAG_MS, undefined, { signal });
    await target.program.kill();
    report(`Killed target ${target.name}.`);
    await delay(LIST_LAG_MS, undefined, { signal });
    await router.unlist(target.name);
};
