import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";
import { namedProcessSchema } from "./namedProcess.js";

/** Maximum number of targets in one datagram, so that it isn't fragmented. */
const MAX_TARGETS = 20;

const leavingMessageSchema = z.object({
    /** `leaving-stated` reports targets to the assigner, `leaving-heard` acknowledges a report. */
    type: z.enum(["leaving-stated", "leaving-heard"]),
    /** Address at which the assigner gets the report, as `HOST:PORT`. */
    assigner: z.string(),
    targets: z.array(namedProcessSchema).min(1).max(MAX_TARGETS),
});
/** A message about targets that have stated that they leave. */
export type LeavingMessage = z.infer<typeof leavingMessageSchema>;

/**
 * Encodes a message about leaving targets as datagrams, each of which is a complete message.
 *
 * @example
 * encodeLeavingMessage({ type: "leaving-stated", assigner: "10.1.0.15:7620", targets }); // [<Buffer ...>]
 */
export const encodeLeavingMessage = ({ targets, ...head }: LeavingMessage): Buffer[] =>
    Array.from({ length: Math.ceil(targets.length / MAX_TARGETS) }, (_, index) => {
        const part = targets.slice(index * MAX_TARGETS, (index + 1) * MAX_TARGETS);
        return Buffer.from(JSON.stringify({ ...head, targets: part }));
    });

/** Decodes a message about leaving targets; `undefined` if the bytes aren't a valid one. */
export const decodeLeavingMessage = (content: Buffer): LeavingMessage | undefined =>
    leavingMessageSchema.safeParse(parseJson(content.toString())).data;
