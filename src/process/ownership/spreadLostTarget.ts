import { err, ok, type Result } from "neverthrow";
import type { Slice, TargetRow } from "../store/rows.js";
import { workBetween, type SliceWork } from "../balance/sliceLoad.js";
import { MAX_SLICES_PER_TARGET, normalizeSlices, RING_SIZE, slicesSize } from "./sliceMap.js";

/** Parts into which the slices of a lost target are cut at least, as far as there are receivers. */
const LEAST_PARTS = 8;

/** A live target that may take slices of a lost one. */
export interface SpreadReceiver {
    row: TargetRow;
    /** Slots used on average; 0 if not known. */
    work: number;
    capacity: number;
}

/** Why the slices of a lost target can't be spread. */
export type SpreadError = { type: "no-receiver"; service: string; target: string };

interface Part {
    slice: Slice;
    work: number;
}

interface Receiver extends SpreadReceiver {
    slices: Slice[];
}

/** Halves the heaviest parts until there are enough of them, so that no receiver takes a large share alone. */
const cutParts = (row: TargetRow, load: readonly SliceWork[], count: number): Part[] => {
    const weigh = (slice: Slice): Part => ({
        slice,
        // The share of key space breaks ties and stands in for work where none was measured.
        work: load.reduce(
            (sum, part) => sum + workBetween(part, slice[0], slice[1]),
            (slice[1] - slice[0]) / RING_SIZE,
        ),
    });
    const parts = row.slices.map(weigh);
    while (parts.length < count) {
        parts.sort((a, b) => b.work - a.work);
        const at = parts.findIndex(({ slice: [start, end] }) => end - start > 1);
        if (at < 0) {
            break;
        }
        const [start, end] = parts[at].slice;
        const middle = Math.floor((start + end) / 2);
        parts.splice(at, 1, weigh([start, middle]), weigh([middle, end]));
    }
    return parts.sort((a, b) => b.work - a.work);
};

/**
 * Divides the slices of a lost target among live ones and returns the whole new slice list of each that gets any, for
 * one transaction over their rows. Targets of the lost one's domain come first as long as their capacity suffices;
 * then, and if there are none, the others. `load` is the last measured work of the lost target's slices.
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
    for (const part of cutParts(row, load, Math.min(live.length, LEAST_PARTS))) {
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
