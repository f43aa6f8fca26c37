/**
 * Time before the suspicion of a member in which it may not have learned of the removal of others, in milliseconds: the
 * silence before a suspicion, a promise, and a second for what was under way. With 10 s, the loss of an instance 11 s earlier
 * delayed the keys of a dispatcher and its target to 3.1 s (bench takeover, seed 2).
 */
export const UNHEARD_REMOVAL_MS = 3_000;
/** Most losses that are kept; the oldest are dropped. */
const KEPT_LOSSES = 200;

/**
 * Members of a domain that were removed, other than by themselves. Whether a lost member can still hold promises of more
 * than half of its domain is judged by the members that it knows, and those may have been removed with it: they may be
 * cut off together with it and go on promising.
 *
 * @example
 * losses.add("a1.9c", suspectedAt, now);
 * losses.lostWith("a1.9c"); // 0 when no other member was lost with it
 */
export class MemberLosses {
    private readonly losses = new Map<string, { suspectedAt: number; removedAt: number }>();

    /** Notes the removal of a member. Times are in monotonic milliseconds. */
    add(incarnation: string, suspectedAt: number, removedAt: number): void {
        this.losses.set(incarnation, { suspectedAt, removedAt });
        const [oldest] = this.losses.keys();
        if (this.losses.size > KEPT_LOSSES && oldest !== undefined) {
            this.losses.delete(oldest);
        }
    }

    /** Other members that were removed after this one was lost, or shortly before; `undefined` if its loss isn't known. */
    lostWith(incarnation: string): number | undefined {
        const loss = this.losses.get(incarnation);
        return loss === undefined
            ? undefined
            : [...this.losses].filter(
                  ([other, { removedAt }]) =>
                      other !== incarnation && removedAt >= loss.suspectedAt - UNHEARD_REMOVAL_MS,
              ).length;
    }
}
