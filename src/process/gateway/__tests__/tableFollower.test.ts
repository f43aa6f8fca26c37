import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { MemoryRowStore } from "../../../../test/support/memoryRowStore.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { waitFor } from "../../../../test/support/waitFor.js";
import { TableFollower } from "../tableFollower.js";

const createFollower = (
    store: MemoryRowStore,
    clock: ManualClock,
    pauses: { pauseMs: number; minPauseMs?: number } = { pauseMs: 0 },
) => {
    const rows = new Map<string, unknown>();
    const regained: number[] = [];
    const follower = new TableFollower({
        store,
        table: "t",
        clock,
        logger: SILENT_LOGGER,
        waitMs: 1,
        pauseMs: () => pauses.pauseMs,
        minPauseMs: pauses.minPauseMs,
        followed: {
            replaced: all => {
                rows.clear();
                all.forEach(({ key, value }) => rows.set(key, JSON.parse(String(value))));
            },
            changed: ({ key, value }) =>
                value === undefined ? rows.delete(key) : rows.set(key, JSON.parse(String(value))),
            recovered: silentMs => regained.push(silentMs),
        },
    });
    follower.start();
    return { follower, rows, regained };
};

describe("TableFollower", () => {
    it("follows changed and deleted rows", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", 1);
        const { follower, rows } = createFollower(store, clock);
        await advanceInSteps(clock, 100);
        store.put("t", "b", 2);
        store.drop("t", "a");
        await advanceInSteps(clock, 500);
        follower.dispose();
        expect([...rows]).toEqual([["b", 2]]);
    });

    it("reads the whole table again when the history is lost, and drops rows that were deleted meanwhile", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", 1);
        const { follower, rows } = createFollower(store, clock);
        await advanceInSteps(clock, 100);
        store.historyLost = true;
        store.drop("t", "a");
        store.put("t", "c", 3);
        await advanceInSteps(clock, 500);
        follower.dispose();
        expect([...rows]).toEqual([["c", 3]]);
    });

    it("keeps its rows while the store is down, and retries at increasing intervals", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", 1);
        const { follower, rows, regained } = createFollower(store, clock);
        await advanceInSteps(clock, 100);
        store.fault = "down";
        await advanceInSteps(clock, 500);
        const before = store.calls.changes;
        await advanceInSteps(clock, 10_000);
        expect(store.calls.changes - before).toBeLessThan(30);
        expect([...rows]).toEqual([["a", 1]]);
        expect(follower.isFailing).toBe(true);
        store.fault = undefined;
        // The store answers in real time.
        await waitFor(async () => {
            await advanceInSteps(clock, 100);
            return regained.length > 0;
        });
        follower.dispose();
        expect(regained).toHaveLength(1);
    });

    it("reads a burst of changes with few calls, and without delay when a refresh is requested", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", 0);
        const { follower, rows } = createFollower(store, clock, { pauseMs: 1_000, minPauseMs: 40 });
        await advanceInSteps(clock, 10);
        const callsBefore = store.calls.changes;
        for (let change = 1; change <= 40; change++) {
            store.put("t", "a", change);
            await advanceInSteps(clock, 50);
        }
        expect(store.calls.changes - callsBefore).toBeLessThanOrEqual(4);

        store.put("t", "a", "new");
        await advanceInSteps(clock, 100);
        expect(follower.isFresh).toBe(false);
        follower.refresh();
        await advanceInSteps(clock, 60);
        expect(rows.get("a")).toBe("new");
        follower.dispose();
    });
});
