import {
    isMeasured,
    LoadModel,
    pieceOf,
    wholePiece,
    spaceShare,
    utilization,
    type ModelTarget,
    type Piece,
    type TargetLoad,
} from "./loadModel.js";
import type { Outliers } from "./outliers.js";
import type { Slice, TargetRow } from "../store/rows.js";
import { MAX_SLICES_PER_TARGET, normalizeSlices, RING_SIZE, subtractSlices } from "../ownership/sliceMap.js";

/** Bounds and thresholds of a plan. Ratios are of a target's utilization to the mean of the serving targets. */
export interface RebalanceLimits {
    /** Moves that the plan may still make; evacuations are made in any case. */
    moves: number;
    /**
     * Share of the key space that a plan may move to relieve targets and to fill those that have become empty. Small, so
     * that little is moved on the first, uncertain measurements after a change; see `MoveBudget` for several plans.
     */
    keySpace: number;
    /** Share of the key space that a plan may move to targets that join. */
    joinKeySpace: number;
    /** Ratio from which a target is relieved. */
    trigger: number;
    /** Ratio to which it is relieved. Well below the trigger, or noise would set off one plan after another. */
    aim: number;
    /** Ratio below which a target is filled, as after it has joined, and the ratio up to which it is filled. */
    underfilled: number;
    fillAim: number;
    /** Least relief of a target, as a ratio, that is worth a move. */
    leastGain: number;
    /** Measured utilization below which no target is relieved: a handful of requests says nothing about balance. */
    idle: number;
    /** Time over which the gain of a move counts against the waiting that its drain causes, in milliseconds. */
    horizonMs: number;
    /** Work of a key, as a ratio, from which it may get a slice of its own. */
    hotKey: number;
    /** Work of a one-position slice, as a ratio, below which it goes back to its neighbour. Well below `hotKey`. */
    coldKey: number;
    /** Slices of a target above which its coldest slices are merged with their neighbours. */
    mergeAbove: number;
    merges: number;
    /** Where given, other targets are neither relieved nor filled, except that joining ones are filled at once. */
    outliersBefore?: Outliers;
}

export const DEFAULT_REBALANCE_LIMITS: RebalanceLimits = {
    moves: 120,
    keySpace: 0.005,
    joinKeySpace: 0.05,
    trigger: 1.25,
    aim: 1.1,
    underfilled: 0.5,
    fillAim: 0.75,
    leastGain: 0.03,
    idle: 0.05,
    horizonMs: 10_000,
    hotKey: 0.03,
    coldKey: 0.01,
    mergeAbove: 48,
    merges: 8,
};

/** Ratios tried as the level to which targets are relieved when the aim is out of reach. */
const LEVELS = [1.25, 1.4, 2];
/** Cost of moving the whole key space, as a ratio: 1% of it must win 0.04. */
const KEY_SPACE_COST = 4;
/** Cost of a move to another failure domain and of an additional slice, as ratios. */
const DOMAIN_COST = 0.02;
const SLICE_COST = 0.002;
/** By how much a target of the same domain may be fuller and still take the slices of a draining target. */
const EVACUATION_DOMAIN_COST = 0.25;
/** A target with less than this share of the average key space is joining. */
const JOINING_SHARE = 0.25;
/** Share of the total capacity that is attributed to the key space as such; see `restWorkPerPosition`. */
const REST_SHARE = 0.02;

export type MoveReason = "hot-key" | "balance" | "split" | "fill" | "join" | "merge" | "evacuate";

/** A planned change of owner. */
export interface Move {
    slice: Slice;
    from: string;
    to: string;
    /** Time for which the slice is expected to be unavailable while it drains, in milliseconds. */
    drainMs: number;
    reason: MoveReason;
    /** Work that moves, in slots. */
    work: number;
}

interface Candidate {
    piece: Piece;
    to: ModelTarget;
    cost: number;
}

/** A plan in the making: the model with all moves so far applied. */
class Planner {
    readonly moves: Move[] = [];
    /** Moves that relieve a target. */
    reliefs = 0;
    private readonly serving: ModelTarget[];
    private readonly mean: number;
    private movesLeft: number;
    private keySpaceLeft: number;
    private joinSpaceLeft: number;

    constructor(
        private readonly model: LoadModel,
        private readonly limits: RebalanceLimits,
    ) {
        this.serving = model.targets.filter(({ row, known }) => known && row.state === "serving");
        const draining = model.targets.filter(({ row }) => row.state === "draining");
        const total = [...this.serving, ...draining].reduce((sum, { work }) => sum + work, 0);
        this.mean = total / this.serving.reduce((sum, { capacity }) => sum + capacity, 0);
        this.movesLeft = limits.moves;
        this.keySpaceLeft = limits.keySpace;
        this.joinSpaceLeft = limits.joinKeySpace;
    }

    /** Empties draining targets, whatever it costs: they must get no new work. */
    evacuate(): void {
        for (const from of this.model.targets.filter(({ row }) => row.state === "draining")) {
            const heaviestFirst = this.model
                .runs(from)
                .map(wholePiece)
                .sort((a, b) => b.work - a.work);
            for (const piece of heaviestFirst) {
                const options = this.serving
                    .filter(to => this.model.sliceCountWith(to, piece) <= MAX_SLICES_PER_TARGET)
                    .map(to => {
                        const domainCost = to.row.domain === from.row.domain ? 0 : EVACUATION_DOMAIN_COST;
                        const ratio = (to.work + piece.work) / to.capacity / this.mean;
                        const slices = this.model.sliceCountWith(to, piece) - to.sliceCount;
                        return { piece, to, cost: ratio + domainCost + slices * SLICE_COST };
                    });
                const best = cheapest(options);
                if (best !== undefined) {
                    this.apply(best, from, "evacuate");
                }
            }
        }
    }

    /** Relieves targets above the trigger until they are at the level, the busiest first. */
    relieve(level: number): void {
        const active = new Set<ModelTarget>();
        const stuck = new Set<ModelTarget>();
        while (this.movesLeft > 0) {
            for (const target of this.serving) {
                const wasBusy = this.limits.outliersBefore?.busy.has(target.row.target) ?? true;
                if (wasBusy && this.ratio(target) > this.limits.trigger && !this.isIdle(target)) {
                    active.add(target);
                }
            }
            const from = busiest([...active].filter(target => !stuck.has(target) && this.ratio(target) > level));
            if (from === undefined) {
                return;
            }
            const best = this.bestRelief(from, level);
            if (best === undefined) {
                stuck.add(from);
                continue;
            }
            this.reliefs++;
            this.apply(best, from, isHotKey(best.piece) ? "hot-key" : best.piece.whole ? "balance" : "split");
        }
    }

    /** Gives slices to targets that have far less than the others, such as new ones. */
    fill(): void {
        const emptiestFirst = [...this.serving].sort((a, b) => utilization(a) - utilization(b));
        for (const to of emptiestFirst.filter(target => this.ratio(target) < this.limits.underfilled)) {
            const ownShare = to.atoms.reduce((sum, atom) => sum + spaceShare(atom), 0);
            const isJoining = ownShare * this.serving.length < JOINING_SHARE;
            if (!isJoining && this.limits.outliersBefore?.idle.has(to.row.target) === false) {
                continue;
            }
            while (this.movesLeft > 0 && this.ratio(to) < this.limits.fillAim) {
                const best = this.bestFilling(to, isJoining ? this.joinSpaceLeft : this.keySpaceLeft);
                if (best === undefined) {
                    break;
                }
                this.apply(best, best.from, isJoining ? "join" : "fill");
            }
        }
    }

    /** Gives former hot keys, and the coldest slices of targets with very many, back to their neighbours. */
    merge(): void {
        let left = Math.min(this.limits.merges, this.movesLeft);
        const busiestRatio = Math.max(...this.serving.map(target => this.ratio(target)));
        // A merge is never worth making the busiest target busier.
        const mostRatio = Math.min(this.limits.aim, busiestRatio - this.limits.leastGain);
        for (const from of this.serving) {
            const pieces = this.freshRuns(from)
                .filter(piece => piece.work / from.capacity < this.mean * this.limits.coldKey)
                .sort((a, b) => a.work - b.work);
            for (const piece of pieces) {
                const crowded = from.sliceCount > this.limits.mergeAbove;
                if (
                    left === 0 ||
                    !(piece.end - piece.start === 1 || crowded) ||
                    spaceShare(piece) > this.keySpaceLeft
                ) {
                    continue;
                }
                const options = this.model
                    .neighbours(piece)
                    .filter(to => to !== from && this.serving.includes(to))
                    .filter(to => (to.work + piece.work) / to.capacity <= this.mean * mostRatio)
                    .map(to => ({ piece, to, cost: this.model.sliceCountWith(to, piece) - to.sliceCount }));
                const best = cheapest(options);
                if (best !== undefined) {
                    this.apply(best, from, "merge");
                    left--;
                }
            }
        }
    }

    /** How far targets are above the aim; the busiest weigh most. */
    badness(): number {
        return this.serving.reduce((sum, target) => sum + Math.max(0, this.ratio(target) - this.limits.aim) ** 4, 0);
    }

    /** Whether every target that is worth relieving is at the level. */
    isAtMost(level: number): boolean {
        return this.serving.every(target => this.ratio(target) <= level || this.isIdle(target));
    }

    private ratio(target: ModelTarget): number {
        return this.mean > 0 ? utilization(target) / this.mean : 1;
    }

    /** Whether too little was measured, apart from what is attributed to the key space, to say anything. */
    private isIdle(target: ModelTarget): boolean {
        return utilization(target) - REST_SHARE <= this.limits.idle;
    }

    private bestRelief(from: ModelTarget, level: number): Candidate | undefined {
        const before = this.ratio(from);
        const receivers = this.serving.filter(to => to !== from).sort((a, b) => utilization(a) - utilization(b));
        const options: Candidate[] = [];
        for (const piece of this.piecesOf(from)) {
            if (piece.work === 0 || spaceShare(piece) > this.keySpaceLeft) {
                continue;
            }
            const hasRoom = (to: ModelTarget) => this.model.sliceCountWith(to, piece) <= MAX_SLICES_PER_TARGET;
            const lightest = receivers.find(hasRoom);
            const nearest = receivers.find(to => to.row.domain === from.row.domain && hasRoom(to));
            for (const to of new Set([nearest, lightest])) {
                const after = to === undefined ? Infinity : this.ratioAfter(piece, from, to);
                if (to === undefined || before - after < this.limits.leastGain) {
                    continue;
                }
                const relief = (before - after) * this.mean * from.capacity;
                if (relief * this.limits.horizonMs >= piece.work * from.drainMs) {
                    options.push({ piece, to, cost: Math.max(after, level) + this.costOf(piece, from, to) });
                }
            }
        }
        return cheapest(options);
    }

    private bestFilling(to: ModelTarget, spaceLeft: number): (Candidate & { from: ModelTarget }) | undefined {
        const options: (Candidate & { from: ModelTarget })[] = [];
        const sources = this.serving
            .filter(from => from !== to && this.ratio(from) > this.limits.fillAim)
            .sort((a, b) => utilization(b) - utilization(a))
            .slice(0, 4);
        for (const from of sources) {
            for (const piece of this.piecesOf(from)) {
                const fromAfter = (from.work - piece.work) / from.capacity / this.mean;
                const toAfter = (to.work + piece.work) / to.capacity / this.mean;
                const gain = toAfter - this.ratio(to);
                const fits =
                    spaceShare(piece) <= spaceLeft &&
                    this.model.sliceCountWith(to, piece) <= MAX_SLICES_PER_TARGET &&
                    from.sliceCount < MAX_SLICES_PER_TARGET &&
                    fromAfter >= this.limits.fillAim &&
                    toAfter <= Math.min(this.limits.aim, this.ratio(from) - this.limits.leastGain) &&
                    gain >= this.limits.leastGain;
                if (fits) {
                    const missing = Math.max(0, this.limits.fillAim - toAfter);
                    options.push({
                        piece,
                        from,
                        to,
                        cost: missing - this.ratio(from) / 4 + this.costOf(piece, from, to),
                    });
                }
            }
        }
        return cheapest(options);
    }

    private ratioAfter(piece: Piece, from: ModelTarget, to: ModelTarget): number {
        return Math.max((from.work - piece.work) / from.capacity, (to.work + piece.work) / to.capacity) / this.mean;
    }

    private costOf(piece: Piece, from: ModelTarget, to: ModelTarget): number {
        const slices = this.model.sliceCountWith(to, piece) - to.sliceCount - Number(piece.whole);
        return (
            spaceShare(piece) * KEY_SPACE_COST +
            (from.row.domain === to.row.domain ? 0 : DOMAIN_COST) +
            slices * SLICE_COST
        );
    }

    /** Whole slices, their beginnings and ends, and hot keys. Only a hot key is cut out of the middle of a slice. */
    private piecesOf(target: ModelTarget): Piece[] {
        const maySplit = target.sliceCount < MAX_SLICES_PER_TARGET;
        return this.model.runs(target).flatMap(run => {
            const whole = wholePiece(run);
            const end = run.length - 1;
            const isTouched = run.some(({ moved }) => moved);
            const pieces = isTouched ? [] : [whole];
            let before = 0;
            run.forEach((atom, index) => {
                // A key at the edge leaves one slice behind, one in the middle two.
                const isEdge = index === 0 || index === end;
                if (atom.hot && !atom.moved && end > 0 && (maySplit || isEdge)) {
                    pieces.push(pieceOf(run, index, index, atom.work));
                }
                before += atom.work;
                if (!isTouched && index < end) {
                    pieces.push(pieceOf(run, 0, index, before), pieceOf(run, index + 1, end, whole.work - before));
                }
            });
            return pieces.filter(piece => isMeasured(piece) || isHotKey(piece));
        });
    }

    private freshRuns(target: ModelTarget): Piece[] {
        return this.model
            .runs(target)
            .filter(atoms => atoms.every(({ moved }) => !moved))
            .map(wholePiece)
            .filter(piece => isMeasured(piece) || isHotKey(piece));
    }

    private apply({ piece, to }: Candidate, from: ModelTarget, reason: MoveReason): void {
        this.model.move(piece, from, to);
        this.movesLeft--;
        if (reason === "join") {
            this.joinSpaceLeft -= spaceShare(piece);
        } else if (reason !== "evacuate") {
            this.keySpaceLeft -= spaceShare(piece);
        }
        const move: Move = {
            slice: [piece.start, piece.end],
            from: from.row.target,
            to: to.row.target,
            drainMs: from.drainMs,
            reason,
            work: piece.work,
        };
        const adjacent = this.moves.find(
            other =>
                other.from === move.from &&
                other.to === move.to &&
                other.reason === reason &&
                (other.slice[1] === piece.start || other.slice[0] === piece.end),
        );
        if (adjacent === undefined) {
            this.moves.push(move);
        } else {
            adjacent.slice = [Math.min(adjacent.slice[0], piece.start), Math.max(adjacent.slice[1], piece.end)];
            adjacent.work += piece.work;
        }
    }
}

const isHotKey = ({ run, first, last }: Piece): boolean => first === last && run[first].hot;

const cheapest = <Option extends Candidate>(options: readonly Option[]): Option | undefined =>
    options.reduce<Option | undefined>(
        (best, option) => (best === undefined || option.cost < best.cost ? option : best),
        undefined,
    );

const busiest = (targets: readonly ModelTarget[]): ModelTarget | undefined =>
    targets.reduce<ModelTarget | undefined>(
        (best, target) => (best === undefined || utilization(target) > utilization(best) ? target : best),
        undefined,
    );

/**
 * Plans moves that empty draining targets, relieve busy ones and fill empty ones. Pure: it reads no clock, and the same
 * input gives the same plan. The moves may be made in any order, as no position is moved twice.
 *
 * A target is relieved to `aim` if that is within reach. Otherwise the plan is taken whose result is best: what is left of
 * `keySpace` and `moves` is spent on the busiest targets, and a key that is too hot for a balance stays where it is.
 *
 * @example
 * const moves = planMoves(loads, rows, { ...DEFAULT_REBALANCE_LIMITS, moves: movesLeftThisMinute });
 */
export const planMoves = (
    loads: ReadonlyMap<string, TargetLoad>,
    rows: readonly TargetRow[],
    limits: RebalanceLimits = DEFAULT_REBALANCE_LIMITS,
): Move[] => {
    const measured = rows.filter(({ target, state }) => state !== "lost" && loads.has(target));
    const known = measured.map(({ target }) => loads.get(target)).filter(load => load !== undefined);
    const capacity = known.reduce((sum, load) => sum + load.capacity, 0);
    if (capacity <= 0) {
        return [];
    }
    const totalWork = known.reduce((sum, { slices }) => sum + slices.reduce((part, { work }) => part + work, 0), 0);
    const options = {
        hotWork: (totalWork / known.length) * limits.hotKey,
        restWorkPerPosition: (capacity * REST_SHARE) / RING_SIZE,
    };
    const coarse = LoadModel.of(rows, loads, { ...options, isFine: () => false });
    const serving = coarse.targets.filter(({ known: hasLoad, row }) => hasLoad && row.state === "serving");
    const mean = (totalWork + capacity * REST_SHARE) / capacity;
    const needsFilling = serving.some(target => utilization(target) < mean * limits.underfilled);
    // Only the targets that may give away parts of slices are cut finely; the model of a large service stays small.
    const split = new Set(
        serving
            .filter(target => utilization(target) > mean * (needsFilling ? limits.fillAim : limits.aim))
            .map(({ row }) => row.target),
    );
    const model =
        split.size === 0 ? coarse : LoadModel.of(rows, loads, { ...options, isFine: target => split.has(target) });
    const planAt = (level: number): Planner => {
        const planner = new Planner(model.clone(), limits);
        planner.evacuate();
        planner.relieve(level);
        planner.fill();
        planner.merge();
        return planner;
    };
    let best: Planner | undefined;
    for (const level of [limits.aim, ...LEVELS.filter(level => level > limits.aim)]) {
        const planner = planAt(level);
        if (best === undefined || planner.badness() < best.badness() - 1e-9) {
            best = planner;
        }
        // Without any relief at this level there is none at a higher one either.
        if (planner.reliefs === 0 || planner.isAtMost(Math.max(level, limits.trigger))) {
            break;
        }
    }
    return best?.moves ?? [];
};

/**
 * The rows with the moves made; terms are left to the transaction.
 *
 * @example
 * const after = applyMoves(rows, planMoves(loads, rows));
 */
export const applyMoves = (rows: readonly TargetRow[], moves: readonly Move[]): TargetRow[] =>
    rows.map(row => {
        const lost = moves.filter(({ from }) => from === row.target).map(({ slice }) => slice);
        const gained = moves.filter(({ to }) => to === row.target).map(({ slice }) => slice);
        if (lost.length === 0 && gained.length === 0) {
            return row;
        }
        return { ...row, slices: normalizeSlices([...subtractSlices(row.slices, lost), ...gained]) };
    });
