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

/** The current grant of a target that checks grants. */
export class GrantState {
    private current: Grant | undefined;
    private continuousSlices: readonly Slice[] = [];

    /** Term and sequence of the current grant; zeros while there is none. */
    get position(): { term: number; sequence: number } {
        return { term: this.current?.term ?? 0, sequence: this.current?.sequence ?? 0 };
    }

    /**
     * Accepts a grant whose (term, sequence) is larger than the current one's, even if it has expired. `now` is the
     * target's clock time: after a gap between two grants, another target may have owned the positions meanwhile.
     */
    accept(grant: Grant, now: number): boolean {
        const { term, sequence } = this.position;
        const larger = grant.term > term || (grant.term === term && grant.sequence > sequence);
        if (this.current !== undefined && !larger) {
            return false;
        }
        this.continuousSlices = this.current !== undefined && now < this.current.validUntil ? this.current.slices : [];
        this.current = grant;
        return true;
    }

    /** Whether a position was granted without interruption before and after the latest grant. */
    wasKept(position: number): boolean {
        return slicesContain(this.continuousSlices, position) && slicesContain(this.current?.slices ?? [], position);
    }

    /** Reason why a request may not start now under the current grant, or `undefined` if it may. */
    startObjection(
        request: { term: number | undefined; position: number | undefined },
        now: number,
    ): GrantObjection | undefined {
        return request.term === this.current?.term ? this.commitObjection(request, now) : "stale-term";
    }

    /** Reason why a running request may not commit now. A newer term alone is no reason, as the owner is the same. */
    commitObjection(request: { position: number | undefined }, now: number): GrantObjection | undefined {
        if (this.current === undefined) {
            return "stale-term";
        }
        if (now >= this.current.validUntil) {
            return "grant-expired";
        }
        return request.position === undefined || slicesContain(this.current.slices, request.position)
            ? undefined
            : "not-owner";
    }
}
