import {
    isMeasured,
    LoadModel,
    pieceOf,
    wholePiece,
    keySpaceShare,
    utilization,
    type ModelTarget,
    type Piece,
    type TargetLoad,
} from "./loadModel.js";
import type { Outliers } from "./outliers.js";
import type { Slice, TargetRow } from "../store/rows.js";
import { MAX_SLICES_PER_TARGET, normalizeSlices, RING_SIZE, subtractSlices } from "../ownership/sliceMap.js";

/** Limits and thresholds of a plan. Ratios are of a target's utilization to the mean of the serving targets. */
export interface RebalanceLimits {
    /** Maximum number of moves in the plan. Evacuations aren't limited. */
    moves: number;
    /**
     * Maximum share of the key space that a plan may move to relieve targets and to fill underutilized ones. It is
     * small so that little is moved on the first, uncertain measurements after a change. `MoveBudget` limits successive
     * plans.
     */
    keySpace: number;
    /** Maximum share of the key space that a plan may move to joining targets. */
    joinKeySpace: number;
    /** Ratio above which a target is relieved. */
    reliefThreshold: number;
    /**
     * Ratio down to which it is relieved. Well below `reliefThreshold`; otherwise noise would trigger one plan after
     * another.
     */
    reliefGoal: number;
    /** Ratio below which a target is filled, for example after it has joined. */
    fillThreshold: number;
    /** Ratio up to which it is filled. */
    fillGoal: number;
    /** Minimum improvement of a target's ratio that justifies a move. */
    minGain: number;
    /**
     * Measured utilization up to which a target isn't relieved, because a few requests say nothing about the balance.
     */
    idleUtilization: number;
    /** Time over which the gain of a move must outweigh the waiting that its drain causes, in milliseconds. */
    horizonMs: number;
    /** Minimum work of a key that may get its own slice, as a ratio to the mean work of a target. */
    hotKeyRatio: number;
    /**
     * Utilization ratio below which a one-position slice is merged with an adjacent slice. Well below `hotKeyRatio`.
     */
    coldKeyRatio: number;
    /** Number of slices above which the coldest slices of a target are merged with adjacent ones. */
    mergeAbove: number;
    /** Maximum number of merges in a plan. */
    merges: number;
    /** If set, only these targets are relieved or filled; joining targets are always filled. */
    outliersBefore?: Outliers;
}

export const DEFAULT_REBALANCE_LIMITS: RebalanceLimits = {
    moves: 120,
    keySpace: 0.005,
    joinKeySpace: 0.05,
    reliefThreshold: 1.25,
    reliefGoal: 1.1,
    fillThreshold: 0.5,
    fillGoal: 0.75,
    minGain: 0.03,
    idleUtilization: 0.05,
    horizonMs: 10_000,
    hotKeyRatio: 0.03,
    coldKeyRatio: 0.01,
    mergeAbove: 48,
    merges: 8,
};

/** Ratios that are tried in turn when `reliefGoal` can't be reached. */
const RELIEF_LEVELS = [1.25, 1.4, 2];
/** Cost of moving the whole key space, as a ratio: moving 1% of it must improve the ratio by 0.04. */
const KEY_SPACE_COST = 4;
/** Cost of a move to another failure domain, as a ratio. */
const DOMAIN_COST = 0.02;
/** Cost of an additional slice, as a ratio. */
const SLICE_COST = 0.002;
/**
 * Utilization ratio by which a target of the same domain may exceed others and still receive a draining target's
 * slices.
 */
const EVACUATION_DOMAIN_COST = 0.25;
/** A target that owns less than this share of the average key space per target counts as joining. */
const JOINING_SHARE = 0.25;
/** Share of the total capacity that is distributed evenly over the key space; see `baseWorkPerPosition`. */
const BASE_WORK_SHARE = 0.02;

export type MoveReason = "hot-key" | "balance" | "split" | "fill" | "join" | "merge" | "evacuate";

/** A planned move of a slice to another target. */
export interface Move {
    slice: Slice;
    from: string;
    to: string;
    /** Expected time for which the slice is unavailable while it drains, in milliseconds. */
    drainMs: number;
    reason: MoveReason;
    /** Work of the slice, in slots. */
    work: number;
}

interface Candidate {
    piece: Piece;
    to: ModelTarget;
    cost: number;
}

/** Builds a plan, applying each move to the model. */
class Planner {
    readonly moves: Move[] = [];
    /** Number of moves that relieve a target. */
    reliefMoves = 0;
    private readonly serving: ModelTarget[];
    private readonly mean: number;
    private movesLeft: number;
    private keySpaceLeft: number;
    private joinKeySpaceLeft: number;

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
        this.joinKeySpaceLeft = limits.joinKeySpace;
    }

    /** Empties draining targets at any cost, because they must not get new work. */
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

    /** Relieves targets above `reliefThreshold` until they are at the level, busiest first. */
    relieve(level: number): void {
        const active = new Set<ModelTarget>();
        const stuck = new Set<ModelTarget>();
        while (this.movesLeft > 0) {
            for (const target of this.serving) {
                const wasBusy = this.limits.outliersBefore?.busy.has(target.row.target) ?? true;
                if (wasBusy && this.ratio(target) > this.limits.reliefThreshold && !this.isIdle(target)) {
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
            this.reliefMoves++;
            this.apply(best, from, isHotKey(best.piece) ? "hot-key" : best.piece.whole ? "balance" : "split");
        }
    }

    /** Moves slices to targets that have far less work than the others, such as new ones. */
    fill(): void {
        const emptiestFirst = [...this.serving].sort((a, b) => utilization(a) - utilization(b));
        for (const to of emptiestFirst.filter(target => this.ratio(target) < this.limits.fillThreshold)) {
            const ownShare = to.segments.reduce((sum, segment) => sum + keySpaceShare(segment), 0);
            const isJoining = ownShare * this.serving.length < JOINING_SHARE;
            if (!isJoining && this.limits.outliersBefore?.idle.has(to.row.target) === false) {
                continue;
            }
            while (this.movesLeft > 0 && this.ratio(to) < this.limits.fillGoal) {
                const best = this.bestFilling(to, isJoining ? this.joinKeySpaceLeft : this.keySpaceLeft);
                if (best === undefined) {
                    break;
                }
                this.apply(best, best.from, isJoining ? "join" : "fill");
            }
        }
    }

    /** Merges former hot keys, and the coldest slices of targets with too many slices, with adjacent slices. */
    merge(): void {
        let left = Math.min(this.limits.merges, this.movesLeft);
        const busiestRatio = Math.max(...this.serving.map(target => this.ratio(target)));
        // A merge must not make the busiest target busier.
        const maxRatio = Math.min(this.limits.reliefGoal, busiestRatio - this.limits.minGain);
        for (const from of this.serving) {
            const pieces = this.unmovedSlices(from)
                .filter(piece => piece.work / from.capacity < this.mean * this.limits.coldKeyRatio)
                .sort((a, b) => a.work - b.work);
            for (const piece of pieces) {
                const crowded = from.sliceCount > this.limits.mergeAbove;
                if (
                    left === 0 ||
                    !(piece.end - piece.start === 1 || crowded) ||
                    keySpaceShare(piece) > this.keySpaceLeft
                ) {
                    continue;
                }
                const options = this.model
                    .neighbours(piece)
                    .filter(to => to !== from && this.serving.includes(to))
                    .filter(to => (to.work + piece.work) / to.capacity <= this.mean * maxRatio)
                    .map(to => ({ piece, to, cost: this.model.sliceCountWith(to, piece) - to.sliceCount }));
                const best = cheapest(options);
                if (best !== undefined) {
                    this.apply(best, from, "merge");
                    left--;
                }
            }
        }
    }

    /** Score of how far targets are above `reliefGoal`; the busiest targets weigh most. */
    overloadScore(): number {
        return this.serving.reduce((sum, one) => sum + Math.max(0, this.ratio(one) - this.limits.reliefGoal) ** 4, 0);
    }

    /** Whether every target that isn't idle is at or below the level. */
    isAtMost(level: number): boolean {
        return this.serving.every(target => this.ratio(target) <= level || this.isIdle(target));
    }

    private ratio(target: ModelTarget): number {
        return this.mean > 0 ? utilization(target) / this.mean : 1;
    }

    /**
     * Whether the measured work, without the share that is distributed over the key space, is too low for conclusions.
     */
    private isIdle(target: ModelTarget): boolean {
        return utilization(target) - BASE_WORK_SHARE <= this.limits.idleUtilization;
    }

    private bestRelief(from: ModelTarget, level: number): Candidate | undefined {
        const before = this.ratio(from);
        const receivers = this.serving.filter(to => to !== from).sort((a, b) => utilization(a) - utilization(b));
        const options: Candidate[] = [];
        for (const piece of this.piecesOf(from)) {
            if (piece.work === 0 || keySpaceShare(piece) > this.keySpaceLeft) {
                continue;
            }
            const hasRoom = (to: ModelTarget) => this.model.sliceCountWith(to, piece) <= MAX_SLICES_PER_TARGET;
            const lightest = receivers.find(hasRoom);
            const nearest = receivers.find(to => to.row.domain === from.row.domain && hasRoom(to));
            for (const to of new Set([nearest, lightest])) {
                const after = to === undefined ? Infinity : this.ratioAfter(piece, from, to);
                if (to === undefined || before - after < this.limits.minGain) {
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
            .filter(from => from !== to && this.ratio(from) > this.limits.fillGoal)
            .sort((a, b) => utilization(b) - utilization(a))
            .slice(0, 4);
        for (const from of sources) {
            for (const piece of this.piecesOf(from)) {
                const fromAfter = (from.work - piece.work) / from.capacity / this.mean;
                const toAfter = (to.work + piece.work) / to.capacity / this.mean;
                const gain = toAfter - this.ratio(to);
                const fits =
                    keySpaceShare(piece) <= spaceLeft &&
                    this.model.sliceCountWith(to, piece) <= MAX_SLICES_PER_TARGET &&
                    from.sliceCount < MAX_SLICES_PER_TARGET &&
                    fromAfter >= this.limits.fillGoal &&
                    toAfter <= Math.min(this.limits.reliefGoal, this.ratio(from) - this.limits.minGain) &&
                    gain >= this.limits.minGain;
                if (fits) {
                    const missing = Math.max(0, this.limits.fillGoal - toAfter);
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
            keySpaceShare(piece) * KEY_SPACE_COST +
            (from.row.domain === to.row.domain ? 0 : DOMAIN_COST) +
            slices * SLICE_COST
        );
    }

    /** Whole slices, their beginnings and ends, and hot keys. Only hot keys are cut out of the middle of a slice. */
    private piecesOf(target: ModelTarget): Piece[] {
        const maySplit = target.sliceCount < MAX_SLICES_PER_TARGET;
        return this.model.runs(target).flatMap(run => {
            const whole = wholePiece(run);
            const end = run.length - 1;
            const isTouched = run.some(({ moved }) => moved);
            const pieces = isTouched ? [] : [whole];
            let before = 0;
            run.forEach((segment, index) => {
                // Cutting out a key at the edge of a slice leaves one slice behind, a key in the middle leaves two.
                const isEdge = index === 0 || index === end;
                if (segment.hot && !segment.moved && end > 0 && (maySplit || isEdge)) {
                    pieces.push(pieceOf(run, index, index, segment.work));
                }
                before += segment.work;
                if (!isTouched && index < end) {
                    pieces.push(pieceOf(run, 0, index, before), pieceOf(run, index + 1, end, whole.work - before));
                }
            });
            return pieces.filter(piece => isMeasured(piece) || isHotKey(piece));
        });
    }

    private unmovedSlices(target: ModelTarget): Piece[] {
        return this.model
            .runs(target)
            .filter(segments => segments.every(({ moved }) => !moved))
            .map(wholePiece)
            .filter(piece => isMeasured(piece) || isHotKey(piece));
    }

    private apply({ piece, to }: Candidate, from: ModelTarget, reason: MoveReason): void {
        this.model.move(piece, from, to);
        this.movesLeft--;
        if (reason === "join") {
            this.joinKeySpaceLeft -= keySpaceShare(piece);
        } else if (reason !== "evacuate") {
            this.keySpaceLeft -= keySpaceShare(piece);
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
 * Plans moves that empty draining targets, relieve busy ones and fill underutilized ones. This is a pure function: it
 * reads no clock, and the same input gives the same plan. The moves may be made in any order, as no position is moved
 * twice.
 *
 * A target is relieved to `reliefGoal` if possible. Otherwise the plan with the best result is chosen: the rest of
 * `keySpace` and `moves` is spent on the busiest targets, and a key that is too hot to be balanced stays where it is.
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
        hotWork: (totalWork / known.length) * limits.hotKeyRatio,
        baseWorkPerPosition: (capacity * BASE_WORK_SHARE) / RING_SIZE,
    };
    const coarse = LoadModel.of(rows, loads, { ...options, splitsAtBins: () => false });
    const serving = coarse.targets.filter(({ known: hasLoad, row }) => hasLoad && row.state === "serving");
    const mean = (totalWork + capacity * BASE_WORK_SHARE) / capacity;
    const needsFilling = serving.some(target => utilization(target) < mean * limits.fillThreshold);
    // Only the slices of targets that may give away parts of them are split at bins, which keeps the model of a large
    // service small.
    const split = new Set(
        serving
            .filter(target => utilization(target) > mean * (needsFilling ? limits.fillGoal : limits.reliefGoal))
            .map(({ row }) => row.target),
    );
    const model =
        split.size === 0
            ? coarse
            : LoadModel.of(rows, loads, { ...options, splitsAtBins: target => split.has(target) });
    const planAt = (level: number): Planner => {
        const planner = new Planner(model.clone(), limits);
        planner.evacuate();
        planner.relieve(level);
        planner.fill();
        planner.merge();
        return planner;
    };
    let best: Planner | undefined;
    for (const level of [limits.reliefGoal, ...RELIEF_LEVELS.filter(level => level > limits.reliefGoal)]) {
        const planner = planAt(level);
        if (best === undefined || planner.overloadScore() < best.overloadScore() - 1e-9) {
            best = planner;
        }
        // If no relief is possible at this level, none is possible at a higher one.
        if (planner.reliefMoves === 0 || planner.isAtMost(Math.max(level, limits.reliefThreshold))) {
            break;
        }
    }
    return best?.moves ?? [];
};

/**
 * Returns the rows with the moves applied. Terms are unchanged, as the transaction sets them.
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
