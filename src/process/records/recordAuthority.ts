import { z } from "zod";
import { sliceSchema, type Slice } from "../store/rows.js";
import { normalizeSlices, subtractSlices } from "../ownership/sliceMap.js";

/** A range of positions and the wall time since which this dispatcher's record of it is complete. */
export const authorityIntervalSchema = z.object({
    slice: sliceSchema,
    /** Milliseconds since the Unix epoch. */
    sinceMs: z.number().int().min(0),
});
export type AuthorityInterval = z.infer<typeof authorityIntervalSchema>;

interface PreparedAuthority {
    service: string;
    intervals: AuthorityInterval[];
}

/**
 * Since when this dispatcher knows every identifier that may have run, by range of positions.
 *
 * A handover arrives before the move is committed. It is therefore only prepared and takes effect with `confirm`. If
 * it took effect at once, an abandoned move would leave an instant that is too early, and a later takeover of the same
 * slice would accept identifiers that the other dispatcher ran in between.
 *
 * @example
 * authority.takeOver("stock", [[0, 4096]], clock.wallMs());
 * authority.sinceMs("stock", 7); // the time of the takeover
 */
export class RecordAuthority {
    private readonly intervals = new Map<string, AuthorityInterval[]>();
    private readonly prepared = new Map<string, PreparedAuthority>();

    /** Sets the instant of slices whose earlier identifiers are not known to this dispatcher. */
    takeOver(service: string, slices: readonly Slice[], nowMs: number): void {
        this.set(
            service,
            slices.map(slice => ({ slice, sinceMs: Math.ceil(nowMs) })),
        );
    }

    /** Sets the instants of slices whose record was read or received completely; 0 if from the durable record. */
    set(service: string, intervals: readonly AuthorityInterval[]): void {
        const added = intervals.map(({ slice }) => slice);
        this.release(service, added);
        const all = [...(this.intervals.get(service) ?? []), ...intervals].filter(({ slice }) => slice[0] < slice[1]);
        all.sort((a, b) => a.slice[0] - b.slice[0]);
        const merged: AuthorityInterval[] = [];
        for (const { slice, sinceMs } of all) {
            const last = merged[merged.length - 1];
            if (last !== undefined && last.slice[1] === slice[0] && last.sinceMs === sinceMs) {
                last.slice = [last.slice[0], slice[1]];
            } else {
                merged.push({ slice: [slice[0], slice[1]], sinceMs });
            }
        }
        this.intervals.set(service, merged);
    }

    /** Stores the instants of a handover until the move is committed (`confirm`) or abandoned (`discard`). */
    prepare(handOver: string, service: string, intervals: readonly AuthorityInterval[]): void {
        this.prepared.set(handOver, { service, intervals: [...intervals] });
    }

    /** Applies a prepared handover. Returns false if there is none; the caller then takes the slices over instead. */
    confirm(handOver: string): boolean {
        const prepared = this.prepared.get(handOver);
        if (prepared === undefined) {
            return false;
        }
        this.prepared.delete(handOver);
        this.set(prepared.service, prepared.intervals);
        return true;
    }

    discard(handOver: string): void {
        this.prepared.delete(handOver);
    }

    /** Ends the authority over slices that this dispatcher has handed over or lost. */
    release(service: string, slices: readonly Slice[]): void {
        const rest = (this.intervals.get(service) ?? []).flatMap(({ slice, sinceMs }) =>
            subtractSlices([slice], slices).map(part => ({ slice: part, sinceMs })),
        );
        this.intervals.set(service, rest);
    }

    /** The instant for a position, in wall milliseconds, or `undefined` without authority. */
    sinceMs(service: string, position: number): number | undefined {
        const intervals = this.intervals.get(service) ?? [];
        let low = 0;
        let high = intervals.length - 1;
        while (low <= high) {
            const middle = (low + high) >>> 1;
            const { slice, sinceMs } = intervals[middle];
            if (position < slice[0]) {
                high = middle - 1;
            } else if (position >= slice[1]) {
                low = middle + 1;
            } else {
                return sinceMs;
            }
        }
        return undefined;
    }

    /** The instants for the parts of slices over which there is authority, for a handover. */
    intervalsOf(service: string, slices: readonly Slice[]): AuthorityInterval[] {
        return (this.intervals.get(service) ?? []).flatMap(({ slice, sinceMs }) =>
            normalizeSlices(slices).flatMap(([start, end]): AuthorityInterval[] => {
                const from = Math.max(start, slice[0]);
                const to = Math.min(end, slice[1]);
                return from < to ? [{ slice: [from, to], sinceMs }] : [];
            }),
        );
    }
}
