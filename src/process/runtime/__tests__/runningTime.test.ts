import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { DEFAULT_MAX_RUNNING_GAP_MS, RunningTime } from "../runningTime.js";

/** Clock of a process that can be halted: time passes, but no timer fires. */
class HaltingClock extends ManualClock {
    private haltedMs = 0;

    halt(forMs: number): void {
        this.haltedMs += forMs;
    }

    override monotonicMs(): number {
        return super.monotonicMs() + this.haltedMs;
    }
}

describe("RunningTime", () => {
    test("guards against an instance that suspects all others when it resumes after a halt", () => {
        const clock = new HaltingClock();
        const running = new RunningTime(clock);
        const lastReplyAt = running.ms();
        clock.halt(3_600);
        expect(running.ms() - lastReplyAt).toBe(DEFAULT_MAX_RUNNING_GAP_MS);
    });

    test("guards against late detection of dead members and targets: while running, silence counts in full", async () => {
        const clock = new HaltingClock();
        const running = new RunningTime(clock);
        const lastReplyAt = running.ms();
        for (let elapsed = 0; elapsed < 800; elapsed += 100) {
            clock.advance(100);
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(running.ms() - lastReplyAt).toBe(800);
        running.dispose();
    });
});
