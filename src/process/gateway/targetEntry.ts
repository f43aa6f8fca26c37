import { z } from "zod";

/** A target's entry in the store, written by the target itself. */
export const targetEntrySchema = z.object({
    id: z.string().min(1),
    service: z.string().min(1),
    /** Host and port. */
    address: z.string().regex(/^[^:]+:\d+$/),
    /** Failure domain. */
    domain: z.string(),
    slots: z.number().int().positive(),
    draining: z.boolean(),
    /** Remaining warm-up time, in which the target is slow after its start, in milliseconds. */
    warmupLeftMs: z.number().min(0),
    /** Start time of the target's process, in Unix milliseconds. A target that restarts under the same id holds no keys. */
    startedAtMs: z.number().int(),
});
export type TargetEntry = z.infer<typeof targetEntrySchema>;
