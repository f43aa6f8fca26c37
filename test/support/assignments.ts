import type { TableReplica } from "../../src/process/store/tableReplica.js";
import { rendezvousFirst } from "../../src/process/membership/rendezvous.js";
import { RING_SIZE } from "../../src/process/ownership/sliceMap.js";
import { positionOf } from "../../src/request/position.js";
import { parseJson } from "./httpSupport.js";
import { instanceRows } from "./instanceRows.js";
import type { RequestClient } from "./requestClient.js";
import type { RouterCluster, RouterInstance } from "./routerCluster.js";

/** Deadline of lookups, in milliseconds. */
const LOOKUP_DEADLINE_MS = 2_000;

/** Gaps and overlaps between the slices of each service; empty if the slices cover the ring exactly once. */
export const partitionProblems = (replica: TableReplica, services: readonly string[]): string[] =>
    services.flatMap(service => {
        const slices = replica
            .targets(service)
            .flatMap(({ value }) => value.slices)
            .sort((a, b) => a[0] - b[0]);
        const ends = [0, ...slices.map(([, end]) => end)];
        const starts = [...slices.map(([start]) => start), RING_SIZE];
        return starts.flatMap((start, index) =>
            start === ends[index] ? [] : [`${service}: a slice ends at ${ends[index]} and the next starts at ${start}`],
        );
    });

/** Targets whose dispatcher is not a running, registered member of their domain. */
export const dispatcherProblems = (replica: TableReplica, instances: readonly RouterInstance[]): string[] => {
    const running = new Set(instances.map(({ domain, name }) => `${domain} ${name}`));
    const registered = new Set(
        replica
            .allMembers()
            .filter(({ value }) => running.has(`${value.domain} ${value.instance}`))
            .map(({ value }) => `${value.domain} ${value.incarnation}`),
    );
    return replica
        .allTargets()
        .filter(({ value }) => !registered.has(`${value.domain} ${value.dispatcher}`))
        .map(({ value }) => `${value.target}: the dispatcher ${value.dispatcher} is not registered or doesn't run`);
};

/** Targets that haven't been handed over to the preferred member of their domain yet. */
export const spreadProblems = (replica: TableReplica): string[] =>
    replica.allTargets().flatMap(({ value: { service, target, domain, dispatcher } }) => {
        const members = replica.members(domain).map(({ value }) => value.incarnation);
        const preferred = rendezvousFirst(`${service}/${target}`, members);
        return preferred === dispatcher ? [] : [`${target}: dispatched by ${dispatcher}, preferred is ${preferred}`];
    });

/** Keys whose lookups through an instance aren't answered by the target that owns them according to `replica`. */
export const answerProblems = async (
    replica: TableReplica,
    instance: RouterInstance,
    client: RequestClient,
    keys: readonly { service: string; key: string }[],
): Promise<string[]> => {
    const found = await Promise.all(
        keys.map(async ({ service, key }) => {
            const reply = await client.send({
                address: instance.callers,
                path: `/${service}/${key}`,
                key,
                deadlineMs: LOOKUP_DEADLINE_MS,
            });
            const answer = parseJson(reply.body.toString()) as { target?: string } | undefined;
            const owner = replica.sliceMap(service).ownerOf(positionOf(service, key))?.target;
            return reply.outcome === "answered" && owner !== undefined && answer?.target === owner
                ? []
                : [
                      `${service} ${key} through ${instance.name}: ${reply.outcome} ${reply.problem ?? ""} ${reply.error ?? ""} by ${answer?.target}, owned by ${owner}`,
                  ];
        }),
    );
    return found.flat();
};

/** The targets' rows of a replica as text, for comparing the rows of two instances. */
export const assignmentText = (replica: TableReplica): string =>
    replica
        .allTargets()
        .map(({ version, value }) => JSON.stringify([value.service, value.target, version, value]))
        .sort()
        .join("\n");

/** Reasons why the assignments aren't in place: in the table, at each instance, and for callers. */
export const assignmentProblems = async (
    router: RouterCluster,
    client: RequestClient,
    keys: readonly { service: string; key: string }[],
): Promise<string[]> => {
    const services = [...new Set(keys.map(({ service }) => service))];
    const replica = await router.rows();
    const held = await Promise.all(router.instances.map(instance => instanceRows(instance)));
    const differing = router.instances
        .filter((_, index) => assignmentText(held[index]) !== assignmentText(replica))
        .map(({ name }) => `${name} has target rows that differ from the table`);
    const inTable = [
        ...partitionProblems(replica, services),
        ...dispatcherProblems(replica, router.instances),
        ...differing,
    ];
    if (inTable.length > 0) {
        return inTable;
    }
    const answers = await Promise.all(
        router.instances.map(instance => answerProblems(replica, instance, client, keys)),
    );
    return answers.flat();
};
