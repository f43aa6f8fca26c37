import { z } from "zod";
import type { Clock } from "../runtime/clock.js";
import { HotKeySketch } from "./hotKeySketch.js";
import { sliceSchema, type Slice } from "../store/rows.js";
import { DEFAULT_LOAD_HALF_LIFE_MS, SliceLoad, type SliceWork } from "./sliceLoad.js";
import { slicesContain } from "../ownership/sliceMap.js";

/** Maximum number of hot keys in a report; a single plan can't move more anyway. */
const REPORTED_HOT_KEYS = 32;
/** Work in slots below which a slice counts as idle; reports omit idle slices. */
const NEGLIGIBLE_WORK = 1e-4;
/** Significant digits of work in a report; more would only increase its size. */
const REPORTED_DIGITS = 4;

const sliceWorkSchema = z.object({ slice: sliceSchema, work: z.number(), bins: z.array(z.number()).readonly() });
const hotKeySchema = z.object({ position: z.number(), work: z.number() });

/** The load of a target as its dispatcher reports it. */
export const targetLoadSchema = z.object({
    capacity: z.number(),
    slices: z.array(sliceWorkSchema),
    hotKeys: z.array(hotKeySchema),
    drainMs: z.number(),
    /** Time over which the work has been measured, in milliseconds. */
    measuredMs: z.number(),
});
export type ReportedLoad = z.infer<typeof targetLoadSchema>;

/** Work of moving slices, as measured by their former dispatcher. */
export const movedLoadSchema = z.object({
    target: z.string(),
    slices: z.array(sliceWorkSchema),
    hotKeys: z.array(hotKeySchema),
});
export type MovedLoad = z.infer<typeof movedLoadSchema>;

/** Load of a target as measured by the dispatcher that hands it over. */
export const handedOverLoadSchema = targetLoadSchema.pick({ slices: true, hotKeys: true, measuredMs: true });
export type HandedOverLoad = z.infer<typeof handedOverLoadSchema>;

const rounded = (work: number): number => Number(work.toPrecision(REPORTED_DIGITS));

/**
 * Measures the work of one target per slice and per hot key.
 *
 * @example
 * load.record(position, serviceMs);
 * load.recordCapacity(6);
 * load.report(20);
 */
export class DispatchedLoad {
    private slices: SliceLoad;
    private hotKeys: HotKeySketch;
    private capacity: { average: number; latest: number; at: number } | undefined;

    constructor(private readonly clock: Clock) {
        this.slices = new SliceLoad({ clock });
        this.hotKeys = new HotKeySketch({ clock });
    }

    /**
     * Starts from the load that the target's former dispatcher measured. Otherwise the rates of the first seconds would
     * be based on a few requests, and the planner would move keys because of them.
     */
    resume(slices: readonly Slice[], earlier: HandedOverLoad): void {
        const { measuredMs } = earlier;
        this.slices = new SliceLoad({ clock: this.clock, measuredMs });
        this.hotKeys = new HotKeySketch({ clock: this.clock, measuredMs });
        this.addMovedLoad(slices, earlier);
    }

    /** Updates the target's slices. */
    setSlices(slices: readonly Slice[]): void {
        this.slices.setSlices(slices);
    }

    /** Adds the measured work of slices that moved here, so that they don't appear idle at first. */
    addMovedLoad(slices: readonly Slice[], moved: Pick<MovedLoad, "slices" | "hotKeys">): void {
        this.slices.setSlices(slices, moved.slices);
        moved.hotKeys.forEach(({ position, work }) => this.hotKeys.seed(position, work));
    }

    /** Adds work, in milliseconds of service time, to a position. */
    record(position: number, serviceMs: number): void {
        this.slices.record(position, serviceMs);
        this.hotKeys.record(position, serviceMs);
    }

    /**
     * Records the concurrency limit, in slots. It is averaged over the same time as the work, because it falls and
     * recovers within milliseconds, and a single low value would make the target appear overloaded.
     */
    recordCapacity(latest: number): void {
        const at = this.clock.monotonicMs();
        const previous = this.capacity ?? { average: latest, latest, at };
        const weight = 1 - 2 ** ((previous.at - at) / DEFAULT_LOAD_HALF_LIFE_MS);
        this.capacity = { average: previous.average + (previous.latest - previous.average) * weight, latest, at };
    }

    /** The load for the planner, without idle slices. `drainMs` is the expected duration of a drain. */
    report(drainMs: number): ReportedLoad {
        const hotKeys = this.hotKeys
            .top()
            .slice(0, REPORTED_HOT_KEYS)
            .map(({ position, work, error }) => ({ position, work: rounded(Math.max(0, work - error)) }));
        const slices = this.slices
            .slices()
            .filter(({ work }) => work >= NEGLIGIBLE_WORK)
            .map(({ slice, work, bins }) => ({ slice, work: rounded(work), bins: bins.map(rounded) }));
        const capacity = rounded(this.capacity?.average ?? 0);
        const measuredMs = Math.round(this.slices.measuredMs());
        return { capacity, slices, hotKeys, drainMs: Math.round(drainMs), measuredMs };
    }

    /** The work of slices that will move to another target. */
    loadOf(moving: readonly Slice[]): Pick<MovedLoad, "slices" | "hotKeys"> {
        const { slices, hotKeys } = this.report(0);
        return {
            slices: slices.flatMap(part => clipToSlices(part, moving)),
            hotKeys: hotKeys
                .filter(({ position }) => slicesContain(moving, position))
                .map(({ position, work }) => ({ position, work })),
        };
    }
}

/** The parts of a slice's bins that lie within the moving slices. */
const clipToSlices = ({ slice, bins }: SliceWork, moving: readonly Slice[]): SliceWork[] => {
    const width = (slice[1] - slice[0]) / bins.length;
    return bins.flatMap((work, index): SliceWork[] => {
        const start = slice[0] + index * width;
        const end = start + width;
        return moving.flatMap(([from, to]): SliceWork[] => {
            const low = Math.max(start, from);
            const high = Math.min(end, to);
            return low < high
                ? [{ slice: [low, high], work: (work * (high - low)) / width, bins: [(work * (high - low)) / width] }]
                : [];
        });
    });
};
