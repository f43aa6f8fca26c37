import { err, ok, type Result } from "neverthrow";
import type { Slice, TargetRow } from "../store/rows.js";
import { workBetween, type SliceWork } from "../balance/sliceLoad.js";
import { MAX_SLICES_PER_TARGET, normalizeSlices, RING_SIZE, slicesSize } from "./sliceMap.js";

/**
 * Minimum number of parts into which the slices of a lost target are split, unless there are fewer receivers.
 */
const MIN_PARTS = 8;

/** A live target that can receive slices of a lost one. */
export interface SpreadReceiver {
    row: TargetRow;
    /** Average number of slots in use; 0 if unknown. */
    work: number;
    capacity: number;
}

/** Error when no live target can receive the slices of a lost one. */
export type SpreadError = { type: "no-receiver"; service: string; target: string };

interface Part {
    slice: Slice;
    work: number;
}

interface Receiver extends SpreadReceiver {
    slices: Slice[];
}

/** Splits the heaviest parts in half until there are enough, so that no single receiver gets a large share. */
const splitIntoParts = (row: TargetRow, load: readonly SliceWork[], count: number): Part[] => {
    const withWork = (slice: Slice): Part => ({
        slice,
        // The share of the key space breaks ties and substitutes for work where none was measured.
        work: load.reduce(
            (sum, part) => sum + workBetween(part, slice[0], slice[1]),
            (slice[1] - slice[0]) / RING_SIZE,
        ),
    });
    const parts = row.slices.map(withWork);
    while (parts.length < count) {
        parts.sort((a, b) => b.work - a.work);
        const at = parts.findIndex(({ slice: [start, end] }) => end - start > 1);
        if (at < 0) {
            break;
        }
        const [start, end] = parts[at].slice;
        const middle = Math.floor((start + end) / 2);
        parts.splice(at, 1, withWork([start, middle]), withWork([middle, end]));
    }
    return parts.sort((a, b) => b.work - a.work);
};

/**
 * Divides the slices of a lost target among live targets. Returns the complete new slice list of each target that
 * receives any, for one transaction over their rows. Targets of the lost one's domain are preferred while their
 * capacity suffices; after that, or if there are none, all targets are considered. `load` is the last measured work of
 * the lost target's slices.
 *
 * @example
 * spreadLostTarget(row, receivers, load).map(slices => writes(slices));
 */
export const spreadLostTarget = (
    row: TargetRow,
    receivers: readonly SpreadReceiver[],
    load: readonly SliceWork[] = [],
): Result<Map<string, Slice[]>, SpreadError> => {
    const live: Receiver[] = receivers
        .filter(receiver => receiver.row.target !== row.target && receiver.row.state === "serving")
        .map(receiver => ({ ...receiver, slices: receiver.row.slices }));
    const fullness = ({ work, capacity, slices }: Receiver) => (work + slicesSize(slices) / RING_SIZE) / capacity;
    for (const part of splitIntoParts(row, load, Math.min(live.length, MIN_PARTS))) {
        const fits = live
            .filter(({ slices }) => normalizeSlices([...slices, part.slice]).length <= MAX_SLICES_PER_TARGET)
            .sort((a, b) => fullness(a) - fullness(b) || (a.row.target < b.row.target ? -1 : 1));
        const near = fits.filter(receiver => receiver.row.domain === row.domain);
        const chosen = near.find(({ work, capacity }) => work + part.work <= capacity) ?? fits[0];
        if (chosen === undefined) {
            return err({ type: "no-receiver", service: row.service, target: row.target });
        }
        chosen.slices = normalizeSlices([...chosen.slices, part.slice]);
        chosen.work += part.work;
    }
    const changed = live.filter(receiver => receiver.slices !== receiver.row.slices);
    return ok(new Map(changed.map(({ row: { target }, slices }) => [target, slices])));
};
