import { KEY_COUNT } from "../../src/process/gateway/keyMap.js";
import type { Freeze } from "./freezableClock.js";
import { KEYED_SERVICE, OTHER_SERVICE, type OwnedInstance, type OwnedService } from "./ownedService.js";
import { seededRandom } from "./seededRandom.js";
import type { Cut } from "./targetLink.js";
import type { TargetProcess } from "./workingTargets.js";

/** A fault or planned work, from its time on. */
type Effect = (service: OwnedService, random: () => number) => void;

/** A fault of a replay. It draws from its own numbers, so that the others stay the same without it. */
export interface PlannedFault {
    index: number;
    atMs: number;
    kind: string;
    seed: number;
}

/** Minimum time after which an address goes to another service, `reuse_after_s`, in milliseconds. */
const REUSE_AFTER_MS = 2_000;
/** Maximum delay of a link in one direction, in milliseconds; a call that takes longer counts as held up on its way. */
const MAX_DELAY_MS = 395;

const pick = <Item>(items: readonly Item[], random: () => number): Item | undefined =>
    items[Math.floor(random() * items.length)];

const between = (least: number, most: number, random: () => number): number => least + random() * (most - least);

const targetsOf = (service: OwnedService): TargetProcess[] =>
    [...service.targets.living].filter(process => process.service === KEYED_SERVICE);

const targetOf = (service: OwnedService, random: () => number): TargetProcess | undefined =>
    pick(targetsOf(service), random);

/** Whether enough targets remain when one goes for good. */
const maySpare = (service: OwnedService): boolean =>
    targetsOf(service).filter(({ isLeaving }) => !isLeaving).length > 2;

/** The instance that holds the lease in most cases, otherwise any. */
const instanceOf = (service: OwnedService, random: () => number): OwnedInstance | undefined => {
    const holders = service.instances.filter(({ assigners }) => assigners.lease.isHeld());
    return pick(random() < 0.7 && holders.length > 0 ? holders : service.instances, random);
};

const newName = (service: OwnedService, prefix: string): string => {
    const names = new Set(service.registrations.keys());
    let number = names.size + 1;
    while (names.has(`${prefix}${number}`)) {
        number++;
    }
    return `${prefix}${number}`;
};

/** Brings a target back that has ended: under its identifier or another one, at its address or another one. */
const startAgain = (service: OwnedService, { id, address }: TargetProcess, random: () => number): void => {
    const { occupants } = service.targets;
    const isSameId = random() < 0.7;
    const isSameAddress = random() < 0.5 && !occupants.has(address);
    const nextId = isSameId ? id : newName(service, "t");
    service.startTarget(nextId, isSameAddress ? address : `${nextId}-${service.registrations.size}-${random()}:80`);
};

/** Gives an address that has been free for long enough to another service. */
const reuse = (service: OwnedService, address: string): void => {
    if (!service.targets.occupants.has(address)) {
        service.startTarget(newName(service, "o"), address, OTHER_SERVICE);
    }
};

const crash: Effect = (service, random) => {
    const process = targetOf(service, random);
    if (process === undefined) {
        return;
    }
    service.note(`${process.id} crashes`);
    service.targets.end(process, random() < 0.3);
    const isLost = random() < 0.2 && maySpare(service);
    const backMs = random() < 0.5 ? between(20, 600, random) : between(600, 6_000, random);
    if (!isLost) {
        service.clock.setTimer(backMs, () => startAgain(service, process, random));
    }
    if (random() < 0.4) {
        service.clock.setTimer(between(REUSE_AFTER_MS, 5_000, random), () => reuse(service, process.address));
    }
};

/** A target ends several times in quick succession, and comes back under its identifier at one of its addresses. */
const flap: Effect = (service, random) => {
    const first = targetOf(service, random);
    if (first === undefined) {
        return;
    }
    const addresses = [first.address, `${first.id}-${first.startedAtMs}:80`];
    const again = (process: TargetProcess, left: number) => {
        if (left === 0 || !process.isUp) {
            return;
        }
        service.note(`${process.id} crashes`);
        service.targets.end(process);
        service.clock.setTimer(between(20, 800, random), () => {
            const address = pick(
                addresses.filter(candidate => !service.targets.occupants.has(candidate)),
                random,
            );
            if (address !== undefined) {
                const next = service.startTarget(process.id, address);
                if (random() < 0.4) {
                    service.clock.setTimer(between(100, 1_500, random), () => service.leave(process.id, true));
                }
                service.clock.setTimer(between(100, 2_500, random), () => again(next, left - 1));
            }
        });
    };
    again(first, 2 + Math.floor(random() * 3));
};

const scaleIn: Effect = (service, random) => {
    const process = targetOf(service, random);
    if (process === undefined || process.isLeaving || !maySpare(service)) {
        return;
    }
    service.leave(process.id, random() < 0.7);
    service.clock.setTimer(between(2_000, 14_000, random), () => {
        if (process.isUp) {
            service.note(`${process.id} exits`);
            service.targets.end(process);
            const registration = service.registrations.get(process.id);
            if (registration?.process === process) {
                registration.hasLeft = true;
            }
        }
        service.clock.setTimer(between(REUSE_AFTER_MS, 4_000, random), () => {
            if (random() < 0.5) {
                reuse(service, process.address);
            }
        });
    });
};

const scaleOut: Effect = service => {
    const id = newName(service, "t");
    service.startTarget(id, `${id}:80`);
};

const hotKeys: Effect = (service, random) => {
    const from = Math.floor(random() * KEY_COUNT * 0.9);
    const weights = new Float64Array(KEY_COUNT).fill(1);
    weights.fill(40, from, from + Math.floor(KEY_COUNT * 0.05));
    service.weights = weights;
    service.note(`keys from ${from} on are hot`);
};

const freezeTarget: Effect = (service, random) => {
    const process = targetOf(service, random);
    if (process === undefined) {
        return;
    }
    const forMs = between(200, 8_000, random);
    service.note(`${process.id} freezes for ${Math.round(forMs)} ms`);
    process.isFrozen = true;
    service.clock.setTimer(forMs, () => service.targets.resume(process));
};

const silentTarget: Effect = (service, random) => {
    const process = targetOf(service, random);
    if (process === undefined) {
        return;
    }
    const forMs = between(500, 9_000, random);
    service.note(`${process.id} is silent for ${Math.round(forMs)} ms`);
    process.isSilent = true;
    service.clock.setTimer(forMs, () => (process.isSilent = false));
};

const lateGrants: Effect = (service, random) => {
    const process = targetOf(service, random);
    if (process === undefined) {
        return;
    }
    const forMs = between(500, 8_000, random);
    process.lateShare = between(0.3, 1, random);
    service.note(`${process.id} takes grants late for ${Math.round(forMs)} ms`);
    service.clock.setTimer(forMs, () => (process.lateShare = 0));
};

const targetCutFromStore: Effect = (service, random) => {
    const registration = pick([...service.registrations.values()], random);
    if (registration === undefined) {
        return;
    }
    const forMs = between(1_000, 10_000, random);
    service.note(`${registration.process.id} doesn't reach the store for ${Math.round(forMs)} ms`);
    registration.isCut = true;
    service.clock.setTimer(forMs, () => (registration.isCut = false));
};

const cutLink: Effect = (service, random) => {
    const process = targetOf(service, random);
    const instance = instanceOf(service, random);
    if (process === undefined || instance === undefined) {
        return;
    }
    const cut = pick<Cut>(["both", "calls", "answers"], random);
    const forMs = between(200, 14_000, random);
    const faults = instance.link.faultsOf(process.address);
    // A link may be slow before it is cut, and in the direction in which it isn't.
    faults.delayMs = random() < 0.5 ? MAX_DELAY_MS : 5;
    service.note(`cut (${cut}) between ${instance.name} and ${process.id} for ${Math.round(forMs)} ms`);
    instance.link.cut(process.address, cut);
    service.clock.setTimer(forMs, () => {
        faults.delayMs = 5;
        instance.link.cut(process.address, undefined);
    });
};

const harmedLink: Effect = (service, random) => {
    const process = targetOf(service, random);
    const instance = instanceOf(service, random);
    if (process === undefined || instance === undefined) {
        return;
    }
    const forMs = between(500, 8_000, random);
    const faults = instance.link.faultsOf(process.address);
    const harm = {
        delayMs: random() < 0.6 ? between(50, MAX_DELAY_MS, random) : 5,
        lossShare: random() < 0.6 ? between(0.1, 0.9, random) : 0,
        isDoubled: random() < 0.3,
    };
    service.note(`${instance.name} to ${process.id} for ${Math.round(forMs)} ms: ${JSON.stringify(harm)}`);
    Object.assign(faults, harm);
    service.clock.setTimer(forMs, () => Object.assign(faults, { delayMs: 5, lossShare: 0, isDoubled: false }));
};

const freezeInstance: Effect = (service, random) => {
    const instance = instanceOf(service, random);
    if (instance === undefined) {
        return;
    }
    const forMs = between(100, 9_000, random);
    const kind: Freeze = random() < 0.5 ? "freeze" : "suspension";
    service.note(`${instance.name} ${kind} for ${Math.round(forMs)} ms`);
    instance.clock.freeze(kind);
    service.clock.setTimer(forMs, () => instance.clock.resume());
};

const killInstance: Effect = (service, random) => {
    const instance = instanceOf(service, random);
    if (instance === undefined || instance.clock.isFrozen) {
        return;
    }
    service.killInstance(instance);
    const name = random() < 0.7 ? instance.name : `${instance.name}x`;
    service.clock.setTimer(between(100, 3_000, random), () => service.startInstance(name));
};

const stopInstance: Effect = (service, random) => {
    const instance = instanceOf(service, random);
    if (instance === undefined || instance.clock.isFrozen) {
        return;
    }
    service.stopInstance(instance);
    service.clock.setTimer(between(7_000, 9_000, random), () => service.startInstance(instance.name));
};

const cutInstance: Effect = (service, random) => {
    const instance = instanceOf(service, random);
    if (instance === undefined) {
        return;
    }
    service.cutFromStore(instance, true);
    service.clock.setTimer(between(300, 9_000, random), () => service.cutFromStore(instance, false));
};

const harmStore: Effect = (service, random) => {
    const forMs = between(300, 7_000, random);
    const chance = random();
    const { storeFaults } = service;
    if (chance < 0.25) {
        storeFaults.isCut = true;
    } else if (chance < 0.4) {
        storeFaults.isRejected = true;
    } else if (chance < 0.6) {
        storeFaults.delayMs = between(50, 600, random);
    } else {
        storeFaults.lossShare = between(0, 0.8, random);
        storeFaults.lateShare = between(0, 0.8, random);
    }
    service.note(`store for ${Math.round(forMs)} ms: ${JSON.stringify(storeFaults)}`);
    service.clock.setTimer(forMs, () => service.healStore());
};

const restore: Effect = (service, random) => {
    const outageMs = random() < 0.5 ? 0 : between(300, 6_000, random);
    if (outageMs > 0) {
        service.storeFaults.isCut = true;
        service.note(`the store is away for ${Math.round(outageMs)} ms`);
    }
    service.clock.setTimer(outageMs, () => {
        service.restore(random);
        service.healStore();
    });
};

const shiftWall: Effect = (service, random) => {
    const instance = instanceOf(service, random);
    const byMs = random() < 0.5 ? 5_000 : -5_000;
    service.note(`the wall clock of ${instance?.name} shifts`);
    instance?.clock.shiftWall(byMs);
};

const lateEntries: Effect = (service, random) => {
    const instance = instanceOf(service, random);
    if (instance === undefined) {
        return;
    }
    instance.entryDelayMs = between(200, 4_000, random);
    service.note(`${instance.name} reads entries up to ${Math.round(instance.entryDelayMs)} ms late`);
    service.clock.setTimer(between(2_000, 10_000, random), () => (instance.entryDelayMs = 30));
};

const longWork: Effect = (service, random) => {
    const { targets } = service;
    targets.maxWorkMs = between(2_000, 12_000, random);
    service.clock.setTimer(between(2_000, 10_000, random), () => (targets.maxWorkMs = 1_500));
};

const request: Effect = (service, random) => {
    for (const instance of service.instances) {
        const listed = pick([...instance.targets.directory.all()], random);
        if (listed !== undefined) {
            service.request(instance, listed);
        }
    }
};

/** Faults that the documents of the system allow, by kind. */
const FAULTS: Record<string, Effect> = {
    crash,
    flap,
    freezeTarget,
    silentTarget,
    lateGrants,
    targetCutFromStore,
    cutLink,
    harmedLink,
    freezeInstance,
    killInstance,
    stopInstance,
    cutInstance,
    harmStore,
    restore,
    shiftWall,
    lateEntries,
    longWork,
};
/** Planned work, which moves keys, and requests. */
/** Cuts the instance that assigns keys, or another one, off from all targets. Its lease may be passed on meanwhile. */
const cutOffInstance: Effect = (service, random) => {
    const instance = instanceOf(service, random);
    if (instance === undefined) {
        return;
    }
    const cut = pick<Cut>(["both", "calls", "answers"], random);
    const addresses = targetsOf(service).map(({ address }) => address);
    service.note(`${instance.name} is cut off (${cut}) from ${addresses.join(" ")}`);
    addresses.forEach(address => instance.link.cut(address, cut));
    service.clock.setTimer(between(1_000, 14_000, random), () => {
        service.note(`${instance.name} reaches targets again`);
        addresses.forEach(address => instance.link.cut(address, undefined));
    });
    if (random() < 0.8) {
        service.clock.setTimer(between(300, 3_000, random), () => passOn(service, random));
    }
};

const passOn: Effect = (service, random) => {
    const holder = service.instances.find(({ assigners }) => assigners.lease.isHeld());
    const successor = pick(
        service.instances.filter(instance => instance !== holder),
        random,
    );
    if (holder !== undefined && successor !== undefined) {
        service.passLeaseOn(holder, successor, random() < 0.7);
    }
};

/** Faults that only replays that choose them have, so that the draws of the others stay the same. */
const CHOSEN_FAULTS: Record<string, Effect> = { cutOffInstance, passOn };
const WORK: Record<string, Effect> = { scaleIn, scaleOut, hotKeys, request };

/** Time in milliseconds at which the faults begin; keys are assigned by then. */
const BEGIN_MS = 5_000;

/**
 * The faults and the planned work of a replay: some kinds of faults often, since those of one cause mostly need two or three
 * kinds together. `chosen` gives the frequent kinds.
 *
 * @example
 * plannedFaults(7, 60_000).forEach(fault => clock.setTimer(fault.atMs, () => applyFault(fault, service)));
 */
export const plannedFaults = (seed: number, untilMs: number, chosen?: readonly string[]): PlannedFault[] => {
    const random = seededRandom(seed * 7_919);
    const kinds = Object.keys(FAULTS);
    const drawn = Array.from({ length: 2 + Math.floor(random() * 4) }, () => pick(kinds, random) ?? kinds[0]);
    const frequent = chosen ?? drawn;
    const work = Object.keys(WORK);
    const meanPauseMs = between(300, 1_500, random);
    const planned: PlannedFault[] = [];
    for (let atMs = BEGIN_MS; atMs < untilMs; atMs += 2 * meanPauseMs * random()) {
        const chance = random();
        const kind = pick(chance < 0.35 ? work : chance < 0.9 ? frequent : kinds, random) ?? kinds[0];
        planned.push({ index: planned.length, atMs, kind, seed: Math.floor(random() * 2 ** 31) });
    }
    return planned;
};

/** Begins a planned fault. */
export const applyFault = ({ index, kind, seed }: PlannedFault, service: OwnedService): void => {
    service.note(`fault ${index} ${kind}`);
    const effect = FAULTS[kind] ?? WORK[kind] ?? CHOSEN_FAULTS[kind];
    effect(service, seededRandom(seed));
};
