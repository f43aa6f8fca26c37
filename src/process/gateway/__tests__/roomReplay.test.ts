import { replayRooms, type KindResult, type RoomKind, type RoomLoad } from "../../../../test/support/roomReplay.js";

/** Two kinds of a keyed service, the less urgent one with a long target latency. */
const URGENT: RoomKind = {
    ...{ name: "urgent", ratePerS: 732, workMs: 240, targetLatencyMs: 608, deadlineMs: 5_064, timeoutMs: 2_000 },
    ...{ priority: 1, valueInTime: 0.98, valueLate: 0.29 },
};
const PATIENT: RoomKind = {
    ...{ name: "patient", ratePerS: 374, workMs: 310, targetLatencyMs: 1_508, deadlineMs: 6_028, timeoutMs: 3_000 },
    ...{ priority: 2, valueInTime: 0.98, valueLate: 0.44 },
};
/** Part of the deployment of 215 targets and 85 instances that is replayed. */
const SCALE = 1 / 5;
const scaled = (kind: RoomKind): RoomKind => ({ ...kind, ratePerS: kind.ratePerS * SCALE });

const KEYED: RoomLoad = {
    ...{ keyed: true, targets: 215 * SCALE, instances: 85 * SCALE, slots: 3, queue: 12 },
    kinds: [scaled(URGENT), scaled(PATIENT)],
    durationMs: 14_000,
    factor: () => 1,
    hotShare: 0,
    reportMs: 250,
};
const inBurst = (at: number): boolean => at >= 4_000 && at < 10_000;
const LOADS: Record<string, RoomLoad> = {
    "a burst of the less urgent kind": {
        ...KEYED,
        factor: ({ name }, at) => (name === "patient" && inBurst(at) ? 2.6 : 1),
    },
    "a burst of the more urgent kind": {
        ...KEYED,
        factor: ({ name }, at) => (name === "urgent" && inBurst(at) ? 2.6 : 1),
    },
    "a wave with failure domains out of phase": {
        ...KEYED,
        ...{ keyed: false, targets: 49 * SCALE + 0.2, durationMs: 26_000 },
        kinds: [
            {
                ...URGENT,
                ratePerS: 244,
                workMs: 96,
                targetLatencyMs: 404,
                deadlineMs: 2_526,
                priority: 0,
                valueInTime: 3.7,
                valueLate: 0.45,
            },
            {
                ...PATIENT,
                ratePerS: 260,
                workMs: 170,
                targetLatencyMs: 604,
                deadlineMs: 3_022,
                timeoutMs: 2_000,
                priority: 1,
                valueInTime: 2.9,
                valueLate: 0.88,
            },
        ].map(scaled),
        factor: (_, at, domain) => 1.5 + 0.55 * Math.sin((2 * Math.PI * at) / 13_000 + (2 * Math.PI * domain) / 3),
    },
    // The owner is one of the slow targets: 3 slots, work of 263 ms, a speed of 0.6, and slowdowns of 1.4 on average give 4.9 a second.
    "a key that is asked for at ten times the capacity of its owner": { ...KEYED, hotShare: 0.22 },
};

/** Sums of the results by kind over some seeds. */
const sumOf = (load: RoomLoad, hasRooms: boolean): Map<string, KindResult> => {
    const sums = new Map<string, KindResult>();
    for (const seed of [1, 2, 3]) {
        for (const [name, { asked, served, inTime, value, costlyWaits }] of replayRooms(load, seed, hasRooms)) {
            const sum = sums.get(name) ?? { asked: 0, served: 0, inTime: 0, value: 0, costlyWaits: 0 };
            sums.set(name, {
                asked: sum.asked + asked,
                served: sum.served + served,
                inTime: sum.inTime + inTime,
                value: (sum.value * sum.asked + value * asked) / (sum.asked + asked),
                costlyWaits: sum.costlyWaits + costlyWaits,
            });
        }
    }
    return sums;
};
const shareOf = (part: number, { asked }: KindResult): number => part / asked;

describe.each(Object.keys(LOADS))("%s", name => {
    const load = LOADS[name];
    const results = { earlier: sumOf(load, false), rooms: sumOf(load, true) };
    const of = (rule: "earlier" | "rooms", kind: string) => results[rule].get(kind) as KindResult;
    const valueOf = (rule: "earlier" | "rooms"): number =>
        load.kinds.reduce((sum, kind) => {
            const { asked, value } = of(rule, kind.name);
            return sum + asked * value * kind.valueInTime;
        }, 0);
    const [urgent, patient] = [of("rooms", "urgent"), of("rooms", "patient")];

    it("guards against a more urgent kind that is served less often or earns less than a less urgent one", () => {
        const served = [urgent, patient].map(result => shareOf(result.served, result));
        expect(served[0]).toBeGreaterThanOrEqual(served[1] - 0.05);
        expect(urgent.value).toBeGreaterThanOrEqual(patient.value - 0.15);
    });

    it("guards against a kind that is served less than a quarter as often as all requests", () => {
        const all = (urgent.served + patient.served) / (urgent.asked + patient.asked);
        expect(Math.min(...[urgent, patient].map(result => shareOf(result.served, result)))).toBeGreaterThan(all / 4);
    });

    it("guards against answers of less value than by the earlier rule", () => {
        // In a load that all targets can serve, the two rules differ by chance only.
        const asked = urgent.asked + patient.asked;
        expect(valueOf("rooms")).toBeGreaterThan(valueOf("earlier") - 2 * Math.sqrt(asked));
    });
});
