import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Result } from "neverthrow";
import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";
import { keyChangeSchema } from "./keyChange.js";

/** Maximum size of a message in bytes before its compression, so that the datagram is hardly ever fragmented. */
export const MAX_RELAY_BYTES = 3_000;
/** Maximum size of a received message after its decompression, in bytes. */
const MAX_INFLATED_BYTES = 65_536;
/** First byte of a message that isn't compressed. */
const TEXT_START = "{".charCodeAt(0);

const relayedRowSchema = z.object({
    key: z.string(),
    version: z.number().int(),
    /** Content, one character a byte; missing if the row was deleted, or if a change of it is stated. */
    value: z.string().optional(),
    change: keyChangeSchema.optional(),
});
/** A changed row of the store. */
export type RelayedRow = z.infer<typeof relayedRowSchema>;

const relayedChangesSchema = z.object({
    table: z.string(),
    era: z.number().int().min(0),
    /** The rows are all that have changed after one version of the store, up to another. */
    from: z.number().int().min(0),
    to: z.number().int().min(0),
    /** Time since the store's answer, in milliseconds. */
    ageMs: z.number().min(0),
    rows: z.array(relayedRowSchema),
});
/** Changes of a table of the store as one instance has read them. */
export type RelayedChanges = z.infer<typeof relayedChangesSchema>;

const relayMessageSchema = z.discriminatedUnion("type", [
    /** Asks for the changes that the receiver reads, and makes the sender known to it. */
    z.object({
        type: z.literal("relay-follow"),
        /** Failure domain of the sender. */
        domain: z.string().optional(),
        /** Whether the sender reaches no target. */
        isCutOff: z.boolean().optional(),
    }),
    z.object({ type: z.literal("relay"), tables: z.array(relayedChangesSchema).min(1) }),
]);
/** A message about changes of the store. */
export type RelayMessage = z.infer<typeof relayMessageSchema>;

const inflate = Result.fromThrowable((content: Buffer) =>
    inflateRawSync(content, { maxOutputLength: MAX_INFLATED_BYTES }).toString(),
);

/**
 * Encodes a message as one datagram. Changes are compressed, since the entries of targets are much alike.
 *
 * @example
 * encodeRelayMessage({ type: "relay-follow" }); // <Buffer ...>
 */
export const encodeRelayMessage = (message: RelayMessage): Buffer => {
    const text = Buffer.from(JSON.stringify(message));
    return message.type === "relay" ? deflateRawSync(text) : text;
};

/** Decodes a message; `undefined` if the bytes aren't a valid one. */
export const decodeRelayMessage = (content: Buffer): RelayMessage | undefined => {
    const text = content[0] === TEXT_START ? content.toString() : inflate(content).unwrapOr("");
    return relayMessageSchema.safeParse(parseJson(text)).data;
};
