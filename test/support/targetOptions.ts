import { z } from "zod";

/** Requests that crash the target: their path starts with `path` or their body contains `body`. */
export const crashRuleSchema = z.strictObject({ path: z.string().optional(), body: z.string().optional() });

/** False values that the probe reports instead of the true ones. */
export const probeLieSchema = z.strictObject({
    slots: z.number().optional(),
    inFlight: z.number().optional(),
    load: z.number().optional(),
    state: z.enum(["serving", "cold", "draining"]).optional(),
});

export const targetOptionsSchema = z.strictObject({
    service: z.string(),
    target: z.string(),
    slots: z.number().int().min(1).default(6),
    checksGrants: z.boolean().default(true),
    serviceMs: z.number().min(0).default(1),
    /** Service times by path prefix; the first match applies; `?serviceMs=` overrides it. */
    servicePaths: z.array(z.strictObject({ prefix: z.string(), serviceMs: z.number().min(0) })).default([]),
    /** Time after the start during which service times are multiplied by `coldFactor`. */
    coldMs: z.number().min(0).default(0),
    coldFactor: z.number().min(1).default(3),
    /** Delay of the first request of a connection, measured from the acceptance of the connection. */
    connectMs: z.number().min(0).default(1),
    probeMs: z.number().min(0).default(6),
    /** Maximum age of the probe's values before they are measured again. */
    reportLagMs: z.number().min(0).default(0),
    lie: probeLieSchema.default({}),
    crash: z.array(crashRuleSchema).default([]),
    /** Minimum time between the start of a drain and the process exit; new work is refused meanwhile. */
    drainLingerMs: z.number().min(0).default(1_000),
    /** Whether events are also kept in memory; off for long runs. */
    keepLog: z.boolean().default(true),
});
export type TargetOptions = z.infer<typeof targetOptionsSchema>;
export type TargetSettings = z.input<typeof targetOptionsSchema>;

/** Body of `POST /control` on the control address. Omitted fields keep their values. */
export const targetControlSchema = z.strictObject({
    drain: z.literal(true).optional(),
    slots: z.number().int().min(0).optional(),
    checksGrants: z.boolean().optional(),
    serviceMs: z.number().min(0).optional(),
    servicePaths: targetOptionsSchema.shape.servicePaths.unwrap().optional(),
    connectMs: z.number().min(0).optional(),
    probeMs: z.number().min(0).optional(),
    reportLagMs: z.number().min(0).optional(),
    lie: probeLieSchema.optional(),
    crash: z.array(crashRuleSchema).optional(),
});
export type TargetControl = z.infer<typeof targetControlSchema>;
