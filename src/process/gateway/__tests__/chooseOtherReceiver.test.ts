import { chooseOtherReceiver } from "../chooseOtherReceiver.js";
import type { PlannedTarget } from "../planMoves.js";

const target = (id: string, change: Partial<PlannedTarget> = {}): PlannedTarget => ({
    ...{ id, startedAtMs: 1, address: "", capacity: 1, pressure: 0, canReceive: true, canRelease: true },
    ...change,
});

describe("chooseOtherReceiver", () => {
    const ranges = [
        { from: 0, to: 99, target: "t1" },
        { from: 100, to: 149, target: "t2" },
    ];

    it("guards against keys that all go to one target, or to one with little capacity", () => {
        expect(chooseOtherReceiver([target("t1"), target("t2")], ranges)).toBe("t2");
        expect(chooseOtherReceiver([target("t1", { capacity: 4 }), target("t2")], ranges)).toBe("t1");
        expect(chooseOtherReceiver([target("t1"), target("t2"), target("t3")], ranges)).toBe("t3");
    });

    it("guards against keys for a target that may have none or doesn't take its grants", () => {
        expect(chooseOtherReceiver([target("t1"), target("t2", { canReceive: false })], ranges)).toBe("t1");
        expect(chooseOtherReceiver([target("t1"), target("t2", { isFailing: true })], ranges)).toBe("t1");
        expect(chooseOtherReceiver([target("t1", { canReceive: false })], ranges)).toBeUndefined();
    });
});
