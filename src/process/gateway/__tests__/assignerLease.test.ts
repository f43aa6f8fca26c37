import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { MemoryRowStore } from "../../../../test/support/memoryRowStore.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { AssignerLease, leaseKey, LEASE_MS, LEASE_TABLE } from "../assignerLease.js";

const countCalls = ({ calls }: MemoryRowStore): number => calls.row + calls.snapshot + calls.transact;

const createLease = (
    store: MemoryRowStore,
    clock: ManualClock,
    instance: string,
    incarnation = instance,
    isFit: () => boolean = () => true,
    isHolderHeard: () => boolean = () => false,
) => {
    const steps: string[] = [];
    store.storeMs = () => clock.monotonicMs() + 5_000_000;
    const lease = new AssignerLease({
        store,
        instance,
        incarnation,
        clock,
        logger: SILENT_LOGGER,
        gained: isContinuous => steps.push(isContinuous ? "regained" : "gained"),
        lost: () => steps.push("lost"),
        isFit,
        isHolderHeard,
        random: () => 0.5,
    });
    return { lease, steps };
};

describe("AssignerLease", () => {
    it("is held by one instance only", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const first = createLease(store, clock, "a1");
        const second = createLease(store, clock, "a2");
        first.lease.start();
        second.lease.start();
        await advanceInSteps(clock, 20_000);
        expect([first.lease.isHeld(), second.lease.isHeld()].filter(Boolean)).toHaveLength(1);
    });

    it("is acquired by another instance only after the former holder no longer considers it held", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const first = createLease(store, clock, "a1");
        const second = createLease(store, clock, "a2");
        first.lease.start();
        await advanceInSteps(clock, 100);
        second.lease.start();
        await advanceInSteps(clock, 2_000);
        first.lease.dispose();
        for (let elapsed = 0; elapsed < 20_000 && !second.lease.isHeld(); elapsed += 50) {
            await advanceInSteps(clock, 50);
            expect(first.lease.isHeld() && second.lease.isHeld()).toBe(false);
        }
        expect(second.lease.isHeld()).toBe(true);
    });

    it("isn't read while messages of its holder come, and is read at once when they end", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const holder = createLease(store, clock, "a1");
        holder.lease.start();
        await advanceInSteps(clock, 200);
        holder.lease.dispose();
        let isHeard = true;
        const other = createLease(store, clock, "a2", "a2", undefined, () => isHeard);
        other.lease.start();
        await advanceInSteps(clock, 200);
        const calls = countCalls(store);
        await advanceInSteps(clock, 20_000);
        expect(countCalls(store)).toBe(calls);
        isHeard = false;
        other.lease.holderSilent();
        await advanceInSteps(clock, 200);
        expect(other.lease.isHeld()).toBe(true);
    });

    it("expires for a holder that can't reach the store", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const { lease, steps } = createLease(store, clock, "a1");
        lease.start();
        await advanceInSteps(clock, 100);
        store.fault = "down";
        await advanceInSteps(clock, LEASE_MS + 500);
        expect(lease.isHeld()).toBe(false);
        expect(steps).toEqual(["gained", "lost"]);
    });

    it("is acquired at the first read when its row shows that it has expired", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const first = createLease(store, clock, "a1");
        first.lease.start();
        await advanceInSteps(clock, 3_000);
        first.lease.dispose();
        await advanceInSteps(clock, LEASE_MS + 200);
        const second = createLease(store, clock, "a2");
        second.lease.start();
        await advanceInSteps(clock, 100);
        expect(second.lease.isHeld()).toBe(true);
    });

    it("reports to a holder that regains it whether another instance held it in between", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const first = createLease(store, clock, "a1");
        first.lease.start();
        await advanceInSteps(clock, 1_500);
        store.fault = "down";
        await advanceInSteps(clock, LEASE_MS + 500);
        store.fault = undefined;
        await advanceInSteps(clock, 1_000);
        expect(first.steps).toEqual(["gained", "lost", "regained"]);
        store.fault = "down";
        await advanceInSteps(clock, LEASE_MS + 500);
        store.fault = undefined;
        store.put(LEASE_TABLE, leaseKey(0), { instance: "a2", incarnation: "a2", renewal: 1 });
        await advanceInSteps(clock, 15_000);
        expect(first.steps.slice(3)).toEqual(["lost", "gained"]);
    });

    it("isn't extended by a renewal whose answer was lost, and continues with the row that this renewal wrote", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const { lease } = createLease(store, clock, "a1");
        lease.start();
        await advanceInSteps(clock, 100);
        store.fault = "answer-lost";
        await advanceInSteps(clock, LEASE_MS + 500);
        expect(lease.isHeld()).toBe(false);
        store.fault = undefined;
        await advanceInSteps(clock, 6_000);
        expect(lease.isHeld()).toBe(true);
    });

    it("expires at once when the wall clock has shifted against the monotonic clock, as after a suspension", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const { lease } = createLease(store, clock, "a1");
        lease.start();
        await advanceInSteps(clock, 100);
        expect(lease.isHeld()).toBe(true);
        clock.shiftWall(3_000);
        expect(lease.isHeld()).toBe(false);
        await advanceInSteps(clock, 2_000);
        expect(lease.isHeld()).toBe(true);
    });

    it("isn't held once its release begins, and its row is deleted only after calls in progress have ended", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const { lease } = createLease(store, clock, "a1");
        lease.start();
        await advanceInSteps(clock, 100);
        let settle = () => undefined as void;
        const released = lease.release(() => new Promise<void>(resolve => (settle = resolve)));
        expect(lease.isHeld()).toBe(false);
        await advanceInSteps(clock, 100);
        expect(store.read(LEASE_TABLE, leaseKey(0))).toBeDefined();
        settle();
        await released;
        expect(store.read(LEASE_TABLE, leaseKey(0))).toBeUndefined();
    });

    it("is acquired at once by the same instance after a restart", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        store.put(LEASE_TABLE, leaseKey(0), { instance: "a1", incarnation: "earlier", renewal: 9 });
        const { lease } = createLease(store, clock, "a1", "later");
        lease.start();
        await advanceInSteps(clock, 100);
        expect(lease.isHeld()).toBe(true);
    });

    it("isn't reported as continuous if the machine was suspended while it was acquired from another holder", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const { lease, steps } = createLease(store, clock, "a1");
        lease.start();
        await advanceInSteps(clock, 1_500);
        store.put(LEASE_TABLE, leaseKey(0), { instance: "a2", incarnation: "a2", renewal: 1 });
        await advanceInSteps(clock, 3_000);
        expect(lease.isHeld()).toBe(false);
        const readStoreMs = store.storeMs;
        const renewals = store.calls.transact;
        store.storeMs = () => {
            if (store.calls.transact === renewals + 1) {
                clock.shiftWall(1_000);
                store.storeMs = readStoreMs;
            }
            return readStoreMs();
        };
        await advanceInSteps(clock, 12_000);
        expect(lease.isHeld()).toBe(true);
        expect(steps).toEqual(["gained", "lost", "gained"]);
    });

    it("is acquired in a new era without waiting for the next read, which would prolong the time without an assigner", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const holder = createLease(store, clock, "a1");
        const other = createLease(store, clock, "a2");
        holder.lease.start();
        await advanceInSteps(clock, 100);
        other.lease.start();
        await advanceInSteps(clock, 100);
        store.restore(store.copy());
        holder.lease.dispose();
        other.lease.storeRestored(1);
        await advanceInSteps(clock, LEASE_MS + 500);
        expect(other.lease.isHeld()).toBe(true);
    });
});

describe("An AssignerLease that is passed on", () => {
    const successor = { instance: "a2", peerAddress: "10.1.0.2:7620" };

    const start = async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const leases = ["a1", "a2", "a3"].map(name => createLease(store, clock, name));
        leases[0].lease.start();
        await advanceInSteps(clock, 200);
        leases.slice(1).forEach(({ lease }) => lease.start());
        await advanceInSteps(clock, 1_500);
        const holders = () => leases.map(({ lease }) => lease.isHeld());
        expect(holders()).toEqual([true, false, false]);
        return { store, clock, leases, holders };
    };

    it("isn't held from the call on, and is taken by the successor at once", async () => {
        const { clock, leases, holders } = await start();
        let settle = () => undefined as void;
        const ended = leases[0].lease.passOn(successor, () => new Promise(resolve => (settle = resolve)));
        expect(holders()).toEqual([false, false, false]);
        await advanceInSteps(clock, 700);
        leases[1].lease.wasPassedOn();
        await advanceInSteps(clock, 100);
        // Grants of the former holder are still under way.
        expect(holders()).toEqual([false, false, false]);
        settle();
        await advanceInSteps(clock, 50);
        await ended;
        leases[1].lease.wasPassedOn();
        await advanceInSteps(clock, 50);
        expect(holders()).toEqual([false, true, false]);
        expect(leases[1].steps).toEqual(["gained"]);
        await advanceInSteps(clock, 20_000);
        expect(holders()).toEqual([false, true, false]);
    });

    it("is taken by another instance once it has expired, if the successor has ended", async () => {
        const { clock, leases, holders } = await start();
        leases[1].lease.dispose();
        await leases[0].lease.passOn(successor, () => Promise.resolve()).catch(() => undefined);
        await advanceInSteps(clock, LEASE_MS - 200);
        expect(holders()).toEqual([false, false, false]);
        await advanceInSteps(clock, 10_000);
        expect(holders().filter(Boolean)).toHaveLength(1);
    });

    it.each(["down", "answer-lost"] as const)(
        "has one holder at most and is held again if the store's answer doesn't come (%s)",
        async fault => {
            const { store, clock, leases, holders } = await start();
            store.fault = fault;
            void leases[0].lease.passOn(successor, () => Promise.resolve());
            await advanceInSteps(clock, 100);
            store.fault = undefined;
            for (let elapsed = 0; elapsed < 12_000; elapsed += 50) {
                await advanceInSteps(clock, 50);
                expect(holders().filter(Boolean).length).toBeLessThanOrEqual(1);
            }
            expect(holders().filter(Boolean)).toHaveLength(1);
        },
    );
});

describe("An AssignerLease whose acquisition is answered after its end", () => {
    // Guards against an instance that freezes while it acquires the lease, and then keeps it without assigning keys.
    it("is gained by the next write, when it is held", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        const heldWhenGained: boolean[] = [];
        const lease: AssignerLease = new AssignerLease({
            store,
            instance: "a1",
            incarnation: "a1",
            clock,
            logger: SILENT_LOGGER,
            gained: () => heldWhenGained.push(lease.isHeld()),
        });
        const transact = store.transact.bind(store);
        store.transact = async transaction => {
            const outcome = await transact(transaction);
            store.transact = transact;
            await new Promise<void>(resolve => clock.setTimer(LEASE_MS + 100, resolve));
            return outcome;
        };
        lease.start();
        await advanceInSteps(clock, LEASE_MS + 3_000);
        expect(lease.isHeld()).toBe(true);
        expect(heldWhenGained).toEqual([true]);
    });
});

describe("A free AssignerLease", () => {
    // Guards against an instance that reaches no target and assigns keys although others do.
    it("is taken by an instance that reaches targets, and by another one only if there is none", async () => {
        const store = new MemoryRowStore();
        const clock = new ManualClock();
        let isFit = false;
        const unfit = createLease(store, clock, "a1", "a1", () => isFit);
        unfit.lease.start();
        await advanceInSteps(clock, 1_000);
        expect(unfit.lease.isHeld()).toBe(false);
        const fit = createLease(store, clock, "a2");
        fit.lease.start();
        await advanceInSteps(clock, 20_000);
        expect([unfit.lease.isHeld(), fit.lease.isHeld()]).toEqual([false, true]);
        fit.lease.dispose();
        await advanceInSteps(clock, LEASE_MS + 10_000);
        expect(unfit.lease.isHeld()).toBe(true);
        isFit = true;
    });
});
