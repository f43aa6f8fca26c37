import { z } from "zod";

/** A request that runs on a target on behalf of its former dispatcher. */
export const earlierRunSchema = z.object({
    position: z.number().int().min(0),
    /** Time after which it can't run any more, in milliseconds. */
    remainingMs: z.number().min(0),
});
export type EarlierRun = z.infer<typeof earlierRunSchema>;

/** What a dispatcher tells the next one about requests that go on at the target after a hand-over. */
export const earlierRunsSchema = z.object({
    /** Time after which no request that the former dispatcher sent can run, in milliseconds. */
    remainingMs: z.number().min(0),
    /** Requests in flight. Their positions must not move until they have ended, or they would be given up. */
    running: z.array(earlierRunSchema),
});
export type EarlierRuns = z.infer<typeof earlierRunsSchema>;

/** A request of the former dispatcher ended at a target. */
export const endedRunSchema = z.object({ target: z.string(), position: z.number().int().min(0) });
export type EndedRun = z.infer<typeof endedRunSchema>;
