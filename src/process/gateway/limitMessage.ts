import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";

/** Maximum time for which a message may have a target count as cold, in milliseconds, an hour. */
export const MAX_COLD_MS = 3_600_000;

const limitKnowledgeSchema = z.object({
    /** Identifier and start time of the target's process in Unix milliseconds. */
    id: z.string(),
    startedAtMs: z.number(),
    /** Limit in requests per second; missing if the target has answered without one. */
    perSecond: z.number().positive().optional(),
    /** Time since the target said so, in milliseconds. */
    ageMs: z.number().min(0),
    /** The limit that follows from its warm-up; missing unless it is cold. */
    cold: z
        .object({
            perSecond: z.number().positive(),
            burst: z.number().min(1),
            /** How much longer it is cold, in milliseconds. */
            leftMs: z.number().min(0).max(MAX_COLD_MS),
        })
        .optional(),
});
/** The limits of a target's process, as an instance knows them. */
export type LimitKnowledge = z.infer<typeof limitKnowledgeSchema>;

const limitMessageSchema = z.discriminatedUnion("type", [
    /** An instance asks whether it may send a request. */
    z.object({
        type: z.literal("limit-ask"),
        question: z.number().int(),
        knowledge: limitKnowledgeSchema,
        /** Requests that the instance has refused without a question since its last one. */
        refused: z.number().int().min(0),
    }),
    /** An instance reports a target that has turned cold; the instance that admits passes it on to all. */
    z.object({
        type: z.literal("limit-cold"),
        id: z.string(),
        service: z.string(),
        startedAtMs: z.number(),
        leftMs: z.number().min(0).max(MAX_COLD_MS),
        /** Whether it is only known that a connection to it was reset. */
        isSuspected: z.boolean(),
        /** Time since that connection last showed that the target's process ran, in milliseconds; missing if it isn't known. */
        aliveMsAgo: z.number().min(0).max(MAX_COLD_MS).optional(),
        /** Whether the instance that admits has passed it on. */
        isPassedOn: z.boolean(),
    }),
    /** An instance reports that its last connection to a target has ended while it was idle. */
    z.object({
        type: z.literal("limit-ended"),
        id: z.string(),
        service: z.string(),
        startedAtMs: z.number(),
        /** Time since that connection last showed that the target's process ran, in milliseconds. */
        aliveMsAgo: z.number().min(0).max(MAX_COLD_MS),
    }),
    /** An instance reports a changed limit. */
    z.object({ type: z.literal("limit-learned"), knowledge: limitKnowledgeSchema }),
    z.object({
        type: z.literal("limit-answer"),
        question: z.number().int(),
        answer: z.discriminatedUnion("type", [
            z.object({ type: z.literal("admitted") }),
            z.object({
                type: z.literal("refused"),
                freeInMs: z.number().min(0),
                retryAfterMs: z.number().min(0),
            }),
            z.object({ type: z.literal("unlimited") }),
            /** The asked instance doesn't hold the lease. */
            z.object({ type: z.literal("not-admitting") }),
        ]),
    }),
]);
/** A message about the limits that targets state. */
export type LimitMessage = z.infer<typeof limitMessageSchema>;

/**
 * Encodes a message about limits as a datagram.
 *
 * @example
 * encodeLimitMessage({ type: "limit-ask", question: 7, knowledge, refused: 0 });
 */
export const encodeLimitMessage = (message: LimitMessage): Buffer => Buffer.from(JSON.stringify(message));

/** Decodes a message about limits; `undefined` if the bytes aren't a valid one. */
export const decodeLimitMessage = (content: Buffer): LimitMessage | undefined =>
    limitMessageSchema.safeParse(parseJson(content.toString())).data;
