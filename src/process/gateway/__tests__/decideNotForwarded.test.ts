import { decideNotForwarded } from "../decideNotForwarded.js";

describe("decideNotForwarded", () => {
    it("suspects an instance that can't be reached or stops", () => {
        expect(decideNotForwarded(undefined, false)).toBe("suspect-instance");
        expect(decideNotForwarded(undefined, true)).toBe("suspect-instance");
        expect(decideNotForwarded("shutting-down", false)).toBe("suspect-instance");
    });

    // Guards against an instance that is avoided like one that has ended because a target is busy.
    it("doesn't suspect one that refuses because of the target or the request", () => {
        expect(decideNotForwarded("overloaded", true)).toBe("none");
        expect(decideNotForwarded("quarantined", true)).toBe("none");
        expect(decideNotForwarded("deadline-passed", false)).toBe("none");
    });

    it("doubts a target that the last instance doesn't reach either", () => {
        expect(decideNotForwarded("owner-unreachable", false)).toBe("none");
        expect(decideNotForwarded("owner-unreachable", true)).toBe("doubt-target");
        expect(decideNotForwarded("no-owner", true)).toBe("doubt-target");
    });
});
