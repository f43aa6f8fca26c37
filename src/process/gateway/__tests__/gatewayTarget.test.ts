import { ManualClock } from "../../../../test/support/manualClock.js";
import { isFull } from "../chooseTarget.js";
import { GatewayTarget } from "../gatewayTarget.js";
import { KEY_COUNT, type KeyRange } from "../keyMap.js";
import { KeyLoads, planMoves, type PlannedTarget } from "../planMoves.js";
import { ServiceProfile } from "../serviceProfile.js";
import type { DirectoryTarget } from "../targetDirectory.js";
import { TargetIntake } from "../targetIntake.js";

const createTarget = (id: string, profile?: ServiceProfile) => {
    const clock = new ManualClock();
    const entry = { id, service: "stock", address: "127.0.0.1:1", slots: 3, warmupLeftMs: 0, startedAtMs: 1 };
    return {
        clock,
        target: new GatewayTarget(
            { entry, intake: new TargetIntake() } as unknown as DirectoryTarget,
            clock,
            true,
            4,
            profile,
        ),
    };
};

describe("a target that states a limit", () => {
    it("is limited until it answers a request without one that was sent after the last statement", () => {
        const { clock, target } = createTarget("t1");
        const { intake } = target.listed;
        clock.advance(100);
        expect([2, 2, 3].map(perSecond => intake.stateLimit(perSecond, clock))).toEqual([true, false, true]);
        clock.advance(100);
        expect([intake.endLimit(90), target.limit?.perSecond]).toEqual([false, 3]);
        expect([intake.endLimit(150), target.limit]).toEqual([true, undefined]);
        expect(intake.endLimit(150)).toBe(false);
    });

    it("keeps a limit above 0, because its end is noticed by an answer only", () => {
        const { clock, target } = createTarget("t1");
        target.listed.intake.stateLimit(0, clock);
        expect(target.limit?.perSecond).toBeGreaterThan(0);
    });

    it("loses keys to the others while callers are refused, down to the share that its limit allows", () => {
        const targets = ["t0", "t1", "t2", "t3"].map(id => createTarget(id).target);
        const size = KEY_COUNT / targets.length;
        let ranges: KeyRange[] = targets.map(({ id }, index) => ({
            from: index * size,
            to: (index + 1) * size - 1,
            target: id,
            startedAtMs: 1,
            address: "",
            fence: 1,
        }));
        const loads = new KeyLoads(new Float64Array(KEY_COUNT).fill(1));
        const planned = (isExceeded: boolean): PlannedTarget[] =>
            targets.map((target, index) => ({
                id: target.id,
                startedAtMs: 1,
                address: "",
                ...target.measure(index === 0 ? { perSecond: 3, isExceeded } : undefined),
                canReceive: true,
                canRelease: true,
            }));
        const plan = (isExceeded: boolean) => planMoves({ ranges, targets: planned(isExceeded), loads, balance: true });
        expect(plan(false)).toEqual([]);
        for (let round = 0; round < 40; round++) {
            for (const move of plan(true)) {
                ranges = ranges.flatMap(range => {
                    if (move.from < range.from || move.to > range.to) {
                        return [range];
                    }
                    return [
                        { ...range, to: move.from - 1 },
                        { ...range, from: move.from, to: move.to, target: move.target },
                        { ...range, from: move.to + 1 },
                    ].filter(({ from, to }) => from <= to);
                });
            }
        }
        const owned = ranges
            .filter(({ target }) => target === "t0")
            .reduce((sum, { from, to }) => sum + to - from + 1, 0);
        // The others run 30 requests a second each in 3 slots, so a tenth of their share is fair.
        expect(owned).toBeLessThan((KEY_COUNT / 31) * 1.5);
        expect(owned).toBeGreaterThan(0);
    });
});

describe("a target of which an instance knows little", () => {
    it("is expected to be as fast as the other targets of its service", () => {
        const profile = new ServiceProfile();
        const [known, unknown] = ["t1", "t2"].map(id => createTarget(id, profile).target);
        for (let answer = 0; answer < 20; answer++) {
            known.answered(740, 0);
        }
        expect(unknown.candidate().serviceMs).toBeCloseTo(740);
        unknown.answered(2_000, 0);
        expect(unknown.candidate().serviceMs).toBeLessThan(1_000);
    });

    it("is expected to get more requests from the other instances as it gets more from this one", () => {
        const { target } = createTarget("t1");
        target.started();
        target.report({ running: 3, waiting: 0, slots: 3 });
        expect(target.load()).toBe(3);
        target.started();
        target.started();
        expect(target.load()).toBe(9);
        target.ended();
        target.ended();
        target.ended();
        expect(target.load()).toBe(2);
    });

    it("is full from the queue on that its service has reported", () => {
        const { target } = createTarget("t1");
        target.started();
        target.report({ running: 3, waiting: 2, slots: 3 });
        expect(isFull(target.candidate())).toBe(false);
        target.report({ running: 3, waiting: 7, slots: 3 });
        expect(isFull(target.candidate())).toBe(true);
    });
});
