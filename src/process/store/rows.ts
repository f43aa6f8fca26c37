import { z } from "zod";

/** A half-open range of positions `[start, end)` on the 32-bit ring of key hashes. */
export const sliceSchema = z.tuple([z.number().int().min(0), z.number().int().max(0x1_0000_0000)]);
export type Slice = z.infer<typeof sliceSchema>;

/** Row `target/<service>/<target>`: the slices that a target owns, and the instance that dispatches to it. */
export const targetRowSchema = z.object({
    service: z.string(),
    target: z.string(),
    domain: z.string(),
    /** `host:port` of the target's HTTP address. */
    address: z.string(),
    slices: z.array(sliceSchema),
    /** Incarnation of the instance through which all requests to the target pass; empty while it has none. */
    dispatcher: z.string(),
    /** Fencing token; increases with each change of owner or dispatcher. */
    term: z.number().int().min(0),
    state: z.enum(["serving", "draining", "lost"]),
    /**
     * Attempt of the handover that the row carries out; empty if its dispatcher got the target or slices without one.
     * Rows of versions that don't state it lack it.
     */
    handOver: z.string().optional(),
    /** Identifier of the transaction that last wrote the row. */
    attempt: z.string(),
});
export type TargetRow = z.infer<typeof targetRowSchema>;

/** Row `member/<domain>/<instance>`: a registered entry instance. */
export const memberRowSchema = z.object({
    instance: z.string(),
    domain: z.string(),
    /** Unique to each registration of an instance, so that a removed instance can't act under its old row. */
    incarnation: z.string(),
    /** `host:port` of the gRPC address for peers. */
    peerAddress: z.string(),
    state: z.enum(["joining", "active", "leaving"]),
    /**
     * Incarnations on whose promises its lease has depended since its registration. Without this field it depends on
     * those of all members that were registered then.
     */
    observers: z.array(z.string()).optional(),
    attempt: z.string(),
});
export type MemberRow = z.infer<typeof memberRowSchema>;

/** Row `service/<name>`: marks that the slices of the service have been distributed to targets. */
export const serviceRowSchema = z.object({ service: z.string(), attempt: z.string() });
export type ServiceRow = z.infer<typeof serviceRowSchema>;

/** Key of the row of a target. */
export const targetRowKey = (service: string, target: string) => `target/${service}/${target}`;

/** Start of the keys of the members of a domain. */
export const memberRowPrefix = (domain: string) => `member/${domain}/`;

/** Key of the row of a member. */
export const memberRowKey = (domain: string, instance: string) => `${memberRowPrefix(domain)}${instance}`;

/** Key of the row that the removal of a member writes, since a transaction must write at least one row with a value. */
export const leftRowKey = (domain: string, instance: string) => `left/${domain}/${instance}`;

/** Key of the row of a service whose slices have been distributed. */
export const serviceRowKey = (service: string) => `service/${service}`;

/** A row of the table. A deleted row has the value `undefined` and the version of its deletion. */
export interface VersionedRow {
    key: string;
    version: number;
    value: unknown;
}
