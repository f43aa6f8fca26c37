import { z } from "zod";
import { keySchema, withoutRanges, type KeyAssignment, type KeyRange } from "./keyMap.js";

/**
 * The owners of all keys that were assigned since an earlier assignment. With many targets this is much smaller than the
 * assignment. It has what requests are placed by; the instance that assigns keys reads the whole assignment from the store.
 */
export const keyChangeSchema = z.object({
    service: z.string(),
    /** Fencing token of the earlier assignment, and of the new one. */
    before: z.number().int(),
    fence: z.number().int(),
    /** First and last key, identifier of the owner ("" if there is none), and start time of its process. */
    owners: z.array(z.tuple([keySchema, keySchema, z.string(), z.number().int()])),
});
export type KeyChange = z.infer<typeof keyChangeSchema>;

/** Whether the keys of a range have had the same owner since an earlier assignment. */
const hasKeptOwner = (range: KeyRange, known: KeyRange, before: number): boolean =>
    range.fence <= before && range.target === known.target && range.startedAtMs === known.startedAtMs;

/**
 * The change from one assignment to a later one.
 *
 * @example
 * applyChange(earlier, changeBetween(earlier, later)); // has the owners of `later`
 */
export const changeBetween = (earlier: KeyAssignment, later: KeyAssignment): KeyChange => {
    const owners: KeyChange["owners"] = [];
    let index = 0;
    for (const range of later.ranges) {
        for (let from = range.from; from <= range.to;) {
            while (earlier.ranges[index].to < from) {
                index++;
            }
            const known = earlier.ranges[index];
            const to = Math.min(range.to, known.to);
            const last = owners.at(-1);
            if (hasKeptOwner(range, known, earlier.fence)) {
                // Not part of the change.
            } else if (last?.[1] === from - 1 && last[2] === range.target && last[3] === range.startedAtMs) {
                last[1] = to;
            } else {
                owners.push([from, to, range.target, range.startedAtMs]);
            }
            from = to + 1;
        }
    }
    return { service: later.service, before: earlier.fence, fence: later.fence, owners };
};

/**
 * Applies a change; `undefined` if it doesn't follow on from the assignment. That may also be one between the two of the change,
 * as each instance reads the store at other times.
 */
export const applyChange = (assignment: KeyAssignment, change: KeyChange): KeyAssignment | undefined => {
    const { service, before, fence, owners } = change;
    if (assignment.service !== service || assignment.fence < before || assignment.fence >= fence) {
        return undefined;
    }
    const changed = owners.map(([from, to, target, startedAtMs]): KeyRange => {
        return { from, to, target, startedAtMs, address: "", fence };
    });
    const kept = assignment.ranges.flatMap(range => withoutRanges(range, changed));
    return { ...assignment, fence, ranges: [...kept, ...changed].sort((a, b) => a.from - b.from) };
};
