import type { HotKey } from "./hotKeySketch.js";
import type { Slice, TargetRow } from "../store/rows.js";
import { workBetween, type SliceWork } from "./sliceLoad.js";
import { RING_SIZE } from "../ownership/sliceMap.js";

/** What a dispatcher has measured of a target. */
export interface TargetLoad {
    /** Slots, or the present concurrency limit. */
    capacity: number;
    slices: readonly SliceWork[];
    hotKeys: readonly Pick<HotKey, "position" | "work">[];
    /** Time until nothing of a slice is in flight, in milliseconds; the p99 of the time in service is a fair guess. */
    drainMs: number;
}

/** A range of positions that isn't divided further by the plan. */
export interface Atom {
    start: number;
    end: number;
    work: number;
    hot: boolean;
    /**
     * Whether its start and its end are borders between which work was measured. Not so within a bin that a hot key has
     * divided: how the rest of the bin's work lies on both sides of the key is not known until the key is cut out.
     */
    startMeasured: boolean;
    endMeasured: boolean;
    /** Set once a plan has moved it: a plan moves nothing twice. */
    moved: boolean;
}

/** Adjacent atoms of one target, which move together. */
export interface Piece {
    /** The slice that it is part of, and which of its atoms it has. Not copied: most pieces are only weighed. */
    run: readonly Atom[];
    first: number;
    last: number;
    start: number;
    end: number;
    work: number;
    /** Tells whether it is a whole slice of its target. */
    whole: boolean;
}

/** A target as the plan changes it. */
export interface ModelTarget {
    row: TargetRow;
    capacity: number;
    drainMs: number;
    /** False for a target without measurements; nothing is planned to or from it. */
    known: boolean;
    work: number;
    /** Sorted by position. */
    atoms: Atom[];
    starts: Set<number>;
    ends: Set<number>;
    sliceCount: number;
}

/** Share of a target's capacity that is used on average. */
export const utilization = ({ work, capacity }: ModelTarget): number => work / capacity;

/** Number of positions of a piece as a share of all. */
export const spaceShare = ({ start, end }: { start: number; end: number }): number => (end - start) / RING_SIZE;

const cutSlice = (
    [start, end]: Slice,
    load: Pick<TargetLoad, "slices" | "hotKeys">,
    options: { fine: boolean; restWorkPerPosition: number },
): Atom[] => {
    const overlapping = load.slices.filter(({ slice }) => slice[0] < end && start < slice[1]);
    const borders = new Set([start, end]);
    const binBorders = new Set([start, end]);
    const hot = new Map<number, number>();
    for (const { position, work } of load.hotKeys) {
        if (start <= position && position < end) {
            hot.set(position, work);
            borders.add(position).add(position + 1);
        }
    }
    if (options.fine) {
        for (const { slice, bins } of overlapping) {
            const width = (slice[1] - slice[0]) / bins.length;
            for (let index = 0; index < bins.length; index++) {
                const border = Math.round(slice[0] + index * width);
                if (start < border && border < end) {
                    borders.add(border);
                    binBorders.add(border);
                }
            }
        }
    }
    const sorted = [...borders].sort((a, b) => a - b);
    const hotPositions = [...hot].sort((a, b) => a[0] - b[0]);
    const measured = (from: number, to: number) =>
        overlapping.reduce((sum, sliceWork) => sum + workBetween(sliceWork, from, to), 0);
    return sorted.slice(0, -1).map((from, index): Atom => {
        const to = sorted[index + 1];
        const isHot = to === from + 1 && hot.has(from);
        // Hot keys have atoms of their own, so their work is taken out of the bins that they fell into.
        const inBins = isHot ? 0 : hotShareBetween(overlapping, hotPositions, from, to);
        const work = isHot ? (hot.get(from) ?? 0) : Math.max(0, measured(from, to) - inBins);
        return {
            start: from,
            end: to,
            work: work + (to - from) * options.restWorkPerPosition,
            hot: isHot,
            startMeasured: binBorders.has(from),
            endMeasured: binBorders.has(to),
            moved: false,
        };
    });
};

/** Work of hot keys that `workBetween` attributes to a range because it shares bins with them. */
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
    /** Work from which a hot key counts as a unit of its own. */
    hotWork: number;
    /** Work added per position, so that key space is divided evenly when there is nearly no load. */
    restWorkPerPosition: number;
    /** Targets whose slices are cut at the borders of their bins. */
    isFine: (target: string) => boolean;
}

const modelTarget = (row: TargetRow, load: TargetLoad | undefined, options: LoadModelOptions): ModelTarget => {
    const hotKeys = (load?.hotKeys ?? []).filter(({ work }) => work >= options.hotWork);
    const measured = { slices: load?.slices ?? [], hotKeys };
    const cut = { restWorkPerPosition: options.restWorkPerPosition, fine: options.isFine(row.target) };
    const atoms = row.slices.flatMap(slice => cutSlice(slice, measured, cut));
    atoms.sort((a, b) => a.start - b.start);
    return {
        row,
        capacity: Math.max(load?.capacity ?? 1, Number.EPSILON),
        drainMs: load?.drainMs ?? 0,
        known: load !== undefined,
        work: atoms.reduce((sum, { work }) => sum + work, 0),
        atoms,
        starts: new Set(atoms.map(({ start }) => start)),
        ends: new Set(atoms.map(({ end }) => end)),
        sliceCount: row.slices.length,
    };
};

/** The slices and the work of a service's targets, on which a plan is tried out. */
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

    /** Builds the model from the rows and what was measured. */
    static of(
        rows: readonly TargetRow[],
        loads: ReadonlyMap<string, TargetLoad>,
        options: LoadModelOptions,
    ): LoadModel {
        const sorted = [...rows].sort((a, b) => (a.target < b.target ? -1 : 1));
        return new LoadModel(sorted.map(row => modelTarget(row, loads.get(row.target), options)));
    }

    /** A copy on which other moves can be tried out. */
    clone(): LoadModel {
        return new LoadModel(
            this.targets.map(target => ({
                ...target,
                atoms: target.atoms.map(atom => ({ ...atom })),
                starts: new Set(target.starts),
                ends: new Set(target.ends),
            })),
        );
    }

    /** Targets that own the positions just before and just after a piece. */
    neighbours({ start, end }: Piece): ModelTarget[] {
        return [this.byEnd.get(start), this.byStart.get(end)].filter(target => target !== undefined);
    }

    /** Slices that the target would have with a piece added. */
    sliceCountWith(target: ModelTarget, { start, end }: Piece): number {
        return target.sliceCount + 1 - Number(target.ends.has(start)) - Number(target.starts.has(end));
    }

    /** The slices of a target, as runs of adjacent atoms. */
    runs({ atoms }: ModelTarget): Atom[][] {
        const runs: Atom[][] = [];
        for (const atom of atoms) {
            const last = runs[runs.length - 1];
            if (last !== undefined && last[last.length - 1].end === atom.start) {
                last.push(atom);
            } else {
                runs.push([atom]);
            }
        }
        return runs;
    }

    move(piece: Piece, from: ModelTarget, to: ModelTarget): void {
        const moving = piece.run.slice(piece.first, piece.last + 1);
        const removed = new Set(moving);
        to.sliceCount = this.sliceCountWith(to, piece);
        const inside = Number(from.ends.has(piece.start)) + Number(from.starts.has(piece.end));
        from.sliceCount += inside - 1;
        from.atoms = from.atoms.filter(atom => !removed.has(atom));
        to.atoms = [...to.atoms, ...moving].sort((a, b) => a.start - b.start);
        for (const atom of moving) {
            atom.moved = true;
            from.starts.delete(atom.start);
            from.ends.delete(atom.end);
            to.starts.add(atom.start);
            to.ends.add(atom.end);
            this.byStart.set(atom.start, to);
            this.byEnd.set(atom.end, to);
        }
        from.work -= piece.work;
        to.work += piece.work;
    }
}

/** The piece of a slice from one of its atoms to another, whose work is given because callers sum it up as they go. */
export const pieceOf = (run: readonly Atom[], first: number, last: number, work: number): Piece => ({
    run,
    first,
    last,
    start: run[first].start,
    end: run[last].end,
    work,
    whole: first === 0 && last === run.length - 1,
});

/** Whether the work of a piece is known rather than guessed from a part of a bin. */
export const isMeasured = ({ run, first, last }: Piece): boolean => run[first].startMeasured && run[last].endMeasured;

/** The whole of a slice. */
export const wholePiece = (run: readonly Atom[]): Piece =>
    pieceOf(
        run,
        0,
        run.length - 1,
        run.reduce((sum, { work }) => sum + work, 0),
    );
