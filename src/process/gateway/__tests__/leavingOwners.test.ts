import { AssigningInstances, type AssigningInstance } from "../../../../test/support/assigningInstances.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { STATEMENT_LIFETIME_MS } from "../leavingExchange.js";

/** Time within which a leaving target must not get requests any more, in milliseconds. */
const DRAIN_MS = 2_000;
/** Time from the loss of an assigner until another one has acquired the lease and has moved keys, in milliseconds. */
const SUCCESSION_MS = 12_000;

const ownersOf = ({ assignment }: AssigningInstances): string[] =>
    [...new Set(assignment?.ranges.map(({ target, startedAtMs }) => `${target}@${startedAtMs}`))].sort();

/** Whether the keys of t1 have moved from its first start with its handover. */
const hasMoved = (system: AssigningInstances): boolean =>
    !ownersOf(system).includes("t1@1") &&
    system.assignment?.ranges.some(({ handover }) => handover === "state-t1:80") === true;

/** Instances of which one assigns the keys of three targets. */
const start = async (
    ...names: string[]
): Promise<{ system: AssigningInstances; assigner: AssigningInstance; others: AssigningInstance[] }> => {
    const system = new AssigningInstances(["t1", "t2", "t3"]);
    names.forEach(name => system.start(name));
    // Until the keys have been assigned and all instances have read who assigns them.
    await system.advance(12_000);
    const [assigner] = system.holders();
    expect(ownersOf(system)).toEqual(["t1@1", "t2@1", "t3@1"]);
    return { system, assigner, others: system.instances.filter(instance => instance !== assigner) };
};

const finish = (system: AssigningInstances) => {
    expect(system.calls.violations).toEqual([]);
    expect(system.heldShare()).toBe(1);
    system.dispose();
};

describe("An owner that leaves, as only another instance than the assigner has read", () => {
    it("doesn't keep its keys beyond its drain time", async () => {
        const { system, others } = await start("a1", "a2");
        system.stateLeaving(others[0], "t1");
        await system.advance(1_000);
        expect(hasMoved(system)).toBe(true);
        finish(system);
    });

    it("doesn't keep its keys beyond its drain time because two datagrams are lost", async () => {
        const { system, others } = await start("a1", "a2");
        let lost = 0;
        system.isDatagramLost = () => ++lost <= 2;
        system.stateLeaving(others[0], "t1");
        await system.advance(DRAIN_MS);
        expect(hasMoved(system)).toBe(true);
        finish(system);
    });

    it.each([1, 2, 3])("loses its keys although half of the datagrams are lost (seed %d)", async seed => {
        const { system, others } = await start("a1", "a2", "a3");
        const random = seededRandom(seed);
        system.isDatagramLost = () => random() < 0.5;
        others.forEach(other => system.stateLeaving(other, "t1"));
        await system.advance(STATEMENT_LIFETIME_MS);
        expect(hasMoved(system)).toBe(true);
        finish(system);
    });

    it("isn't left with its keys by an assigner that replaces the one that has heard of it", async () => {
        const { system, assigner, others } = await start("a1", "a2", "a3");
        const [reader] = others;
        // The reader doesn't become the assigner itself.
        reader.holdsWrites = true;
        // The assigner hears of it, but ends before it can move the keys.
        assigner.holdsWrites = true;
        system.stateLeaving(reader, "t1");
        await system.advance(150);
        assigner.dispose();
        await system.advance(SUCCESSION_MS);
        expect(system.holders()).toEqual([others[1]]);
        expect(ownersOf(system)).toEqual(["t2@1", "t3@1"]);
        finish(system);
    });

    it("loses its keys once the store has returned, and has no second owner meanwhile", async () => {
        const { system, others } = await start("a1", "a2");
        system.store.fault = "down";
        system.stateLeaving(others[0], "t1");
        await system.advance(6_000);
        expect(system.calls.violations).toEqual([]);
        system.store.fault = undefined;
        await system.advance(SUCCESSION_MS);
        expect(ownersOf(system)).toEqual(["t2@1", "t3@1"]);
        finish(system);
    });

    it("gets no keys back because its entry is written again and still says that it is ready", async () => {
        const { system, others } = await start("a1", "a2");
        system.stateLeaving(others[0], "t1");
        await system.advance(1_000);
        system.putTarget("t1", { warmupLeftMs: 1 });
        await system.advance(10_000);
        expect(ownersOf(system)).toEqual(["t2@1", "t3@1"]);
        finish(system);
    });

    it("owns keys again in a later start", async () => {
        const { system, others } = await start("a1", "a2");
        system.stateLeaving(others[0], "t1");
        await system.advance(1_000);
        system.calls.held.delete("t1:80");
        system.putTarget("t1", { startedAtMs: 2 });
        await system.advance(15_000);
        expect(ownersOf(system)).toEqual(["t1@2", "t2@1", "t3@1"]);
        finish(system);
    });

    it("doesn't cost its later start the keys if the report arrives after the restart", async () => {
        const { system, others } = await start("a1", "a2");
        system.stateLeaving(others[0], "t1");
        // The report is sent, and arrives after the entry of the later start.
        system.clock.advance(0);
        system.calls.held.delete("t1:80");
        system.putTarget("t1", { startedAtMs: 2 });
        await system.advance(15_000);
        expect(ownersOf(system)).toEqual(["t1@2", "t2@1", "t3@1"]);
        finish(system);
    });
});

describe("An owner that states in its answers to renewals that it leaves", () => {
    it("isn't left with its keys by an assigner that hasn't heard of it otherwise", async () => {
        const { system } = await start("a1", "a2");
        system.calls.leaving.add("t1:80");
        await system.advance(DRAIN_MS);
        expect(hasMoved(system)).toBe(true);
        finish(system);
    });

    it("isn't left with its keys by a new assigner, whatever its entry says", async () => {
        const { system, assigner } = await start("a1", "a2", "a3");
        // The assigner ends before its next renewal.
        system.calls.leaving.add("t1:80");
        assigner.dispose();
        await system.advance(SUCCESSION_MS);
        expect(ownersOf(system)).toEqual(["t2@1", "t3@1"]);
        finish(system);
    });

    it("isn't given keys by a move for balance or the loss of another target", async () => {
        const { system } = await start("a1", "a2");
        system.calls.leaving.add("t1:80");
        await system.advance(DRAIN_MS);
        system.putTarget("t2", { draining: true });
        await system.advance(10_000);
        expect(ownersOf(system)).toEqual(["t3@1"]);
        finish(system);
    });

    it("keeps its keys while no other target can own them", async () => {
        const { system } = await start("a1", "a2");
        ["t1:80", "t2:80", "t3:80"].forEach(address => system.calls.leaving.add(address));
        await system.advance(20_000);
        finish(system);
    });
});
