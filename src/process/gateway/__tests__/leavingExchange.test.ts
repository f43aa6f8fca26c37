import { entryOf } from "../../../../test/support/assigningInstances.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import {
    FIRST_REPEAT_MS,
    LAST_REPEAT_MS,
    LeavingExchange,
    REPORT_PAUSE_MS,
    STATEMENT_LIFETIME_MS,
} from "../leavingExchange.js";
import type { PeerAddress } from "../peerPort.js";
import type { DirectoryTarget } from "../targetDirectory.js";
import { TargetIntake } from "../targetIntake.js";

const STEP_MS = 5;

const listed = (id: string, startedAtMs = 1): DirectoryTarget => ({
    entry: entryOf(id, startedAtMs),
    usable: true,
    gone: false,
    claimed: false,
    seenAt: 0,
    intake: new TargetIntake(),
});

/** An instance with the targets that it has read from the store. */
interface Instance {
    exchange: LeavingExchange;
    targets: Map<string, DirectoryTarget>;
    isAssigning: boolean;
    /** Identifiers and start times of the targets that it was told of. */
    heard: string[];
    /** Times at which it sent datagrams, and their first receivers. */
    sent: { at: number; to: number }[];
    unanswered: number;
}

/** Instances whose ports are their indices; the first one assigns keys. */
const createInstances = (size: number, ids: string[]) => {
    const clock = new ManualClock();
    const network = {
        /** Whether a datagram of an instance is lost. */
        isLost: (_from: number): boolean => false,
        /** The assigner that the other instances know. */
        assigner: 0,
    };
    const underWay: (() => void)[] = [];
    const instances: Instance[] = Array.from({ length: size }, (_, index) => {
        const instance: Omit<Instance, "exchange"> = {
            targets: new Map(ids.map(id => [id, listed(id)])),
            isAssigning: index === 0,
            heard: [],
            sent: [],
            unanswered: 0,
        };
        const exchange = new LeavingExchange({
            clock,
            isAssigning: () => instance.isAssigning,
            assigner: () => (network.assigner === index ? undefined : { host: "10.1.0.1", port: network.assigner }),
            registered: id => instance.targets.get(id),
            heard: ({ entry }) => instance.heard.push(`${entry.id}@${entry.startedAtMs}`),
            send: ({ port }: PeerAddress, content) => {
                instance.sent.push({ at: clock.monotonicMs(), to: port });
                if (!network.isLost(index)) {
                    underWay.push(() => instances[port].exchange.receive(content, { host: "10.1.0.1", port: index }));
                }
            },
            unanswered: () => instance.unanswered++,
        });
        return Object.assign(instance, { exchange });
    });
    const state = (index: number, id: string, startedAtMs = 1) => instances[index].exchange.stated({ id, startedAtMs });
    const assign = (index: number) => {
        network.assigner = index;
        instances.forEach((instance, other) => (instance.isAssigning = other === index));
    };
    /** Advances the clock in small steps, after each of which datagrams arrive. */
    const advance = (byMs: number) => {
        for (let elapsed = 0; elapsed < byMs; elapsed += STEP_MS) {
            clock.advance(STEP_MS);
            underWay.splice(0).forEach(arrive => arrive());
        }
    };
    return { network, instances, state, assign, advance };
};

describe("a statement of a target that it leaves", () => {
    it("reaches the assigner once, so that it doesn't wait for its next renewal", () => {
        const { advance, instances, state } = createInstances(2, ["t1"]);
        state(1, "t1");
        advance(STEP_MS);
        expect(instances[0].heard).toEqual(["t1@1"]);
        advance(STATEMENT_LIFETIME_MS);
        expect([instances[1].sent.length, instances[0].sent.length]).toEqual([1, 1]);
    });

    it("isn't lost with a datagram: it is repeated with growing pauses, and no longer than it matters", () => {
        const { advance, network, instances, state } = createInstances(2, ["t1"]);
        network.isLost = () => true;
        state(1, "t1");
        advance(60_000);
        const times = instances[1].sent.map(({ at }) => at);
        const pauses = times.slice(1).map((at, index) => at - times[index]);
        expect(pauses.slice(0, 4)).toEqual([FIRST_REPEAT_MS, 400, 800, LAST_REPEAT_MS]);
        expect(Math.max(...pauses)).toBe(LAST_REPEAT_MS);
        expect(Math.max(...times)).toBeLessThan(STATEMENT_LIFETIME_MS);
        expect(instances[1].unanswered).toBeGreaterThan(0);
    });

    it("is repeated when only its acknowledgement was lost", () => {
        const { advance, network, instances, state } = createInstances(2, ["t1"]);
        state(1, "t1");
        network.isLost = from => from === 0;
        advance(50);
        network.isLost = () => false;
        advance(5_000);
        expect(instances[0].heard).toEqual(["t1@1", "t1@1"]);
        expect(instances[1].sent).toHaveLength(2);
    });

    it("isn't acknowledged by an instance that has lost the lease, and reaches the one that has acquired it", () => {
        const { advance, network, instances, state, assign } = createInstances(3, ["t1"]);
        assign(2);
        // Instance 1 hasn't read yet that instance 2 holds the lease.
        network.assigner = 0;
        state(1, "t1");
        advance(1_000);
        expect([instances[0].heard, instances[2].heard]).toEqual([[], []]);
        network.assigner = 2;
        advance(REPORT_PAUSE_MS + STEP_MS);
        expect([instances[0].heard, instances[2].heard]).toEqual([[], ["t1@1"]]);
    });

    it("is reported again to an assigner that replaces the one that has acknowledged it", () => {
        const { advance, instances, state, assign } = createInstances(3, ["t1"]);
        state(1, "t1");
        advance(3_000);
        assign(2);
        advance(REPORT_PAUSE_MS + STEP_MS);
        expect([instances[0].heard, instances[2].heard]).toEqual([["t1@1"], ["t1@1"]]);
    });

    it("is reported by a former assigner to the one that replaces it", () => {
        const { advance, instances, state, assign } = createInstances(2, ["t1"]);
        state(0, "t1");
        advance(500);
        expect(instances[0].sent).toEqual([]);
        assign(1);
        advance(REPORT_PAUSE_MS + STEP_MS);
        expect(instances[1].heard).toEqual(["t1@1"]);
    });

    it("doesn't apply to another start of the target", () => {
        const { advance, instances, state } = createInstances(2, ["t1", "t2"]);
        instances[0].targets.set("t1", listed("t1", 2));
        instances[1].targets.set("t2", listed("t2", 2));
        state(1, "t1");
        state(1, "t2", 2);
        advance(1_000);
        expect(instances[0].heard).toEqual([]);
        // The entry of the new start is read by the assigner, too.
        instances[0].targets.set("t2", listed("t2", 2));
        advance(LAST_REPEAT_MS);
        expect(instances[0].heard).toEqual(["t2@2"]);
        const reports = instances[1].sent.length;
        advance(STATEMENT_LIFETIME_MS);
        expect(instances[1].sent).toHaveLength(reports);
    });

    it.each([
        ["says that it is draining", (target: DirectoryTarget) => (target.entry = { ...target.entry, draining: true })],
        ["is that of a later start", (target: DirectoryTarget) => (target.entry = entryOf("t1", 2))],
    ])("isn't reported any more once its entry %s", (_, change) => {
        const { advance, network, instances, state } = createInstances(2, ["t1"]);
        network.isLost = () => true;
        state(1, "t1");
        advance(50);
        instances[1].targets.forEach(change);
        advance(STATEMENT_LIFETIME_MS);
        expect(instances[1].sent).toHaveLength(1);
    });

    it("is left alone by datagrams of other kinds", () => {
        const { instances } = createInstances(2, []);
        const sender = { host: "10.1.0.1", port: 1 };
        const others = [
            "nonsense",
            '{"service":"stock","keys":[],"targets":[]}',
            '{"type":"leaving-stated","assigner":"10.1.0.1:0","targets":[]}',
            '{"type":"limit-ask","question":1,"knowledge":{"id":"t1","startedAtMs":1,"ageMs":0},"refused":0}',
        ];
        others.forEach(text => expect(instances[0].exchange.receive(Buffer.from(text), sender)).toBe(false));
    });
});

describe("the assigner of 576 instances when 40 targets leave", () => {
    const SIZE = 576;
    const IDS = Array.from({ length: 40 }, (_, index) => `i-7f3a91${index}`);
    const READING_MS = 500;
    /** Each instance sends at most one datagram in 100 ms; two may fall into the same step. */
    const MAX_PER_STEP = 1.2 * SIZE;
    const MAX_PER_INSTANCE = 20;

    it.each([
        ["at once", 0, 0],
        ["at once and a fifth of the datagrams is lost", 0, 0.2],
        ["within a second", 1_000, 0],
        ["within a second and a fifth of the datagrams is lost", 1_000, 0.2],
    ])("isn't flooded with reports when they leave %s", (_, spreadMs, loss) => {
        const random = seededRandom(1);
        const { advance, network, instances, state } = createInstances(SIZE, IDS);
        network.isLost = () => random() < loss;
        const leavesAt = IDS.map(() => random() * spreadMs);
        // An instance reads the statement with its first answer of the target, within half a second.
        const readings = instances
            .flatMap((_, index) =>
                IDS.map((id, target) => ({ index, id, at: leavesAt[target] + random() * READING_MS })),
            )
            .sort((a, b) => a.at - b.at);
        for (let at = 0; at < STATEMENT_LIFETIME_MS + 3_000; at += STEP_MS) {
            while (readings.length > 0 && readings[0].at <= at) {
                const [{ index, id }] = readings.splice(0, 1);
                state(index, id);
            }
            advance(STEP_MS);
        }

        expect(new Set(instances[0].heard).size).toBe(IDS.length);
        const steps = new Map<number, number>();
        instances
            .slice(1)
            .flatMap(({ sent }) => sent)
            .forEach(({ at }) => steps.set(Math.floor(at / 100), (steps.get(Math.floor(at / 100)) ?? 0) + 1));
        const total = [...steps.values()].reduce((sum, count) => sum + count, 0);
        expect(Math.max(...steps.values())).toBeLessThan(MAX_PER_STEP);
        expect(total).toBeLessThan(SIZE * MAX_PER_INSTANCE);
    });
});
