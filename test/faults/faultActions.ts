import { type RouterCluster, type RouterInstance } from "../support/routerCluster.js";
import { pause } from "../support/waitFor.js";
import type { ClusterTarget } from "../support/testCluster.js";
import type { Fault } from "./faultSchedule.js";

let replacements = 0;

const replace = async (router: RouterCluster, instance: RouterInstance): Promise<void> => {
    // Another fault may have replaced the same instance meanwhile.
    if (!router.instances.includes(instance)) {
        return;
    }
    await router.unlist(instance);
    await router.startInstance(instance.domain, `${instance.domain}-r${++replacements}`);
};

type Direction = "toServer" | "toClient";

/** Holds back one or both directions of the proxies for a time, as a network partition does. */
const block = async (
    proxies: { hold(direction: Direction, held: boolean): void }[],
    durationMs: number,
    directions: readonly Direction[] = ["toServer", "toClient"],
) => {
    const hold = (held: boolean) =>
        proxies.forEach(proxy => directions.forEach(direction => proxy.hold(direction, held)));
    hold(true);
    await pause(durationMs);
    hold(false);
};

const freeze = async (program: { signal(signal: "SIGSTOP" | "SIGCONT"): void }, durationMs: number): Promise<void> => {
    program.signal("SIGSTOP");
    await pause(durationMs);
    program.signal("SIGCONT");
};

/** Injects a fault and resolves when it is over. */
export const injectFault = async (router: RouterCluster, fault: Fault): Promise<void> => {
    const { instances, cluster } = router;
    const instance = instances[fault.victim % instances.length];
    const target: ClusterTarget = cluster.targets[fault.victim % cluster.targets.length];
    const domain = instance.domain;
    switch (fault.kind) {
        case "kill-instance":
            await instance.daemon.program.kill();
            await pause(fault.durationMs);
            return replace(router, instance);
        case "replace-instance":
            instance.daemon.program.signal("SIGTERM");
            await instance.daemon.program.ended;
            return replace(router, instance);
        case "freeze-instance":
            return freeze(instance.daemon.program, fault.durationMs);
        case "cut-instance-from-platform":
            return block([instance.platformProxy], fault.durationMs);
        case "cut-instance-from-peers":
            return block([instance.peerProxy], fault.durationMs);
        case "split-instance-from-peers":
            router.network.partition(instance.name, ({ name }) => name === instance.name);
            await pause(fault.durationMs);
            return router.network.heal(instance.name);
        case "kill-target":
            await target.program.kill();
            await pause(fault.durationMs);
            return cluster.restartTarget(target);
        case "freeze-target":
            return freeze(target.program, fault.durationMs);
        case "reset-target-connections":
            target.proxy?.resetConnections();
            return;
        case "hang-target-connections":
            target.proxy?.hangConnections();
            return;
        case "cut-answer":
            target.proxy?.cutAfter("toClient", 100 + (fault.victim % 400));
            return;
        case "platform-outage":
            await cluster.platform.control({ table: { outage: fault.victim % 2 === 0 ? "unavailable" : "hang" } });
            await pause(fault.durationMs);
            return cluster.platform.control({ table: { outage: "off" } });
        case "platform-slow":
            await cluster.platform.control({ table: { latencyMs: 100 + (fault.victim % 700) } });
            await pause(fault.durationMs);
            return cluster.platform.control({ table: { latencyMs: 0 } });
        case "platform-loses-replies":
            return cluster.platform.control({ table: { loseReplies: 1 + (fault.victim % 3) } });
        case "block-peers-to-instance":
            return block([instance.peerProxy], fault.durationMs, ["toServer"]);
        case "block-instance-to-peers":
            return block([instance.peerProxy], fault.durationMs, ["toClient"]);
        case "block-platform-to-instance":
            return block([instance.platformProxy], fault.durationMs, ["toClient"]);
        case "block-instance-to-platform":
            return block([instance.platformProxy], fault.durationMs, ["toServer"]);
        case "cut-domain": {
            const members = instances.filter(candidate => candidate.domain === domain);
            return block(
                members.flatMap(({ platformProxy, peerProxy }) => [platformProxy, peerProxy]),
                fault.durationMs,
            );
        }
    }
};
