import { ServiceProfile } from "../serviceProfile.js";

describe("ServiceProfile", () => {
    it("takes the mean of the answers of all targets, also when they are added together", () => {
        const single = new ServiceProfile();
        [600, 800, 700, 900].forEach(serviceMs => single.answered(serviceMs));
        expect(single.serviceMs).toBeCloseTo(750);
        const together = new ServiceProfile();
        together.answered(700, 2);
        together.answered(800, 2);
        expect(together.serviceMs).toBeCloseTo(750);
    });

    it("knows the longest queue that a target has reported", () => {
        const profile = new ServiceProfile();
        expect(profile.queueLimit(6)).toBe(12);
        profile.reported({ running: 6, waiting: 23, slots: 6 });
        profile.reported({ running: 6, waiting: 4, slots: 6 });
        expect(profile.queueLimit(6)).toBe(23);
    });
});
