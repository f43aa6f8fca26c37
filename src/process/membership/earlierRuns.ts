import { z } from "zod";

/** A request that the former dispatcher of a target sent and that still runs there. */
export const earlierRunSchema = z.object({
    position: z.number().int().min(0),
    /** Time after which it can no longer run, in milliseconds. */
    remainingMs: z.number().min(0),
});
export type EarlierRun = z.infer<typeof earlierRunSchema>;

/** What a dispatcher reports to the next one about requests that continue at the target after a handover. */
export const earlierRunsSchema = z.object({
    /** Time after which no request that the former dispatcher sent can still run, in milliseconds. */
    remainingMs: z.number().min(0),
    /** Requests in flight. Moving their positions before they have ended would make the target abandon them. */
    running: z.array(earlierRunSchema),
});
export type EarlierRuns = z.infer<typeof earlierRunsSchema>;

/** A request of the former dispatcher ended at a target. */
export const endedRunSchema = z.object({ target: z.string(), position: z.number().int().min(0) });
export type EndedRun = z.infer<typeof endedRunSchema>;
