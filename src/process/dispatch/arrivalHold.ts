import type { TargetTask } from "../../request/targetTask.js";
import type { Clock } from "../runtime/clock.js";
import { HeldTasks } from "./heldTasks.js";
import type { Slice } from "../store/rows.js";
import { slicesContain, subtractSlices } from "../ownership/sliceMap.js";

/**
 * Arrivals at a target that wait while slices move away, or while the target is handed over.
 *
 * @example
 * hold.add([[0, 4096]]);
 * hold.isHeld(task); // true for a request at position 7
 */
export class ArrivalHold {
    readonly tasks: HeldTasks;
    private slices: readonly Slice[] = [];
    /** Whether all arrivals wait. */
    isTotal = false;

    constructor(clock: Clock) {
        this.tasks = new HeldTasks(clock);
    }

    /** Slices for which arrivals wait. */
    get positions(): readonly Slice[] {
        return this.slices;
    }

    add(slices: readonly Slice[]): void {
        this.slices = [...this.slices, ...slices];
    }

    remove(slices: readonly Slice[]): void {
        this.slices = subtractSlices(this.slices, slices);
    }

    isHeld(task: TargetTask): boolean {
        return this.isTotal || (!task.open.anyOwner && slicesContain(this.slices, task.position));
    }
}
