import { z } from "zod";
import type { ListedInstance } from "../store/instanceList.js";
import type { Membership } from "./membership.js";
import { parseJson } from "../runtime/parseJson.js";
import type { Peers } from "./peers.js";

/** An instance list that members of a large domain relay: which member read it, and its sequence number there. */
const relayedListSchema = z.object({
    origin: z.string(),
    sequence: z.number().int(),
    listed: z.array(z.object({ name: z.string(), role: z.string() }).loose()),
});

/**
 * Distributes the instance list within the domain. The polling member sends it to all members to which it has links; in
 * a large domain those relay it.
 *
 * @example
 * relay.send(listed); // the polling member
 * relay.receiveRelayed(payload); // the others, for a note `listed-from`
 */
export class ListRelay {
    private sequence = 0;
    /** Sequence of the latest list from each polling member. */
    private readonly sequences = new Map<string, number>();

    constructor(
        private readonly options: {
            membership: Pick<Membership, "identity" | "isLarge" | "isMember">;
            peers: () => Pick<Peers, "notifyAll">;
            received: (listed: ListedInstance[]) => void;
        },
    ) {}

    /** Sends a list that this instance has read. */
    send(listed: ListedInstance[]): void {
        const { membership, peers } = this.options;
        if (membership.isLarge()) {
            const origin = membership.identity().incarnation;
            peers().notifyAll("listed-from", { origin, sequence: ++this.sequence, listed }, true);
        } else {
            peers().notifyAll("listed", listed, true);
        }
    }

    /** Receives a list in a small domain. */
    receiveDirect(payload: string): undefined {
        const listed = parseJson(payload);
        if (Array.isArray(listed)) {
            this.options.received(listed as ListedInstance[]);
        }
    }

    /** Receives a relayed list and relays it in turn. */
    receiveRelayed(payload: string): undefined {
        const { membership, peers, received } = this.options;
        const list = relayedListSchema.safeParse(parseJson(payload));
        if (!list.success) {
            return;
        }
        const { origin, sequence, listed } = list.data;
        // Each member relays a list only once, so that relaying ends.
        if (!membership.isMember(origin) || sequence <= (this.sequences.get(origin) ?? 0)) {
            return;
        }
        this.sequences.set(origin, sequence);
        received(listed as ListedInstance[]);
        if (origin !== membership.identity().incarnation) {
            peers().notifyAll("listed-from", list.data, true);
        }
    }
}
