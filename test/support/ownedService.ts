import { err, type Result } from "neverthrow";
import { Evacuations } from "../../src/process/gateway/evacuations.js";
import { GatewayTargets } from "../../src/process/gateway/gatewayTargets.js";
import { KeyAssigners } from "../../src/process/gateway/keyAssigners.js";
import { KEY_COUNT } from "../../src/process/gateway/keyMap.js";
import { LimitAdmitter } from "../../src/process/gateway/limitAdmitter.js";
import type { RowStore } from "../../src/process/gateway/rowStore.js";
import type { DirectoryTarget } from "../../src/process/gateway/targetDirectory.js";
import type { TargetEntry } from "../../src/process/gateway/targetEntry.js";
import type { Logger } from "../../src/process/observability/logger.js";
import type { PlatformError } from "../../src/process/store/platformError.js";
import { FreezableClock } from "./freezableClock.js";
import { ManualClock } from "./manualClock.js";
import { MemoryRowStore } from "./memoryRowStore.js";
import { seededRandom } from "./seededRandom.js";
import { TargetLink } from "./targetLink.js";
import { WorkingTargets, type TargetProcess } from "./workingTargets.js";

export const KEYED_SERVICE = "stock";
/** Service whose targets get addresses of others that have ended. */
export const OTHER_SERVICE = "other";
/** Timeout of calls to the store, as in `platform/tableStore.ts`, in milliseconds. */
const STORE_TIMEOUT_MS = 900;
/** Interval at which targets check in, in milliseconds; after three of them without one an entry is removed. */
const CHECK_IN_MS = 1_000;
const EXPIRY_MS = 3 * CHECK_IN_MS;
/** Prefix of the rows that ask to evacuate a domain, and the time for it in milliseconds. */
const EVACUATION_PREFIX = "evacuate/";
export const EVACUATE_MS = 5_000;
/** Maximum time after which an evacuation's row is read by an instance that reaches the store, in milliseconds. */
const ROW_DELAY_MS = 100;
const NEVER: PlatformError = { type: "platform-unknown", detail: "no answer in time" };

/** How calls of one instance to the store fare. */
export interface StoreLink {
    isCut: boolean;
    /** Maximum delay in each direction, in milliseconds. */
    delayMs: number;
    lossShare: number;
    /** Share of the transactions that aren't answered and are carried out late. */
    lateShare: number;
    /** Whether calls are rejected at once. */
    isRejected: boolean;
}

/** An instance that may assign keys, with a clock and links of its own. */
export interface OwnedInstance {
    name: string;
    clock: FreezableClock;
    link: TargetLink;
    store: StoreLink;
    targets: GatewayTargets;
    assigners: KeyAssigners;
    evacuations: Evacuations;
    /** Maximum time after which a changed entry is read, in milliseconds. */
    entryDelayMs: number;
    /** Number of the last change that was read of each entry. */
    read: Map<string, number>;
}

/** An entry of a target, or none if it was removed, with the number of its change. */
interface EntryChange {
    entry: TargetEntry | undefined;
    change: number;
}

/** What a target's process does at the store. */
interface Registration {
    process: TargetProcess;
    domain: string;
    draining: boolean;
    /** Whether its calls reach the store. */
    isCut: boolean;
    /** Whether it has removed its entry and goes on serving. */
    hasLeft: boolean;
}

/**
 * Instances that assign the keys of one service with the real lease to targets that work on them, in virtual time. Everything
 * between them takes time and may fail: calls to targets, calls to the store, and the entries of targets.
 *
 * @example
 * const service = new OwnedService(7);
 * service.startInstance("a1");
 * service.startTarget("t1", "t1:80");
 * await service.advance(10_000);
 */
export class OwnedService {
    readonly clock = new ManualClock();
    readonly store = new MemoryRowStore();
    readonly targets: WorkingTargets;
    readonly instances: OwnedInstance[] = [];
    readonly registrations = new Map<string, Registration>();
    /** Applies to the calls of all instances and targets. */
    readonly storeFaults: StoreLink = { isCut: false, delayMs: 0, lossShare: 0, lateShare: 0, isRejected: false };
    weights = new Float64Array(KEY_COUNT).fill(1);
    private readonly copies: {
        copy: number;
        entries: Map<string, TargetEntry>;
        evacuated: Set<string>;
        at: number;
    }[] = [];
    /** Failure domains for which the store has the row of an evacuation. */
    private evacuated = new Set<string>();
    private entries = new Map<string, TargetEntry>();
    private readonly checkedInAt = new Map<string, number>();
    private lastChange = 0;
    private era = 0;
    private readonly random: () => number;

    constructor(
        private readonly seed: number,
        private readonly logger: (instance: string) => Logger,
    ) {
        this.random = seededRandom(seed * 15_485_863);
        this.targets = new WorkingTargets(this.clock, seededRandom(seed * 32_452_843));
        this.store.storeMs = () => this.clock.monotonicMs() + 5_000_000;
        const checkIn = () => {
            this.checkIn();
            this.clock.setTimer(CHECK_IN_MS / 4, checkIn);
        };
        checkIn();
    }

    note(text: string): void {
        this.targets.trace.push(`${Math.round(this.clock.monotonicMs())} -- ${text}`);
    }

    startInstance(name: string): OwnedInstance {
        const clock = new FreezableClock(this.clock);
        const logger = this.logger(name);
        const random = seededRandom(this.seed * 49_979_687 + this.instances.length);
        const link = new TargetLink({ shared: this.clock, clock, targets: this.targets, random });
        const store: StoreLink = { isCut: false, delayMs: 4, lossShare: 0, lateShare: 0, isRejected: false };
        const targets = new GatewayTargets({
            clock,
            logger,
            domain: "linz",
            decode: () => undefined,
            connectionLimit: () => undefined,
            gone: () => undefined,
            checkInMs: CHECK_IN_MS,
            graceMs: 1_000,
        });
        const evacuations = new Evacuations({
            clock,
            logger,
            evacuateMs: EVACUATE_MS,
            decode: key => key.slice(EVACUATION_PREFIX.length),
            completeUntil: () => clock.monotonicMs(),
            began: evacuation => targets.directory.beginEvacuation(evacuation),
            ended: domain => targets.directory.endEvacuation(domain),
        });
        const assigners = new KeyAssigners({
            instance: name,
            peerAddress: undefined,
            store: this.storeOf(clock, store),
            calls: link,
            clock,
            logger,
            targets,
            load: { weights: () => this.weights },
            leavingStated: listed => void targets.directory.stateLeaving(listed),
            admitter: new LimitAdmitter(clock),
            maxHoldMs: 10_000,
        });
        const instance = {
            ...{ name, clock, link, store, targets, assigners, evacuations },
            ...{ entryDelayMs: 30, read: new Map() },
        };
        this.instances.push(instance);
        assigners.update([{ name: KEYED_SERVICE, keyed: true, connectionLimit: 100 }]);
        assigners.start();
        this.clock.setTimer(50 + this.random() * 500, () => this.readAll(instance));
        this.note(`${name} starts`);
        return instance;
    }

    /** Ends an instance at once. Calls that it has sent may still arrive. */
    killInstance(instance: OwnedInstance): void {
        this.note(`${instance.name} is killed`);
        instance.clock.end();
        this.instances.splice(this.instances.indexOf(instance), 1);
    }

    /** Ends an instance that releases its lease. */
    stopInstance(instance: OwnedInstance): void {
        this.note(`${instance.name} stops`);
        this.instances.splice(this.instances.indexOf(instance), 1);
        const end = () => {
            instance.assigners.dispose();
            instance.clock.end();
        };
        void instance.assigners.release().then(end);
        this.clock.setTimer(6_000, end);
    }

    startTarget(id: string, address: string, service = KEYED_SERVICE, domain = "linz"): TargetProcess {
        const startedAtMs = Math.floor(this.clock.wallMs());
        const clockRate = 1 - 0.02 * this.random();
        const process = this.targets.start({ id, service, address, startedAtMs, clockRate });
        this.note(`${id} starts at ${address}, start ${startedAtMs % 1_000_000}`);
        this.registrations.set(id, { process, domain, draining: false, isCut: false, hasLeft: false });
        return process;
    }

    /** The entry of a target in the store. */
    entryOf(id: string): TargetEntry | undefined {
        return this.entries.get(id);
    }

    /** Reports to the store that a target leaves, or removes its entry without a report. */
    leave(id: string, isReported: boolean): void {
        const registration = this.registrations.get(id);
        if (registration !== undefined) {
            this.note(`${id} leaves${isReported ? "" : " without a report"}`);
            registration.draining = isReported;
            registration.hasLeft = !isReported;
            registration.process.isLeaving = true;
        }
    }

    /** Writes or removes the row that asks to evacuate a failure domain. */
    setEvacuated(domain: string, isEvacuated: boolean): void {
        this.note(isEvacuated ? `${domain} is to be evacuated` : `the evacuation of ${domain} is to end`);
        if (isEvacuated) {
            this.evacuated.add(domain);
        } else {
            this.evacuated.delete(domain);
        }
        const key = `${EVACUATION_PREFIX}${domain}`;
        const { era } = this;
        for (const instance of this.instances) {
            this.clock.setTimer(1 + this.random() * ROW_DELAY_MS, () => {
                if (
                    this.reachesStore(instance) &&
                    !instance.store.isRejected &&
                    this.era === era &&
                    this.evacuated.has(domain) === isEvacuated
                ) {
                    const value = isEvacuated ? Buffer.alloc(0) : undefined;
                    instance.clock.deliver(() => instance.evacuations.rowChanged({ key, value, version: 0 }));
                }
            });
        }
    }

    /** Keeps a copy of the store for 15 s. */
    copy(): void {
        const at = this.clock.monotonicMs();
        const evacuated = new Set(this.evacuated);
        this.copies.push({ copy: this.store.copy(), entries: new Map(this.entries), evacuated, at });
        while (at - this.copies[0].at > 15_000) {
            this.copies.shift();
        }
    }

    /** Restores the store from one of the copies. */
    restore(random: () => number): void {
        const chosen = this.copies[Math.floor(random() * this.copies.length)];
        const now = this.clock.monotonicMs();
        this.note(`the store goes back by ${Math.round(now - chosen.at)} ms`);
        this.store.restore(chosen.copy);
        this.entries = new Map(chosen.entries);
        this.evacuated = new Set(chosen.evacuated);
        this.lastChange++;
        this.entries.forEach((_, id) => this.checkedInAt.set(id, now));
        const era = ++this.era;
        for (const instance of this.instances) {
            this.clock.setTimer(this.random() * 500, () =>
                this.readAll(instance, () => {
                    instance.targets.directory.storeRestored();
                    instance.assigners.lease.storeRestored(era);
                }),
            );
        }
    }

    /** Has an instance send a request to a target and read from the answer whether another one has its address. */
    request(instance: OwnedInstance, listed: DirectoryTarget): void {
        const { id, address } = listed.entry;
        if (instance.link.faultsOf(address).cut !== undefined || instance.clock.isFrozen) {
            return;
        }
        this.clock.setTimer(this.random() * 50, () => {
            const process = this.targets.occupants.get(address);
            if (process !== undefined && process.id !== id && !process.isFrozen) {
                this.clock.setTimer(this.random() * 50, () =>
                    instance.clock.deliver(() => {
                        this.note(`${instance.name} learns that ${id} has lost ${address}`);
                        instance.assigners.addressLost(listed);
                    }),
                );
            }
        });
    }

    /** Has an instance pass the lease on to another one, which learns of it at once or by its own reading. */
    passLeaseOn(holder: OwnedInstance, successor: OwnedInstance, isTold: boolean): void {
        this.note(`${holder.name} passes the lease on to ${successor.name}`);
        const { name } = successor;
        void holder.assigners.passOn({ instance: name, peerAddress: `${name}:1` }).then(() => {
            if (isTold) {
                this.clock.setTimer(this.random() * 50, () =>
                    successor.clock.deliver(() => successor.assigners.lease.wasPassedOn()),
                );
            }
        });
    }

    /** Sets whether an instance reaches the store. */
    cutFromStore(instance: OwnedInstance, isCut: boolean): void {
        this.note(`${instance.name} ${isCut ? "is cut from" : "reaches"} the store`);
        instance.store.isCut = isCut;
        const { directory } = instance.targets;
        if (isCut) {
            this.clock.setTimer(1_000, () => instance.clock.deliver(() => directory.setOutage(instance.store.isCut)));
        } else {
            this.clock.setTimer(this.random() * 300, () => {
                instance.clock.deliver(() => directory.setOutage(false));
                this.readAll(instance);
            });
        }
    }

    /** Ends an outage or slowness of the store for all. */
    healStore(): void {
        Object.assign(this.storeFaults, { isCut: false, delayMs: 0, lossShare: 0, lateShare: 0, isRejected: false });
        this.instances.forEach(instance => this.clock.setTimer(this.random() * 500, () => this.readAll(instance)));
    }

    async advance(byMs: number): Promise<void> {
        const end = this.clock.monotonicMs() + byMs;
        while (this.clock.fireNext(end)) {
            await new Promise(resolve => setImmediate(resolve));
        }
        this.clock.advance(end - this.clock.monotonicMs());
    }

    dispose(): void {
        this.instances.forEach(({ clock }) => clock.end());
    }

    /** Targets write their entries, and those of targets that are silent expire. */
    private checkIn(): void {
        const now = this.clock.monotonicMs();
        if (this.storeFaults.isCut) {
            return;
        }
        for (const [id, { process, domain, draining, isCut, hasLeft }] of this.registrations) {
            const isDue = now - (this.checkedInAt.get(id) ?? -Infinity) >= CHECK_IN_MS * (0.7 + 0.3 * this.random());
            const written = this.entries.get(id);
            if (!process.isUp || process.isFrozen || isCut) {
                continue;
            }
            if (hasLeft) {
                if (written !== undefined) {
                    this.write(id, undefined);
                }
                continue;
            }
            if (isDue || (draining && written?.draining === false)) {
                this.checkedInAt.set(id, now);
                const { service, address, startedAtMs } = process;
                if (
                    written?.startedAtMs !== startedAtMs ||
                    written.address !== address ||
                    written.draining !== draining
                ) {
                    const placed = { domain, slots: 6, warmupLeftMs: 0 };
                    this.write(id, { id, service, address, draining, startedAtMs, ...placed });
                }
            }
        }
        for (const id of [...this.entries.keys()]) {
            if (now - (this.checkedInAt.get(id) ?? now) > EXPIRY_MS) {
                this.write(id, undefined);
            }
        }
    }

    private write(id: string, entry: TargetEntry | undefined): void {
        if (entry === undefined) {
            this.entries.delete(id);
        } else {
            this.entries.set(id, entry);
        }
        const change = { entry, change: ++this.lastChange };
        this.instances.forEach(instance =>
            this.clock.setTimer(1 + this.random() * instance.entryDelayMs, () => this.read(instance, id, change)),
        );
    }

    private read(instance: OwnedInstance, id: string, { entry, change }: EntryChange): void {
        if (!this.reachesStore(instance)) {
            return;
        }
        instance.clock.deliver(() => {
            if (change <= (instance.read.get(id) ?? 0)) {
                return;
            }
            instance.read.set(id, change);
            const { directory } = instance.targets;
            if (entry === undefined) {
                directory.entryGone(id);
            } else {
                directory.put(entry);
            }
        });
    }

    /** Has an instance read all entries as they are now, for instance after an outage. */
    private readAll(instance: OwnedInstance, begin?: () => void): void {
        if (!this.reachesStore(instance)) {
            if (begin !== undefined && !instance.clock.hasEnded) {
                this.clock.setTimer(500, () => this.readAll(instance, begin));
            }
            return;
        }
        const entries = [...this.entries.values()];
        const change = this.lastChange;
        const rows = [...this.evacuated].map(domain => ({
            ...{ key: `${EVACUATION_PREFIX}${domain}`, value: Buffer.alloc(0), version: 0 },
        }));
        instance.clock.deliver(() => {
            const { directory } = instance.targets;
            const current = new Map(entries.map(entry => [entry.id, entry]));
            [...instance.read.keys(), ...current.keys()].forEach(id => instance.read.set(id, change));
            if (begin !== undefined) {
                begin();
                instance.evacuations.restored(rows);
                directory.restored(entries);
                return;
            }
            instance.evacuations.listed(rows);
            [...directory.all()]
                .filter(({ entry }) => !current.has(entry.id))
                .forEach(({ entry }) => directory.entryGone(entry.id));
            entries.filter(entry => !directory.isDoubted(entry)).forEach(entry => directory.put(entry));
        });
    }

    private reachesStore({ store, clock }: OwnedInstance): boolean {
        return !store.isCut && !this.storeFaults.isCut && !clock.hasEnded;
    }

    private storeOf(clock: FreezableClock, link: StoreLink): RowStore {
        const { store } = this;
        const reach = <Value>(call: () => Promise<Result<Value, PlatformError>>, isWrite = false) =>
            this.callStore(clock, link, call, isWrite);
        return {
            snapshot: table => reach(() => store.snapshot(table)),
            row: (table, key) => reach(() => store.row(table, key)),
            changes: (table, after, waitMs) => reach(() => store.changes(table, after, waitMs)),
            transact: transaction => reach(() => store.transact(transaction), true),
        };
    }

    /** A call that gets no answer may have been carried out, or be carried out later. */
    private callStore<Value>(
        clock: FreezableClock,
        link: StoreLink,
        call: () => Promise<Result<Value, PlatformError>>,
        isWrite: boolean,
    ): Promise<Result<Value, PlatformError>> {
        const faults = this.storeFaults;
        const isCut = () => link.isCut || faults.isCut;
        const delayMs = () => 1 + this.random() * (link.delayMs + faults.delayMs);
        return new Promise(resolve => {
            const cancel = clock.setTimer(STORE_TIMEOUT_MS, () => resolve(err(NEVER)));
            const answer = (result: Result<Value, PlatformError>) => {
                this.clock.setTimer(delayMs(), () => {
                    if (!isCut() && this.random() >= link.lossShare + faults.lossShare) {
                        clock.deliver(() => {
                            cancel();
                            resolve(result);
                        });
                    }
                });
            };
            this.clock.setTimer(delayMs(), () => {
                if (isCut()) {
                    return;
                }
                if (link.isRejected || faults.isRejected) {
                    answer(err({ type: "platform-unavailable", detail: "rejected" }));
                } else if (isWrite && this.random() < link.lateShare + faults.lateShare) {
                    this.clock.setTimer(this.random() * 5_000, () => void call());
                } else {
                    void call().then(answer);
                }
            });
        });
    }
}
