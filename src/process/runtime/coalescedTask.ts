import type { Clock, TimerCancellation } from "./clock.js";

/**
 * Runs an asynchronous function one run at a time. Wakes during a run lead to one more run. The function returns the
 * milliseconds after which it wants to run again, or `undefined`. It must not reject.
 *
 * @example
 * const task = new CoalescedTask(clock, async () => (await fetchContent()) ? undefined : 250);
 * task.wake();
 */
export class CoalescedTask {
    private running = false;
    private wanted = false;
    private disposed = false;
    private cancelTimer: TimerCancellation = () => undefined;

    constructor(
        private readonly clock: Clock,
        private readonly run: () => Promise<number | undefined>,
    ) {}

    wake(): void {
        this.wanted = true;
        if (!this.running && !this.disposed) {
            void this.runWhileWanted();
        }
    }

    dispose(): void {
        this.disposed = true;
        this.cancelTimer();
    }

    private async runWhileWanted(): Promise<void> {
        this.running = true;
        let againAfterMs: number | undefined;
        while (this.wanted && !this.disposed) {
            this.wanted = false;
            this.cancelTimer();
            againAfterMs = await this.run();
        }
        this.running = false;
        if (againAfterMs !== undefined && !this.disposed) {
            this.cancelTimer = this.clock.setTimer(againAfterMs, () => this.wake());
        }
    }
}
