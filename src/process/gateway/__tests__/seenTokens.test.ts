import { SeenTokens } from "../seenTokens.js";

describe("SeenTokens", () => {
    it("gives the token that was answered for all of some keys", () => {
        const tokens = new SeenTokens();
        tokens.answered({ from: 0, to: 99, fence: 3 });
        tokens.answered({ from: 50, to: 149, fence: 5 });
        expect(tokens.lowest({ from: 0, to: 49 })).toBe(3);
        expect(tokens.lowest({ from: 50, to: 149 })).toBe(5);
        expect(tokens.lowest({ from: 40, to: 60 })).toBe(3);
    });

    it("gives none if a key has had none", () => {
        const tokens = new SeenTokens();
        expect(tokens.lowest({ from: 0, to: 9 })).toBe(0);
        tokens.answered({ from: 0, to: 8, fence: 3 });
        expect(tokens.lowest({ from: 0, to: 9 })).toBe(0);
    });

    it("keeps a higher token beside a later answer with a lower one", () => {
        const tokens = new SeenTokens();
        tokens.answered({ from: 20, to: 29, fence: 7 });
        tokens.answered({ from: 0, to: 99, fence: 4 });
        expect([tokens.lowest({ from: 20, to: 29 }), tokens.lowest({ from: 0, to: 99 })]).toEqual([7, 4]);
    });
});
