import { z } from "zod";
import type { TableReplica } from "../store/tableReplica.js";

/** Row `drain/target/<service>/<target>` or `drain/instance/<incarnation>`: an operator's request to drain. */
export const drainRowSchema = z.object({
    /** The operator who requested the drain. */
    by: z.string(),
    /** Address of the target to drain. The request doesn't apply to a target that returns under another address. */
    address: z.string().optional(),
    attempt: z.string(),
});
export type DrainRow = z.infer<typeof drainRowSchema>;

/** Row key of the request to drain a target. */
export const targetDrainKey = (service: string, target: string) => `drain/target/${service}/${target}`;

/**
 * Row key of the request to drain an instance. It applies to one incarnation, not to a later start under the same name.
 */
export const instanceDrainKey = (incarnation: string) => `drain/instance/${incarnation}`;

/**
 * Whether an operator has requested to drain a target at this address.
 *
 * @example
 * if (isTargetDrainRequested(replica, "stock", "t1", "10.0.0.7:80")) { dispatcher.drain(); }
 */
export const isTargetDrainRequested = (
    replica: TableReplica,
    service: string,
    target: string,
    address: string,
): boolean => replica.get(targetDrainKey(service, target), drainRowSchema)?.value.address === address;

/** Whether an operator has requested to drain the instance with this incarnation. */
export const isInstanceDrainRequested = (replica: TableReplica, incarnation: string): boolean =>
    replica.get(instanceDrainKey(incarnation), drainRowSchema) !== undefined;
