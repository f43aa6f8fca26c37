import { targetRowSchema } from "../../src/process/store/rows.js";
import type { RouterCluster, RouterInstance } from "./routerCluster.js";

/** The instance that dispatches for a target according to the table, and the others. */
export interface DispatcherAndOthers {
    dispatcher: RouterInstance;
    others: RouterInstance[];
    term: number;
}

/**
 * Finds the dispatcher of a target in the table; fails if no running instance of the cluster is named there.
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
