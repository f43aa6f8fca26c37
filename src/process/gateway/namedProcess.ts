import { z } from "zod";

/** Names a target's process in messages between instances. */
export const namedProcessSchema = z.object({
    /** Identifier and start time of the target's process in Unix milliseconds. */
    id: z.string(),
    startedAtMs: z.number(),
});
export type NamedProcess = z.infer<typeof namedProcessSchema>;
