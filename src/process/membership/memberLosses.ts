/**
 * Time before the suspicion of a member in which it may have missed the removal of others, in milliseconds: the silence
 * before a suspicion, a promise, and one second for transactions that were pending. With 10 s, the loss of an instance
 * 11 s earlier delayed the keys of a dispatcher and its target to 3.1 s (bench takeover, seed 2).
 */
export const UNSEEN_REMOVAL_MS = 3_000;
/** Maximum number of losses kept; the oldest are dropped. */
const MAX_LOSSES = 200;

/**
 * Members of a domain that were removed by others. Whether a lost member can still hold promises of more than half of
 * its domain depends on the members that it knows. Members that were removed with it must be included: they may be cut
 * off together with it and continue to give it promises.
 *
 * @example
 * losses.add("a1.9c", suspectedAt, now);
 * losses.lostWith("a1.9c"); // 0 when no other member was lost with it
 */
export class MemberLosses {
    private readonly losses = new Map<string, { suspectedAt: number; removedAt: number }>();

    /** Records the removal of a member. Times are in monotonic milliseconds. */
    add(incarnation: string, suspectedAt: number, removedAt: number): void {
        this.losses.set(incarnation, { suspectedAt, removedAt });
        const [oldest] = this.losses.keys();
        if (this.losses.size > MAX_LOSSES && oldest !== undefined) {
            this.losses.delete(oldest);
        }
    }

    /** Number of other members removed since shortly before this one was lost; `undefined` if its loss isn't known. */
    lostWith(incarnation: string): number | undefined {
        const loss = this.losses.get(incarnation);
        return loss === undefined
            ? undefined
            : [...this.losses].filter(
                  ([other, { removedAt }]) =>
                      other !== incarnation && removedAt >= loss.suspectedAt - UNSEEN_REMOVAL_MS,
              ).length;
    }
}
