import type { HotKey } from "./hotKeySketch.js";
import type { Slice, TargetRow } from "../store/rows.js";
import { workBetween, type SliceWork } from "./sliceLoad.js";
import { RING_SIZE } from "../ownership/sliceMap.js";

/** Load of a target as measured by its dispatcher. */
export interface TargetLoad {
    /** Number of slots, or the current concurrency limit. */
    capacity: number;
    slices: readonly SliceWork[];
    hotKeys: readonly Pick<HotKey, "position" | "work">[];
    /**
     * Time until no request of a slice is in flight any more, in milliseconds. The p99 of the service time is a
     * reasonable estimate.
     */
    drainMs: number;
}

/** A range of positions that a plan doesn't divide further. */
export interface Segment {
    start: number;
    end: number;
    work: number;
    hot: boolean;
    /**
     * Whether its start and its end are boundaries of measured bins. False within a bin that a hot key divides: how the
     * rest of the bin's work is distributed to both sides of the key isn't known until the key has its own slice.
     */
    startMeasured: boolean;
    endMeasured: boolean;
    /** Whether the plan has moved it already; a plan moves nothing twice. */
    moved: boolean;
}

/** Adjacent segments of one target that move together. */
export interface Piece {
    /**
     * The slice that it is part of, with the indexes of its first and last segment. The segments aren't copied, because
     * most pieces are only evaluated and never moved.
     */
    run: readonly Segment[];
    first: number;
    last: number;
    start: number;
    end: number;
    work: number;
    /** Whether it is a whole slice of its target. */
    whole: boolean;
}

/** A target with the changes of the plan applied. */
export interface ModelTarget {
    row: TargetRow;
    capacity: number;
    drainMs: number;
    /** False for a target without measurements; nothing is planned to or from it. */
    known: boolean;
    work: number;
    /** Sorted by position. */
    segments: Segment[];
    starts: Set<number>;
    ends: Set<number>;
    sliceCount: number;
}

/** Average share of a target's capacity in use. */
export const utilization = ({ work, capacity }: ModelTarget): number => work / capacity;

/** Share of the key space that a range covers. */
export const keySpaceShare = ({ start, end }: { start: number; end: number }): number => (end - start) / RING_SIZE;

const splitSlice = (
    [start, end]: Slice,
    load: Pick<TargetLoad, "slices" | "hotKeys">,
    options: { splitsAtBins: boolean; baseWorkPerPosition: number },
): Segment[] => {
    const overlapping = load.slices.filter(({ slice }) => slice[0] < end && start < slice[1]);
    const boundaries = new Set([start, end]);
    const binBoundaries = new Set([start, end]);
    const hot = new Map<number, number>();
    for (const { position, work } of load.hotKeys) {
        if (start <= position && position < end) {
            hot.set(position, work);
            boundaries.add(position).add(position + 1);
        }
    }
    if (options.splitsAtBins) {
        for (const { slice, bins } of overlapping) {
            const width = (slice[1] - slice[0]) / bins.length;
            for (let index = 0; index < bins.length; index++) {
                const boundary = Math.round(slice[0] + index * width);
                if (start < boundary && boundary < end) {
                    boundaries.add(boundary);
                    binBoundaries.add(boundary);
                }
            }
        }
    }
    const sorted = [...boundaries].sort((a, b) => a - b);
    const hotPositions = [...hot].sort((a, b) => a[0] - b[0]);
    const measured = (from: number, to: number) =>
        overlapping.reduce((sum, sliceWork) => sum + workBetween(sliceWork, from, to), 0);
    return sorted.slice(0, -1).map((from, index): Segment => {
        const to = sorted[index + 1];
        const isHot = to === from + 1 && hot.has(from);
        // Hot keys have their own segments, so their work is subtracted from the bins that contain them.
        const inBins = isHot ? 0 : hotShareBetween(overlapping, hotPositions, from, to);
        const work = isHot ? (hot.get(from) ?? 0) : Math.max(0, measured(from, to) - inBins);
        return {
            start: from,
            end: to,
            work: work + (to - from) * options.baseWorkPerPosition,
            hot: isHot,
            startMeasured: binBoundaries.has(from),
            endMeasured: binBoundaries.has(to),
            moved: false,
        };
    });
};

/** Work of hot keys that `workBetween` attributes to a range because the range shares bins with them. */
const hotShareBetween = (
    slices: readonly SliceWork[],
    hot: readonly [number, number][],
    from: number,
    to: number,
): number => {
    let sum = 0;
    for (const { slice, bins } of slices) {
        const width = (slice[1] - slice[0]) / bins.length;
        for (const [position, work] of hot) {
            if (slice[0] <= position && position < slice[1]) {
                const binStart = slice[0] + Math.floor((position - slice[0]) / width) * width;
                const overlap = Math.min(to, binStart + width) - Math.max(from, binStart);
                sum += work * Math.max(0, overlap / width);
            }
        }
    }
    return sum;
};

/** Options of a model. */
export interface LoadModelOptions {
    /** Minimum work of a hot key that gets its own segment. */
    hotWork: number;
    /** Work added per position, so that the key space is divided evenly if there is almost no load. */
    baseWorkPerPosition: number;
    /** Whether the slices of a target are split at the boundaries of their bins. */
    splitsAtBins: (target: string) => boolean;
}

const modelTarget = (row: TargetRow, load: TargetLoad | undefined, options: LoadModelOptions): ModelTarget => {
    const hotKeys = (load?.hotKeys ?? []).filter(({ work }) => work >= options.hotWork);
    const measured = { slices: load?.slices ?? [], hotKeys };
    const cut = { baseWorkPerPosition: options.baseWorkPerPosition, splitsAtBins: options.splitsAtBins(row.target) };
    const segments = row.slices.flatMap(slice => splitSlice(slice, measured, cut));
    segments.sort((a, b) => a.start - b.start);
    return {
        row,
        capacity: Math.max(load?.capacity ?? 1, Number.EPSILON),
        drainMs: load?.drainMs ?? 0,
        known: load !== undefined,
        work: segments.reduce((sum, { work }) => sum + work, 0),
        segments,
        starts: new Set(segments.map(({ start }) => start)),
        ends: new Set(segments.map(({ end }) => end)),
        sliceCount: row.slices.length,
    };
};

/** Model of a service's targets, their slices and their work, to which a plan's moves are applied for evaluation. */
export class LoadModel {
    readonly targets: ModelTarget[];
    private readonly byStart = new Map<number, ModelTarget>();
    private readonly byEnd = new Map<number, ModelTarget>();

    private constructor(targets: ModelTarget[]) {
        this.targets = targets;
        for (const target of this.targets) {
            target.starts.forEach(start => this.byStart.set(start, target));
            target.ends.forEach(end => this.byEnd.set(end, target));
        }
    }

    /** Builds the model from the rows and the measured loads. */
    static of(
        rows: readonly TargetRow[],
        loads: ReadonlyMap<string, TargetLoad>,
        options: LoadModelOptions,
    ): LoadModel {
        const sorted = [...rows].sort((a, b) => (a.target < b.target ? -1 : 1));
        return new LoadModel(sorted.map(row => modelTarget(row, loads.get(row.target), options)));
    }

    /** A deep copy for evaluating other moves. */
    clone(): LoadModel {
        return new LoadModel(
            this.targets.map(target => ({
                ...target,
                segments: target.segments.map(segment => ({ ...segment })),
                starts: new Set(target.starts),
                ends: new Set(target.ends),
            })),
        );
    }

    /** Targets that own the positions immediately before and after a piece. */
    neighbours({ start, end }: Piece): ModelTarget[] {
        return [this.byEnd.get(start), this.byStart.get(end)].filter(target => target !== undefined);
    }

    /** Number of slices that the target would have with a piece added. */
    sliceCountWith(target: ModelTarget, { start, end }: Piece): number {
        return target.sliceCount + 1 - Number(target.ends.has(start)) - Number(target.starts.has(end));
    }

    /** The slices of a target as runs of adjacent segments. */
    runs({ segments }: ModelTarget): Segment[][] {
        const runs: Segment[][] = [];
        for (const segment of segments) {
            const last = runs[runs.length - 1];
            if (last !== undefined && last[last.length - 1].end === segment.start) {
                last.push(segment);
            } else {
                runs.push([segment]);
            }
        }
        return runs;
    }

    move(piece: Piece, from: ModelTarget, to: ModelTarget): void {
        const moving = piece.run.slice(piece.first, piece.last + 1);
        const removed = new Set(moving);
        to.sliceCount = this.sliceCountWith(to, piece);
        const adjacentCount = Number(from.ends.has(piece.start)) + Number(from.starts.has(piece.end));
        from.sliceCount += adjacentCount - 1;
        from.segments = from.segments.filter(segment => !removed.has(segment));
        to.segments = [...to.segments, ...moving].sort((a, b) => a.start - b.start);
        for (const segment of moving) {
            segment.moved = true;
            from.starts.delete(segment.start);
            from.ends.delete(segment.end);
            to.starts.add(segment.start);
            to.ends.add(segment.end);
            this.byStart.set(segment.start, to);
            this.byEnd.set(segment.end, to);
        }
        from.work -= piece.work;
        to.work += piece.work;
    }
}

/** Creates a piece of a slice from two segment indexes. `work` is passed in because callers sum it up incrementally. */
export const pieceOf = (run: readonly Segment[], first: number, last: number, work: number): Piece => ({
    run,
    first,
    last,
    start: run[first].start,
    end: run[last].end,
    work,
    whole: first === 0 && last === run.length - 1,
});

/** Whether the work of a piece was measured rather than estimated from a part of a bin. */
export const isMeasured = ({ run, first, last }: Piece): boolean => run[first].startMeasured && run[last].endMeasured;

/** Creates a piece that covers a whole slice. */
export const wholePiece = (run: readonly Segment[]): Piece =>
    pieceOf(
        run,
        0,
        run.length - 1,
        run.reduce((sum, { work }) => sum + work, 0),
    );
