import { err, type Result } from "neverthrow";
import { GatewayTargets } from "../../src/process/gateway/gatewayTargets.js";
import { KeyAssigners } from "../../src/process/gateway/keyAssigners.js";
import { LeavingExchange } from "../../src/process/gateway/leavingExchange.js";
import { KEY_COUNT, decodeAssignment, type KeyAssignment } from "../../src/process/gateway/keyMap.js";
import { ASSIGNMENT_TABLE } from "../../src/process/gateway/keyAssigner.js";
import { LimitAdmitter } from "../../src/process/gateway/limitAdmitter.js";
import { parsePeerAddress, type PeerAddress } from "../../src/process/gateway/peerPort.js";
import type { RowStore } from "../../src/process/gateway/rowStore.js";
import type { DirectoryTarget } from "../../src/process/gateway/targetDirectory.js";
import type { TargetEntry } from "../../src/process/gateway/targetEntry.js";
import type { PlatformError } from "../../src/process/store/platformError.js";
import { advanceInSteps } from "./advanceInSteps.js";
import { GrantedTargets } from "./grantedTargets.js";
import { ManualClock } from "./manualClock.js";
import { MemoryRowStore } from "./memoryRowStore.js";
import { SILENT_LOGGER } from "./silentLogger.js";

export const SERVICE = "stock";

/** An instance that may assign keys. */
export interface AssigningInstance {
    name: string;
    assigners: KeyAssigners;
    leaving: LeavingExchange;
    /** Address for datagrams. A restarted instance has a new one, which gets none that were meant for the former process. */
    address: PeerAddress;
    /** Whether its calls to the store get no answer. */
    isCut: boolean;
    /** Its writes are carried out, but only when these are called. */
    heldWrites: (() => void)[];
    /** Whether its writes are held back. */
    holdsWrites: boolean;
    dispose: () => void;
}

/** The entry of a target of the service. */
export const entryOf = (id: string, startedAtMs: number): TargetEntry => ({
    id,
    service: SERVICE,
    address: `${id}:80`,
    domain: "linz",
    slots: 6,
    draining: false,
    warmupLeftMs: 0,
    startedAtMs,
});

/** Instances that assign the keys of one service with the real lease, in virtual time, on one store. */
export class AssigningInstances {
    readonly store = new MemoryRowStore();
    readonly clock = new ManualClock();
    readonly calls = new GrantedTargets(this.clock);
    readonly instances: AssigningInstance[] = [];
    readonly entries = new Map<string, TargetEntry>();
    /** Whether a datagram is lost. */
    isDatagramLost: () => boolean = () => false;
    private ports = 0;

    constructor(targets: string[]) {
        this.store.storeMs = () => this.clock.monotonicMs() + 5_000_000;
        targets.forEach(id => this.entries.set(id, entryOf(id, 1)));
    }

    /** Starts an instance; `isFirstStart` is its setting that the whole system starts for the first time. */
    start(name: string, isFirstStart = false): AssigningInstance {
        const { clock } = this;
        const targets = new GatewayTargets({
            clock,
            logger: SILENT_LOGGER,
            domain: "linz",
            decode: () => undefined,
            connectionLimit: () => undefined,
            gone: () => undefined,
            checkInMs: 1_000,
            graceMs: 1_000,
        });
        this.entries.forEach(entry => targets.directory.put(entry));
        const faults = { isCut: false, holdsWrites: false, heldWrites: [] as (() => void)[] };
        const address = { host: "10.1.0.1", port: ++this.ports };
        const leavingStated = (listed: DirectoryTarget) => {
            if (targets.directory.stateLeaving(listed)) {
                leaving.stated(listed.entry);
            }
        };
        const assigners = new KeyAssigners({
            instance: name,
            peerAddress: `${address.host}:${address.port}`,
            store: this.storeOf(faults),
            calls: this.calls,
            clock,
            logger: SILENT_LOGGER,
            targets,
            load: { weights: () => new Float64Array(KEY_COUNT).fill(1) },
            leavingStated,
            admitter: new LimitAdmitter(clock),
            maxHoldMs: 10_000,
            isFirstStart,
        });
        const leaving = new LeavingExchange({
            clock,
            isAssigning: () => assigners.lease.isHeld(),
            assigner: () => parsePeerAddress(assigners.lease.assignerAddress),
            registered: id => targets.directory.get(id),
            heard: leavingStated,
            send: (receiver, content) => this.sendDatagram(receiver, content, address),
            unanswered: () => assigners.lease.lookAgain(),
        });
        const instance = Object.assign(faults, {
            name,
            assigners,
            leaving,
            address,
            targets,
            dispose: () => {
                assigners.dispose();
                leaving.dispose();
                this.instances.splice(this.instances.indexOf(instance), 1);
            },
        });
        this.instances.push(instance);
        this.directories.set(instance, targets);
        assigners.update([{ name: SERVICE, keyed: true, connectionLimit: 100 }]);
        assigners.start();
        return instance;
    }

    private readonly directories = new Map<AssigningInstance, GatewayTargets>();

    /** Adds or changes a target's entry at all instances. */
    putTarget(id: string, change: Partial<TargetEntry> = {}): void {
        const entry = { ...(this.entries.get(id) ?? entryOf(id, 1)), ...change };
        this.entries.set(id, entry);
        this.instances.forEach(instance => this.directories.get(instance)?.directory.put(entry));
    }

    /** Has an instance read from a target's answer that the target leaves. */
    stateLeaving(instance: AssigningInstance, id: string): void {
        const directory = this.directories.get(instance)?.directory;
        const listed = directory?.get(id);
        if (listed !== undefined && directory?.stateLeaving(listed) === true) {
            instance.leaving.stated(listed.entry);
        }
    }

    private sendDatagram(receiver: PeerAddress, content: Buffer, sender: PeerAddress): void {
        if (!this.isDatagramLost()) {
            const delivered = () =>
                this.instances.find(({ address }) => address.port === receiver.port)?.leaving.receive(content, sender);
            this.clock.setTimer(1, delivered);
        }
    }

    /** The stored assignment. */
    get assignment(): KeyAssignment | undefined {
        const stored = this.store.read(ASSIGNMENT_TABLE, SERVICE);
        return stored === undefined ? undefined : decodeAssignment(Buffer.from(JSON.stringify(stored)));
    }

    /** Instances that hold the lease. */
    holders(): AssigningInstance[] {
        return this.instances.filter(({ assigners }) => assigners.lease.isHeld());
    }

    /** Share of the keys that a target holds now. */
    heldShare(): number {
        const now = this.clock.monotonicMs();
        const held = [...this.calls.held.values()].flat().filter(({ until }) => until > now);
        return held.reduce((sum, { from, to }) => sum + to - from + 1, 0) / KEY_COUNT;
    }

    async advance(byMs: number): Promise<void> {
        await advanceInSteps(this.clock, byMs);
    }

    dispose(): void {
        [...this.instances].forEach(instance => instance.dispose());
    }

    private storeOf(faults: Pick<AssigningInstance, "isCut" | "holdsWrites" | "heldWrites">): RowStore {
        const { store } = this;
        const reach = <Value>(call: () => Promise<Result<Value, PlatformError>>) =>
            faults.isCut
                ? Promise.resolve(err<Value, PlatformError>({ type: "platform-unknown", detail: "cut" }))
                : call();
        return {
            snapshot: table => reach(() => store.snapshot(table)),
            row: (table, key) => reach(() => store.row(table, key)),
            changes: (table, after, waitMs) => reach(() => store.changes(table, after, waitMs)),
            transact: transaction => {
                if (faults.holdsWrites) {
                    faults.heldWrites.push(() => void store.transact(transaction));
                    return Promise.resolve(err({ type: "platform-unknown", detail: "no answer" }));
                }
                return reach(() => store.transact(transaction));
            },
        };
    }
}

/** Starts instances, has keys moved after a copy of the store was made, and returns the system and the copy. */
export const startWithMovedKeys = async (...instances: string[]) => {
    const system = new AssigningInstances(["t1", "t2", "t3"]);
    instances.forEach(name => system.start(name));
    await system.advance(7_000);
    const copy = system.store.copy();
    system.putTarget("t1", { draining: true });
    await system.advance(2_000);
    system.putTarget("t4");
    await system.advance(3_000);
    return { system, copy };
};
