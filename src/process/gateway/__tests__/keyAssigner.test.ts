import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { MemoryRowStore } from "../../../../test/support/memoryRowStore.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { LEASE_KEY, LEASE_TABLE } from "../assignerLease.js";
import { ASSIGNMENT_TABLE, KeyAssigner } from "../keyAssigner.js";
import { KEY_COUNT, type KeyAssignment } from "../keyMap.js";
import type { CalledTarget, GrantReply, OwnershipCalls, ReleaseReply } from "../ownershipCalls.js";
import type { DirectoryTarget } from "../targetDirectory.js";

const HOLD_MS = 10_000;

/** Stand-in for targets that keep granted keys like those of the bench. */
class GrantedTargets implements OwnershipCalls {
    /** Granted ranges with the time at which they expire, by address. */
    readonly held = new Map<string, { from: number; to: number; fence: number; until: number }[]>();
    readonly silent = new Set<string>();
    readonly log: string[] = [];

    constructor(private readonly clock: ManualClock) {}

    grant(
        { address }: CalledTarget,
        grant: { from: number; to: number; fence: number; holdMs: number },
    ): Promise<GrantReply> {
        if (this.silent.has(address)) {
            return Promise.resolve({ type: "unanswered", detail: "silent" });
        }
        if (this.grantDelayMs > 0) {
            const arrivedAt = this.clock.monotonicMs();
            this.clock.setTimer(this.grantDelayMs, () => this.apply(address, grant, arrivedAt));
            return Promise.resolve({ type: "unanswered", detail: "delayed" });
        }
        return Promise.resolve(this.apply(address, grant, this.clock.monotonicMs()));
    }

    /** While this is above 0, grants get no answer and take effect after this delay in milliseconds. */
    grantDelayMs = 0;
    private readonly seenFences = new Map<string, { from: number; to: number; fence: number }[]>();

    private apply(
        address: string,
        grant: { from: number; to: number; fence: number; holdMs: number },
        arrivedAt: number,
    ): GrantReply {
        const seen = this.seenFences.get(address) ?? [];
        if (seen.some(({ from, to, fence }) => from <= grant.to && grant.from <= to && fence > grant.fence)) {
            return { type: "outdated" };
        }
        this.seenFences.set(address, [...seen, grant]);
        this.log.push(`grant ${address} ${grant.from} ${grant.to} ${grant.fence}`);
        const others = [...this.held].filter(([other]) => other !== address).flatMap(([, grants]) => grants);
        const now = this.clock.monotonicMs();
        const overlap = others.find(held => held.from <= grant.to && grant.from <= held.to && held.until > now);
        if (overlap !== undefined) {
            throw new Error(`two owners of ${grant.from} to ${grant.to} at ${now}`);
        }
        const kept = this.without(address, grant);
        this.held.set(address, [...kept, { ...grant, until: arrivedAt + grant.holdMs }]);
        return { type: "granted" };
    }

    release({ address }: CalledTarget, keys: { from: number; to: number; fence: number }): Promise<ReleaseReply> {
        if (this.silent.has(address)) {
            return Promise.resolve({ type: "unanswered", detail: "silent" });
        }
        this.log.push(`release ${address} ${keys.from} ${keys.to}`);
        this.held.set(address, this.without(address, keys));
        return Promise.resolve({ type: "released", handover: `state-${address}` });
    }

    private without(address: string, keys: { from: number; to: number }) {
        return (this.held.get(address) ?? []).flatMap(held =>
            held.to < keys.from || held.from > keys.to
                ? [held]
                : [
                      { ...held, to: keys.from - 1 },
                      { ...held, from: keys.to + 1 },
                  ].filter(({ from, to }) => from <= to),
        );
    }
}

const listed = (id: string, startedAtMs = 1): DirectoryTarget => ({
    entry: {
        id,
        service: "stock",
        address: `${id}:80`,
        domain: "linz",
        slots: 6,
        draining: false,
        warmupLeftMs: 0,
        startedAtMs,
    },
    usable: true,
    gone: false,
    seenAt: 0,
});

const createFixture = async (ids: string[]) => {
    const store = new MemoryRowStore();
    const clock = new ManualClock();
    store.put(LEASE_TABLE, LEASE_KEY, { instance: "a1", incarnation: "a1", renewal: 1 });
    const leaseRow = (await store.row(LEASE_TABLE, LEASE_KEY))._unsafeUnwrap();
    const lease = { held: true, isHeld: () => lease.held, version: leaseRow.row?.version ?? 0 };
    const calls = new GrantedTargets(clock);
    let targets = ids.map(id => listed(id));
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
            measure: () => ({ capacity: 1, pressure: 0 }),
            weights: () => new Float64Array(KEY_COUNT).fill(1),
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
        others,
        setTargets: (next: DirectoryTarget[]) => {
            targets = next;
        },
    };
};

describe("KeyAssigner", () => {
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

    it("waits until the grants of a silent target without an entry have expired", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        fixture.calls.silent.add("t1:80");
        fixture.setTargets(fixture.targets().slice(1));
        // GrantedTargets throws when keys are granted while the silent target still holds them.
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
        // GrantedTargets throws when a late renewal grants the first target keys that the second one holds.
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

    it("reassigns keys at once if their owner's address belongs to a target of another service", async () => {
        const fixture = await createFixture(["t1", "t2"]);
        void fixture.create().start();
        await advanceInSteps(fixture.clock, 5_000);
        fixture.calls.silent.add("t1:80");
        fixture.calls.held.set("t1:80", []);
        const successor = listed("other", 2);
        successor.entry = { ...successor.entry, service: "orders", address: "t1:80" };
        fixture.others.push(successor);
        fixture.setTargets(fixture.targets().slice(1));
        await advanceInSteps(fixture.clock, 1_500);
        expect(fixture.owners()).toEqual(new Set(["t2"]));
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
