import { z } from "zod";
import { sliceSchema } from "../../src/process/store/rows.js";

/** A target of the baseline router. */
export const baselineTargetSchema = z.strictObject({
    service: z.string(),
    target: z.string(),
    address: z.string(),
    slices: z.array(sliceSchema),
});
export type BaselineTarget = z.infer<typeof baselineTargetSchema>;

export const baselineOptionsSchema = z.strictObject({
    targets: z.array(baselineTargetSchema),
    /** Maximum number of concurrent requests to one target; further requests are queued. */
    slots: z.number().int().min(1),
    /** Maximum number of retries of a failed request. */
    retries: z.number().int().min(0).default(3),
});
export type BaselineOptions = z.infer<typeof baselineOptionsSchema>;
export type BaselineSettings = z.input<typeof baselineOptionsSchema>;
