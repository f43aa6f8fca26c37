import { positionOf } from "../../src/request/position.js";
import type { TableReplica } from "../../src/process/store/tableReplica.js";

/**
 * Groups the first `count` benchmark keys by the incarnation of their dispatcher in a service.
 *
 * @example
 * keysByDispatcher(await cluster.rows(), "stock", 2000).get(incarnation); // ["key-3", "key-8", ...]
 */
export const keysByDispatcher = (replica: TableReplica, service: string, count: number): Map<string, string[]> => {
    const map = replica.sliceMap(service);
    const keys = new Map<string, string[]>();
    for (const key of benchKeys(count)) {
        const dispatcher = map.ownerOf(positionOf(service, key))?.dispatcher ?? "";
        keys.set(dispatcher, [...(keys.get(dispatcher) ?? []), key]);
    }
    return keys;
};

/** Returns `key-0`, `key-1` and so on. */
export const benchKeys = (count: number): string[] => Array.from({ length: count }, (_, index) => `key-${index}`);

/** Returns the incarnation of a registered instance, or an empty string if it is not registered. */
export const incarnationOf = (replica: TableReplica, instance: string): string =>
    replica.allMembers().find(({ value }) => value.instance === instance)?.value.incarnation ?? "";
