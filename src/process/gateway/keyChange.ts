import { z } from "zod";
import { keyRangeSchema, withoutRanges, type KeyAssignment, type KeyRange } from "./keyMap.js";

/** What distinguishes an assignment from an earlier one. With many targets it is much smaller than the assignment. */
export const keyChangeSchema = z.object({
    service: z.string(),
    /** Fencing token of the earlier assignment, and of the new one. */
    before: z.number().int(),
    fence: z.number().int(),
    /** Ranges that the earlier assignment doesn't have. */
    ranges: z.array(keyRangeSchema),
});
export type KeyChange = z.infer<typeof keyChangeSchema>;

const identityOf = ({ from, to, target, startedAtMs, address, fence, handover }: KeyRange): string =>
    [from, to, target, startedAtMs, address, fence, handover].join(" ");

/**
 * The change from one assignment to a later one.
 *
 * @example
 * applyChange(earlier, changeBetween(earlier, later)); // equals `later`
 */
export const changeBetween = (earlier: KeyAssignment, later: KeyAssignment): KeyChange => {
    const known = new Set(earlier.ranges.map(identityOf));
    return {
        service: later.service,
        before: earlier.fence,
        fence: later.fence,
        ranges: later.ranges.filter(range => !known.has(identityOf(range))),
    };
};

/** Applies a change; `undefined` if it belongs to another assignment. */
export const applyChange = (assignment: KeyAssignment, change: KeyChange): KeyAssignment | undefined => {
    if (assignment.service !== change.service || assignment.fence !== change.before) {
        return undefined;
    }
    const kept = assignment.ranges.flatMap(range => withoutRanges(range, change.ranges));
    const ranges = [...kept, ...change.ranges].sort((a, b) => a.from - b.from);
    return { ...assignment, fence: change.fence, ranges };
};
