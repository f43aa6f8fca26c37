import { err } from "neverthrow";
import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { MemoryRowStore } from "../../../../test/support/memoryRowStore.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { waitFor } from "../../../../test/support/waitFor.js";
import type { RowStore } from "../rowStore.js";
import { StoreRelay } from "../storeRelay.js";
import { TableFollower } from "../tableFollower.js";

const TABLE = "servers";
/** Age from which a relayed state is too old, in milliseconds. */
const MAX_AGE_MS = 1_600;
/** Index of the instance that passes changes on at first. */
const SOURCE = 0;

interface Instance {
    relay: StoreRelay;
    follower: TableFollower;
    rows: Map<string, unknown>;
    /** Calls to the store. */
    calls: number;
    /** Number of times that messages ended. */
    silences: number;
    isFrozen: boolean;
    /** Whether the datagrams to it are lost. */
    isDeaf: boolean;
    /** Whether it can't reach the store. */
    isCutOff: boolean;
}

/** Instances that follow one table and exchange datagrams, some of which are lost. */
const startInstances = async (size: number, lossShare = 0) => {
    const clock = new ManualClock();
    const store = new MemoryRowStore();
    const random = seededRandom(7);
    let source = SOURCE;
    let datagrams = 0;
    const instances: Instance[] = [];
    const addressOf = (index: number) => ({ host: "127.0.0.1", port: 1 + index });
    const reachedBy = (instance: () => Instance): RowStore => ({
        snapshot: table => {
            instance().calls++;
            return store.snapshot(table);
        },
        changes: (table, after, waitMs, signal) => {
            instance().calls++;
            return instance().isCutOff
                ? Promise.resolve(err({ type: "platform-unavailable", detail: "cut off" }))
                : store.changes(table, after, waitMs, signal);
        },
        row: (...call) => store.row(...call),
        transact: transaction => store.transact(transaction),
    });
    const join = (index: number): Instance => {
        const rows = new Map<string, unknown>();
        const instance: Instance = {
            rows,
            calls: 0,
            silences: 0,
            isFrozen: false,
            isDeaf: false,
            isCutOff: false,
            relay: new StoreRelay({
                clock,
                logger: SILENT_LOGGER,
                isSource: () => source === index && !instance.isFrozen,
                source: () => (source === index ? undefined : addressOf(source)),
                send: ({ port }, content) => {
                    datagrams++;
                    const receiver = instances[port - 1];
                    if (random() >= lossShare && !receiver.isFrozen && !receiver.isDeaf) {
                        clock.setTimer(1, () => receiver.relay.receive(content, addressOf(index)));
                    }
                },
                domain: "linz",
                isCutOff: () => false,
                began: () => instance.follower.renewHeldCall(),
                silent: () => instance.silences++,
            }),
            follower: new TableFollower({
                store: reachedBy(() => instance),
                table: TABLE,
                clock,
                logger: SILENT_LOGGER,
                // The store answers in real time, and a held call without a change at once.
                waitMs: () => 0,
                pauseMs: () => 0,
                followed: {
                    replaced: all => {
                        rows.clear();
                        all.forEach(({ key, value }) => rows.set(key, String(value)));
                    },
                    restored: () => undefined,
                    changed: ({ key, value }) => {
                        rows.set(key, String(value));
                        return undefined;
                    },
                    eraBegan: () => undefined,
                    recovered: () => undefined,
                },
                relay: {
                    maxAgeMs: MAX_AGE_MS,
                    isSource: () => source === index,
                    read: step => instance.relay.read(TABLE, step),
                },
            }),
        };
        instance.relay.cover(TABLE, instance.follower);
        return instance;
    };
    for (let index = 0; index < size; index++) {
        instances.push(join(index));
    }
    return {
        clock,
        store,
        instances,
        sent: () => datagrams,
        become: (index: number) => {
            source = index;
        },
        dispose: () =>
            instances.forEach(({ relay, follower }) => {
                relay.dispose();
                follower.dispose();
            }),
    };
};

/** Starts the source, and the others when they can hear it. */
const settle = async ({ clock, instances }: Awaited<ReturnType<typeof startInstances>>): Promise<void> => {
    instances.forEach(({ relay }) => relay.start());
    instances[SOURCE].follower.start();
    await advanceInSteps(clock, 1_500);
    instances.slice(1).forEach(({ follower }) => follower.start());
    await advanceInSteps(clock, 2_000);
    instances.forEach(instance => {
        instance.calls = 0;
    });
};

describe("StoreRelay", () => {
    // Each instance read each change itself, so the calls grew with the instances times the changes.
    it.each([12, 67, 195, 576])(
        "lets %d instances follow a table with the calls of one",
        async size => {
            const cluster = await startInstances(size);
            const { clock, store, instances, sent, dispose } = cluster;
            await settle(cluster);
            const sentBefore = sent();
            for (let change = 1; change <= 10; change++) {
                store.put(TABLE, `t${change}`, change);
                await advanceInSteps(clock, 1_000);
                expect(instances.filter(({ rows }) => rows.get(`t${change}`) !== `${change}`)).toEqual([]);
            }
            expect(instances.slice(1).filter(({ calls }) => calls > 0)).toEqual([]);
            expect(instances.every(({ follower }) => follower.silentMs() < MAX_AGE_MS)).toBe(true);
            // A keepalive each 400 ms, a message for each change, and one that asks for them.
            expect(sent() - sentBefore).toBeLessThanOrEqual(size * 10 * (3 + 1 + 1));
            dispose();
        },
        120_000,
    );

    it("loses no change when messages are lost, and reads the store only for what was missed", async () => {
        const cluster = await startInstances(20, 0.2);
        const { clock, store, instances, dispose } = cluster;
        await settle(cluster);
        for (let change = 1; change <= 30; change++) {
            store.put(TABLE, `t${change}`, change);
            await advanceInSteps(clock, 700);
        }
        await advanceInSteps(clock, MAX_AGE_MS);
        instances.forEach(({ rows }) => expect(rows.size).toBe(30));
        const others = instances.slice(1);
        expect(others.reduce((sum, { calls }) => sum + calls, 0) / others.length).toBeLessThan(30);
        dispose();
    });

    it("has the others read the store when the source is frozen, and follows the next source", async () => {
        const cluster = await startInstances(12);
        const { clock, store, instances, become, dispose } = cluster;
        await settle(cluster);
        const [source, next, ...others] = instances;
        source.isFrozen = true;
        source.follower.dispose();
        store.put(TABLE, "t1", 1);
        await advanceInSteps(clock, MAX_AGE_MS + 500);
        expect(others.filter(({ rows }) => rows.get("t1") !== "1")).toEqual([]);
        expect(others.filter(({ silences }) => silences !== 1)).toEqual([]);
        become(1);
        await advanceInSteps(clock, 3_000);
        others.forEach(instance => {
            instance.calls = 0;
        });
        store.put(TABLE, "t2", 2);
        await advanceInSteps(clock, 1_000);
        expect(next.rows.get("t2")).toBe("2");
        expect(others.filter(({ rows, calls }) => rows.get("t2") !== "2" || calls > 0)).toEqual([]);
        dispose();
    });

    // A missed change wasn't noticed, so a config wasn't in force until the next one.
    it("guards against a change that is missed because the next source hasn't passed it on", async () => {
        const cluster = await startInstances(4);
        const { clock, store, instances, become, dispose } = cluster;
        await settle(cluster);
        const [source, next, ...others] = instances;
        others.forEach(instance => (instance.isDeaf = true));
        store.put(TABLE, "t1", 1);
        await waitFor(async () => {
            await advanceInSteps(clock, 10);
            return next.rows.has("t1");
        });
        source.isFrozen = true;
        source.follower.dispose();
        others.forEach(instance => (instance.isDeaf = false));
        become(1);
        // The followers make themselves known to the next source.
        await advanceInSteps(clock, 1_100);
        store.put(TABLE, "t2", 2);
        await advanceInSteps(clock, 300);
        dispose();
        expect(others.map(({ rows }) => [rows.get("t1"), rows.get("t2")])).toEqual(others.map(() => ["1", "2"]));
    });

    it("serves an instance that can't reach the store", async () => {
        const cluster = await startInstances(3);
        const { clock, store, instances, dispose } = cluster;
        await settle(cluster);
        const [, cutOff] = instances;
        cutOff.isCutOff = true;
        cutOff.follower.refresh();
        await advanceInSteps(clock, 50);
        expect(cutOff.follower.isFailing).toBe(true);
        store.put(TABLE, "t1", 1);
        await advanceInSteps(clock, 500);
        expect(cutOff.rows.get("t1")).toBe("1");
        expect(cutOff.follower.isFailing).toBe(false);
        dispose();
    });
});
