import { expect, test } from "@jest/globals";
import { majorityHasLapsed } from "../majorityHasLapsed.js";
import { MemberLosses, UNHEARD_REMOVAL_MS } from "../memberLosses.js";

test("guards against moving keys from a dispatcher that is cut off with a majority, which the minority removed", () => {
    const losses = new MemberLosses();
    losses.add("a1.1", 20_000, 21_000);
    losses.add("a2.1", 20_000, 21_100);
    losses.add("a3.1", 20_000, 21_200);
    // Of five members, two are left; a new one has joined them and confirms nothing.
    expect(majorityHasLapsed({ confirming: 2, present: 2, lostWith: losses.lostWith("a2.1") })).toBe(false);
    expect(majorityHasLapsed({ confirming: 2, present: 3, lostWith: losses.lostWith("a2.1") })).toBe(false);
    // Of seven, four are left.
    expect(majorityHasLapsed({ confirming: 4, present: 4, lostWith: losses.lostWith("a2.1") })).toBe(true);
    // An instance that joined later doesn't know who was lost.
    expect(majorityHasLapsed({ confirming: 4, present: 5, lostWith: losses.lostWith("b1.1") })).toBe(false);
});

test("guards against a lost target that waits because of members that were removed long before its dispatcher", () => {
    const losses = new MemberLosses();
    losses.add("a1.1", 1_000, 2_000);
    losses.add("a2.1", 2_001 + UNHEARD_REMOVAL_MS, 30_000);
    expect(losses.lostWith("a2.1")).toBe(0);
    expect(losses.lostWith("a1.1")).toBe(1);
    expect(majorityHasLapsed({ confirming: 2, present: 2, lostWith: 0 })).toBe(true);
});
