import type { TargetTask } from "../../request/targetTask.js";
import type { Clock } from "../runtime/clock.js";
import { HeldTasks } from "./heldTasks.js";
import type { Slice } from "../store/rows.js";
import { slicesContain, subtractSlices } from "../ownership/sliceMap.js";

/**
 * Holds new requests for a target while slices move away, or while the target is handed over.
 *
 * @example
 * hold.add([[0, 4096]]);
 * hold.isHeld(task); // true for a request at position 7
 */
export class ArrivalHold {
    readonly tasks: HeldTasks;
    private slices: readonly Slice[] = [];
    /** Whether all new requests wait. */
    holdsAll = false;

    constructor(clock: Clock) {
        this.tasks = new HeldTasks(clock);
    }

    /** Slices whose new requests wait. */
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
        return this.holdsAll || (!task.open.anyOwner && slicesContain(this.slices, task.position));
    }
}
