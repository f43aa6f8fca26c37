import { decideRoom, type Rival, type RoomInput } from "../decideRoom.js";

/** A request of the less urgent of two kinds at a target of 3 slots; times are in milliseconds. */
const base: RoomInput = {
    ...{ expectedMs: 300, serviceMs: 240, slots: 3, leftMs: 3_000, callerLeftMs: 6_000, elapsedMs: 0 },
    ...{ targetLatencyMs: 1_500, priority: 2, waitedMs: 0, isFull: false, hasPriorities: true, work: 1 },
    ...{ isDue: false, canWait: true, ahead: 0, waitSuccess: 1, refusedBefore: 0, random: () => 0 },
    rivals: [],
};
const urgent: Rival = { priority: 1, targetLatencyMs: 600, work: 1, share: 0.5 };
const delayOf = (input: RoomInput): number => {
    const decision = decideRoom(input);
    return decision.type === "refuse" ? decision.delayMs : -1;
};

describe("decideRoom", () => {
    it("guards against a less urgent request that fills the queue before a more urgent one", () => {
        const input = { ...base, expectedMs: 700 };
        expect(decideRoom(input).type).toBe("send");
        expect(decideRoom({ ...input, rivals: [urgent] }).type).toBe("wait");
        expect(decideRoom({ ...input, rivals: [{ ...urgent, priority: 3 }] }).type).toBe("send");
        expect(decideRoom({ ...base, rivals: [urgent] }).type).toBe("send");
    });

    it("guards against a queue that stays unused for a kind that is hardly ever asked for", () => {
        expect(decideRoom({ ...base, expectedMs: 700, rivals: [{ ...urgent, share: 0.01 }] }).type).toBe("send");
    });

    it("guards against a free slot that is kept for a more urgent kind", () => {
        const rival = { ...urgent, targetLatencyMs: 100 };
        expect(decideRoom({ ...base, expectedMs: 240, rivals: [rival] }).type).toBe("send");
    });

    it("guards against the starvation of a kind whose start is due", () => {
        expect(decideRoom({ ...base, expectedMs: 700, rivals: [urgent], isDue: true }).type).toBe("send");
    });

    it("has a request wait only for room that is expected in time", () => {
        const full = { ...base, isFull: true, expectedMs: 1_000 };
        expect(decideRoom(full)).toEqual({ type: "wait", forMs: 180 });
        expect(decideRoom({ ...full, canWait: false }).type).toBe("refuse");
        expect(decideRoom({ ...full, expectedMs: 1_300 }).type).toBe("refuse");
        expect(decideRoom({ ...full, ahead: 4 }).type).toBe("refuse");
    });

    it("guards against long waits that mostly end with a refusal", () => {
        const waiting = { ...base, expectedMs: 900, rivals: [urgent], waitedMs: 181 };
        expect(decideRoom(waiting).type).toBe("wait");
        expect(decideRoom({ ...waiting, waitSuccess: 0.3 }).type).toBe("refuse");
    });

    it("lets a retry wait up to its deadline, so that it isn't refused repeatedly", () => {
        const first = { ...base, isFull: true, expectedMs: 2_000, waitedMs: 181 };
        expect(decideRoom(first).type).toBe("refuse");
        expect(decideRoom({ ...first, elapsedMs: 900 })).toEqual({ type: "wait", forMs: 2_460 });
    });

    it("guards against a request that overtakes those that wait before it", () => {
        expect(decideRoom({ ...base, ahead: 1 }).type).toBe("wait");
    });

    it("guards against an expensive request that is served instead of several cheap ones of its priority", () => {
        const cheap = { ...urgent, priority: 2, work: 0.3, share: 0.8 };
        const expensive = { ...base, work: 2, targetLatencyMs: 600, expectedMs: 250, canWait: false };
        expect(decideRoom(expensive).type).toBe("send");
        expect(decideRoom({ ...expensive, rivals: [cheap] }).type).toBe("refuse");
        expect(decideRoom({ ...expensive, work: 0.3, rivals: [{ ...cheap, work: 2 }] }).type).toBe("send");
    });

    describe("the delay of a refused caller", () => {
        const refused = { ...base, expectedMs: 1_800, canWait: false };

        it("ends when room is expected, after the callers that were refused before", () => {
            expect(delayOf(refused)).toBeCloseTo(1_800 - 1_275);
            expect(delayOf({ ...refused, refusedBefore: 3 })).toBeCloseTo(1_800 - 1_275 + 240);
        });

        it("guards against callers that return together, or before room is expected", () => {
            const delays = [0, 0.5, 0.99].map(drawn => delayOf({ ...refused, random: () => drawn }));
            expect(new Set(delays).size).toBe(3);
            expect(Math.min(...delays)).toBeCloseTo(525);
        });

        it("guards against a less urgent kind that returns before a more urgent one", () => {
            const rivals = [{ ...urgent, targetLatencyMs: 3_000 }];
            expect(delayOf({ ...refused, rivals })).toBeGreaterThan(delayOf(refused));
        });

        it.each([300, 1_000, 2_000])(
            "leaves a caller with %d ms two thirds of them and the time for the work",
            callerLeftMs => {
                for (const random of [() => 0, () => 0.99]) {
                    const delay = delayOf({
                        ...refused,
                        refusedBefore: 50,
                        callerLeftMs,
                        leftMs: callerLeftMs,
                        random,
                    });
                    expect(delay).toBeLessThanOrEqual(callerLeftMs / 3);
                    expect(delay).toBeLessThanOrEqual(callerLeftMs - base.serviceMs);
                }
            },
        );
    });

    it("keeps the present rule and its delay for a service with one priority", () => {
        const single = { ...base, hasPriorities: false, targetLatencyMs: 400, canWait: false };
        expect(decideRoom({ ...single, expectedMs: 340 }).type).toBe("send");
        expect(decideRoom({ ...single, expectedMs: 341 })).toEqual({ type: "refuse", delayMs: 100, isFinal: false });
    });
});
