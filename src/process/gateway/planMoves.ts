import { KEY_COUNT, withoutRanges, type KeyRange } from "./keyMap.js";
import { ownerName, processName } from "./processName.js";

/** State of a target as input for the planner. */
export interface PlannedTarget {
    id: string;
    /** Two processes may have registered under one identifier; start time and address tell them apart. */
    startedAtMs: number;
    address: string;
    /** Requests per second that it can serve, relative to the others; from its slots and measured speed. */
    capacity: number;
    /** Ratio of running and waiting requests to its slots, as last reported. */
    pressure: number;
    /** Whether it may be assigned keys. Leaving targets may not, but still hold theirs. */
    canReceive: boolean;
    /** Whether its keys may be moved away for balance; an unresponsive target can't release them. */
    canRelease: boolean;
    /**
     * Whether it didn't take its last grant. It keeps the keys that it has, and is assigned others only if no other target can have
     * them; without keys it is assigned one, whose grant shows whether it can be reached again.
     */
    isFailing?: boolean;
    /** Whether the evacuation of its failure domain has ended not long ago. It gets keys for balance in few moves at a time. */
    isReturning?: boolean;
    /** Whether it is cold. It is assigned further keys only if no warm target can have them, or those are clearly overloaded. */
    isCold?: boolean;
    /** Whether its failure domain is evacuated. Its ranges are kept whole where that leaves the load even enough. */
    isEvacuated?: boolean;
}

/** Planned change of the owner of keys. `source` is `undefined` for keys without an owner. */
export interface KeyMove {
    from: number;
    to: number;
    source: string | undefined;
    target: string;
}

/** Ratio of a target's load to its fair share above which keys are moved away from it. */
export const OVERLOAD_RATIO = 1.2;
/** Ratio of load to fair share from which a target isn't assigned more keys. */
const FULL_RATIO = 1.05;
/** Pressure from which requests wait, so that uneven load delays callers. Below it, moves would cost more than they gain. */
export const HIGH_PRESSURE = 0.9;
/** Share of its owner's load from which a key counts as hot. */
const HOT_KEY_SHARE = 0.5;
/** Maximum number of moves at a time that make room for one hot key. */
const MAX_ISOLATING_MOVES = 8;
/** Ratio of capacities from which a hot key is moved to a faster target; the key isn't served while it moves. */
const FASTER_TARGET_RATIO = 1.35;
/** Ratio of load to fair share below which a new target is assigned keys from the others. */
const IDLE_RATIO = 0.3;
/** Ratio of load to fair share up to which a new target is filled. */
const FILL_RATIO = 0.8;
/** Maximum share of an owner's load that one move to a new target may carry. */
const FILL_SHARE = 0.4;
/**
 * Maximum number of moves for balance at a time: a share of the number of targets, and a minimum for few targets. Keys that are
 * busy together are next to each other, so one owner may have to pass its load to many targets at once.
 */
const BALANCE_MOVES_SHARE = 1 / 3;
const MIN_BALANCE_MOVES = 6;
/**
 * Maximum number of moves at a time to targets whose evacuation has ended, as a share of the number of targets, and a minimum. All
 * targets of a failure domain return at once, and each key is without an owner for a moment while it moves.
 */
const MAX_RETURN_MOVES_SHARE = 1 / 24;
const MIN_RETURN_MOVES = 2;
/** Minimum load of a move for balance, as a share of the receiver's fair share; less isn't worth the wait. */
const MIN_MOVED_SHARE = 0.09;
/**
 * Ratio of the load of the least loaded warm target to its share among all targets, cold ones included, from which cold targets get
 * keys. The loss of one of three failure domains gives the others a ratio of 1.5, which they can bear until the targets that return
 * are warm; only the loss of more than half of the capacity exceeds 2.
 */
const COLD_RELIEF_RATIO = 2;

/**
 * Maximum load of a range of an evacuated target that is moved whole, and of a rest that isn't split off, as shares of the receiver's fair
 * share. Each further range makes the row longer, which takes some 1,500: twelve evacuations of a third of 215 targets took 512 ranges to
 * 1,065 without this rule.
 */
const WHOLE_RANGE_SHARE = 0.5;
const LEAST_REST_SHARE = 1 / 8;
/** Ratio of load to fair share up to which such a target is assigned keys; what is missing then isn't worth a move. */
const RETURN_RATIO = FILL_RATIO - MIN_MOVED_SHARE;

interface Holding {
    target: PlannedTarget;
    ranges: readonly KeyRange[];
    load: number;
    fairLoad: number;
    /** Share of the load that it would have among all targets that can receive keys, cold ones included. */
    sharedLoad: number;
    /** Whether it is cold while a warm target could have keys. */
    isHeldBack: boolean;
}

/** Cumulative load of keys, so that the load of a range is a single subtraction. */
export class KeyLoads {
    private readonly cumulative = new Float64Array(KEY_COUNT + 1);

    /** @param weights load of each key in any unit; all keys count alike when all are 0 */
    constructor(weights: ArrayLike<number>) {
        for (let key = 0; key < KEY_COUNT; key++) {
            this.cumulative[key + 1] = this.cumulative[key] + weights[key];
        }
    }

    get total(): number {
        return this.cumulative[KEY_COUNT];
    }

    /** Load of the keys from `from` to `to`, both included. */
    of(from: number, to: number): number {
        return this.cumulative[to + 1] - this.cumulative[from];
    }

    /** The last key for which the load of the keys from `from` to it is at most `load`; at least `from`. */
    lastKeyWithin(from: number, to: number, load: number): number {
        let low = from;
        let high = to;
        while (low < high) {
            const middle = (low + high + 1) >> 1;
            if (this.of(from, middle) <= load) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low;
    }

    /** The first key for which the load of the keys from it to `to` is at most `load`; at most `to`. */
    firstKeyWithin(from: number, to: number, load: number): number {
        let low = from;
        let high = to;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.of(middle, to) <= load) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }
}

/** Whether a target may be assigned further keys, as far as others could have them as well. */
const canGain = ({ target, isHeldBack }: Holding): boolean =>
    target.canReceive && target.isFailing !== true && !isHeldBack;

/** Whether a cold target may be assigned further keys where the warm ones are clearly overloaded. */
const canRelieve = ({ target, isHeldBack }: Holding): boolean =>
    target.canReceive && target.isFailing !== true && isHeldBack;

const lowestLoad = (holdings: readonly Holding[]): Holding | undefined =>
    holdings.reduce<Holding | undefined>(
        (best, holding) =>
            best === undefined || holding.load / holding.fairLoad < best.load / best.fairLoad ? holding : best,
        undefined,
    );

const leastLoaded = (holdings: readonly Holding[]): Holding | undefined => {
    const receivers = holdings.filter(({ target }) => target.canReceive);
    const warm = lowestLoad(receivers.filter(canGain));
    if (warm !== undefined && warm.load <= warm.sharedLoad * COLD_RELIEF_RATIO) {
        return warm;
    }
    return lowestLoad(receivers.filter(canRelieve)) ?? warm ?? lowestLoad(receivers);
};

/** Splits keys that need a new owner into pieces that fill the least loaded targets first. */
const placeRange = (
    range: KeyRange,
    source: string | undefined,
    holdings: readonly Holding[],
    loads: KeyLoads,
    keepsRanges = false,
): KeyMove[] => {
    const moves: KeyMove[] = [];
    for (let from = range.from; from <= range.to;) {
        const receiver = leastLoaded(holdings);
        if (receiver === undefined) {
            return moves;
        }
        // Beyond that load, a warm target leaves keys to cold ones.
        const fullLoad = Math.min(receiver.fairLoad, receiver.sharedLoad * COLD_RELIEF_RATIO);
        const room = Math.max(fullLoad - receiver.load, fullLoad / 4);
        const within = loads.lastKeyWithin(from, range.to, room);
        const isWhole =
            keepsRanges &&
            (loads.of(from, range.to) <= fullLoad * WHOLE_RANGE_SHARE ||
                loads.of(within, range.to) <= fullLoad * LEAST_REST_SHARE);
        const to = isWhole ? range.to : within;
        receiver.load += loads.of(from, to);
        moves.push({ from, to, source, target: receiver.target.id });
        from = to + 1;
    }
    return moves;
};

/**
 * A piece of a target's keys that carries about `wanted` load, from that end of its range with the highest load where it
 * fits best. A piece that would carry less than `least` gets one more key, as a busy key may be next to it.
 */
const choosePiece = (
    own: readonly KeyRange[],
    { wanted, least }: { wanted: number; least: number },
    loads: KeyLoads,
): { from: number; to: number } | undefined => {
    const loadOf = ({ from, to }: { from: number; to: number }) => loads.of(from, to);
    const [largest] = [...own].sort((a, b) => loadOf(b) - loadOf(a));
    if (largest === undefined || (own.length === 1 && largest.from === largest.to)) {
        return undefined;
    }
    const { from, to } = largest;
    // One key stays, so that balancing never leaves a target without keys.
    const lowest = own.length === 1 ? from + 1 : from;
    const highest = own.length === 1 ? to - 1 : to;
    const last = loads.lastKeyWithin(from, highest, wanted);
    const first = loads.firstKeyWithin(lowest, to, wanted);
    const pieces = [
        { from, to: loads.of(from, last) < least ? Math.min(last + 1, highest) : last },
        { from: loads.of(first, to) < least ? Math.max(first - 1, lowest) : first, to },
    ];
    const fitting = pieces.filter(piece => loadOf(piece) <= wanted).sort((a, b) => loadOf(b) - loadOf(a));
    return fitting[0] ?? pieces.sort((a, b) => loadOf(a) - loadOf(b))[0];
};

/** Assigns new targets a share of the keys of the targets with the highest load. */
const fillNew = (holdings: readonly Holding[], loads: KeyLoads, maxMoves: number): KeyMove[] => {
    const moves: KeyMove[] = [];
    const receivers = holdings.filter(({ target }) => target.canReceive).length;
    let returnMoves = Math.max(MIN_RETURN_MOVES, Math.ceil(receivers * MAX_RETURN_MOVES_SHARE));
    const sources = byRelativeLoad(
        holdings.filter(({ target, load, fairLoad }) => target.canRelease && load > fairLoad * FILL_RATIO),
    );
    for (const holding of holdings) {
        const { fairLoad } = holding;
        const isReturning = holding.target.isReturning === true;
        if (!canGain(holding) || holding.load >= fairLoad * (isReturning ? RETURN_RATIO : IDLE_RATIO)) {
            continue;
        }
        while (holding.load < fairLoad * FILL_RATIO && moves.length < maxMoves) {
            if (isReturning && (returnMoves <= 0 || holding.load >= fairLoad * RETURN_RATIO)) {
                break;
            }
            const source = sources.shift();
            if (source === undefined) {
                return moves;
            }
            const wanted = Math.min(source.load * FILL_SHARE, fairLoad * FILL_RATIO - holding.load);
            const whole = isReturning ? wholeRange(source, wanted, loads) : undefined;
            const added =
                whole === undefined
                    ? movePiece(source, holding, wanted, loads)
                    : [passPiece(source, holding, whole, loads)];
            moves.push(...added);
            returnMoves -= isReturning ? added.length : 0;
        }
    }
    return moves;
};

/** The range with the highest load up to a maximum among those of a target that has others, if it is worth a move. */
const wholeRange = ({ ranges, fairLoad }: Holding, max: number, loads: KeyLoads): KeyRange | undefined => {
    const [largest] = ranges
        .map(range => ({ range, load: loads.of(range.from, range.to) }))
        .filter(({ load }) => load <= max && load >= fairLoad * MIN_MOVED_SHARE)
        .sort((a, b) => b.load - a.load);
    return ranges.length > 1 ? largest?.range : undefined;
};

/** Holdings with the highest load in relation to their fair share first. */
const byRelativeLoad = (holdings: readonly Holding[]): Holding[] =>
    [...holdings].sort((a, b) => b.load / b.fairLoad - a.load / a.fairLoad);

/** Whether requests wait for a target that can release keys and has more than its fair share of the load. */
const isOverloaded = ({ target, load, fairLoad }: Holding): boolean =>
    target.canReceive && target.canRelease && target.pressure >= HIGH_PRESSURE && load > fairLoad * OVERLOAD_RATIO;

/**
 * Makes room for keys that overload their owners by themselves: the other keys of such an owner are moved to the targets with
 * the lowest load, then the key itself to a much faster target. A single key can't be divided, so the most that it can get is
 * a fast target of its own.
 */
const isolateHotKeys = (holdings: readonly Holding[], loads: KeyLoads, maxMoves: number): KeyMove[] => {
    const moves: KeyMove[] = [];
    const overloaded = byRelativeLoad(holdings.filter(isOverloaded));
    for (const holding of overloaded) {
        if (moves.length >= maxMoves) {
            break;
        }
        moves.push(...isolateHotKey(holding, holdings, loads));
    }
    return moves;
};

const isolateHotKey = (holding: Holding, holdings: readonly Holding[], loads: KeyLoads): KeyMove[] => {
    const { target, ranges, load, fairLoad } = holding;
    const hottest = hottestKey(ranges, loads);
    const hotLoad = loads.of(hottest, hottest);
    if (hotLoad < load * HOT_KEY_SHARE || hotLoad < fairLoad) {
        return [];
    }
    const others = holdings.filter(other => other !== holding && other.target.pressure < HIGH_PRESSURE);
    const moves = ranges
        .flatMap(range => withoutRanges(range, [{ from: hottest, to: hottest }]))
        .flatMap(range => placeRange(range, target.id, others, loads));
    if (moves.length > 0) {
        return moves.slice(0, MAX_ISOLATING_MOVES);
    }
    const [fastest] = others.filter(canGain).sort((a, b) => b.target.capacity - a.target.capacity);
    return fastest !== undefined && fastest.target.capacity > target.capacity * FASTER_TARGET_RATIO
        ? [{ from: hottest, to: hottest, source: target.id, target: fastest.target.id }]
        : [];
};

/** The key with the highest load in some ranges. */
const hottestKey = (ranges: readonly KeyRange[], loads: KeyLoads): number => {
    let hottest = ranges[0].from;
    let highest = -1;
    for (const { from, to } of ranges) {
        for (let key = from; key <= to; key++) {
            const load = loads.of(key, key);
            if (load > highest) {
                hottest = key;
                highest = load;
            }
        }
    }
    return hottest;
};

/**
 * Moves keys away from targets at which requests wait and that have more than their fair share. One target may pass keys to many
 * others, each of which gets one piece.
 */
const relieve = (holdings: readonly Holding[], loads: KeyLoads, maxMoves: number): KeyMove[] => {
    const moves: KeyMove[] = [];
    const receivers = new Set(
        holdings.filter(
            holding => (canGain(holding) || canRelieve(holding)) && holding.target.pressure < HIGH_PRESSURE,
        ),
    );
    for (const holding of byRelativeLoad(holdings.filter(isOverloaded))) {
        while (moves.length < maxMoves && holding.load > holding.fairLoad * OVERLOAD_RATIO) {
            const receiver = leastLoaded([...receivers]);
            if (receiver === undefined || receiver.load > receiver.fairLoad * FULL_RATIO) {
                return moves;
            }
            const wanted = Math.min(holding.load - holding.fairLoad, receiver.fairLoad * FULL_RATIO - receiver.load);
            const [move] = movePiece(holding, receiver, wanted, loads);
            if (move === undefined) {
                break;
            }
            moves.push(move);
            receivers.delete(receiver);
        }
    }
    return moves;
};

/**
 * Assigns one key to each target without keys that didn't take its last grant; the new grant shows whether it can be reached. The
 * key may be without an owner until its hold has expired, so it is one of little load. A key that is a range of its own, as after an
 * earlier such move, is preferred: each other one would add a range to the assignment.
 */
const tryFailing = (holdings: readonly Holding[], loads: KeyLoads): KeyMove[] => {
    const usualLoad = loads.total / KEY_COUNT;
    return holdings
        .filter(({ target, ranges }) => target.canReceive && target.isFailing === true && ranges.length === 0)
        .flatMap(receiver => {
            const [trial] = holdings
                .filter(({ target, ranges }) => target.canRelease && hasKeysToSpare(ranges))
                .flatMap(source =>
                    source.ranges.flatMap(({ from, to }) =>
                        [from, to].map(key => {
                            const load = loads.of(key, key);
                            return { source, key, load, isRange: from === to && load <= usualLoad };
                        }),
                    ),
                )
                .sort((a, b) => Number(b.isRange) - Number(a.isRange) || a.load - b.load);
            return trial === undefined
                ? []
                : [passPiece(trial.source, receiver, { from: trial.key, to: trial.key }, loads)];
        });
};

const hasKeysToSpare = ([first, ...others]: readonly KeyRange[]): boolean =>
    first !== undefined && (first.from < first.to || others.length > 0);

/** Moves about `wanted` load from one target to another, if that lowers the higher relative load of the two. */
const movePiece = (source: Holding, receiver: Holding, wanted: number, loads: KeyLoads): KeyMove[] => {
    const least = receiver.fairLoad * MIN_MOVED_SHARE;
    const piece = choosePiece(source.ranges, { wanted, least }, loads);
    if (piece === undefined) {
        return [];
    }
    const moved = loads.of(piece.from, piece.to);
    const isBetter =
        Math.max((receiver.load + moved) / receiver.fairLoad, (source.load - moved) / source.fairLoad) <
        source.load / source.fairLoad;
    if (moved < least || !isBetter) {
        return [];
    }
    return [passPiece(source, receiver, piece, loads)];
};

/** Counts a piece of one target's keys for another. */
const passPiece = (
    source: Holding,
    receiver: Holding,
    piece: { from: number; to: number },
    loads: KeyLoads,
): KeyMove => {
    const moved = loads.of(piece.from, piece.to);
    source.ranges = source.ranges.flatMap(range => withoutRanges(range, [piece]));
    source.load -= moved;
    receiver.load += moved;
    return { from: piece.from, to: piece.to, source: source.target.id, target: receiver.target.id };
};

/**
 * Decides which keys get another owner: all keys without one, all keys of leaving targets, a share of the keys for new
 * targets, and the excess keys of targets that have more than their fair share of the load and at which requests wait. This
 * covers two patterns: targets that join and leave, and hot keys that overload their owner.
 *
 * @example
 * const moves = planMoves({ ranges, targets, loads: new KeyLoads(weights), balance: true });
 */
export const planMoves = (input: {
    ranges: readonly KeyRange[];
    targets: readonly PlannedTarget[];
    loads: KeyLoads;
    /** Whether keys may also be moved for balance alone. */
    balance: boolean;
    /** Number of moves that haven't ended; `ranges` include their result. */
    underWay?: number;
}): KeyMove[] => {
    const { ranges, targets, loads, balance, underWay = 0 } = input;
    const receivers = targets.filter(({ canReceive }) => canReceive);
    const capacityOf = (counted: readonly PlannedTarget[]) => counted.reduce((sum, target) => sum + target.capacity, 0);
    const totalCapacity = capacityOf(receivers);
    if (totalCapacity === 0) {
        return [];
    }
    const rangesOf = new Map<string, KeyRange[]>();
    ranges.forEach(range => rangesOf.set(ownerName(range), [...(rangesOf.get(ownerName(range)) ?? []), range]));
    const hasWarm = receivers.some(({ isCold, isFailing }) => isCold !== true && isFailing !== true);
    const isHeldBack = ({ isCold }: PlannedTarget) => hasWarm && isCold === true;
    // A cold target without keys gets none while it is cold, so the others share the load.
    const takesPart = (target: PlannedTarget) => !isHeldBack(target) || rangesOf.has(processName(target));
    const capacity = capacityOf(receivers.filter(takesPart));
    const holdings: Holding[] = targets.map(target => {
        const sharedLoad = target.canReceive ? (loads.total * target.capacity) / totalCapacity : 0;
        const fairLoad = target.canReceive ? (loads.total * target.capacity) / capacity : 0;
        return {
            target,
            ranges: rangesOf.get(processName(target)) ?? [],
            load: 0,
            fairLoad: takesPart(target) ? fairLoad : sharedLoad,
            sharedLoad,
            isHeldBack: isHeldBack(target),
        };
    });
    const byProcess = new Map(holdings.map(holding => [processName(holding.target), holding]));
    const ownerOf = (range: KeyRange): Holding | undefined => byProcess.get(ownerName(range));
    ranges.forEach(range => {
        const holding = ownerOf(range);
        if (holding !== undefined) {
            holding.load += loads.of(range.from, range.to);
        }
    });
    const moves: KeyMove[] = [];
    for (const range of ranges) {
        const holding = ownerOf(range);
        if (holding === undefined) {
            moves.push(...placeRange(range, range.target === "" ? undefined : range.target, holdings, loads));
        } else if (!holding.target.canReceive) {
            moves.push(...placeRange(range, range.target, holdings, loads, holding.target.isEvacuated));
        }
    }
    const maxMoves = Math.max(MIN_BALANCE_MOVES, Math.ceil(receivers.length * BALANCE_MOVES_SHARE)) - underWay;
    if (!balance || moves.length > 0 || maxMoves <= 0) {
        return moves;
    }
    const isolating = isolateHotKeys(holdings, loads, maxMoves);
    const isolated = new Set(isolating.map(({ source }) => source));
    const others = holdings.filter(({ target }) => !isolated.has(target.id));
    const filling = fillNew(others, loads, maxMoves);
    const trials = tryFailing(others, loads);
    return [...isolating, ...filling, ...trials, ...relieve(others, loads, maxMoves)].slice(0, maxMoves);
};
