import { describe, expect, test } from "@jest/globals";
import { MembershipDomain } from "../../../../test/support/membershipDomain.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { DomainLease } from "../domainLease.js";
import { DEFAULT_OBSERVERS, isLargeDomain, observersOf, subjectsOf } from "../observers.js";
import { LeaseDependents } from "../leaseDependents.js";
import { ManualClock } from "../../../../test/support/manualClock.js";

const names = (count: number) => Array.from({ length: count }, (_, index) => `a${index + 1}.${index}`);

describe("observersOf", () => {
    test("guards against members of a small domain that don't all observe each other", () => {
        for (let count = 1; count <= DEFAULT_OBSERVERS + 1; count++) {
            const members = names(count);
            expect(isLargeDomain(count)).toBe(false);
            for (const member of members) {
                expect(observersOf(member, members).sort()).toEqual(members.filter(other => other !== member).sort());
            }
        }
    });

    test("guards against a number of observers that grows with the domain, and against observers that change when another member leaves", () => {
        const members = names(83);
        const before = new Map(members.map(member => [member, observersOf(member, members)]));
        const left = members.slice(1);
        for (const member of left) {
            const observers = before.get(member) ?? [];
            expect(observers).toHaveLength(DEFAULT_OBSERVERS);
            if (!observers.includes(members[0])) {
                expect(observersOf(member, left)).toEqual(observers);
            }
        }
        const subjects = members.map(member => subjectsOf(member, members).length);
        expect(subjects.reduce((sum, count) => sum + count, 0)).toBe(members.length * DEFAULT_OBSERVERS);
    });
});

describe("LeaseDependents", () => {
    test("guards against an earlier heartbeat of a replaced stream that reverts an acknowledged report", () => {
        const dependents = new LeaseDependents();
        expect(dependents.includes("b")).toBeUndefined();
        dependents.record("b", 3, true);
        dependents.record("b", 5, false);
        dependents.record("b", 4, true);
        expect(dependents.includes("b")).toBe(false);
    });
});

describe("DomainLease with observers", () => {
    const exchange = (lease: DomainLease, sequence: number, promiseMs = 1_200) => {
        lease.heartbeatSent("b", sequence);
        lease.promiseReceived("b", sequence, promiseMs);
    };

    test("guards against a lease that stops counting a former observer before its acknowledgement, or while it is about to take over", () => {
        const lease = new DomainLease(new ManualClock(), 1_200);
        lease.setMembers(["b", "c"], true, ["b"]);
        exchange(lease, 1);
        lease.heartbeatSent("b", 2);
        lease.setMembers(["b", "c"], false, []);
        lease.promiseReceived("b", 2, 1_200);
        expect(lease.countedMembers()).toEqual(["b"]);
        exchange(lease, 3, 0);
        expect(lease.countedMembers()).toEqual(["b"]);
        exchange(lease, 4);
        expect(lease.countedMembers()).toEqual([]);
        expect(lease.validUntil()).toBe(Infinity);
    });

    test("guards against accepting the reply to a heartbeat from before the member was counted as an acknowledgement", () => {
        const lease = new DomainLease(new ManualClock(), 1_200);
        lease.setMembers([], true);
        lease.setMembers(["b"], false);
        lease.heartbeatSent("b", 1);
        lease.heartbeatSent("b", 2);
        lease.promiseReceived("b", 1, 1_200);
        lease.heartbeatSent("b", 3);
        lease.setMembers(["b"], false, []);
        lease.promiseReceived("b", 2, 1_200);
        expect(lease.countedMembers()).toEqual(["b"]);
    });
});

/** Runs a domain with random faults from a seed, then without faults for long enough to converge. */
const runSchedule = async (seed: number): Promise<MembershipDomain> => {
    const random = seededRandom(seed);
    const domain = new MembershipDomain(random);
    const pick = <Value>(values: readonly Value[]) => values[Math.floor(random() * values.length)];
    for (let index = 1; index <= 9; index++) {
        domain.add(`a${index}`);
        await domain.run(200);
    }
    await domain.run(3_000);
    let cuts: { isCut: (from: string, to: string) => boolean; until: number }[] = [];
    domain.isPartitioned = (from, to) => cuts.some(cut => cut.isCut(from, to));
    for (let event = 0; event < 16; event++) {
        const now = domain.clock.monotonicMs();
        cuts = cuts.filter(({ until }) => until > now);
        domain.members.forEach(member => {
            member.reachesPlatform ||= random() < 0.3;
        });
        const kind = random();
        const victim = pick(domain.living());
        if (kind < 0.15 && domain.living().length > 5) {
            domain.kill(victim);
        } else if (kind < 0.35) {
            domain.add(`b${event}`);
        } else if (kind < 0.55) {
            const group = new Set(
                domain
                    .living()
                    .filter(() => random() < 0.4)
                    .map(({ instance }) => instance),
            );
            const until = now + 900 + random() * 2_500;
            cuts.push({ isCut: (from, to) => group.has(from) !== group.has(to), until });
            if (random() < 0.5) {
                domain.members
                    .filter(({ instance }) => group.has(instance))
                    .forEach(member => (member.reachesPlatform = false));
            }
        } else if (kind < 0.75) {
            const isOneSided = random() < 0.5;
            const { instance } = victim;
            const until = now + 900 + random() * 1_500;
            cuts.push({ isCut: (from, to) => from === instance || (!isOneSided && to === instance), until });
        } else if (kind < 0.85) {
            victim.reachesPlatform = false;
        } else {
            domain.delayMs = pick([20, 100, 400]);
            const latencyMs = pick([20, 200, 1_000]);
            domain.table.latencyMs = () => Math.floor(random() * latencyMs);
            domain.table.postponesMs = () => (random() < 0.1 ? random() * 3_000 : undefined);
        }
        await domain.run(200 + random() * 1_500);
    }
    cuts = [];
    domain.delayMs = 50;
    domain.table.latencyMs = () => 20;
    domain.table.postponesMs = () => undefined;
    domain.members.forEach(member => (member.reachesPlatform = true));
    await domain.run(20_000);
    return domain;
};

describe("membership with observers", () => {
    test("guards against a lease that becomes valid again when the observer that removed this member is removed itself", async () => {
        const domain = new MembershipDomain(seededRandom(1));
        for (let index = 1; index <= 9; index++) {
            domain.add(`a${index}`);
        }
        await domain.run(6_000);
        const [member] = domain.members;
        const observer = member.membership.observersOf(member.incarnation)[0];
        const goneKey = `member/d1/${observer.slice(0, observer.lastIndexOf("."))}`;
        // The member learns from a peer that the observer was removed, and can't read its own row from the table.
        member.reachesPlatform = false;
        const version = domain.table.all().reduce((highest, row) => Math.max(highest, row.version), 0) + 1;
        member.replica.apply([{ key: goneKey, version, value: undefined }]);
        await domain.run(400);
        expect(member.lease.countedMembers()).toContain(observer);
        // The table's revision is past the observer's removal, and the member's row still exists.
        void domain.table.transact([], [{ key: "bundle/x", value: {} }]);
        member.reachesPlatform = true;
        await domain.run(600);
        expect(member.membership.isRegistered()).toBe(true);
        expect(member.lease.countedMembers()).not.toContain(observer);
    });

    test("guards against not counting a member whose version acts on the silence of any other member", async () => {
        const domain = new MembershipDomain(seededRandom(2));
        for (let index = 1; index <= 9; index++) {
            domain.add(`a${index}`);
        }
        const row = {
            instance: "old",
            domain: "d1",
            incarnation: "old.1",
            peerAddress: "127.0.0.1:1",
            state: "active",
        };
        void domain.table.transact([], [{ key: "member/d1/old", value: row }]);
        await domain.run(2_000);
        for (const { lease } of domain.members) {
            expect(lease.receivers()).toContain("old.1");
        }
    });

    test.each(Array.from({ length: 12 }, (_, index) => index + 1))(
        "guards against a removed member that holds its lease, and against members that stay dead, joining or without a lease (seed %i)",
        async seed => {
            const domain = await runSchedule(seed);
            expect(domain.violations).toEqual([]);
            const living = domain.living();
            expect(domain.registered().sort()).toEqual(living.map(({ incarnation }) => incarnation).sort());
            expect(living.filter(({ membership }) => !membership.isActive())).toEqual([]);
            const now = domain.clock.monotonicMs();
            expect(living.filter(({ lease }) => lease.validUntil() <= now)).toEqual([]);
        },
    );
});
