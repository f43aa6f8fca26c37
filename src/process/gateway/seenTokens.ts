import { overlaps, withoutRanges } from "./keyMap.js";
import type { GrantedKeys } from "./ownershipCalls.js";

/**
 * The fencing tokens that a target is known to have seen, by keys: those of the grants that it has answered. A token that was
 * recorded for its keys may never have been sent.
 *
 * @example
 * tokens.answered({ from: 0, to: 99, fence: 3 });
 * tokens.lowest({ from: 50, to: 60 }); // 3
 */
export class SeenTokens {
    private ranges: GrantedKeys[] = [];

    /** Records a grant that the target has answered. */
    answered({ from, to, fence }: GrantedKeys): void {
        const higher = this.ranges.filter(range => range.fence > fence);
        const added = withoutRanges({ from, to, fence }, higher);
        this.ranges = [...this.ranges.flatMap(range => withoutRanges(range, added)), ...added];
    }

    /** The token that the target has seen for all of some keys, or a higher one for a part of them; 0 if it has seen none. */
    lowest(keys: { from: number; to: number }): number {
        const seen = this.ranges.filter(range => overlaps(range, keys));
        const isComplete = withoutRanges(keys, seen).length === 0;
        return isComplete ? Math.min(...seen.map(({ fence }) => fence)) : 0;
    }
}
