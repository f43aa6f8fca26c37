import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";
import { namedProcessSchema } from "./namedProcess.js";

/** Maximum number of targets in one question, so that the datagram isn't fragmented. */
export const MAX_ASKED_TARGETS = 16;

const reachMessageSchema = z.discriminatedUnion("type", [
    /** Asks an instance which targets it reaches. */
    z.object({
        type: z.literal("reach-ask"),
        question: z.number().int(),
        targets: z.array(namedProcessSchema).min(1).max(MAX_ASKED_TARGETS),
    }),
    z.object({
        type: z.literal("reach-told"),
        question: z.number().int(),
        /** Name of the instance that answers. */
        instance: z.string(),
        /** Those among the targets that it reaches. */
        reached: z.array(namedProcessSchema).max(MAX_ASKED_TARGETS),
    }),
    /** Tells an instance that the lease for assigning keys was passed on to it. */
    z.object({ type: z.literal("lease-passed") }),
    /** Tells an instance that the lease for assigning keys was passed on to another one. */
    z.object({ type: z.literal("lease-moved") }),
]);
/** A message about which targets instances reach, and about the lease that follows from it. */
export type ReachMessage = z.infer<typeof reachMessageSchema>;

/**
 * Encodes a message as one datagram.
 *
 * @example
 * encodeReachMessage({ type: "lease-passed" }); // <Buffer ...>
 */
export const encodeReachMessage = (message: ReachMessage): Buffer => Buffer.from(JSON.stringify(message));

/** Decodes a message; `undefined` if the bytes aren't a valid one. */
export const decodeReachMessage = (content: Buffer): ReachMessage | undefined =>
    reachMessageSchema.safeParse(parseJson(content.toString())).data;
