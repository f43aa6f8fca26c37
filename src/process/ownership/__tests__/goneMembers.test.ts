import { expect, test } from "@jest/globals";
import { GoneMembers } from "../goneMembers.js";

test("guards against keeping times after the last row of a gone dispatcher, and against restarting a wait", () => {
    let now = 1_000;
    const members = new Set(["a1.1"]);
    const suspected = new Map([["a1.1", 700]]);
    const counting = new Set(["a1.1"]);
    const gone = new GoneMembers({
        now: () => now,
        isMember: incarnation => members.has(incarnation),
        suspectedAt: incarnation => suspected.get(incarnation),
        mayActOn: () => true,
        isCountedBy: incarnation => counting.has(incarnation),
        leaseAfterEndMs: () => undefined,
    });
    expect(gone.state("a1.1")).toEqual({ type: "suspected", since: 700, mayAct: true });
    members.clear();
    now = 2_000;
    gone.keepOnly(new Set(["a1.1"]));
    expect(gone.state("a1.1")).toEqual({ type: "gone", since: 700 });
    gone.keepOnly(new Set(["a2.1"]));
    expect(gone.since("a1.1")).toBeUndefined();
    // A row that names the dispatcher again was written later, so the wait starts at that time.
    expect(gone.state("a1.1")).toEqual({ type: "gone", since: 2_000 });
    // The lease of a member that doesn't depend on this instance's promise may go on while this instance doesn't hear
    // it.
    members.add("a3.1");
    suspected.set("a3.1", 2_000);
    expect(gone.state("a3.1")).toEqual({ type: "suspected", since: 2_000, mayAct: true });
    expect(gone.since("a3.1")).toBeUndefined();
});
