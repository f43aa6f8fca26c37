import { refuse } from "../../request/refusal.js";
import { deadlineRefusal, type TargetTask } from "../../request/targetTask.js";
import type { Clock } from "../runtime/clock.js";

/** Maximum number of requests per target that wait for the end of a move or for a grant. */
export const MAX_HELD_TASKS = 2_000;

/**
 * Requests that wait, each within its deadline, until their target may run requests again.
 *
 * @example
 * held.add(task);
 * held.take().forEach(task => submit(task));
 */
export class HeldTasks {
    private readonly tasks = new Set<TargetTask>();

    constructor(private readonly clock: Clock) {}

    /** Adds a request. It is refused at its deadline, or immediately when too many requests wait. */
    add(task: TargetTask): void {
        if (this.tasks.size >= MAX_HELD_TASKS) {
            task.refuse(refuse("overloaded", "Too many requests wait for a move of their key."));
            return;
        }
        this.tasks.add(task);
        const wait = task.deadlineAt - this.clock.monotonicMs();
        task.cancelTimers.push(
            this.clock.setTimer(wait, () => {
                if (this.tasks.delete(task)) {
                    task.refuse(deadlineRefusal(task, "It waited for a move of its key."));
                }
            }),
        );
    }

    delete(task: TargetTask): void {
        this.tasks.delete(task);
    }

    /** Removes and returns the requests that match `predicate`, or all requests without one. */
    take(predicate: (task: TargetTask) => boolean = () => true): TargetTask[] {
        const taken = [...this.tasks].filter(predicate);
        taken.forEach(task => this.tasks.delete(task));
        return taken;
    }
}
