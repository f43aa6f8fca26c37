import { jest } from "@jest/globals";
import { err } from "neverthrow";
import { applyFault, plannedFaults, type PlannedFault } from "../../../../test/support/ownerFaults.js";
import { OwnedService } from "../../../../test/support/ownedService.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import type { LogFields, Logger } from "../../observability/logger.js";
import { ASSIGNMENT_TABLE } from "../keyAssigner.js";
import { KEY_COUNT } from "../keyMap.js";

/** Time in which faults begin, and the calm time after it, in milliseconds. */
const FAULTS_MS = 45_000;
const CALM_MS = 25_000;

/** Interval at which the replay checks for an end, and at which copies of the store are made, in milliseconds. */
const STEP_MS = 100;
const COPY_MS = 1_000;
/** Time before the end in which all keys must be held once; keys that are being moved are free for a moment. */
const LAST_MS = 5_000;

interface Outcome {
    violations: string[];
    allowed: string[];
    trace: string[];
    /** Most keys that were held at one time near the end. */
    heldKeys: number;
}

const tracingLogger = (service: () => OwnedService, instance: string): Logger => {
    const write = (message: string, fields?: LogFields) =>
        service().note(`${instance}: ${message} ${JSON.stringify(fields ?? {})}`);
    return { ...SILENT_LOGGER, info: write, warn: write, error: write };
};

/** Plays faults until the rule is broken or the end is reached. */
const replay = async (seed: number, faults: readonly PlannedFault[]): Promise<Outcome> => {
    // Watchers of the lease draw their pauses from `Math.random`.
    jest.spyOn(Math, "random").mockImplementation(seededRandom(seed));
    const service: OwnedService = new OwnedService(seed, instance => tracingLogger(() => service, instance));
    const { clock, targets } = service;
    targets.isEachStartAnother = process.env.OWNER_EACH_START !== undefined;
    ["a1", "a2", "a3"].slice(0, 2 + (seed % 2)).forEach(name => service.startInstance(name));
    ["t1", "t2", "t3", "t4"].forEach(id => service.startTarget(id, `${id}:80`));
    // One target stays sound, so that all keys can be held at the end.
    clock.setTimer(FAULTS_MS, () => service.startTarget("last", "last:80"));
    faults.forEach(fault => clock.setTimer(fault.atMs, () => applyFault(fault, service)));
    let heldKeys = 0;
    for (let atMs = 0; atMs < FAULTS_MS + CALM_MS && targets.violations.length === 0; atMs += STEP_MS) {
        await service.advance(STEP_MS);
        if (atMs % COPY_MS === 0) {
            service.copy();
        }
        if (atMs > FAULTS_MS + CALM_MS - LAST_MS) {
            heldKeys = Math.max(heldKeys, targets.heldKeys());
        }
    }
    service.dispose();
    const { violations, allowed, trace } = targets;
    return { violations, allowed, trace, heldKeys };
};

/** The faults without those that the violation doesn't need. */
const minimised = async (seed: number, faults: readonly PlannedFault[]): Promise<readonly PlannedFault[]> => {
    let needed = faults;
    for (let size = Math.ceil(faults.length / 2); size >= 1; size = size === 1 ? 0 : Math.ceil(size / 2)) {
        for (let from = 0; from < needed.length;) {
            const fewer = [...needed.slice(0, from), ...needed.slice(from + size)];
            if ((await replay(seed, fewer)).violations.length > 0) {
                needed = fewer;
            } else {
                from += size;
            }
        }
    }
    return needed;
};

/**
 * `OWNER_FIRST` and `OWNER_SEEDS` choose the seeds of a long run by hand, `OWNER_MINIMISE` leaves out faults that a violation
 * doesn't need, `OWNER_FAULTS` plays only those with these numbers,
 * `OWNER_KINDS` names the frequent kinds, and with `OWNER_EACH_START` a process that restarts under its identifier needs tokens above
 * those of its former one.
 */
const FIRST = Number(process.env.OWNER_FIRST ?? 1);
const SEEDS = Array.from({ length: Number(process.env.OWNER_SEEDS ?? 24) }, (_, index) => FIRST + index);
/**
 * Seed 1213: an instance froze while it acquired the lease, and then kept it without assigning keys. Seed 3765: a token that was
 * recorded and not sent counted as seen by the owner, which took an earlier grant after its release.
 */
const HANDOVER_SEEDS = [...SEEDS.slice(0, Math.ceil(SEEDS.length / 2)), 1213, 3765];
/** Faults that come beside handovers of the lease. */
const HANDOVER_KINDS = [
    ["harmStore", "lateGrants"],
    ["freezeInstance", "harmedLink"],
    ["killInstance", "silentTarget", "longWork"],
    ["cutInstance", "crash", "lateEntries"],
    ["restore", "cutLink"],
];
const ONLY = process.env.OWNER_FAULTS?.split(",").map(Number);

/** Plays the faults of a seed, and fails with the trace if the rule is broken or keys aren't held at the end. */
const expectKept = async (seed: number, chosen: readonly string[] | undefined): Promise<void> => {
    const planned = plannedFaults(seed, FAULTS_MS, chosen);
    let faults: readonly PlannedFault[] =
        ONLY === undefined ? planned : planned.filter(({ index }) => ONLY.includes(index));
    let outcome = await replay(seed, faults);
    if (outcome.violations.length > 0 && process.env.OWNER_MINIMISE !== undefined) {
        faults = await minimised(seed, faults);
        outcome = await replay(seed, faults);
    }
    const { violations, heldKeys, trace } = outcome;
    const broken = heldKeys === KEY_COUNT ? violations : [...violations, `${heldKeys} keys are held`];
    if (broken.length > 0) {
        const numbers = faults.map(({ index }) => index).join();
        const lines = trace.slice(-Number(process.env.OWNER_LINES ?? 60));
        throw new Error([`seed ${seed}: ${broken[0]}`, `OWNER_FAULTS=${numbers}`, ...lines].join("\n"));
    }
};

describe("Random replay of targets that work on their keys", () => {
    afterEach(() => jest.restoreAllMocks());

    /** Guards against two owners of a key, tokens that don't rise, and keys granted while another target works on them. */
    it.each(SEEDS)("keeps the rule OWNER (seed %d)", seed => expectKept(seed, process.env.OWNER_KINDS?.split(",")));

    /** The same while the lease for assigning keys is passed on, by an instance that reaches no targets or some of them. */
    it.each(HANDOVER_SEEDS)("keeps the rule OWNER over handovers of the lease (seed %d)", seed =>
        expectKept(seed, ["cutOffInstance", "passOn", ...HANDOVER_KINDS[seed % HANDOVER_KINDS.length]]),
    );
});

/** Four targets and an instance that has assigned their keys. */
const startedService = async (): Promise<OwnedService> => {
    const service: OwnedService = new OwnedService(1, name => tracingLogger(() => service, name));
    service.startInstance("a1");
    ["t1", "t2", "t3", "t4"].forEach(id => service.startTarget(id, `${id}:80`));
    await service.advance(8_000);
    service.copy();
    expect(service.targets.heldKeys()).toBe(KEY_COUNT);
    return service;
};

const until = async (service: OwnedService, condition: () => boolean): Promise<void> => {
    for (let elapsed = 0; !condition(); elapsed += 5) {
        if (elapsed > 30_000) {
            throw new Error(`The condition wasn't reached.\n${service.targets.trace.slice(-40).join("\n")}`);
        }
        await service.advance(5);
    }
};

describe("A target that restarts at another address and then at its first one again", () => {
    /** Guards against keys that count as free although a later process of their owner has got renewals at its address. */
    it("keeps the keys that its third process was granted before the second one's entry was read", async () => {
        const service = await startedService();
        const [instance] = service.instances;
        const [first] = [...service.targets.living].filter(({ id }) => id === "t1");
        // This instance reads entries late, as when its own calls to the store are slow.
        instance.entryDelayMs = 1e9;
        service.targets.end(first);
        const second = service.startTarget("t1", "t1-moved:80");
        await service.advance(1_500);
        service.leave("t1", true);
        await service.advance(300);
        const entry = service.entryOf("t1");
        expect(entry).toMatchObject({ address: "t1-moved:80", draining: true });
        service.targets.end(second);
        const third = service.startTarget("t1", "t1:80");
        await until(service, () => third.held.length > 0);
        expect(instance.assigners.lease.isHeld()).toBe(true);
        if (entry !== undefined) {
            instance.targets.directory.put(entry);
        }
        await service.advance(10_000);
        expect(service.targets.violations).toEqual([]);
        service.dispose();
    });
});

describe("A target whose keys were recorded for its second process, which was never reached", () => {
    /** Guards against a hold that is forgotten when the owner on record has another address than the process that has it. */
    it("keeps the keys that its third process holds at the first address under the token of the first one", async () => {
        const service = await startedService();
        const [instance] = service.instances;
        const [first] = [...service.targets.living].filter(({ id }) => id === "t1");
        instance.entryDelayMs = 1e9;
        service.targets.end(first);
        const second = service.startTarget("t1", "t1-moved:80");
        await service.advance(1_500);
        const moved = service.entryOf("t1");
        expect(moved?.address).toBe("t1-moved:80");
        service.targets.end(second);
        const third = service.startTarget("t1", "t1:80");
        await until(service, () => third.held.length > 0);
        if (moved !== undefined) {
            instance.targets.directory.put(moved);
        }
        await service.advance(700);
        // The keys are recorded for the second process now. Then the third one's entry is read.
        const back = service.entryOf("t1");
        expect(back?.address).toBe("t1:80");
        if (back !== undefined) {
            instance.targets.directory.put({ ...back, draining: true });
        }
        await service.advance(10_000);
        expect(service.targets.violations).toEqual([]);
        service.dispose();
    });
});

describe("A target that restarts twice at its address and doesn't answer", () => {
    /** Guards against grants that count for an earlier process only, although they reach the one that has its address now. */
    it("keeps the keys that its last process takes while they are being moved", async () => {
        const service = await startedService();
        let [process] = [...service.targets.living].filter(({ id }) => id === "t1");
        // A renewal without an answer may take effect late, so the token is raised before a release.
        process.isSilent = true;
        await service.advance(2_500);
        for (let restarts = 0; restarts < 2; restarts++) {
            service.targets.end(process);
            process = service.startTarget("t1", "t1:80");
            // It takes grants and releases, and its answers are lost.
            process.isSilent = true;
            service.leave("t1", true);
            await service.advance(4_000);
        }
        await service.advance(12_000);
        expect(service.targets.violations).toEqual([]);
        service.dispose();
    });
});

describe("A target that leaves while its machine answers nothing any more", () => {
    /** Guards against raised grants that go unanswered and put off the end of a hold each time. */
    it("has its keys assigned to others once its last grant that may have arrived has ended", async () => {
        const service = await startedService();
        const [instance] = service.instances;
        instance.link.cut("t1:80", "both");
        await service.advance(2_500);
        service.leave("t1", true);
        await service.advance(30_000);
        const [process] = [...service.targets.living].filter(({ id }) => id === "t1");
        expect(process.held.every(({ until }) => until < service.clock.monotonicMs())).toBe(true);
        expect(service.targets.heldKeys()).toBe(KEY_COUNT);
        service.dispose();
    });
});

describe("An assigner that loses the lease while it writes the assignment of a copy again", () => {
    /** Guards against an assigner that waits for good for the outcome of a write before it has begun to plan. */
    it("assigns keys once it holds the lease again", async () => {
        const service = await startedService();
        const [holder] = service.instances;
        const next = service.startInstance("a2");
        await service.advance(1_000);
        service.killInstance(holder);
        service.restore(() => 0);
        // The copy's assignment is written again when all grants of the killed instance have ended.
        const transact = service.store.transact.bind(service.store);
        let refused = 0;
        let isLost = true;
        service.store.transact = transaction => {
            if (!isLost || transaction.puts.every(({ table }) => table !== ASSIGNMENT_TABLE)) {
                return transact(transaction);
            }
            refused++;
            return Promise.resolve(err({ type: "platform-unavailable", detail: "refused" }));
        };
        await until(service, () => refused > 0);
        service.cutFromStore(next, true);
        await until(service, () => !next.assigners.lease.isHeld());
        await service.advance(1_000);
        isLost = false;
        service.cutFromStore(next, false);
        await service.advance(25_000);
        expect(next.assigners.lease.isHeld()).toBe(true);
        expect(service.targets.heldKeys()).toBe(KEY_COUNT);
        service.dispose();
    });
});
