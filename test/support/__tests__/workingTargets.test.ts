import { ManualClock } from "../manualClock.js";
import { WorkingTargets, type Grant, type TargetProcess } from "../workingTargets.js";

const KEYS = { from: 0, to: 99 };

/** Two targets, and the grants that they take. */
const startTargets = () => {
    const clock = new ManualClock();
    const targets = new WorkingTargets(clock, () => 0);
    const start = (id: string) =>
        targets.start({ id, service: "stock", address: `${id}:80`, startedAtMs: 1, clockRate: 1 });
    const grant = (process: TargetProcess, fence: number, change: Partial<Grant> = {}) => {
        const caller = { answer: () => undefined, reset: () => undefined };
        targets.grant(
            process,
            { ...KEYS, fence, holdMs: 8_000, isHeldUp: false, isRepetition: false, ...change },
            caller,
        );
    };
    return { clock, targets, grant, first: start("t1"), second: start("t2") };
};

/** Guards against checks of the rule OWNER that allow more than the rule does. */
describe("WorkingTargets", () => {
    it("counts two owners while the hold of a grant lasts that was renewed by one that doesn't count", () => {
        const { clock, targets, grant, first, second } = startTargets();
        grant(first, 1);
        clock.advance(1_000);
        grant(first, 1, { isHeldUp: true });
        clock.advance(1_000);
        // The first grant still holds the keys for 6 s.
        grant(second, 2);
        expect(targets.violations).toHaveLength(1);
    });

    it("doesn't count two owners once only a grant that doesn't count holds the keys", () => {
        const { clock, targets, grant, first, second } = startTargets();
        grant(first, 1);
        clock.advance(1_000);
        grant(first, 1, { isHeldUp: true });
        clock.advance(7_500);
        grant(second, 2);
        expect(targets.violations).toEqual([]);
        expect(targets.allowed).toHaveLength(1);
    });

    it("counts a grant that is renewed although another target had its keys with a higher token", () => {
        const { clock, targets, grant, first, second } = startTargets();
        grant(first, 1, { holdMs: 1_000 });
        clock.advance(1_500);
        grant(second, 2);
        targets.end(second);
        // A late renewal, for instance by an instance that doesn't know of the second owner.
        grant(first, 1);
        expect(targets.violations).toHaveLength(1);
    });

    it("doesn't count such a renewal if it was held up", () => {
        const { clock, targets, grant, first, second } = startTargets();
        grant(first, 1, { holdMs: 1_000 });
        clock.advance(1_500);
        grant(second, 2);
        targets.end(second);
        grant(first, 1, { isHeldUp: true });
        expect(targets.violations).toEqual([]);
        expect(targets.allowed).toHaveLength(1);
    });
});
