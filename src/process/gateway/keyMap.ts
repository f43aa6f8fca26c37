import { deflateRawSync, inflateRawSync } from "node:zlib";
import { ok, Result } from "neverthrow";
import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";

/** Number of keys; a key is an integer from 0 to below this. */
export const KEY_COUNT = 65_536;

export const keySchema = z
    .number()
    .int()
    .min(0)
    .max(KEY_COUNT - 1);

/** A range of keys, both ends included, with its owner. */
const keyRangeSchema = z.object({
    from: keySchema,
    to: keySchema,
    /** Identifier of the target, or "" if the keys have no owner. */
    target: z.string(),
    /** Start time of the owner's process in Unix milliseconds; a restarted target owns no keys. */
    startedAtMs: z.number().int(),
    /** Address of the owner, where the next assigner can ask it to release the keys even if its entry was removed. */
    address: z.string().default(""),
    /** Fencing token under which the keys were assigned to the owner. */
    fence: z.number().int().min(0),
    /** Name of the state that the former owner handed over, until the owner has been granted the keys. */
    handover: z.string().optional(),
});
export type KeyRange = z.infer<typeof keyRangeSchema>;

/** Owners of all keys of a service, as stored. */
const keyAssignmentSchema = z.object({
    service: z.string(),
    /** Highest fencing token ever assigned; the next one is higher. */
    fence: z.number().int().min(0),
    /** Ordered by key, without gaps. */
    ranges: z.array(keyRangeSchema).min(1),
});
export type KeyAssignment = z.infer<typeof keyAssignmentSchema>;

/** Size in bytes from which an assignment is compressed: a row takes 64 KiB, which some hundred ranges fill as text. */
const COMPRESSED_FROM_BYTES = 16_384;
/** Maximum size of an assignment as text, in bytes; a range takes some 150 bytes, and there are at most `KEY_COUNT`. */
const MAX_TEXT_BYTES = 16_777_216;
/** First byte of an assignment that is stored as text. */
const TEXT_START = "{".charCodeAt(0);

const inflate = Result.fromThrowable((value: Buffer) =>
    inflateRawSync(value, { maxOutputLength: MAX_TEXT_BYTES }).toString(),
);

/**
 * Encodes an assignment for its row. A large one is compressed.
 *
 * @example
 * const value = encodeAssignment(assignment);
 */
export const encodeAssignment = (assignment: KeyAssignment): Buffer => {
    const text = Buffer.from(JSON.stringify(assignment));
    return text.length < COMPRESSED_FROM_BYTES ? text : deflateRawSync(text);
};

/**
 * Decodes an assignment from its row; `undefined` if it is malformed.
 *
 * @example
 * const assignment = decodeAssignment(row.value);
 */
export const decodeAssignment = (value: Buffer): KeyAssignment | undefined => {
    const text = value[0] === TEXT_START ? ok(value.toString()) : inflate(value);
    return text.isErr() ? undefined : keyAssignmentSchema.safeParse(parseJson(text.value)).data;
};

/**
 * Looks up owners of keys.
 *
 * @example
 * new KeyMap(assignment).rangeOf(4711)?.target; // "stock-7"
 */
export class KeyMap {
    private readonly ends: number[];

    /** @param learnedAtMs monotonic time at which the assignment was read, in milliseconds */
    constructor(
        readonly assignment: KeyAssignment,
        readonly learnedAtMs = 0,
    ) {
        this.ends = assignment.ranges.map(({ to }) => to);
    }

    /** The range that contains a key, or `undefined` if the key has no owner. */
    rangeOf(key: number): KeyRange | undefined {
        let low = 0;
        let high = this.ends.length - 1;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.ends[middle] < key) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        const range = this.assignment.ranges[low];
        return range.target === "" ? undefined : range;
    }
}

/** Whether two adjacent ranges can be merged. */
const canMerge = (first: KeyRange, second: KeyRange): boolean =>
    first.target === second.target &&
    first.startedAtMs === second.startedAtMs &&
    first.address === second.address &&
    first.fence === second.fence &&
    first.handover === second.handover;

/**
 * Assigns a range of keys to another owner and returns the new list of ranges.
 *
 * @example
 * const ranges = replaceRange(assignment.ranges, { from: 0, to: 99, target: "stock-2", startedAtMs, fence: 12 });
 */
export const replaceRange = (ranges: readonly KeyRange[], replacement: KeyRange): KeyRange[] => {
    const pieces: KeyRange[] = [];
    for (const range of ranges) {
        if (range.to < replacement.from || range.from > replacement.to) {
            pieces.push(range);
            continue;
        }
        if (range.from < replacement.from) {
            pieces.push({ ...range, to: replacement.from - 1 });
        }
        if (range.to > replacement.to) {
            pieces.push({ ...range, from: replacement.to + 1 });
        }
    }
    const sorted = [...pieces, replacement].sort((a, b) => a.from - b.from);
    return sorted.reduce<KeyRange[]>((merged, range) => {
        const last = merged.at(-1);
        if (last !== undefined && canMerge(last, range)) {
            merged[merged.length - 1] = { ...last, to: range.to };
        } else {
            merged.push(range);
        }
        return merged;
    }, []);
};

/** Whether two ranges have a key in common. */
export const overlaps = (first: { from: number; to: number }, second: { from: number; to: number }): boolean =>
    first.from <= second.to && second.from <= first.to;

/**
 * The parts of a range that no other range covers.
 *
 * @example
 * withoutRanges({ ...range, from: 0, to: 9 }, [{ from: 3, to: 4 }]); // 0 to 2 and 5 to 9
 */
export const withoutRanges = <Range extends { from: number; to: number }>(
    range: Range,
    excluded: readonly { from: number; to: number }[],
): Range[] =>
    excluded.reduce<Range[]>(
        (pieces, other) =>
            pieces.flatMap(piece =>
                overlaps(piece, other)
                    ? [
                          { ...piece, to: Math.min(piece.to, other.from - 1) },
                          { ...piece, from: Math.max(piece.from, other.to + 1) },
                      ].filter(({ from, to }) => from <= to)
                    : [piece],
            ),
        [range],
    );

/**
 * A range of keys that have no owner.
 *
 * @example
 * unownedRange(0, 99); // { from: 0, to: 99, target: "", ... }
 */
export const unownedRange = (from: number, to: number): KeyRange => ({
    from,
    to,
    target: "",
    startedAtMs: 0,
    address: "",
    fence: 0,
});

/** An assignment in which no key has an owner. */
export const emptyAssignment = (service: string): KeyAssignment => ({
    service,
    fence: 0,
    ranges: [unownedRange(0, KEY_COUNT - 1)],
});
