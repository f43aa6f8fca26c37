import { DomainLease } from "../../src/process/membership/domainLease.js";
import type { Logger } from "../../src/process/observability/logger.js";
import { Membership } from "../../src/process/membership/membership.js";
import { observersOf } from "../../src/process/membership/observers.js";
import type { Peers } from "../../src/process/membership/peers.js";
import type { VersionedRow } from "../../src/process/store/rows.js";
import { REPLICATED_PREFIXES, TableReplica } from "../../src/process/store/tableReplica.js";
import { ManualClock } from "./manualClock.js";
import { MemoryTable } from "./memoryPlatform.js";

const PROMISE_MS = 1_200;
const SUSPICION_MS = 800;
const STEP_MS = 50;
const HEARTBEAT_MS = 200;
const DOMAIN = "d1";
/** Time after which a dead instance disappears from the platform's instance list, in milliseconds. */
const LIST_LAG_MS = 1_500;

const silentLogger = { debug() {}, info() {}, warn() {}, error() {} } as unknown as Logger;

type Message =
    | { type: "heartbeat"; sequence: number; countsReceiver: boolean; meantFor: string }
    | { type: "reply"; sequence: number; promiseMs: number }
    | { type: "rows"; rows: readonly VersionedRow[] };

interface Contact {
    sequence: number;
    lastReceivedAt: number | undefined;
    expectedSince: number;
    countedAt: number | undefined;
}

/** One instance: it uses the product's membership and lease; its links are timers of the simulated network. */
export class SimulatedMember {
    readonly replica = new TableReplica();
    readonly lease: DomainLease;
    readonly membership: Membership;
    readonly contacts = new Map<string, Contact>();
    alive = true;
    reachesPlatform = true;
    private complete = 0;

    constructor(
        readonly instance: string,
        private readonly network: MembershipDomain,
    ) {
        const { clock, table } = network;
        this.lease = new DomainLease(clock, PROMISE_MS);
        const failing = <Value>(call: () => Promise<Value>) =>
            this.reachesPlatform && this.alive ? call() : network.failure<Value>();
        const peers = {
            pushRows: (rows: readonly VersionedRow[]) => this.push(rows),
            silenceMs: (incarnation: string) => this.silenceMs(incarnation),
            controlLink: (incarnation: string) => ({
                ask: (_kind: string, asked: string) =>
                    new Promise<string | undefined>(resolve => {
                        network.ask(this, incarnation, member => resolve(String(member.membership.isMember(asked))));
                        clock.setTimer(1_000, () => resolve(undefined));
                    }),
            }),
        };
        this.membership = new Membership({
            instance,
            domain: DOMAIN,
            peerAddress: () => "127.0.0.1:1",
            newIncarnation: name => `${name}.${network.nextIncarnation()}`,
            clock,
            table: {
                scan: prefix => failing(() => table.scan(prefix)),
                read: keys => failing(() => table.read(keys)),
            },
            transact: (conditions, writes) => failing(() => table.transact(conditions, writes)),
            replica: this.replica,
            lease: this.lease,
            peers: () => peers as unknown as Peers,
            log: silentLogger,
            suspicionMs: SUSPICION_MS,
            minorityWaitMs: 1_000,
            goneWaitMs: () => PROMISE_MS + 1_000,
            listedLive: () => network.listedLive(),
            changed: () => undefined,
        });
        this.replica.onChange(changed => this.membership.replicaChanged(changed));
    }

    get incarnation(): string {
        return this.membership.identity().incarnation;
    }

    /** Members that receive heartbeats, by the same rule as in `Peers`. */
    receivers(): Set<string> {
        const own = this.replica.members(DOMAIN).map(({ value }) => value.incarnation);
        const wanted = new Set([
            ...observersOf(this.incarnation, own),
            ...this.lease.receivers(),
            ...this.membership.unconfirmedSubjects(),
        ]);
        const present = new Set(own);
        return new Set([...wanted].filter(other => present.has(other) && other !== this.incarnation));
    }

    sendHeartbeats(): void {
        const now = this.network.clock.monotonicMs();
        const receivers = this.receivers();
        for (const other of receivers) {
            const contact = this.contactOf(other);
            if (contact.expectedSince === Infinity) {
                contact.expectedSince = now;
                contact.lastReceivedAt = undefined;
            }
            contact.sequence++;
            this.lease.heartbeatSent(other, contact.sequence);
            const countsReceiver = this.lease.counts(other);
            this.network.send(this, other, {
                type: "heartbeat",
                sequence: contact.sequence,
                countsReceiver,
                meantFor: other,
            });
        }
        for (const [other, contact] of this.contacts) {
            if (!receivers.has(other)) {
                contact.expectedSince = Infinity;
            }
        }
    }

    receive(from: string, message: Message): void {
        if (message.type === "rows") {
            const changed = this.replica.apply(message.rows);
            if (changed.length > 0) {
                this.push(changed);
            }
        } else if (message.type === "heartbeat") {
            const isMember = this.membership.members().some(({ incarnation }) => incarnation === from);
            if (isMember && message.meantFor === this.incarnation) {
                this.membership.recordLeaseDependency(from, message.sequence, message.countsReceiver);
                const now = this.network.clock.monotonicMs();
                this.contactOf(from).countedAt = message.countsReceiver ? now : undefined;
            }
            const promiseMs = isMember && this.membership.isRegistered() ? this.lease.promise(from) : 0;
            this.network.send(this, from, { type: "reply", sequence: message.sequence, promiseMs });
        } else {
            this.contactOf(from).lastReceivedAt = this.network.clock.monotonicMs();
            this.lease.promiseReceived(from, message.sequence, message.promiseMs);
        }
    }

    async poll(): Promise<void> {
        if (!this.reachesPlatform) {
            return;
        }
        const answer = await this.network.table.changes(this.complete, REPLICATED_PREFIXES);
        if (answer.isOk()) {
            const changed = this.replica.apply(answer.value.rows);
            this.complete = Math.max(this.complete, answer.value.revision);
            this.push(changed);
        }
    }

    private push(rows: readonly VersionedRow[]): void {
        if (rows.length > 0) {
            this.receivers().forEach(other => this.network.send(this, other, { type: "rows", rows }));
        }
    }

    private silenceMs(incarnation: string): number | undefined {
        const contact = this.contacts.get(incarnation);
        const now = this.network.clock.monotonicMs();
        if (contact !== undefined && contact.expectedSince !== Infinity) {
            return now - (contact.lastReceivedAt ?? contact.expectedSince);
        }
        return contact?.countedAt === undefined ? undefined : now - contact.countedAt;
    }

    private contactOf(incarnation: string): Contact {
        const none = { sequence: 0, lastReceivedAt: undefined, expectedSince: Infinity, countedAt: undefined };
        const contact = this.contacts.get(incarnation) ?? none;
        this.contacts.set(incarnation, contact);
        return contact;
    }
}

/**
 * A domain of simulated members that share an in-memory table, in which messages are delayed, reordered and lost. It
 * records each time at which a removed member still held its lease.
 *
 * @example
 * const domain = new MembershipDomain(random);
 * domain.add("a1");
 * await domain.run(5_000);
 * expect(domain.violations).toEqual([]);
 */
export class MembershipDomain {
    readonly clock = new ManualClock();
    readonly table = new MemoryTable(this.clock);
    readonly members: SimulatedMember[] = [];
    readonly violations: string[] = [];
    /** Maximum delay of a message, in milliseconds. */
    delayMs = 50;
    /** Whether messages between two instances are lost. */
    isPartitioned: (from: string, to: string) => boolean = () => false;
    private readonly removed = new Set<string>();
    private readonly rowIncarnations = new Map<string, string>();
    private readonly diedAt = new Map<string, number>();
    private steps = 0;
    private incarnations = 0;

    constructor(private readonly random: () => number) {
        this.table.latencyMs = () => Math.floor(random() * 40);
        this.table.committed = row => this.recordCommit(row);
    }

    nextIncarnation(): number {
        return ++this.incarnations;
    }

    add(instance: string): SimulatedMember {
        const member = new SimulatedMember(instance, this);
        this.members.push(member);
        return member;
    }

    kill(member: SimulatedMember): void {
        member.alive = false;
        this.diedAt.set(member.instance, this.clock.monotonicMs());
    }

    living(): SimulatedMember[] {
        return this.members.filter(({ alive }) => alive);
    }

    registered(): string[] {
        return this.table
            .all()
            .filter(({ key, value }) => key.startsWith("member/") && value !== undefined)
            .map(({ value }) => (value as { incarnation: string }).incarnation);
    }

    send(from: SimulatedMember, to: string, message: Message): void {
        const sender = from.incarnation;
        const deliver = () => {
            const member = this.living().find(({ incarnation }) => incarnation === to);
            if (member !== undefined) {
                member.receive(sender, message);
                this.check();
            }
        };
        if (!this.isPartitioned(from.instance, instanceOf(to))) {
            this.clock.setTimer(Math.floor(this.random() * this.delayMs), deliver);
        }
    }

    ask(from: SimulatedMember, to: string, answer: (member: SimulatedMember) => void): void {
        const member = this.living().find(({ incarnation }) => incarnation === to);
        const other = instanceOf(to);
        if (
            member !== undefined &&
            !this.isPartitioned(from.instance, other) &&
            !this.isPartitioned(other, from.instance)
        ) {
            this.clock.setTimer(Math.floor(this.random() * this.delayMs), () => answer(member));
        }
    }

    /** Names in the platform's instance list, which lags. */
    listedLive(): ReadonlySet<string> {
        const now = this.clock.monotonicMs();
        return new Set(
            this.members
                .filter(({ instance }) => now - (this.diedAt.get(instance) ?? Infinity) < LIST_LAG_MS)
                .concat(this.living())
                .map(({ instance }) => instance),
        );
    }

    /** Result of a call that doesn't reach the platform. */
    async failure<Value>(): Promise<Value> {
        await new Promise<void>(resolve => this.clock.setTimer(200, resolve));
        return {
            isErr: () => true,
            isOk: () => false,
            error: { type: "platform-unavailable", detail: "Cut off." },
        } as Value;
    }

    /** Advances the clock in steps and runs the periodic tasks of all members in each step. */
    async run(durationMs: number): Promise<void> {
        for (let passed = 0; passed < durationMs; passed += STEP_MS) {
            this.steps++;
            for (const [index, member] of this.living().entries()) {
                if (this.steps % (HEARTBEAT_MS / STEP_MS) === index % (HEARTBEAT_MS / STEP_MS)) {
                    member.sendHeartbeats();
                }
                if (this.steps % 2 === index % 2) {
                    void member.membership.tick();
                }
                const isPoller = member.membership.candidates().sort()[0] === member.incarnation;
                if (this.steps % (isPoller ? 10 : 100) === index % 10) {
                    void member.poll();
                }
            }
            await flushMicrotasks();
            for (let moved = 0; moved < STEP_MS; moved += 10) {
                this.clock.advance(10);
                await flushMicrotasks();
                this.check();
            }
        }
    }

    private recordCommit({ key, value }: VersionedRow): void {
        if (!key.startsWith("member/")) {
            return;
        }
        const before = this.rowIncarnations.get(key);
        if (value !== undefined) {
            this.rowIncarnations.set(key, (value as { incarnation: string }).incarnation);
        } else if (before !== undefined) {
            this.removed.add(before);
            this.check(before);
        }
    }

    /**
     * A removed member must not hold a lease at the time of its removal, nor later while another member relies on the
     * removal as proof. In a small domain no member does: there, each one waits until the promise that it gave expires.
     */
    private check(justRemoved?: string): void {
        const now = this.clock.monotonicMs();
        const living = this.living();
        const isProof = (incarnation: string) =>
            incarnation === justRemoved ||
            living.some(({ membership }) => !membership.isMember(incarnation) && membership.isRemoved(incarnation));
        for (const { incarnation, lease } of living) {
            if (this.removed.has(incarnation) && lease.validUntil() > now && isProof(incarnation)) {
                this.violations.push(`${incarnation} holds its lease after its removal, at ${now} ms.`);
            }
        }
    }
}

const instanceOf = (incarnation: string) => incarnation.slice(0, incarnation.lastIndexOf("."));

const flushMicrotasks = async () => {
    for (let turn = 0; turn < 6; turn++) {
        await Promise.resolve();
    }
};
