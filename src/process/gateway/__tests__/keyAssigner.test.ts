import { entryOf } from "../../../../test/support/assigningInstances.js";
import { GrantedTargets } from "../../../../test/support/grantedTargets.js";
import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { MemoryRowStore } from "../../../../test/support/memoryRowStore.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { leaseKey, LEASE_TABLE } from "../assignerLease.js";
import { ASSIGNMENT_TABLE, KeyAssigner } from "../keyAssigner.js";
import { KEY_COUNT, type KeyAssignment } from "../keyMap.js";
import type { DirectoryTarget } from "../targetDirectory.js";
import { TargetIntake } from "../targetIntake.js";

const HOLD_MS = 10_000;

const listed = (id: string, startedAtMs = 1): DirectoryTarget => ({
    entry: entryOf(id, startedAtMs),
    usable: true,
    gone: false,
    claimed: false,
    seenAt: 0,
    intake: new TargetIntake(),
});

/** The targets of the running test. */
const usedTargets: GrantedTargets[] = [];

const createFixture = async (ids: string[]) => {
    const store = new MemoryRowStore();
    const clock = new ManualClock();
    store.put(LEASE_TABLE, leaseKey(0), { instance: "a1", incarnation: "a1", renewal: 1 });
    const leaseRow = (await store.row(LEASE_TABLE, leaseKey(0)))._unsafeUnwrap();
    const row = { table: LEASE_TABLE, key: leaseKey(0), version: leaseRow.row?.version ?? 0 };
    const lease = { held: true, isHeld: () => lease.held, proof: { era: 0, row }, otherGrantsEndAt: () => -Infinity };
    const calls = new GrantedTargets(clock);
    usedTargets.push(calls);
    let targets = ids.map(id => listed(id));
    /** Pressure of targets by identifier, and load of all keys. */
    const load = { pressure: new Map<string, number>(), weights: new Float64Array(KEY_COUNT).fill(1) };
    const others: DirectoryTarget[] = [];
    const create = () =>
        new KeyAssigner({
            service: "stock",
            store,
            calls,
            clock,
            logger: SILENT_LOGGER,
            lease,
            targets: () => targets,
            allTargets: () => [...targets, ...others],
            measure: ({ entry: { id } }) => ({ capacity: 1, pressure: load.pressure.get(id) ?? 0 }),
            weights: () => load.weights,
            leavingStated: target => {
                target.intake.stateLeaving(clock);
                target.usable = false;
            },
            addressLost: target => {
                targets = targets.filter(other => other !== target);
            },
            holdMs: HOLD_MS,
        });
    const assignment = () => store.read(ASSIGNMENT_TABLE, "stock") as KeyAssignment;
    return {
        store,
        clock,
        lease,
        calls,
        create,
        assignment,
        owners: () => new Set(assignment().ranges.map(({ target }) => target)),
        targets: () => targets,
        load,
        others,
        setTargets: (next: DirectoryTarget[]) => {
            targets = next;
        },
    };
};

describe("KeyAssigner", () => {
    afterEach(() => {
        expect(usedTargets.splice(0).flatMap(({ violations }) => violations)).toEqual([]);
    });

    it("assigns all keys once the targets have registered", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        expect(fixture.owners()).toEqual(new Set(["t1", "t2"]));
    });

    it("releases the keys of a leaving target before another one is granted them", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        const [first, second] = fixture.targets();
        first.entry = { ...first.entry, draining: true };
        first.usable = false;
        await advanceInSteps(fixture.clock, 2_000);
        expect(fixture.owners()).toEqual(new Set([second.entry.id]));
        expect(fixture.calls.log.some(line => line.startsWith("release t1:80"))).toBe(true);
    });

    it("relieves an overloaded target while another one doesn't answer a release", async () => {
        const fixture = await createFixture(["t1", "t2", "t3", "t4"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        const [silent, busy] = fixture.assignment().ranges;
        fixture.load.weights.fill(60, silent.from + 100, silent.from + 300);
        fixture.load.pressure.set(silent.target, 3);
        fixture.calls.silent.add(`${silent.target}:80`);
        await advanceInSteps(fixture.clock, 1_000);
        fixture.load.weights.fill(60, busy.from + 100, busy.from + 300);
        fixture.load.pressure.set(busy.target, 3);
        await advanceInSteps(fixture.clock, 2_000);
        const releases = (id: string) => fixture.calls.log.filter(line => line.startsWith(`release ${id}:80`)).length;
        expect(releases(silent.target)).toBe(0);
        expect(releases(busy.target)).toBeGreaterThan(0);
    });

    it("moves the keys of a target that states in its answers to renewals that it leaves, whatever its entry says", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        fixture.calls.leaving.add("t1:80");
        // Until the next renewal, the move and its grant.
        await advanceInSteps(fixture.clock, 2_000);
        expect(fixture.targets()[0].entry.draining).toBe(false);
        expect(fixture.owners()).toEqual(new Set(["t2"]));
        expect(fixture.assignment().ranges.some(({ handover }) => handover === "state-t1:80")).toBe(true);
        expect(fixture.calls.log.some(line => line.startsWith("release t1:80"))).toBe(true);
    });

    it("waits until the grants of a silent target without an entry have expired", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        fixture.calls.silent.add("t1:80");
        fixture.setTargets(fixture.targets().slice(1));
        // `afterEach` fails when keys are granted while the silent target still holds them.
        await advanceInSteps(fixture.clock, HOLD_MS - 2_000);
        expect(fixture.owners()).toEqual(new Set(["t1", "t2"]));
        await advanceInSteps(fixture.clock, 7_000);
        expect(fixture.owners()).toEqual(new Set(["t2"]));
    });

    it("prevents late grants from taking effect after the keys were released", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        fixture.calls.grantDelayMs = 4_000;
        await advanceInSteps(fixture.clock, 2_000);
        fixture.calls.grantDelayMs = 0;
        const [first, second] = fixture.targets();
        first.entry = { ...first.entry, draining: true };
        first.usable = false;
        // `afterEach` fails when a late renewal grants the first target keys that the second one holds.
        await advanceInSteps(fixture.clock, 8_000);
        expect(fixture.owners()).toEqual(new Set([second.entry.id]));
    });

    it("reassigns the keys of a restarted target at once, with a higher fencing token", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        const before = fixture.assignment().fence;
        fixture.calls.held.set("t1:80", []);
        fixture.setTargets([listed("t1", 2), fixture.targets()[1]]);
        await advanceInSteps(fixture.clock, 1_500);
        const { fence, ranges } = fixture.assignment();
        expect(fence).toBeGreaterThan(before);
        expect(ranges.some(({ target, startedAtMs }) => target === "t1" && startedAtMs === 1)).toBe(false);
    });

    /** A target that started after the owner `t1` and whose entry names its address. */
    const claimant = (service: string): DirectoryTarget => {
        const other = listed("other", 2);
        other.entry = { ...other.entry, service, address: "t1:80" };
        return other;
    };

    it("reassigns keys at once if another target answers at their owner's address", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        fixture.calls.occupants.set("t1:80", "other");
        fixture.calls.held.set("t1:80", []);
        fixture.others.push(claimant("orders"));
        // The entry of the former process has no time to expire.
        await advanceInSteps(fixture.clock, 600);
        expect(fixture.owners()).toEqual(new Set(["t2"]));
    });

    it.each([
        ["of a service that no config names", "unnamed", "listed"],
        ["of the owner's service", "stock", "listed"],
        ["of a service that no config names, while the owner has no entry", "unnamed", "gone"],
        ["of the owner's service, while the owner doesn't answer", "stock", "silent"],
    ])("guards against a second owner because of an entry with the owner's address, %s", async (_, service, state) => {
        const fixture = await createFixture(["t1", "t2", "t3"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        const before = fixture.assignment();
        // The process of `t1` runs all the while.
        fixture.calls.occupants.set("t1:80", "t1");
        if (state === "silent") {
            fixture.calls.silent.add("t1:80");
        }
        if (state === "gone") {
            fixture.setTargets(fixture.targets().slice(1));
        }
        if (service === "stock") {
            fixture.setTargets([...fixture.targets(), claimant(service)]);
        } else {
            fixture.others.push(claimant(service));
        }
        // `afterEach` fails when two targets hold the same keys.
        await advanceInSteps(fixture.clock, 6_000);
        if (state === "listed") {
            expect(fixture.assignment()).toEqual(before);
        }
        if (state === "silent") {
            expect(fixture.owners()).toContain("t1");
        }
    });

    it("doesn't ask an owner again and again whose address another entry names", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        const renewals = () => fixture.calls.log.filter(line => line.startsWith("grant t1:80")).length;
        const count = async () => {
            const before = renewals();
            await advanceInSteps(fixture.clock, 6_000);
            return renewals() - before;
        };
        const usual = await count();
        fixture.others.push(claimant("orders"));
        expect(await count()).toBeLessThanOrEqual(usual + 1);
    });

    it("renews the grants of a former assigner under the same fencing token", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        const first = fixture.create();
        void first.start();
        await advanceInSteps(fixture.clock, 5_000);
        const before = fixture.assignment();
        first.dispose();
        fixture.calls.log.length = 0;
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 3_000);
        expect(fixture.assignment()).toEqual(before);
        expect(fixture.calls.log.length).toBeGreaterThan(0);
        expect(fixture.calls.log.every(line => line.startsWith("grant"))).toBe(true);
    });

    it("grants nothing without the lease", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        fixture.lease.held = false;
        fixture.calls.log.length = 0;
        await advanceInSteps(fixture.clock, 5_000);
        expect(fixture.calls.log).toEqual([]);
    });

    it("recognizes a commit whose answer was lost instead of assigning the keys twice", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 2_500);
        fixture.store.fault = "answer-lost";
        await advanceInSteps(fixture.clock, 1_500);
        fixture.store.fault = undefined;
        await advanceInSteps(fixture.clock, 1_500);
        expect(fixture.owners()).toEqual(new Set(["t1", "t2"]));
        expect(fixture.assignment().fence).toBe(1);
    });
});
