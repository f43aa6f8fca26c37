import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";
import { keyChangeSchema } from "./keyChange.js";

/** Maximum size of a datagram's content in bytes, so that it isn't fragmented. */
export const MAX_RELAY_BYTES = 1_200;

const relayedRowSchema = z.object({
    key: z.string(),
    version: z.number().int(),
    /** Content in base64; missing if the row was deleted, or if a change of it is stated. */
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
    /** Asks for the changes that the receiver reads. */
    z.object({ type: z.literal("relay-follow") }),
    z.object({ type: z.literal("relay"), tables: z.array(relayedChangesSchema).min(1) }),
]);
/** A message about changes of the store. */
export type RelayMessage = z.infer<typeof relayMessageSchema>;

/**
 * Encodes a message as one datagram.
 *
 * @example
 * encodeRelayMessage({ type: "relay-follow" }); // <Buffer ...>
 */
export const encodeRelayMessage = (message: RelayMessage): Buffer => Buffer.from(JSON.stringify(message));

/** Decodes a message; `undefined` if the bytes aren't a valid one. */
export const decodeRelayMessage = (content: Buffer): RelayMessage | undefined =>
    relayMessageSchema.safeParse(parseJson(content.toString())).data;
