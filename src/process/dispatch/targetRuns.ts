import type { TargetTask } from "../../request/targetTask.js";
import type { Clock } from "../runtime/clock.js";
import type { EarlierRuns } from "../membership/earlierRuns.js";
import { PositionsInFlight } from "./positionsInFlight.js";
import type { Slice } from "../store/rows.js";

/**
 * Requests that are known to run at a target: those that its dispatcher has sent, and those that the previous
 * dispatcher had in flight.
 *
 * @example
 * runs.add(task, deadlineAt);
 * await runs.drained(slices, 300); // true when nothing of the slices is in flight
 */
export class TargetRuns {
    private readonly sending = new Set<TargetTask>();
    private readonly positions: PositionsInFlight;
    /** Positions of requests of the former dispatcher that are still running. */
    private readonly earlierPositions: number[] = [];
    /** Latest deadline of sends that ended without an answer of the target, as monotonic time in milliseconds. */
    private abandonedDeadlineAt = -Infinity;
    /** Latest deadline sent to the target so far, as monotonic time in milliseconds of this process. */
    private lastDeadlineAt = -Infinity;

    constructor(private readonly clock: Clock) {
        this.positions = new PositionsInFlight(clock);
    }

    /** Records the start of a send. `deadlineAt` is the target's deadline, as monotonic time in milliseconds. */
    add(task: TargetTask, deadlineAt: number): void {
        this.lastDeadlineAt = Math.max(this.lastDeadlineAt, deadlineAt);
        this.sending.add(task);
        if (!task.open.anyOwner) {
            this.positions.add(task.position);
        }
    }

    /** Records the end of a send. */
    delete(task: TargetTask): void {
        if (this.sending.delete(task) && !task.open.anyOwner) {
            this.positions.remove(task.position);
        }
    }

    /** Records that the answer to a send is no longer awaited; the target may run the request until its deadline. */
    markAbandoned(task: TargetTask): void {
        this.abandonedDeadlineAt = Math.max(this.abandonedDeadlineAt, task.deadlineAt);
    }

    has(task: TargetTask): boolean {
        return this.sending.has(task);
    }

    /** Requests whose sends have not ended. */
    all(): TargetTask[] {
        return [...this.sending];
    }

    /** Number of requests whose sends have not ended. */
    get size(): number {
        return this.sending.size;
    }

    /** Latest time at which a request that was sent to the target can still run, as monotonic time in milliseconds. */
    get runsUntil(): number {
        return this.lastDeadlineAt;
    }

    /** Monotonic time in milliseconds until which requests whose answers are no longer awaited may still run. */
    get abandonedUntil(): number {
        return this.abandonedDeadlineAt;
    }

    /**
     * Adds the requests that the former dispatcher has in flight at the target. Their positions count as busy until
     * the requests have ended, because the target would abandon them if a grant didn't cover these positions.
     */
    expectEarlier({ remainingMs, running }: EarlierRuns): void {
        const until = this.clock.monotonicMs() + remainingMs;
        this.lastDeadlineAt = Math.max(this.lastDeadlineAt, until);
        this.abandonedDeadlineAt = Math.max(this.abandonedDeadlineAt, until);
        for (const run of running) {
            this.earlierPositions.push(run.position);
            this.positions.add(run.position);
            this.clock.setTimer(run.remainingMs, () => this.earlierEnded(run.position));
        }
    }

    /** Records that a request of the former dispatcher has ended or can no longer run. */
    earlierEnded(position: number): void {
        const index = this.earlierPositions.indexOf(position);
        if (index >= 0) {
            this.earlierPositions.splice(index, 1);
            this.positions.remove(position);
        }
    }

    /** Requests that this dispatcher has in flight at the target, for the next dispatcher. */
    earlier(): EarlierRuns {
        const now = this.clock.monotonicMs();
        const remaining = (until: number) => Math.max(0, until - now);
        const own = this.all().filter(task => !task.open.anyOwner);
        return {
            remainingMs: remaining(this.lastDeadlineAt),
            running: [
                ...own.map(task => ({ position: task.position, remainingMs: remaining(task.deadlineAt) })),
                ...this.earlierPositions.map(position => ({ position, remainingMs: remaining(this.lastDeadlineAt) })),
            ],
        };
    }

    /** Positions within the slices that have requests in flight. */
    busyPositions(slices: readonly Slice[]): number[] {
        return this.positions.within(slices);
    }

    /** Resolves to true when no request of the slices is in flight, or to false after `timeoutMs` milliseconds. */
    drained(slices: readonly Slice[], timeoutMs: number): Promise<boolean> {
        return this.positions.drained(slices, timeoutMs);
    }
}
