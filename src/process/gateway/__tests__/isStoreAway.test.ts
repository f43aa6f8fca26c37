import { isStoreAway } from "../isStoreAway.js";

const reading = (isFailing: boolean, silentMs: number) => ({ isFailing, silentMs: () => silentMs });

describe("isStoreAway", () => {
    // A target that had left was used for more than its drain time, because another table couldn't be read for 21 s.
    it("doesn't count a table that can't be read as an outage while the entries are read", () => {
        const targets = reading(false, 100);
        expect(isStoreAway({ targets, all: [reading(true, 21_000), targets] })).toBe(false);
    });

    it("counts an outage that shows in another table while a call for the entries is held", () => {
        const targets = reading(false, 1_200);
        expect(isStoreAway({ targets, all: [reading(true, 1_100), targets] })).toBe(true);
    });

    it("counts an outage of the entries alone, but neither a short one nor a quiet store", () => {
        const quiet = reading(false, 4_000);
        expect(isStoreAway({ targets: reading(true, 1_100), all: [quiet, reading(true, 1_100)] })).toBe(true);
        expect(isStoreAway({ targets: reading(true, 900), all: [quiet, reading(true, 900)] })).toBe(false);
        expect(isStoreAway({ targets: quiet, all: [quiet, quiet] })).toBe(false);
    });
});
