import { expect, test } from "@jest/globals";
import { majorityHasLapsed } from "../majorityHasLapsed.js";
import { MemberLosses, UNSEEN_REMOVAL_MS } from "../memberLosses.js";

test("guards against moving keys from a dispatcher that a minority removed while it is cut off together with a majority", () => {
    const losses = new MemberLosses();
    losses.add("a1.1", 20_000, 21_000);
    losses.add("a2.1", 20_000, 21_100);
    losses.add("a3.1", 20_000, 21_200);
    // Two of five members are left; in the second case a new one has joined, which confirms nothing.
    expect(majorityHasLapsed({ confirming: 2, present: 2, lostWith: losses.lostWith("a2.1") })).toBe(false);
    expect(majorityHasLapsed({ confirming: 2, present: 3, lostWith: losses.lostWith("a2.1") })).toBe(false);
    // Four of seven are left.
    expect(majorityHasLapsed({ confirming: 4, present: 4, lostWith: losses.lostWith("a2.1") })).toBe(true);
    // An instance that joined later doesn't know which members were lost.
    expect(majorityHasLapsed({ confirming: 4, present: 5, lostWith: losses.lostWith("b1.1") })).toBe(false);
});

test("guards against a lost target that waits because of members removed long before its dispatcher was lost", () => {
    const losses = new MemberLosses();
    losses.add("a1.1", 1_000, 2_000);
    losses.add("a2.1", 2_001 + UNSEEN_REMOVAL_MS, 30_000);
    expect(losses.lostWith("a2.1")).toBe(0);
    expect(losses.lostWith("a1.1")).toBe(1);
    expect(majorityHasLapsed({ confirming: 2, present: 2, lostWith: 0 })).toBe(true);
});
