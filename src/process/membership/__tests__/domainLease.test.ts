import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { DomainLease } from "../domainLease.js";

const PROMISE_MS = 1_200;
/** Only two members: each further one adds promises that the lease needs, which hides a fault in a single promise. */
const MEMBERS = ["a", "b"];

type Step =
    | { type: "pass"; ms: number }
    | { type: "send"; from: number; to: number }
    | { type: "deliver"; index: number }
    | { type: "reply"; index: number }
    | { type: "withhold"; by: number; from: number };

const member = fc.integer({ min: 0, max: MEMBERS.length - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
    { weight: 20, arbitrary: fc.record({ type: fc.constant("pass" as const), ms: fc.integer({ min: 1, max: 700 }) }) },
    { weight: 20, arbitrary: fc.record({ type: fc.constant("send" as const), from: member, to: member }) },
    { weight: 20, arbitrary: fc.record({ type: fc.constant("deliver" as const), index: fc.nat(9) }) },
    { weight: 20, arbitrary: fc.record({ type: fc.constant("reply" as const), index: fc.nat(9) }) },
    // No promises are given after a withhold, so frequent ones would leave little of a schedule to test.
    { weight: 1, arbitrary: fc.record({ type: fc.constant("withhold" as const), by: member, from: member }) },
);

/** Members of a domain whose heartbeats and replies can be delayed and reordered arbitrarily. */
class Domain {
    readonly clock = new ManualClock();
    readonly leases = MEMBERS.map(() => new DomainLease(this.clock, PROMISE_MS));
    private readonly heartbeats: { from: number; to: number; sequence: number }[] = [];
    private readonly replies: { from: number; to: number; sequence: number; promiseMs: number }[] = [];
    private readonly withheld = new Set<string>();
    private sequence = 0;

    constructor() {
        this.leases.forEach((lease, self) =>
            lease.setMembers(
                MEMBERS.filter((_, index) => index !== self),
                true,
            ),
        );
    }

    take(next: Step): void {
        switch (next.type) {
            case "pass":
                this.clock.advance(next.ms);
                return;
            case "send":
                if (next.from !== next.to) {
                    this.sequence++;
                    this.leases[next.from].heartbeatSent(MEMBERS[next.to], this.sequence);
                    this.heartbeats.push({ from: next.from, to: next.to, sequence: this.sequence });
                }
                return;
            case "deliver": {
                const [heartbeat] = this.heartbeats.splice(next.index % Math.max(1, this.heartbeats.length), 1);
                if (heartbeat !== undefined) {
                    const promiseMs = this.leases[heartbeat.to].promise(MEMBERS[heartbeat.from]);
                    this.replies.push({ ...heartbeat, promiseMs });
                }
                return;
            }
            case "reply": {
                const [reply] = this.replies.splice(next.index % Math.max(1, this.replies.length), 1);
                if (reply !== undefined) {
                    this.leases[reply.from].promiseReceived(MEMBERS[reply.to], reply.sequence, reply.promiseMs);
                }
                return;
            }
            case "withhold":
                if (next.by !== next.from) {
                    this.leases[next.by].withhold(MEMBERS[next.from]);
                    this.withheld.add(`${next.by} ${next.from}`);
                }
        }
    }

    /** Pairs of members of which one may take over from the other while the other's lease is still valid. */
    conflicts(): string[] {
        const now = this.clock.monotonicMs();
        return [...this.withheld].filter(pair => {
            const [by, from] = pair.split(" ").map(Number);
            const promisedUntil = this.leases[by].promisedUntil(MEMBERS[from]);
            const mayTakeOver = promisedUntil === undefined || promisedUntil <= now;
            return mayTakeOver && this.leases[from].validUntil() > now;
        });
    }
}

describe("DomainLease", () => {
    test("guards against a takeover while the old dispatcher's lease is valid, whatever is delayed or reordered", () => {
        fc.assert(
            fc.property(fc.array(step, { minLength: 1, maxLength: 120, size: "max" }), steps => {
                const domain = new Domain();
                for (const next of steps) {
                    domain.take(next);
                    expect(domain.conflicts()).toEqual([]);
                }
            }),
            { seed: 20, numRuns: 400 },
        );
    });

    test("guards against a lease measured from the arrival of a promise instead of the sending of the heartbeat", () => {
        const clock = new ManualClock();
        const lease = new DomainLease(clock, PROMISE_MS);
        lease.setMembers(["b"], true);
        expect(lease.validUntil()).toBe(-Infinity);
        lease.heartbeatSent("b", 1);
        clock.advance(500);
        lease.promiseReceived("b", 1, PROMISE_MS);
        expect(lease.validUntil()).toBe(PROMISE_MS);
    });

    test("guards against a gap in the lease when a member joins, and against counting one that was removed", () => {
        const clock = new ManualClock();
        const lease = new DomainLease(clock, PROMISE_MS);
        lease.setMembers(["b"], true);
        lease.heartbeatSent("b", 1);
        lease.promiseReceived("b", 1, PROMISE_MS);
        lease.setMembers(["b", "c"], false);
        expect(lease.counts("c")).toBe(false);
        expect(lease.validUntil()).toBe(PROMISE_MS);
        lease.heartbeatSent("c", 2);
        lease.promiseReceived("c", 2, PROMISE_MS);
        expect(lease.counts("c")).toBe(true);
        lease.setMembers(["c"], false);
        clock.advance(PROMISE_MS + 1);
        expect(lease.validUntil()).toBe(PROMISE_MS);
        lease.setMembers([], false);
        expect(lease.validUntil()).toBe(Infinity);
    });

    test("guards against a majority that leaves out this instance or counts one promise twice", () => {
        const clock = new ManualClock();
        const lease = new DomainLease(clock, PROMISE_MS);
        lease.setMembers(["b", "c", "d"], true);
        lease.heartbeatSent("b", 1);
        lease.promiseReceived("b", 1, PROMISE_MS);
        lease.heartbeatSent("b", 2);
        lease.promiseReceived("b", 2, PROMISE_MS);
        expect(lease.majorityUntil()).toBe(-Infinity);
        clock.advance(100);
        lease.heartbeatSent("c", 3);
        lease.promiseReceived("c", 3, PROMISE_MS);
        expect(lease.majorityUntil()).toBe(PROMISE_MS);
    });
});
