import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";

/** Maximum number of instances that one is told of, so that the datagram isn't fragmented. */
export const MAX_TOLD_PEERS = 12;

const peerSchema = z.object({
    address: z.object({ host: z.string(), port: z.number().int().min(1).max(65_535) }),
    /** Failure domain. */
    domain: z.string(),
});
/** Another instance, as the one that assigns keys names it. */
export type Peer = z.infer<typeof peerSchema>;

const peersMessageSchema = z.discriminatedUnion("type", [
    /** Asks the instance that assigns keys for other instances. */
    z.object({ type: z.literal("peers-ask"), domain: z.string() }),
    z.object({ type: z.literal("peers-told"), peers: z.array(peerSchema).max(MAX_TOLD_PEERS) }),
]);
/** A message about which instances there are. */
export type PeersMessage = z.infer<typeof peersMessageSchema>;

/**
 * Encodes a message as one datagram.
 *
 * @example
 * encodePeersMessage({ type: "peers-ask", domain: "linz" }); // <Buffer ...>
 */
export const encodePeersMessage = (message: PeersMessage): Buffer => Buffer.from(JSON.stringify(message));

/** Decodes a message; `undefined` if the bytes aren't a valid one. */
export const decodePeersMessage = (content: Buffer): PeersMessage | undefined =>
    peersMessageSchema.safeParse(parseJson(content.toString())).data;
