import { positionOf } from "../../src/request/position.js";
import type { TableReplica } from "../../src/process/store/tableReplica.js";

/**
 * Draws keys of a service and sorts them by the incarnation of the dispatcher that serves them.
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

/** Keys of a measurement. */
export const benchKeys = (count: number): string[] => Array.from({ length: count }, (_, index) => `key-${index}`);

/** Incarnation under which an instance is registered; empty when it is not. */
export const incarnationOf = (replica: TableReplica, instance: string): string =>
    replica.allMembers().find(({ value }) => value.instance === instance)?.value.incarnation ?? "";
