import { AssigningInstances, startWithMovedKeys } from "../../../../test/support/assigningInstances.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { leaseKey, LEASE_MS, LEASE_TABLE } from "../assignerLease.js";
import { eraOfToken } from "../fencingTokens.js";
import { ASSIGNMENT_TABLE } from "../keyAssigner.js";

const SEEDS = Array.from({ length: 12 }, (_, index) => index + 1);

/** Moves all keys of a target to others. */
const drain = async (system: AssigningInstances, id: string): Promise<void> => {
    system.putTarget(id, { draining: true });
    await system.advance(2_000);
};

const expectOneOwner = (system: AssigningInstances) => {
    expect(system.calls.violations).toEqual([]);
    expect(system.heldShare()).toBe(1);
    system.dispose();
};

/** An assigner that trusts the copy gives keys two owners, under fencing tokens that targets have already seen. */
describe("The assignment of keys after the store was restored from a copy", () => {
    it("keeps its owners while the assigner keeps its lease, and the row of the copy is replaced", async () => {
        const { system, copy } = await startWithMovedKeys("a1", "a2");
        const before = system.assignment?.ranges.map(({ from, target }) => [from, target]);
        system.store.restore(copy);
        for (let elapsed = 0; elapsed < 4_000; elapsed += 50) {
            await system.advance(50);
            expect(system.heldShare()).toBe(1);
        }
        expect(system.assignment?.ranges.map(({ from, target }) => [from, target])).toEqual(before);
        await drain(system, "t2");
        await system.advance(8_000);
        expectOneOwner(system);
    });

    it("waits until earlier grants have ended when the assigner is gone", async () => {
        const { system, copy } = await startWithMovedKeys("a1", "a2");
        const [holder] = system.holders();
        system.store.restore(copy);
        holder.dispose();
        await system.advance(20_000);
        expect(eraOfToken(system.assignment?.fence ?? 0)).toBe(1);
        expectOneOwner(system);
    });

    it("waits for the lease and the grants of an assigner that is cut off from the store", async () => {
        const { system, copy } = await startWithMovedKeys("a1", "a2");
        const [holder] = system.holders();
        holder.isCut = true;
        system.store.restore(copy);
        for (let elapsed = 0; elapsed < 20_000; elapsed += 50) {
            await system.advance(50);
            expect(system.holders().length).toBeLessThanOrEqual(1);
        }
        holder.isCut = false;
        await system.advance(5_000);
        expectOneOwner(system);
    });

    it("doesn't trust the copy in an instance that starts after the restore", async () => {
        const { system, copy } = await startWithMovedKeys("a1");
        const [holder] = system.holders();
        system.store.restore(copy);
        holder.dispose();
        // The copy's lease names an earlier process of the same instance.
        system.start("a1");
        await system.advance(LEASE_MS);
        expect(system.holders()).toEqual([]);
        await system.advance(12_000);
        expectOneOwner(system);
    });

    it("doesn't trust the copy if the assigner ends before it has written the assignment again", async () => {
        const { system, copy } = await startWithMovedKeys("a1", "a2");
        const [holder] = system.holders();
        system.store.restore(copy);
        // The lease of the new era is acquired, and nothing else is written.
        while (system.store.read(LEASE_TABLE, leaseKey(1)) === undefined) {
            await system.advance(5);
        }
        holder.dispose();
        await system.advance(25_000);
        expectOneOwner(system);
    });

    it("survives a copy without any row of the system", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        const copy = system.store.copy();
        system.start("a1");
        system.start("a2");
        await system.advance(7_000);
        await drain(system, "t1");
        const [holder] = system.holders();
        system.store.restore(copy);
        await system.advance(3_000);
        expect(system.heldShare()).toBe(1);
        system.store.restore(copy);
        holder.dispose();
        await system.advance(20_000);
        expectOneOwner(system);
    });

    it("keeps its owners in drills close together", async () => {
        const { system, copy } = await startWithMovedKeys("a1", "a2");
        for (let drill = 0; drill < 4; drill++) {
            system.store.restore(copy);
            await system.advance(700);
            expect(system.heldShare()).toBe(1);
        }
        const [holder] = system.holders();
        system.store.restore(copy);
        holder.dispose();
        await system.advance(4_000);
        system.store.restore(copy);
        await system.advance(20_000);
        expectOneOwner(system);
    });

    it("ignores a write of an earlier era whose versions were given out again", async () => {
        const { system, copy } = await startWithMovedKeys("a1", "a2");
        const [holder] = system.holders();
        holder.holdsWrites = true;
        system.putTarget("t2", { draining: true });
        await system.advance(400);
        holder.isCut = true;
        system.store.restore(copy);
        holder.dispose();
        await system.advance(16_000);
        const { latestVersion } = system.store;
        const before = system.assignment;
        for (const version of [latestVersion - 1, latestVersion]) {
            // Rows that have the versions which the delayed writes expect.
            system.store.setVersion(LEASE_TABLE, leaseKey(1), version);
            system.store.setVersion(ASSIGNMENT_TABLE, "stock", version);
            holder.heldWrites.forEach(write => write());
            await system.advance(1);
        }
        expect(holder.heldWrites.length).toBeGreaterThan(0);
        expect(system.assignment).toEqual(before);
        await system.advance(5_000);
        expectOneOwner(system);
    });

    it.each(SEEDS)(
        "keeps one owner in random drills, cuts, ends and starts of instances, and moves (seed %d)",
        async seed => {
            const random = seededRandom(seed);
            const system = new AssigningInstances(["t1", "t2", "t3", "t4"]);
            ["a1", "a2", "a3"].forEach(name => system.start(name));
            let copies = [system.store.copy()];
            let targets = 4;
            for (let step = 0; step < 90; step++) {
                const pick = random();
                const instance = system.instances[Math.floor(random() * system.instances.length)];
                if (pick < 0.12) {
                    system.store.restore(copies[Math.floor(random() * copies.length)]);
                } else if (pick < 0.4) {
                    copies = [...copies.slice(-4), system.store.copy()];
                } else if (pick < 0.5) {
                    const { name } = instance;
                    instance.dispose();
                    system.start(name);
                } else if (pick < 0.6) {
                    instance.isCut = !instance.isCut;
                } else if (pick < 0.65) {
                    system.store.fault = system.store.fault === undefined ? "answer-lost" : undefined;
                } else if (pick < 0.72) {
                    system.putTarget(`t${++targets}`);
                } else if (pick < 0.78 && targets > 2) {
                    system.putTarget(`t${targets - 2}`, { draining: true });
                }
                await system.advance(100 + Math.floor(random() * 1_500));
                expect(system.calls.violations).toEqual([]);
            }
            system.store.fault = undefined;
            system.instances.forEach(instance => (instance.isCut = false));
            await system.advance(30_000);
            expectOneOwner(system);
        },
    );
});
