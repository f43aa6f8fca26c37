import { z } from "zod";

/** What a target says of itself in the store. */
export const targetEntrySchema = z.object({
    id: z.string().min(1),
    service: z.string().min(1),
    /** Host and port. */
    address: z.string().regex(/^[^:]+:\d+$/),
    /** Failure domain. */
    domain: z.string(),
    slots: z.number().int().positive(),
    draining: z.boolean(),
    /** Time for which the target is still slow after its start, in milliseconds. */
    warmupLeftMs: z.number().min(0),
    /** Start of the target's process, in Unix milliseconds. A target that starts again under its id holds no keys. */
    startedAtMs: z.number().int(),
});
export type TargetEntry = z.infer<typeof targetEntrySchema>;
