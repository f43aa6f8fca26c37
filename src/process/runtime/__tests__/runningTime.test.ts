import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { DEFAULT_LONGEST_RUNNING_GAP_MS, RunningTime } from "../runningTime.js";

/** A clock of a process that can be halted: time passes and no timer fires. */
class HaltingClock extends ManualClock {
    private haltedMs = 0;

    halt(forMs: number): void {
        this.haltedMs += forMs;
    }

    override monotonicMs(): number {
        return super.monotonicMs() + this.haltedMs;
    }
}

describe("running time", () => {
    test("a halt of the process isn't silence of the others: an instance that resumes would suspect all of them", () => {
        const clock = new HaltingClock();
        const running = new RunningTime(clock);
        const heardAt = running.ms();
        clock.halt(3_600);
        expect(running.ms() - heardAt).toBe(DEFAULT_LONGEST_RUNNING_GAP_MS);
    });

    test("while the process runs, silence counts in full: a dead member or target must be noticed in time", async () => {
        const clock = new HaltingClock();
        const running = new RunningTime(clock);
        const heardAt = running.ms();
        for (let passed = 0; passed < 800; passed += 100) {
            clock.advance(100);
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(running.ms() - heardAt).toBe(800);
        running.dispose();
    });
});
