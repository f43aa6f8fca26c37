import { z } from "zod";

/** A stream of similar requests. Times are in milliseconds since the start of the load. */
export const loadStreamSchema = z.strictObject({
    /** Streams with the same name share a recorder. */
    name: z.string(),
    /** `host:port` of the instances; requests are distributed round-robin. */
    addresses: z.array(z.string()).min(1),
    method: z.enum(["GET", "POST", "PUT", "DELETE"]).default("GET"),
    /** Path and query; `:key` is replaced by the key. */
    path: z.string(),
    service: z.string().optional(),
    keys: z.array(z.string()).min(1),
    /** Hot keys, and the share of the requests that is distributed evenly among them. */
    hot: z.strictObject({ keys: z.array(z.string()).min(1), share: z.number().min(0).max(1) }).optional(),
    /** Whether each request has a new request identifier. */
    identified: z.boolean().default(false),
    deadlineMs: z.number().int().min(1).optional(),
    /** Timeout after which the caller aborts a request and counts it as late, in milliseconds. */
    giveUpMs: z.number().int().min(1).optional(),
    caller: z.string().optional(),
    body: z.string().optional(),
    /** Closed loop: each caller sends its next request after the last one ended. Open loop: Poisson arrivals. */
    mode: z.discriminatedUnion("type", [
        z.strictObject({ type: z.literal("closed"), callers: z.number().int().min(1) }),
        z.strictObject({ type: z.literal("open"), perSecond: z.number().min(0) }),
    ]),
    fromMs: z.number().min(0).default(0),
    /** Defaults to the end of the load. */
    untilMs: z.number().min(0).optional(),
    /** Maximum number of connections per address; the wait for a free one counts as latency. */
    connections: z.number().int().min(1).default(256),
    /** Number of the random sequence; defaults to the index in the plan. Streams with the same number draw alike. */
    draws: z.number().int().min(0).max(99).optional(),
});
export type LoadStream = z.infer<typeof loadStreamSchema>;

/** The load that one or more worker processes generate. */
export const loadPlanSchema = z.strictObject({
    seed: z.number().int(),
    durationMs: z.number().min(1),
    /** Requests that arrive during the warm-up are not recorded. */
    warmupMs: z.number().min(0).default(0),
    /** Width of the time buckets of the recorders. */
    bucketMs: z.number().min(1).default(500),
    streams: z.array(loadStreamSchema),
});
export type LoadPlan = z.infer<typeof loadPlanSchema>;
export type LoadPlanInput = z.input<typeof loadPlanSchema>;

/**
 * Returns the part of a plan for worker `index` of `count`: its share of the callers and of the arrival rate.
 *
 * @example
 * planOfWorker(plan, 0, 2).streams[0].mode; // { type: "closed", callers: 4 } of 8
 */
export const planOfWorker = (plan: LoadPlan, index: number, count: number): LoadPlan => ({
    ...plan,
    seed: plan.seed * 1_000 + index,
    streams: plan.streams.flatMap((stream): LoadStream[] => {
        if (stream.mode.type === "open") {
            return [{ ...stream, mode: { ...stream.mode, perSecond: stream.mode.perSecond / count } }];
        }
        const { callers } = stream.mode;
        const own = Math.floor(callers / count) + (index < callers % count ? 1 : 0);
        return own === 0 ? [] : [{ ...stream, mode: { ...stream.mode, callers: own } }];
    }),
});
