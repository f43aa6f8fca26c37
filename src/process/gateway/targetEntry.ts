import { isIPv4 } from "node:net";
import { z } from "zod";

const MAX_PORT = 65_535;
/** Maximum number of slots of a target. It is far above what a process runs at once; more would draw all requests and keys. */
const MAX_SLOTS = 10_000;
/** Maximum remaining warm-up time in milliseconds, an hour. Targets warm up within seconds. */
const MAX_WARMUP_MS = 3_600_000;
/** Latest time that a `Date` can hold, in Unix milliseconds. */
const MAX_TIME_MS = 8_640_000_000_000_000;

/** Whether a text is an IPv4 address and a port. A host name isn't accepted, because each connection would look it up. */
const isTargetAddress = (text: string): boolean => {
    const [host, port, ...rest] = text.split(":");
    return rest.length === 0 && isIPv4(host) && /^[1-9]\d{0,4}$/.test(port ?? "") && Number(port) <= MAX_PORT;
};

/** A target's entry in the store, written by the target itself. */
export const targetEntrySchema = z.object({
    /** Visible ASCII characters, because it is sent as the value of a header. */
    id: z.string().regex(/^[\x21-\x7e]{1,200}$/),
    service: z.string().min(1),
    /** Host and port. */
    address: z.string().refine(isTargetAddress),
    /** Failure domain. */
    domain: z.string(),
    slots: z.number().int().positive().max(MAX_SLOTS),
    draining: z.boolean(),
    /** Remaining warm-up time, in which the target is slow after its start, in milliseconds. */
    warmupLeftMs: z.number().min(0).max(MAX_WARMUP_MS),
    /** Start time of the target's process, in Unix milliseconds. A target that restarts under the same id holds no keys. */
    startedAtMs: z.number().int().positive().max(MAX_TIME_MS),
});
export type TargetEntry = z.infer<typeof targetEntrySchema>;
