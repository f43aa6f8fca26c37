import { targetRowSchema } from "../../src/process/store/rows.js";
import type { RouterCluster, RouterInstance } from "./routerCluster.js";

/** The dispatcher of a target according to the table, and the other instances. */
export interface DispatcherAndOthers {
    dispatcher: RouterInstance;
    others: RouterInstance[];
    term: number;
}

/**
 * Looks up the dispatcher of a target in the table; fails if it isn't a running instance of the cluster.
 *
 * @example
 * const { dispatcher, others } = await dispatcherOf(router, "orders", "orders-d1-1");
 */
export const dispatcherOf = async (
    router: RouterCluster,
    service: string,
    target: string,
): Promise<DispatcherAndOthers> => {
    const row = (await router.rows()).get(`target/${service}/${target}`, targetRowSchema)?.value;
    const name = row?.dispatcher.split(".")[0];
    const dispatcher = router.instances.find(instance => instance.name === name);
    if (row === undefined || dispatcher === undefined) {
        throw new Error(`${target} is dispatched by ${row?.dispatcher ?? "no instance"}, which is not running.`);
    }
    return { dispatcher, others: router.instances.filter(instance => instance !== dispatcher), term: row.term };
};
