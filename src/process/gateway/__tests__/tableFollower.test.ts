import { err, ok } from "neverthrow";
import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { MemoryRowStore } from "../../../../test/support/memoryRowStore.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { waitFor } from "../../../../test/support/waitFor.js";
import type { PlatformError } from "../../store/platformError.js";
import type { LogFields, Logger } from "../../observability/logger.js";
import type { RowStore, StoredRow } from "../rowStore.js";
import { TableFollower } from "../tableFollower.js";

const createFollower = (
    store: MemoryRowStore,
    clock: ManualClock,
    pauses: {
        pauseMs: number;
        minPauseMs?: number;
        waitMs?: number;
        isProbed?: () => boolean;
        needsNewest?: boolean;
        logger?: Logger;
        relay?: ConstructorParameters<typeof TableFollower>[0]["relay"];
    } = { pauseMs: 0 },
) => {
    const rows = new Map<string, unknown>();
    const regained: number[] = [];
    const eras: number[] = [];
    /** Kind of each snapshot. */
    const snapshots: string[] = [];
    const removed: string[] = [];
    const replace = (all: StoredRow[]) => {
        rows.clear();
        all.forEach(({ key, value }) => rows.set(key, JSON.parse(String(value))));
    };
    const follower = new TableFollower({
        store,
        table: "t",
        clock,
        logger: pauses.logger ?? SILENT_LOGGER,
        waitMs: () => pauses.waitMs ?? 1,
        pauseMs: () => pauses.pauseMs,
        minPauseMs: pauses.minPauseMs,
        isProbed: pauses.isProbed,
        needsNewest: pauses.needsNewest,
        relay: pauses.relay,
        followed: {
            replaced: all => {
                snapshots.push("replaced");
                replace(all);
            },
            restored: all => {
                snapshots.push("restored");
                replace(all);
            },
            eraBegan: era => eras.push(era),
            changed: ({ key, value }) => {
                if (value === undefined) {
                    rows.delete(key);
                    removed.push(key);
                } else {
                    rows.set(key, JSON.parse(String(value)));
                }
                return undefined;
            },
            recovered: silentMs => regained.push(silentMs),
        },
    });
    follower.start();
    return { follower, rows, regained, eras, snapshots, removed };
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

    // An instance that was behind for 20 s had written a line about the first failed call only.
    it("logs for how long a table is out of date, and what its failed calls have received", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const lines: { message: string; fields: LogFields }[] = [];
        const warn = (message: string, fields: LogFields = {}) => void lines.push({ message, fields });
        const { follower } = createFollower(store, clock, {
            pauseMs: 0,
            waitMs: 0,
            logger: { ...SILENT_LOGGER, warn },
        });
        await advanceInSteps(clock, 100);
        const failure: PlatformError = { type: "platform-unknown", detail: "timeout" };
        store.changes = (...[, , , , received]: Parameters<RowStore["changes"]>) => {
            received?.(512);
            return Promise.resolve(err(failure));
        };
        await advanceInSteps(clock, 2_000);
        expect(follower.failedCalls).toBeGreaterThan(2);
        follower.dispose();
        const last = lines.at(-1);
        expect(last).toMatchObject({ message: "Table t is out of date.", fields: { bytes: 512, detail: "timeout" } });
        expect(last?.fields.silentMs).toBeGreaterThan(1_000);
    });

    // The changes of an outage were too large to be sent within the timeout of a call, so the follower called for them until the
    // store had dropped them.
    it("catches up after a failure although the missed changes can't be read in time", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", 0);
        const changes = store.changes.bind(store);
        store.changes = (table, after, ...rest) =>
            store.latestVersion - after > 100
                ? Promise.resolve(err({ type: "platform-unknown", detail: "timeout" }))
                : changes(table, after, ...rest);
        const { follower, rows, regained } = createFollower(store, clock, {
            pauseMs: 0,
            waitMs: 0,
            needsNewest: true,
        });
        await advanceInSteps(clock, 100);
        store.fault = "answer-lost";
        await advanceInSteps(clock, 2_000);
        for (let change = 1; change <= 200; change++) {
            store.put("t", "a", change);
        }
        expect(follower.isFailing).toBe(true);
        store.fault = undefined;
        await advanceInSteps(clock, 1_000);
        follower.dispose();
        expect([...rows]).toEqual([["a", 200]]);
        expect(follower.isFailing).toBe(false);
        expect(regained).toHaveLength(1);
    });

    it("reads the whole table if the changes take too long to arrive, which is no failure of the store", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", 0);
        const { follower, rows } = createFollower(store, clock, { pauseMs: 0, needsNewest: true });
        await advanceInSteps(clock, 100);
        store.changes = (...[, , , signal, received]: Parameters<RowStore["changes"]>) =>
            new Promise(resolve => {
                received?.(512);
                const failure: PlatformError = { type: "platform-unknown", detail: "aborted" };
                signal?.addEventListener("abort", () => resolve(err(failure)));
            });
        store.put("t", "a", 1);
        await advanceInSteps(clock, 400);
        expect([rows.get("a"), follower.isFailing]).toEqual([1, false]);
        follower.dispose();
    });

    // A row that comes and goes during an outage is seen only in the changes.
    it("reads the removal of a row that was written while the store turned calls away", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", 0);
        const { follower, removed } = createFollower(store, clock, { pauseMs: 0, needsNewest: true });
        await advanceInSteps(clock, 100);
        store.fault = "down";
        await advanceInSteps(clock, 2_000);
        store.put("t", "b", 1);
        store.drop("t", "b");
        store.fault = undefined;
        await waitFor(async () => {
            await advanceInSteps(clock, 100);
            return !follower.isFailing;
        });
        follower.dispose();
        expect(removed).toEqual(["b"]);
    });

    // An instance asked for all versions between, of which there were more during each call than during the one before.
    it("stays a few calls behind a row that changes faster than its versions can be sent", async () => {
        const SEND_MS = 300;
        const CHANGE_MS = 100;
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", 0);
        const sent = async (rows: number) =>
            new Promise<void>(resolve => {
                clock.setTimer(SEND_MS * rows, resolve);
            });
        const changes = store.changes.bind(store);
        store.changes = async (...call) => {
            const answer = await changes(...call);
            await sent(answer.isOk() && answer.value.type === "changes" ? answer.value.rows.length : 0);
            return answer;
        };
        const snapshot = store.snapshot.bind(store);
        store.snapshot = async table => {
            const answer = await snapshot(table);
            await sent(1);
            return answer;
        };
        const { follower, rows } = createFollower(store, clock, { pauseMs: 0, needsNewest: true });
        await advanceInSteps(clock, 1_000);
        const behind: number[] = [];
        for (let change = 1; change <= 150; change++) {
            store.put("t", "a", change);
            await advanceInSteps(clock, CHANGE_MS);
            behind.push(change - Number(rows.get("a")));
        }
        follower.dispose();
        expect(Math.max(...behind) * CHANGE_MS).toBeLessThanOrEqual(5 * SEND_MS);
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

/**
 * A follower that compares versions of different eras refuses the rows of the restored store, or misses changes without a
 * sign of it.
 */
describe("TableFollower after the store was restored from a copy", () => {
    const createSystem = async (options?: Parameters<typeof createFollower>[2]) => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", "copied");
        store.put("t", "b", "copied");
        const copy = store.copy();
        const system = { store, clock, copy, ...createFollower(store, clock, options) };
        await advanceInSteps(clock, 100);
        return system;
    };

    it("reads the copy although its versions are lower than those read before", async () => {
        const { store, clock, copy, follower, rows, eras, snapshots } = await createSystem();
        for (let change = 0; change < 5; change++) {
            store.put("t", "a", change);
        }
        store.put("t", "c", "lost");
        await advanceInSteps(clock, 100);
        store.restore(copy);
        await advanceInSteps(clock, 200);
        follower.dispose();
        expect([...rows]).toEqual([
            ["a", "copied"],
            ["b", "copied"],
        ]);
        expect(eras).toEqual([1]);
        expect(snapshots).toEqual(["replaced", "restored"]);
        expect(follower.isFailing).toBe(false);
    });

    it("reads a row whose version was given out twice", async () => {
        const { store, clock, copy, follower, rows } = await createSystem();
        store.put("t", "a", "lost");
        await advanceInSteps(clock, 100);
        const { latestVersion } = store;
        store.restore(copy);
        store.put("t", "a", "new");
        expect(store.latestVersion).toBe(latestVersion);
        await advanceInSteps(clock, 200);
        follower.dispose();
        expect(rows.get("a")).toBe("new");
    });

    it("reads changes below its position when the new history has already passed it", async () => {
        const { store, clock, copy, follower, rows } = await createSystem();
        for (let change = 0; change < 5; change++) {
            store.put("t", "a", change);
        }
        await advanceInSteps(clock, 100);
        store.restore(copy);
        store.put("t", "b", "new");
        for (let change = 0; change < 20; change++) {
            store.put("other", "x", change);
        }
        await advanceInSteps(clock, 200);
        store.put("t", "c", "later");
        await advanceInSteps(clock, 200);
        follower.dispose();
        expect([...rows]).toEqual([
            ["a", "copied"],
            ["b", "new"],
            ["c", "later"],
        ]);
    });

    it("reads the whole table although the store answers at first that nothing has changed", async () => {
        const { store, clock, copy, follower, rows } = await createSystem();
        store.put("t", "a", "lost");
        await advanceInSteps(clock, 100);
        store.restore(copy);
        // The restored store has exactly the version up to which the follower has read.
        store.put("other", "x", 1);
        await advanceInSteps(clock, 200);
        follower.dispose();
        expect(rows.get("a")).toBe("copied");
    });

    it("doesn't keep a row that the copy lacks", async () => {
        const { store, clock, copy, follower, rows } = await createSystem();
        store.put("t", "c", "lost");
        await advanceInSteps(clock, 100);
        store.restore(copy);
        await advanceInSteps(clock, 200);
        follower.dispose();
        expect(rows.has("c")).toBe(false);
    });

    it("reads the last era if the store was restored several times while it got no answers", async () => {
        const { store, clock, copy, follower, rows, eras, snapshots } = await createSystem();
        store.put("t", "a", "lost");
        await advanceInSteps(clock, 100);
        store.fault = "down";
        await advanceInSteps(clock, 3_000);
        store.restore(copy);
        store.put("t", "a", "lost again");
        store.restore(copy);
        store.put("t", "b", "new");
        store.fault = undefined;
        // The store answers in real time.
        await waitFor(async () => {
            await advanceInSteps(clock, 100);
            return snapshots.length > 1;
        });
        follower.dispose();
        expect([...rows]).toEqual([
            ["a", "copied"],
            ["b", "new"],
        ]);
        expect(eras).toEqual([2]);
        expect(snapshots).toEqual(["replaced", "restored"]);
    });

    it("survives a further restore between the answer that shows the first one and the listing", async () => {
        const { store, clock, copy, follower, rows, eras, snapshots } = await createSystem();
        store.put("t", "a", "lost");
        await advanceInSteps(clock, 100);
        const snapshot = store.snapshot.bind(store);
        store.snapshot = table => {
            store.snapshot = snapshot;
            store.restore(copy);
            store.put("t", "b", "new");
            return snapshot(table);
        };
        store.restore(copy);
        await advanceInSteps(clock, 500);
        follower.dispose();
        expect(rows.get("b")).toBe("new");
        expect(eras).toEqual([1, 2]);
        expect(snapshots).toEqual(["replaced", "restored"]);
    });

    it.each(["changes", "snapshot"] as const)(
        "ignores an answer (%s) of an earlier era that arrives late, and counts it as a failure",
        async kind => {
            const { store, clock, copy, follower, rows } = await createSystem();
            store.put("t", "a", "lost");
            await advanceInSteps(clock, 100);
            const late = kind === "changes" ? await store.changes("t", 0, 0) : await store.snapshot("t");
            store.restore(copy);
            await advanceInSteps(clock, 200);
            const call = store[kind].bind(store) as () => Promise<never>;
            let isFailing = false;
            store.historyLost = kind === "snapshot";
            Object.assign(store, {
                [kind]: () => {
                    Object.assign(store, {
                        [kind]: () => {
                            isFailing = follower.isFailing;
                            Object.assign(store, { [kind]: call });
                            return call.apply(store, ["t", 0, 0] as never);
                        },
                    });
                    return Promise.resolve(late);
                },
            });
            store.put("t", "b", "new");
            await advanceInSteps(clock, 500);
            follower.dispose();
            expect(isFailing).toBe(true);
            expect([...rows]).toEqual([
                ["a", "copied"],
                ["b", "new"],
            ]);
        },
    );

    it("lists the table at once, without the pause after changes or failures", async () => {
        const { store, clock, copy, follower, rows } = await createSystem({ pauseMs: 10_000, waitMs: 60_000 });
        await advanceInSteps(clock, 10_000);
        store.put("t", "a", "lost");
        await advanceInSteps(clock, 100);
        expect(rows.get("a")).toBe("lost");
        store.restore(copy);
        // Another follower has seen the era during this one's pause.
        follower.restored(1);
        expect(follower.isFresh).toBe(false);
        await advanceInSteps(clock, 100);
        expect(rows.get("a")).toBe("copied");
        follower.dispose();
    });

    it("ends a held call that stays silent when another follower has seen the new era", async () => {
        const { store, clock, copy, follower, rows, snapshots } = await createSystem({ pauseMs: 0, waitMs: 60_000 });
        store.isSilentAtRestore = true;
        store.put("t", "a", "lost");
        await advanceInSteps(clock, 100);
        store.restore(copy);
        await advanceInSteps(clock, 1_000);
        expect(rows.get("a")).toBe("lost");
        follower.restored(1);
        await advanceInSteps(clock, 50);
        expect(rows.get("a")).toBe("copied");
        expect(follower.isFailing).toBe(false);
        // The same news again has no effect.
        follower.restored(1);
        await advanceInSteps(clock, 50);
        expect(snapshots).toEqual(["replaced", "restored"]);
        follower.dispose();
    });

    it("stays loaded while the restored store can't be listed, and pauses between its calls", async () => {
        const { store, clock, copy, follower, rows } = await createSystem();
        store.put("t", "a", "lost");
        await advanceInSteps(clock, 100);
        store.restore(copy);
        const snapshot = store.snapshot.bind(store);
        let calls = 0;
        store.snapshot = () => {
            calls++;
            return Promise.resolve(err({ type: "platform-unavailable", detail: "busy" }));
        };
        await advanceInSteps(clock, 5_000);
        expect(calls).toBeLessThan(20);
        expect([follower.isLoaded, follower.isFailing, rows.get("a")]).toEqual([true, true, "lost"]);
        store.snapshot = snapshot;
        await advanceInSteps(clock, 1_000);
        expect(rows.get("a")).toBe("copied");
        follower.dispose();
    });

    it("doesn't take the era of a store that was restored before its own start for a restore", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", "copied");
        store.restore(store.copy());
        const { follower, rows, eras, snapshots } = createFollower(store, clock);
        await advanceInSteps(clock, 200);
        follower.dispose();
        expect(rows.get("a")).toBe("copied");
        expect([eras, snapshots]).toEqual([[], ["replaced"]]);
        expect(follower.latestEra).toBe(1);
    });

    // In an outage, each follower of each instance tried on its own.
    it("leaves it to another follower to find out when the store answers again", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put("t", "a", 1);
        const { follower, rows } = createFollower(store, clock, { pauseMs: 0, isProbed: () => true });
        await advanceInSteps(clock, 100);
        store.fault = "down";
        await advanceInSteps(clock, 500);
        const before = store.calls.changes;
        await advanceInSteps(clock, 4_000);
        expect(store.calls.changes).toBe(before);
        store.fault = undefined;
        store.put("t", "a", 2);
        follower.retry();
        await waitFor(async () => {
            await advanceInSteps(clock, 10);
            return rows.get("a") === 2;
        });
        follower.dispose();
    });
});

describe("TableFollower beside a relay", () => {
    const HELD_MS = 1_500;
    const MAX_AGE_MS = 1_600;
    /** Time after which a call without an answer ends, in addition to its wait, in milliseconds. */
    const TIMEOUT_MS = 900;

    const start = async (path: {
        /** Whether calls for changes get no answer. */
        isDead: boolean;
        /** Time that an answer takes from its first part on, in milliseconds. */
        sendMs?: number;
    }) => {
        const clock = new ManualClock();
        const rows = new Map<string, string>();
        /** Waits of the calls for changes, in milliseconds. */
        const waits: number[] = [];
        const answer = ok({ type: "changes" as const, era: 0, version: 5, rows: [] });
        const store: RowStore = {
            snapshot: () => Promise.resolve(ok({ era: 0, version: 5, rows: [] })),
            row: () => Promise.reject(new Error("not called")),
            transact: () => Promise.reject(new Error("not called")),
            changes: (_, __, waitMs, signal, received) =>
                new Promise(resolve => {
                    waits.push(waitMs);
                    const lost = () => resolve(err({ type: "platform-unknown", detail: "no answer" }));
                    const { isDead } = path;
                    signal?.addEventListener("abort", lost);
                    // The store answers in no time.
                    const endsInMs = path.sendMs ?? waitMs + (isDead ? TIMEOUT_MS : 1);
                    if (path.sendMs !== undefined) {
                        received?.(1_000);
                    }
                    clock.setTimer(endsInMs, isDead ? lost : () => resolve(answer));
                }),
        };
        const follower = new TableFollower({
            store,
            table: "t",
            clock,
            logger: SILENT_LOGGER,
            waitMs: () => HELD_MS,
            pauseMs: () => 0,
            followed: {
                replaced: () => undefined,
                restored: () => undefined,
                changed: ({ key, value }) => {
                    rows.set(key, String(value));
                    return undefined;
                },
                eraBegan: () => undefined,
                recovered: () => undefined,
            },
            relay: { maxAgeMs: MAX_AGE_MS, isSource: () => false, read: () => undefined },
        });
        follower.start();
        await advanceInSteps(clock, 20);
        const relay = (from: number) => follower.relayed({ table: "t", era: 0, from, to: from, ageMs: 0, rows: [] });
        return { clock, follower, waits, path, relay };
    };

    // A config that is too large for the relay wasn't in force for 6 s after the connections to the store had died.
    it("guards against a held call on a dead connection when a relayed message shows that changes were missed", async () => {
        const { clock, follower, waits, path, relay } = await start({ isDead: true });
        relay(6);
        path.isDead = false;
        await advanceInSteps(clock, 500);
        follower.dispose();
        expect(waits.slice(0, 2)).toEqual([HELD_MS, 0]);
    });

    // The answer with the changes that the message had shown was broken off, and asked for again.
    it("doesn't end a held call whose answer arrives when a relayed message shows that changes were missed", async () => {
        const { clock, follower, waits, relay } = await start({ isDead: false, sendMs: 600 });
        relay(6);
        await advanceInSteps(clock, 500);
        expect([waits, follower.failedCalls]).toEqual([[HELD_MS], 0]);
        await advanceInSteps(clock, 200);
        follower.dispose();
        expect(follower.isFailing).toBe(false);
    });

    // The sign of a change was dropped with the answer to a call that had begun before the change.
    it("reads again a change that a relayed message shows during a reading of the whole table", async () => {
        const clock = new ManualClock();
        const store = new MemoryRowStore();
        store.put("t", "a", 1);
        const { follower, rows } = createFollower(store, clock, {
            pauseMs: 0,
            needsNewest: true,
            relay: { maxAgeMs: MAX_AGE_MS, isSource: () => false, read: () => undefined },
        });
        await advanceInSteps(clock, 20);
        const relay = (from: number) => follower.relayed({ table: "t", era: 0, from, to: from, ageMs: 0, rows: [] });
        relay(store.latestVersion);
        await advanceInSteps(clock, 200);
        store.put("t", "a", 2);
        const snapshot = store.snapshot.bind(store);
        store.snapshot = async table => {
            const answer = await snapshot(table);
            await new Promise<void>(resolve => {
                clock.setTimer(300, resolve);
            });
            return answer;
        };
        relay(store.latestVersion);
        await advanceInSteps(clock, 100);
        store.put("t", "a", 3);
        relay(store.latestVersion);
        await advanceInSteps(clock, 300 + 500 + 300 + 100);
        follower.dispose();
        expect(rows.get("a")).toBe(3);
    });

    it("guards against a first held call on a connection that has died while changes were relayed", async () => {
        const { clock, follower, waits, relay } = await start({ isDead: false });
        for (let elapsedMs = 0; elapsedMs < 2 * HELD_MS; elapsedMs += 400) {
            relay(5);
            await advanceInSteps(clock, 400);
        }
        waits.length = 0;
        await advanceInSteps(clock, MAX_AGE_MS + 100);
        follower.dispose();
        expect(waits).toEqual([0, HELD_MS]);
    });
});
