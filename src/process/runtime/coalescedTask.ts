import type { Clock, TimerCancellation } from "./clock.js";

/**
 * Runs an asynchronous function without overlapping runs. Calls of `wake` during a run are coalesced into one further
 * run. The function returns the delay in milliseconds until its next run, or `undefined`. It must not reject.
 *
 * @example
 * const task = new CoalescedTask(clock, async () => (await fetchContent()) ? undefined : 250);
 * task.wake();
 */
export class CoalescedTask {
    private running = false;
    private runRequested = false;
    private disposed = false;
    private cancelTimer: TimerCancellation = () => undefined;

    constructor(
        private readonly clock: Clock,
        private readonly run: () => Promise<number | undefined>,
    ) {}

    wake(): void {
        this.runRequested = true;
        if (!this.running && !this.disposed) {
            void this.runWhileRequested();
        }
    }

    dispose(): void {
        this.disposed = true;
        this.cancelTimer();
    }

    private async runWhileRequested(): Promise<void> {
        this.running = true;
        let nextRunAfterMs: number | undefined;
        while (this.runRequested && !this.disposed) {
            this.runRequested = false;
            this.cancelTimer();
            nextRunAfterMs = await this.run();
        }
        this.running = false;
        if (nextRunAfterMs !== undefined && !this.disposed) {
            this.cancelTimer = this.clock.setTimer(nextRunAfterMs, () => this.wake());
        }
    }
}
