import { stopSchedule } from "../stopSchedule.js";

describe("stopSchedule", () => {
    it.each([2_000, 5_700, 9_700, 60_000])("leaves time for answers and their delivery in %d ms", graceMs => {
        const { acceptsForMs, answersForMs, endsAfterMs } = stopSchedule(graceMs);
        expect(acceptsForMs).toBeLessThanOrEqual(3_000);
        expect(acceptsForMs).toBeLessThan(answersForMs);
        expect(answersForMs).toBeLessThan(endsAfterMs);
        expect(endsAfterMs).toBe(graceMs);
        // Targets that are still at work may be given up in the last sixth only.
        expect(answersForMs).toBeGreaterThanOrEqual((graceMs * 5) / 6);
    });
});
