import type { ManualClock } from "./manualClock.js";

const STEP_MS = 50;

/** Advances a manual clock in small steps and lets pending promises settle after each one. */
export const advanceInSteps = async (clock: ManualClock, byMs: number): Promise<void> => {
    for (let elapsed = 0; elapsed < byMs; elapsed += STEP_MS) {
        clock.advance(Math.min(STEP_MS, byMs - elapsed));
        for (let turn = 0; turn < 4; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }
};
