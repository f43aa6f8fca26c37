import { delayField } from "../refusal.js";

test("guards against callers that return before the end of the time that their refusal was for", () => {
    expect([2.00001, 2.004, 0.35, 1.1, 0.29, 3].map(delayField)).toEqual(["2.01", "2.01", "0.35", "1.1", "0.29", "3"]);
});
