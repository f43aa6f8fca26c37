import { z } from "zod";

/** Whether a request of a route may be sent again after it was sent to a target. */
const repeatabilitySchema = z.enum(["idempotent", "nonIdempotent"]);
export type Repeatability = z.infer<typeof repeatabilitySchema>;

const backendSchema = z.object({ service: z.string().min(1), weight: z.number().min(0) });

const routeSchema = z.object({
    name: z.string(),
    host: z.string().min(1),
    /** Begins and ends with a slash. */
    prefix: z.string().regex(/^\/(.*\/)?$/),
    repeatability: repeatabilitySchema,
    /** Whether answers are large. */
    bulk: z.boolean(),
    /** Maximum time until the final answer, in milliseconds. */
    timeoutMs: z.number().positive(),
    /** Time within which an answer is of full use to the caller, in milliseconds. */
    targetLatencyMs: z.number().positive(),
    /** Maximum number of targets to which one request may be sent. */
    maxAttempts: z.number().int().min(1),
    /** Priority of the route; 0 is the highest. */
    priority: z.number().int().min(0),
    backends: z.array(backendSchema).min(1),
});
export type Route = z.infer<typeof routeSchema>;

const routedServiceSchema = z.object({
    name: z.string().min(1),
    /** Maximum number of connections from all callers to one target. */
    connectionLimit: z.number().int().positive(),
    /** Whether each key has one owning target. */
    keyed: z.boolean(),
    /** Time for which a target is cold after it has started, in milliseconds. */
    warmupMs: z.number().min(0).optional(),
    /** Requests a second that a cold target tolerates; its rate isn't bounded if this is 0 or missing. */
    warmupPerSecond: z.number().min(0).optional(),
});
export type RoutedService = z.infer<typeof routedServiceSchema>;

const clientLimitsSchema = z.object({
    headerBytes: z.number().int().positive(),
    bodyBytes: z.number().int().positive(),
    /** Time within which the headers of a request must arrive, in milliseconds. */
    headerTimeoutMs: z.number().positive(),
    /** Time for which a client connection may be idle, in milliseconds. */
    idleTimeoutMs: z.number().positive(),
});
export type ClientLimits = z.infer<typeof clientLimitsSchema>;

/** One version of the routes; all instances apply the same one. */
export const routeConfigSchema = z
    .object({
        version: z.number().int().min(0),
        routes: z.array(routeSchema).min(1),
        services: z.array(routedServiceSchema).min(1),
        limits: clientLimitsSchema,
    })
    .superRefine((config, context) => {
        const known = new Set(config.services.map(({ name }) => name));
        for (const { name, backends } of config.routes) {
            for (const { service } of backends.filter(backend => !known.has(backend.service))) {
                context.addIssue({
                    code: "custom",
                    path: ["routes", name],
                    message: `references the unknown service ${service}`,
                });
            }
            if (backends.every(({ weight }) => weight === 0)) {
                context.addIssue({ code: "custom", path: ["routes", name], message: "has no backend with a weight" });
            }
        }
    });
export type RouteConfig = z.infer<typeof routeConfigSchema>;
