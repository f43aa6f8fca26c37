import type { TargetTask } from "../../request/targetTask.js";
import type { Clock } from "../runtime/clock.js";
import type { EarlierRuns } from "../membership/earlierRuns.js";
import { PositionsInFlight } from "./positionsInFlight.js";
import type { Slice } from "../store/rows.js";

/**
 * What runs at a target as far as is known: the requests that its dispatcher has sent, and those that the former
 * dispatcher left running.
 *
 * @example
 * runs.add(task, deadlineAt);
 * await runs.drained(slices, 300); // true when nothing of the slices is in flight
 */
export class TargetRuns {
    private readonly sending = new Set<TargetTask>();
    private readonly positions: PositionsInFlight;
    /** Positions at which requests of the former dispatcher run. */
    private readonly earlierPositions: number[] = [];
    /** Latest deadline of requests that ended without the target's word, in monotonic milliseconds. */
    private givenUpUntil = -Infinity;
    /** Latest deadline given to the target so far, in monotonic milliseconds of this process. */
    private lastDeadlineAt = -Infinity;

    constructor(private readonly clock: Clock) {
        this.positions = new PositionsInFlight(clock);
    }

    /** A send begins; the target has been given this deadline, in monotonic milliseconds. */
    add(task: TargetTask, deadlineAt: number): void {
        this.lastDeadlineAt = Math.max(this.lastDeadlineAt, deadlineAt);
        this.sending.add(task);
        if (!task.open.anyOwner) {
            this.positions.add(task.position);
        }
    }

    /** A send has ended. */
    delete(task: TargetTask): void {
        if (this.sending.delete(task) && !task.open.anyOwner) {
            this.positions.remove(task.position);
        }
    }

    /** The answer to a send was given up; the target may go on with the request until its deadline. */
    giveUp(task: TargetTask): void {
        this.givenUpUntil = Math.max(this.givenUpUntil, task.deadlineAt);
    }

    has(task: TargetTask): boolean {
        return this.sending.has(task);
    }

    /** The requests that are being sent. */
    all(): TargetTask[] {
        return [...this.sending];
    }

    /** Number of requests that are being sent. */
    get size(): number {
        return this.sending.size;
    }

    /** Latest time at which a request that was handed to the target can still run, in monotonic milliseconds. */
    get runsUntil(): number {
        return this.lastDeadlineAt;
    }

    /** Until when requests whose answers were given up may still run, in monotonic milliseconds. */
    get abandonedUntil(): number {
        return this.givenUpUntil;
    }

    /**
     * Takes over what the former dispatcher has running at the target. Its positions count as busy until the requests
     * have ended: a grant without them would make the target give the requests up.
     */
    expectEarlier({ remainingMs, running }: EarlierRuns): void {
        const until = this.clock.monotonicMs() + remainingMs;
        this.lastDeadlineAt = Math.max(this.lastDeadlineAt, until);
        this.givenUpUntil = Math.max(this.givenUpUntil, until);
        for (const run of running) {
            this.earlierPositions.push(run.position);
            this.positions.add(run.position);
            this.clock.setTimer(run.remainingMs, () => this.earlierEnded(run.position));
        }
    }

    /** A request of the former dispatcher has ended, or can't run any more. */
    earlierEnded(position: number): void {
        const index = this.earlierPositions.indexOf(position);
        if (index >= 0) {
            this.earlierPositions.splice(index, 1);
            this.positions.remove(position);
        }
    }

    /** What runs at the target on behalf of this dispatcher, for the next one. */
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

    /** Positions of the slices with requests in flight. */
    busyPositions(slices: readonly Slice[]): number[] {
        return this.positions.within(slices);
    }

    /** Resolves when no request of the slices is in flight: true, or false after `timeoutMs`. */
    drained(slices: readonly Slice[], timeoutMs: number): Promise<boolean> {
        return this.positions.drained(slices, timeoutMs);
    }
}
