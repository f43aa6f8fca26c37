import { DEFAULT_KEY_SPACE_PER_ADJUSTMENT, MoveBudget } from "../../src/process/balance/moveBudget.js";
import { positionOf } from "../../src/request/position.js";
import { HotKeySketch } from "../../src/process/balance/hotKeySketch.js";
import type { TargetLoad } from "../../src/process/balance/loadModel.js";
import { applyMoves, DEFAULT_REBALANCE_LIMITS, planMoves, type Move } from "../../src/process/balance/rebalance.js";
import type { TargetRow } from "../../src/process/store/rows.js";
import { SliceLoad } from "../../src/process/balance/sliceLoad.js";
import { initialLayout, RING_SIZE, SliceMap } from "../../src/process/ownership/sliceMap.js";
import { ManualClock } from "./manualClock.js";
import { seededRandom } from "./seededRandom.js";

const SLOTS = 6;
const SERVICE_MS = 4;
const COLD_KEYS = 20_000;
const HOT_KEYS = 24;

/** State of the experiment after a second. */
export interface ExperimentSecond {
    phase: number;
    second: number;
    /** Load of the busiest target divided by the mean, from the true weights of the keys rather than measured ones. */
    ratio: number;
    /** Share of the key space moved since the start of the phase. */
    keySpaceMoved: number;
    moves: number;
}

/** Parameters of the experiment. Weights are relative weights among the hot keys. */
export interface ExperimentOptions {
    seed: number;
    targets: number;
    domains: number;
    requestsPerSecond: number;
    phases: number;
    secondsPerPhase: number;
    weightOf: (index: number) => number;
}

/**
 * Feeds random requests to the sketches and load counters of all targets and applies the planned moves immediately,
 * once a second. In each phase, another 24 keys get half of the traffic. There is no network and no draining, so
 * that the result shows the planner alone.
 */
export const runHotKeyExperiment = (options: ExperimentOptions): { seconds: ExperimentSecond[]; least: number[] } => {
    const clock = new ManualClock();
    const random = seededRandom(options.seed);
    const names = Array.from({ length: options.targets }, (_, index) => `t${String(index).padStart(2, "0")}`);
    const layout = initialLayout(names, 8);
    let rows = names.map((target, index): TargetRow => ({
        service: "stock",
        target,
        domain: `d${index % options.domains}`,
        address: "127.0.0.1:1",
        slices: layout.get(target) ?? [],
        dispatcher: "i",
        term: 1,
        state: "serving",
        attempt: "",
    }));
    const loads = new Map(
        names.map(name => [name, { load: new SliceLoad({ clock }), sketch: new HotKeySketch({ clock }) }]),
    );
    rows.forEach(({ target, slices }) => loads.get(target)?.load.setSlices(slices));
    const cold = Array.from({ length: COLD_KEYS }, (_, index) => positionOf("stock", `cold-${options.seed}-${index}`));
    const weights = Array.from({ length: HOT_KEYS }, (_, index) => options.weightOf(index));
    const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
    const hotShares = weights.map(weight => weight / weightSum / 2);
    const seconds: ExperimentSecond[] = [];
    const least: number[] = [];
    const budget = new MoveBudget(clock);

    for (let phase = 0; phase < options.phases; phase++) {
        const hot = weights.map((_, index) => positionOf("stock", `hot-${options.seed}-${phase}-${index}`));
        const coldWork = (): Map<string, number> => {
            const map = new SliceMap(rows);
            const work = new Map(names.map(name => [name, 0]));
            cold.forEach(position => addTo(work, map.ownerOf(position)?.target ?? "", options.targets / 2 / COLD_KEYS));
            return work;
        };
        const trueRatio = (): number => {
            const map = new SliceMap(rows);
            const work = coldWork();
            hot.forEach((position, index) =>
                addTo(work, map.ownerOf(position)?.target ?? "", hotShares[index] * options.targets),
            );
            return Math.max(...work.values());
        };
        least.push(minReachableRatio([...coldWork().values()], hotShares));
        let keySpaceMoved = 0;
        for (let second = 0; second <= options.secondsPerPhase; second++) {
            if (second > 0) {
                const map = new SliceMap(rows);
                for (let request = 0; request < options.requestsPerSecond; request++) {
                    clock.advance(1_000 / options.requestsPerSecond);
                    let draw = random();
                    let position = cold[Math.floor(random() * COLD_KEYS)];
                    for (let index = 0; draw < 0.5 && index < HOT_KEYS; index++) {
                        draw -= hotShares[index];
                        if (draw < 0) {
                            position = hot[index];
                            break;
                        }
                    }
                    const counted = loads.get(map.ownerOf(position)?.target ?? "");
                    const serviceMs = SERVICE_MS * (0.5 + random());
                    counted?.load.record(position, serviceMs);
                    counted?.sketch.record(position, serviceMs);
                }
            }
            const measured = new Map(
                [...loads].map(([target, { load, sketch }]): [string, TargetLoad] => [
                    target,
                    { capacity: SLOTS, slices: load.slices(), hotKeys: sketch.top(), drainMs: 2 * SERVICE_MS },
                ]),
            );
            const moves = second === 0 ? [] : planMoves(measured, rows, budget.limits());
            budget.spend(moves);
            rows = applyMoves(rows, moves);
            moves.forEach(move => carryLoad(move, measured, loads, rows));
            keySpaceMoved += moves.reduce((sum, { slice }) => sum + (slice[1] - slice[0]) / RING_SIZE, 0);
            seconds.push({ phase, second, ratio: trueRatio(), keySpaceMoved, moves: moves.length });
        }
    }
    return { seconds, least };
};

const addTo = (work: Map<string, number>, target: string, amount: number): void => {
    work.set(target, (work.get(target) ?? 0) + amount);
};

/**
 * Minimum ratio that any plan can reach within the key space of one adjustment: the hot keys are assigned to the least
 * loaded target one by one, heaviest first, and the most loaded targets then shed cold key space of average density.
 */
const minReachableRatio = (cold: readonly number[], hotShares: readonly number[]): number => {
    const work = [...cold];
    for (const share of [...hotShares].sort((a, b) => b - a)) {
        work[work.indexOf(Math.min(...work))] += share * work.length;
    }
    const movable = (DEFAULT_KEY_SPACE_PER_ADJUSTMENT / 2) * work.length;
    let level = Math.max(...work);
    while (work.reduce((sum, amount) => sum + Math.max(0, amount - level), 0) < movable) {
        level -= 0.001;
    }
    return Math.max(DEFAULT_REBALANCE_LIMITS.reliefThreshold, level);
};

/** Transfers the measured load of a moved slice, as dispatchers do. */
const carryLoad = (
    { slice, from, to }: Move,
    measured: ReadonlyMap<string, TargetLoad>,
    loads: ReadonlyMap<string, { load: SliceLoad; sketch: HotKeySketch }>,
    rows: readonly TargetRow[],
): void => {
    const sent = new SliceLoad({ clock: new ManualClock() });
    sent.setSlices([slice], measured.get(from)?.slices);
    const slicesOf = (target: string) => rows.find(row => row.target === target)?.slices ?? [];
    loads.get(to)?.load.setSlices(slicesOf(to), sent.slices());
    loads.get(from)?.load.setSlices(slicesOf(from));
    for (const { position, work } of measured.get(from)?.hotKeys ?? []) {
        if (slice[0] <= position && position < slice[1]) {
            loads.get(from)?.sketch.forget(position);
            loads.get(to)?.sketch.seed(position, work);
        }
    }
};
