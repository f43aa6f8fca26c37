import { describe, expect, it } from "@jest/globals";
import { err, ok, type Result } from "neverthrow";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { RETRY_DELAY_MS, transactUntilDecided } from "../transactUntilDecided.js";
import type { PlatformError } from "../platformError.js";
import type { TransactionResult } from "../platformTable.js";

const UNKNOWN = err<TransactionResult, PlatformError>({ type: "platform-unknown", detail: "" });
const UNAVAILABLE = err<TransactionResult, PlatformError>({ type: "platform-unavailable", detail: "" });
const CONFLICT = ok<TransactionResult, PlatformError>({ type: "conflict", rows: [] });

const run = async (answers: Result<TransactionResult, PlatformError>[]) => {
    const clock = new ManualClock();
    const left = [...answers];
    const decided = transactUntilDecided(async () => left.shift() ?? CONFLICT, clock, [], []);
    for (let pauses = 0; pauses < answers.length; pauses++) {
        await new Promise<void>(resolve => setImmediate(resolve));
        clock.advance(RETRY_DELAY_MS);
    }
    return { result: await decided, sends: answers.length - left.length };
};

describe("transactUntilDecided", () => {
    // A dispatcher that continues to serve after the lost reply of a handover would run requests that the new one runs
    // too.
    it("retries after a lost reply until the table decides, also while the platform is down", async () => {
        const { result, sends } = await run([UNKNOWN, UNAVAILABLE, UNAVAILABLE, CONFLICT]);
        expect(result).toEqual(CONFLICT);
        expect(sends).toBe(4);
    });

    it("returns the error at once if nothing can have been written", async () => {
        const { result, sends } = await run([UNAVAILABLE, CONFLICT]);
        expect(result).toEqual(UNAVAILABLE);
        expect(sends).toBe(1);
    });
});
