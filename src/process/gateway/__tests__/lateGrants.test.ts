import { LateGrants } from "../lateGrants.js";

describe("LateGrants", () => {
    it("reports no effect under a higher fencing token, for other keys, and after the grant's lifetime", () => {
        const late = new LateGrants(1_000);
        late.add({ from: 0, to: 99, fence: 3 }, 0);
        expect(late.mayTakeEffect({ from: 50, to: 60, fence: 3 }, 500)).toBe(true);
        expect(late.mayTakeEffect({ from: 50, to: 60, fence: 4 }, 500)).toBe(false);
        expect(late.mayTakeEffect({ from: 100, to: 200, fence: 3 }, 500)).toBe(false);
        expect(late.mayTakeEffect({ from: 50, to: 60, fence: 3 }, 1_001)).toBe(false);
    });
});
