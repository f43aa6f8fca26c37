import { describe, expect, it } from "@jest/globals";
import { planClaims, type TakeoverView } from "../takeover.js";

const ROW = {
    version: 9,
    value: {
        service: "labelling",
        target: "t1",
        domain: "d1",
        address: "127.0.0.1:1",
        slices: [] as [number, number][],
        dispatcher: "a1.1f",
        term: 4,
        state: "serving" as const,
        attempt: "",
    },
};
const DEADLINE_CAP_MS = 2_000;
const LAPSED_AT = 5_200;

const view = (changes: Partial<TakeoverView>): TakeoverView => ({
    now: LAPSED_AT + DEADLINE_CAP_MS,
    self: "a2.9c",
    candidates: ["a2.9c"],
    dispatcherState: () => ({ type: "gone", since: 4_800 }),
    promisedUntil: () => LAPSED_AT,
    rowSeenAt: () => 0,
    fencing: () => ({ checked: false, deadlineCapMs: DEADLINE_CAP_MS }),
    promiseMs: 1_200,
    mayTakeUnchecked: true,
    ...changes,
});

describe("planClaims for targets that don't check grants", () => {
    // With the time of the takeover, identifiers created during the wait for the last deadline would be refused as
    // possibly run.
    it("returns when the former dispatcher's lease lapsed, not the time of the takeover", () => {
        expect(planClaims(view({}), [ROW])).toEqual([{ row: ROW, cause: "dispatcher-gone", lapsedAt: LAPSED_AT }]);
    });

    // A dispatcher that is partitioned from this instance may be handed the target after the promise to it has lapsed.
    // Requests that the previous dispatcher ran until then must not be accepted a second time.
    it("counts from when the current row was first seen, if that is later", () => {
        const rowSeenAt = LAPSED_AT + 700;
        const now = rowSeenAt + DEADLINE_CAP_MS;
        expect(planClaims(view({ rowSeenAt: () => rowSeenAt, now: now - 1 }), [ROW])).toEqual([]);
        expect(planClaims(view({ rowSeenAt: () => rowSeenAt, now }), [ROW])[0].lapsedAt).toBe(rowSeenAt);
    });

    // In a large domain most members gave the dispatcher no promise. Waiting as if they had would exceed the time limit
    // for serving the keys again.
    it("doesn't wait after a removal that proves the lapse, and otherwise waits for the assumed length of the lease", () => {
        const removed = (leaseMs: number | undefined, now: number) =>
            planClaims(
                view({
                    now,
                    promisedUntil: () => undefined,
                    dispatcherState: () => ({ type: "gone", since: 4_800, leaseMs }),
                }),
                [ROW],
            );
        expect(removed(0, 4_800 + DEADLINE_CAP_MS)).toHaveLength(1);
        expect(removed(undefined, 4_800 + 1_200 + DEADLINE_CAP_MS - 1)).toEqual([]);
        expect(removed(6_200, 4_800 + 6_200 + DEADLINE_CAP_MS - 1)).toEqual([]);
    });

    // Otherwise the members that may act on the suspicion would have to wait behind preferred ones that may not.
    it("ranks the dispatcher's observers before the other candidates", () => {
        const candidates = ["a2.9c", "a3.07", "a4.11", "a5.2e", "a6.31"];
        for (const self of candidates) {
            const changes = { self, candidates, claimants: () => [self] };
            expect(planClaims(view(changes), [ROW])).toHaveLength(1);
        }
    });
});
