import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { MemoryRowStore } from "../../../../test/support/memoryRowStore.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import type { StoredRow } from "../rowStore.js";
import { TableFollower } from "../tableFollower.js";

const start = async (rowsAtStart: readonly string[]) => {
    const store = new MemoryRowStore();
    const clock = new ManualClock();
    clock.advance(10_000);
    rowsAtStart.forEach(key => store.put("t", key, 1));
    /** For each row, up to which time all rows were known before it was read. */
    const before = new Map<string, number>();
    const seen = ({ key }: StoredRow): undefined => {
        if (!before.has(key)) {
            before.set(key, follower.completeUntil);
        }
    };
    const follower: TableFollower = new TableFollower({
        ...{ store, table: "t", clock, logger: SILENT_LOGGER, waitMs: () => 1, pauseMs: () => 0 },
        followed: {
            ...{ eraBegan: () => undefined, recovered: () => undefined },
            replaced: rows => rows.forEach(seen),
            restored: rows => rows.forEach(seen),
            changed: seen,
        },
        relay: { maxAgeMs: 1_600, isSource: () => false, read: () => undefined },
    });
    follower.start();
    await advanceInSteps(clock, 100);
    return { store, clock, follower, before };
};

/** Guards against a row that counts as new although it was written long before it is read. */
describe("The time up to which a follower knew all rows before those that it applies", () => {
    it("is that of the answer before, also after an outage and a lost history", async () => {
        const { store, clock, follower, before } = await start(["a"]);
        expect(before.get("a")).toBe(-Infinity);
        store.put("t", "b", 1);
        await advanceInSteps(clock, 500);
        expect(before.get("b")).toBeGreaterThan(10_000);
        store.fault = "down";
        const downAt = clock.monotonicMs();
        await advanceInSteps(clock, 1_000);
        store.put("t", "c", 1);
        store.historyLost = true;
        await advanceInSteps(clock, 3_000);
        store.fault = undefined;
        await advanceInSteps(clock, 2_000);
        expect(before.get("c")).toBeLessThanOrEqual(downAt);
        expect(before.get("c")).toBeGreaterThan(downAt - 500);
        follower.dispose();
    });

    it("is that of the message before if changes are relayed", async () => {
        const { store, clock, follower, before } = await start(["a"]);
        store.fault = "down";
        // The call under way may still be answered, later than the time of the first message.
        await new Promise(resolve => setTimeout(resolve, 5));
        await advanceInSteps(clock, 100);
        const relay = (from: number, keys: readonly string[]) =>
            follower.relayed({
                ...{ table: "t", era: 0, from, to: from + 1, ageMs: 40 },
                rows: keys.map(key => ({ key, version: from + 1, value: "1" })),
            });
        const version = 1;
        relay(version, []);
        const firstAt = clock.monotonicMs();
        clock.advance(700);
        relay(version + 1, ["b"]);
        expect(before.get("b")).toBe(firstAt - 40);
        expect(follower.completeUntil).toBe(firstAt + 700 - 40);
        follower.dispose();
    });
});
