import { chooseSuccessor, isOutOfTouch } from "../decideHandover.js";

describe("isOutOfTouch", () => {
    it("needs a considerable share of the owners", () => {
        expect(isOutOfTouch({ owners: 0, unreached: 0 })).toBe(false);
        expect(isOutOfTouch({ owners: 18, unreached: 3 })).toBe(false);
        expect(isOutOfTouch({ owners: 18, unreached: 6 })).toBe(true);
        expect(isOutOfTouch({ owners: 1, unreached: 1 })).toBe(true);
    });
});

describe("chooseSuccessor", () => {
    const told = (...reached: number[]) => reached.map((count, index) => ({ instance: `a${index}`, reached: count }));

    it("is the instance that reaches most owners", () => {
        expect(chooseSuccessor({ asked: 12, ownReached: 0, told: told(0, 12, 7) })?.instance).toBe("a1");
    });

    it("is none if the owners have ended, or if no instance reaches more", () => {
        expect(chooseSuccessor({ asked: 12, ownReached: 8, told: told(8, 8, 7) })).toBeUndefined();
        expect(chooseSuccessor({ asked: 12, ownReached: 0, told: told(0, 0) })).toBeUndefined();
        expect(chooseSuccessor({ asked: 12, ownReached: 0, told: [] })).toBeUndefined();
    });

    it("is none for a small gain, so that the lease doesn't go to and fro in a partial cut", () => {
        expect(chooseSuccessor({ asked: 12, ownReached: 5, told: told(8) })).toBeUndefined();
        expect(chooseSuccessor({ asked: 12, ownReached: 5, told: told(9) })?.instance).toBe("a0");
        expect(chooseSuccessor({ asked: 1, ownReached: 0, told: told(1) })?.instance).toBe("a0");
    });
});
