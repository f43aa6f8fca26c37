import { expect, test } from "@jest/globals";
import { confirmsRelease, type ReleaseView } from "../confirmsRelease.js";

test("guards against keys with two owners: only a former dispatcher that knows of the takeover and has stopped confirms", () => {
    const view: ReleaseView = { incarnation: "a1.1f", rowVersion: () => 7, isDispatching: () => false };
    const query = { incarnation: "a1.1f", key: "target/stock/t1", version: 7 };
    const answer = (changed: Partial<ReleaseView>, asked = query) =>
        confirmsRelease(JSON.stringify(asked), { ...view, ...changed });
    expect(answer({})).toBe(true);
    expect(answer({ rowVersion: () => 6 })).toBe(false);
    expect(answer({ isDispatching: () => true })).toBe(false);
    expect(answer({ incarnation: "a1.20" })).toBe(false);
    expect(confirmsRelease("{", view)).toBe(false);
});
