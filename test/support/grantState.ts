import { z } from "zod";
import { sliceSchema, type Slice } from "../../src/process/store/rows.js";
import { slicesContain } from "../../src/process/ownership/sliceMap.js";

export const grantSchema = z.object({
    term: z.number().int().min(0),
    sequence: z.number().int().min(0),
    slices: z.array(sliceSchema),
    /** In the target's clock, milliseconds. */
    validUntil: z.number(),
    dispatcher: z.string(),
});
export type Grant = z.infer<typeof grantSchema>;

export type GrantObjection = "stale-term" | "grant-expired" | "not-owner";

/** The grant that a checking target holds. */
export class GrantState {
    private held: Grant | undefined;
    private continuousSlices: readonly Slice[] = [];

    /** Term and sequence of the held grant; zeros while there is none. */
    get position(): { term: number; sequence: number } {
        return { term: this.held?.term ?? 0, sequence: this.held?.sequence ?? 0 };
    }

    /**
     * Takes a grant whose (term, sequence) is larger than the held one, even one that has expired. `now` is the time in
     * the target's clock: after a gap between two grants another target may have owned the positions meanwhile.
     */
    accept(grant: Grant, now: number): boolean {
        const { term, sequence } = this.position;
        const larger = grant.term > term || (grant.term === term && grant.sequence > sequence);
        if (this.held !== undefined && !larger) {
            return false;
        }
        this.continuousSlices = this.held !== undefined && now < this.held.validUntil ? this.held.slices : [];
        this.held = grant;
        return true;
    }

    /** Whether a position was granted without a gap before and after the latest grant. */
    wasKept(position: number): boolean {
        return slicesContain(this.continuousSlices, position) && slicesContain(this.held?.slices ?? [], position);
    }

    /** Why a request may not start now under the held grant, or `undefined` when it may. */
    startObjection(
        request: { term: number | undefined; position: number | undefined },
        now: number,
    ): GrantObjection | undefined {
        return request.term === this.held?.term ? this.commitObjection(request, now) : "stale-term";
    }

    /** Why a running request may not take effect now. A newer term alone doesn't matter: the owner is the same. */
    commitObjection(request: { position: number | undefined }, now: number): GrantObjection | undefined {
        if (this.held === undefined) {
            return "stale-term";
        }
        if (now >= this.held.validUntil) {
            return "grant-expired";
        }
        return request.position === undefined || slicesContain(this.held.slices, request.position)
            ? undefined
            : "not-owner";
    }
}
