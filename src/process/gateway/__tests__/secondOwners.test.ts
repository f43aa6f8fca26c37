import { err } from "neverthrow";
import { AssigningInstances, SERVICE, startWithMovedKeys } from "../../../../test/support/assigningInstances.js";
import { LEASE_MS, LEASE_TABLE } from "../assignerLease.js";
import { GRANT_TIMEOUT_MS } from "../grantRecord.js";
import { ASSIGNMENT_TABLE } from "../keyAssigner.js";
import { encodeAssignment, KEY_COUNT } from "../keyMap.js";
import type { GrantReply } from "../ownershipCalls.js";

const pause = (system: AssigningInstances, durationMs: number): Promise<void> =>
    new Promise(resolve => system.clock.setTimer(durationMs, resolve));

const until = async (system: AssigningInstances, condition: () => boolean, stepMs = 50) => {
    for (let elapsed = 0; !condition(); elapsed += stepMs) {
        if (elapsed > 30_000) {
            throw new Error("The condition wasn't reached.");
        }
        await system.advance(stepMs);
    }
};

/** Has a function answer the grants to one target; `next` passes the grant on to it. */
const onGrant = (
    { calls }: AssigningInstances,
    called: string,
    handle: (next: () => Promise<GrantReply>) => Promise<GrantReply>,
) => {
    const grant = calls.grant.bind(calls);
    calls.grant = (target, keys) => (target.id === called ? handle(() => grant(target, keys)) : grant(target, keys));
};

/** Guards against two holders of the lease: the setting says nothing of the eras before an instance's first answer. */
describe("An instance of the first start whose first answer of the store comes after a restore", () => {
    it.each([
        ["goes on", false],
        ["is cut off from the store", true],
    ])("waits for the lease and the grants of a holder that %s", async (_, isCut) => {
        const { system, copy } = await startWithMovedKeys("a1");
        const [holder] = system.holders();
        holder.isCut = isCut;
        system.store.restore(copy);
        system.start("a2", true);
        for (let elapsed = 0; elapsed < 25_000; elapsed += 50) {
            await system.advance(50);
            expect(system.holders().length).toBeLessThanOrEqual(1);
            expect(system.calls.violations).toEqual([]);
        }
        system.dispose();
    });
});

/** Guards against a release that overtakes a renewal, which then gives the keys back to their former owner. */
describe("An owner whose address two other entries name one after the other", () => {
    it("isn't asked to release keys before all renewals of its grants have ended", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        system.calls.occupants.set("t1:80", "t1");
        await system.advance(12_000);
        let sent = 0;
        let sentBefore = Infinity;
        onGrant(system, "t1", async next => {
            sent++;
            if (sentBefore === Infinity) {
                // The renewal that is under way when the entries are read is answered late.
                const reply = await next();
                await pause(system, 700);
                return reply;
            }
            if (sent === sentBefore + 1) {
                // The first renewal after it arrives late.
                await pause(system, 700);
            }
            return next();
        });
        await until(system, () => sent > 0);
        system.putTarget("x1", { service: "unnamed", address: "t1:80", startedAtMs: 2 });
        await system.advance(300);
        system.putTarget("x2", { service: "unnamed", address: "t1:80", startedAtMs: 3 });
        await system.advance(300);
        sentBefore = sent;
        await until(system, () => sent > sentBefore);
        system.putTarget("t1", { draining: true });
        await system.advance(5_000);
        expect(system.calls.violations).toEqual([]);
        system.dispose();
    });
});

/** Guards against the end of a target that is up because another owner answers at an address that isn't the target's. */
describe("An entry of another writer under an owner's identifier with the address of a target that started earlier", () => {
    it.each([100, 6_000])("gives the owner's keys no second owner (written for %d ms)", async writtenForMs => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.putTarget("t1", { startedAtMs: 2 });
        system.start("a1");
        ["t1", "t2", "t3"].forEach(id => system.calls.occupants.set(`${id}:80`, id));
        await system.advance(9_000);
        let isSlow = true;
        onGrant(system, "t3", async next => {
            const reply = await next();
            await pause(system, isSlow ? 400 : 0);
            return reply;
        });
        system.putTarget("t1", { address: "t3:80" });
        await system.advance(writtenForMs);
        system.putTarget("t1", { address: "t1:80" });
        await system.advance(1_000);
        isSlow = false;
        await system.advance(12_000);
        expect(system.calls.violations).toEqual([]);
        system.dispose();
    });
});

/**
 * Guards against a hold that outlasts the wait for the grants of other instances: a grant may wait for a connection until its
 * timeout, after the lease was checked.
 */
describe("A grant that is sent after its sender's lease has ended", () => {
    it.each([60, 90])("ends before the keys of a copy are granted (an answer late by %d ms)", async answerMs => {
        const { system, copy } = await startWithMovedKeys("a1", "a2");
        const { calls, store } = system;
        const [first] = system.holders();
        const [second] = system.instances.filter(instance => instance !== first);
        const transact = store.transact.bind(store);
        // One late answer shifts the writes of the lease, so that grants are renewed shortly before the lease ends.
        let delayMs = answerMs;
        store.transact = async transaction => {
            const outcome = await transact(transaction);
            const lateMs = delayMs;
            delayMs = 0;
            await pause(system, lateMs);
            return outcome;
        };
        await system.advance(1_500);
        store.transact = transact;
        await system.advance(4_000);
        const grant = calls.grant.bind(calls);
        let waitMs = 795;
        calls.grant = async (target, keys) => {
            if (waitMs > 0) {
                await pause(system, waitMs);
            }
            // The targets' clocks run 2% slow.
            return grant(target, { ...keys, holdMs: keys.holdMs * 1.02 });
        };
        const before = store.calls.transact;
        await until(system, () => store.calls.transact > before, 5);
        first.isCut = true;
        store.restore(copy);
        second.assigners.lease.storeRestored(1);
        await until(system, () => system.holders().includes(second), 5);
        await system.advance(1_000);
        waitMs = 0;
        const end = system.clock.monotonicMs() + 9_000;
        await until(system, () => system.clock.monotonicMs() >= end, 5);
        expect(calls.violations).toEqual([]);
        system.dispose();
    });
});

/** Guards against a target that is put out of use for good, and against the end of a process that is up, by another's answer. */
describe("A target that starts again at another address while its former process still answers", () => {
    it("gets keys once its former process holds none", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        await system.advance(12_000);
        for (let second = 0; second < 30; second++) {
            system.putTarget("t1", { startedAtMs: 2, address: "elsewhere:80" });
            await system.advance(1_000);
        }
        expect(system.calls.violations).toEqual([]);
        expect(system.assignment?.ranges).toContainEqual(expect.objectContaining({ address: "elsewhere:80" }));
        expect(system.heldShare()).toBe(1);
        system.dispose();
    });
});

/** Guards against a hold that is counted from the grants to one process, although calls have reached a later one. */
describe("A target that restarts twice at its address while its answers are lost", () => {
    it("is waited for until the grants to each of its processes have ended", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        const first = system.start("a1");
        await system.advance(12_000);
        const release = first.assigners.release();
        await system.advance(50);
        await release;
        first.dispose();
        system.putTarget("t1", { startedAtMs: 6 });
        const { calls } = system;
        const { grant, release: releaseKeys } = { grant: calls.grant.bind(calls), release: calls.release.bind(calls) };
        calls.grant = async (target, keys) => {
            const reply = await grant(target, keys);
            return target.id === "t1" ? { type: "unanswered", detail: "lost" } : reply;
        };
        calls.release = async (target, keys) =>
            target.id === "t1" ? { type: "unanswered", detail: "lost" } : releaseKeys(target, keys);
        system.start("a2");
        await system.advance(6_000);
        system.putTarget("t1", { startedAtMs: 11 });
        await system.advance(14_000);
        expect(calls.violations).toEqual([]);
        system.dispose();
    });
});

/** Guards against keys that an unreachable owner keeps, because each call to it puts off the end of its grants. */
describe("A draining owner that answers nothing", () => {
    it("loses its keys once its grants have ended", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        await system.advance(12_000);
        system.calls.silent.add("t1:80");
        await system.advance(1_500);
        system.putTarget("t1", { draining: true });
        await system.advance(30_000);
        expect(system.calls.violations).toEqual([]);
        expect(system.assignment?.ranges.map(({ target }) => target)).not.toContain("t1");
        expect(system.heldShare()).toBe(1);
        system.dispose();
    });
});

/** Guards against a renewal from an assignment that may lack a change of this instance, whose write got no answer. */
describe("An owner that is asked whether it is up before the lease is lost, and renewed after it was gained again", () => {
    it("isn't granted keys that the row already gives to another target", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        const holder = system.start("a1");
        await system.advance(12_000);
        const { calls, clock, store } = system;
        ["t1", "t2", "t3"].forEach(id => calls.occupants.set(`${id}:80`, id));
        const transact = store.transact.bind(store);
        let leaseEndsAt = Infinity;
        let isMoved = false;
        store.transact = async transaction => {
            const sentAt = clock.monotonicMs();
            const outcome = await transact(transaction);
            if (transaction.puts.some(({ table }) => table === LEASE_TABLE)) {
                leaseEndsAt = sentAt + LEASE_MS;
            } else if (!isMoved) {
                // The keys have their new owner, the answer is lost, and the store can't be reached until the lease has ended.
                isMoved = true;
                holder.isCut = true;
                return err({ type: "platform-unknown", detail: "no answer" });
            }
            return outcome;
        };
        system.putTarget("t4");
        await until(system, () => isMoved, 5);
        onGrant(system, "t1", async next => {
            const reply = await next();
            await pause(system, 750);
            return reply;
        });
        await until(system, () => clock.monotonicMs() >= leaseEndsAt - 450, 5);
        system.putTarget("x1", { service: "unnamed", address: "t1:80", startedAtMs: 2 });
        await until(system, () => clock.monotonicMs() >= leaseEndsAt - 220, 5);
        system.putTarget("x2", { service: "unnamed", address: "t1:80", startedAtMs: 3 });
        await until(system, () => !holder.assigners.lease.isHeld(), 5);
        const row = store.row.bind(store);
        store.row = async (table, key) => {
            const reading = await row(table, key);
            await pause(system, table === ASSIGNMENT_TABLE ? 600 : 0);
            return reading;
        };
        holder.isCut = false;
        await until(system, () => holder.assigners.lease.isHeld(), 5);
        await system.advance(3_000);
        expect(calls.violations).toEqual([]);
        system.dispose();
    });
});

/** Guards against tokens that are raised without end at an owner that answers nothing, because each of its starts counts anew. */
describe("A draining owner that answers nothing and starts again every few seconds", () => {
    it("loses its keys once its grants have ended", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        await system.advance(12_000);
        system.calls.silent.add("t1:80");
        await system.advance(2_500);
        for (let startedAtMs = 2; startedAtMs < 14; startedAtMs++) {
            system.putTarget("t1", { startedAtMs, draining: true });
            await system.advance(5_000);
        }
        expect(system.calls.violations).toEqual([]);
        expect(system.assignment?.ranges.map(({ target }) => target)).not.toContain("t1");
        expect(system.heldShare()).toBe(1);
        system.dispose();
    });
});

/** Guards against a process that isn't granted the keys of its former process, as that one's silence counts as its own. */
describe("A target that starts again after it was silent for longer than a hold", () => {
    it("has its keys without a wait for the end of its former grants", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        await system.advance(12_000);
        system.calls.silent.add("t1:80");
        await system.advance(10_000);
        expect(system.heldShare()).toBeLessThan(1);
        system.calls.silent.delete("t1:80");
        system.putTarget("t1", { startedAtMs: 2 });
        await system.advance(1_500);
        expect(system.calls.violations).toEqual([]);
        expect(system.heldShare()).toBe(1);
        system.dispose();
    });
});

/** Guards against a target that is left out for good, because an entry with another address says that it leaves. */
describe("An entry of another writer that has the start of an owner, another address, and says that it leaves", () => {
    it("doesn't keep the owner from having keys once its own entry is back", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        await system.advance(12_000);
        system.putTarget("t1", { address: "elsewhere:80", draining: true });
        await system.advance(1_000);
        system.putTarget("t1", { address: "t1:80", draining: false });
        await system.advance(60_000);
        expect(system.calls.violations).toEqual([]);
        expect(system.assignment?.ranges).toContainEqual(expect.objectContaining({ target: "t1", address: "t1:80" }));
        system.dispose();
    });
});

/** Guards against a grant that is counted for a process which has ended, although the next one at its address takes it. */
describe("A target that starts again at its address while a higher token for its keys is being recorded", () => {
    it("is waited for until the grant under that token has ended", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        await system.advance(12_000);
        const { calls, store } = system;
        calls.silent.add("t1:80");
        await system.advance(2_500);
        calls.silent.delete("t1:80");
        const transact = store.transact.bind(store);
        let isSlow = false;
        store.transact = async transaction => {
            if (!isSlow && transaction.puts.some(({ table }) => table === ASSIGNMENT_TABLE)) {
                isSlow = true;
                await pause(system, 12_000);
            }
            return transact(transaction);
        };
        system.putTarget("t1", { startedAtMs: 2, draining: true });
        await until(system, () => isSlow);
        system.putTarget("t1", { startedAtMs: 3, draining: true });
        await system.advance(25_000);
        expect(calls.violations).toEqual([]);
        expect(system.heldShare()).toBe(1);
        system.dispose();
    });
});

/**
 * Guards against an answer 200 that is taken for proof of where an owner is up. Nothing in an answer names its call, and calls to
 * two targets with one address share their connections, so it may be that of the other target to an earlier grant.
 */
describe("A target that has the address of an owner that has ended, and repeats an answer for it", () => {
    it("keeps its keys until it has released them", async () => {
        const system = new AssigningInstances(["t2", "t3"]);
        const { calls, store } = system;
        const owned = { startedAtMs: 1, address: "t1:80", fence: 1 };
        const ranges = [
            { ...owned, from: 0, to: 99, target: "t1" },
            { ...owned, from: 100, to: KEY_COUNT - 1, target: "t4", startedAtMs: 2, fence: 2 },
        ];
        // The former assigner ended before it had given all keys of `t1` to others.
        await store.transact({
            expected: [],
            puts: [
                {
                    table: ASSIGNMENT_TABLE,
                    key: SERVICE,
                    value: encodeAssignment({ service: SERVICE, fence: 2, ranges }),
                },
            ],
        });
        system.putTarget("t4", { address: "t1:80", startedAtMs: 2 });
        calls.occupants.set("t1:80", "t4");
        let sent = 0;
        // The first one is a periodic renewal, the second one asks `t1` whether it is up.
        onGrant(system, "t1", next => (++sent === 2 ? Promise.resolve({ type: "granted" }) : next()));
        system.start("a1");
        await until(system, () => sent >= 2);
        expect(system.heldShare()).toBeGreaterThan(0.9);
        await system.advance(5_000);
        expect(calls.violations).toEqual([]);
        system.dispose();
    });
});

/**
 * Guards against a hold that outlasts the record of it: a grant waits for a connection until its timeout, and then in the queue of
 * a link at which packets wait, which may take more than half a second.
 */
describe("An owner whose grants wait for a connection and then in the queue of a link", () => {
    it.each([400, 900])("keeps its keys until the last grant that reached it has ended (%d ms)", async queueMs => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        await system.advance(12_000);
        const { calls } = system;
        const grant = calls.grant.bind(calls);
        let taken = 0;
        calls.grant = async (target, keys) => {
            if (target.id !== "t1") {
                return grant(target, keys);
            }
            system.clock.setTimer(GRANT_TIMEOUT_MS - 5 + queueMs, () => {
                taken++;
                // The target's clock runs 2% slow.
                void grant(target, { ...keys, holdMs: keys.holdMs * 1.02 });
            });
            await pause(system, GRANT_TIMEOUT_MS);
            return { type: "unanswered", detail: "no answer in time" };
        };
        const isMoved = () => system.assignment?.ranges.every(({ target }) => target !== "t1") === true;
        await until(system, isMoved, 5);
        expect(taken).toBeGreaterThan(1);
        expect(calls.violations).toEqual([]);
        system.dispose();
    });
});

/** Guards against keys that stay with a former process for as long as it runs, although its target's entry names another one. */
describe("The only target of a service that starts again at another address while its former process still answers", () => {
    it("gets the keys of its former process", async () => {
        const system = new AssigningInstances(["t1"]);
        system.start("a1");
        await system.advance(12_000);
        expect(system.heldShare()).toBe(1);
        system.putTarget("t1", { startedAtMs: 2, address: "elsewhere:80" });
        await system.advance(60_000);
        expect(system.calls.violations).toEqual([]);
        expect(system.assignment?.ranges.map(({ address }) => address)).toEqual(["elsewhere:80"]);
        system.dispose();
    });
});

/** Guards against a move that never ends, and against grants of it that put off the end of the receiver's other grants. */
describe("A target that answers nothing while its entry is there", () => {
    it("loses its keys although others are being moved to it", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        await system.advance(12_000);
        const { calls } = system;
        const release = calls.release.bind(calls);
        calls.release = async (target, keys) => {
            const reply = await release(target, keys);
            if (target.id === "t3") {
                // Work on the keys of the draining target ends, and a part of them goes to `t1`.
                await pause(system, 300);
                calls.silent.add("t1:80");
            }
            return reply;
        };
        system.putTarget("t3", { draining: true });
        await until(system, () => calls.silent.has("t1:80"));
        await system.advance(60_000);
        expect(calls.violations).toEqual([]);
        expect(system.heldShare()).toBe(1);
        system.dispose();
    });

    it("doesn't keep keys of sound targets that are moved to it after it has lost its own", async () => {
        const system = new AssigningInstances(["t1", "t2", "t3"]);
        system.start("a1");
        await system.advance(12_000);
        system.calls.silent.add("t1:80");
        await system.advance(60_000);
        expect(system.calls.violations).toEqual([]);
        expect(system.heldShare()).toBe(1);
        system.dispose();
    });
});
