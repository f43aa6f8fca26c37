import { expect, test } from "@jest/globals";
import type { AbortCause } from "../../../request/targetTask.js";
import { decideUnansweredSend } from "../decideUnansweredSend.js";

const failed = (facts: { sent?: boolean; headForwarded?: boolean; cause?: AbortCause } = {}) => ({
    type: "failed" as const,
    failure: { type: "connection-broken", refused: false } as never,
    sent: facts.sent ?? true,
    headForwarded: facts.headForwarded ?? false,
    cause: facts.cause,
});
const ONCE = { isIdempotent: false, isOutOfTime: false };
const AGAIN = { isIdempotent: true, isOutOfTime: false };

test("guards against repeating a request that may have run, or reporting it as not run", () => {
    for (const cause of [undefined, "crash", "moved", "late", "deadline", "caller-gone"] as const) {
        for (const target of ["reset", "crash", "restart"] as const) {
            expect(decideUnansweredSend(failed({ cause }), { ...ONCE, target }).type).toBe("unknown");
        }
    }
    for (const reason of ["grant-expired", "not-owner", "deadline-passed"]) {
        expect(decideUnansweredSend({ type: "abandoned", reason }, ONCE).type).toBe("unknown");
    }
    // Part of the answer has been forwarded, so even an idempotent request can't be repeated.
    expect(decideUnansweredSend(failed({ headForwarded: true }), { ...AGAIN, target: "reset" }).type).toBe("unknown");
});

test("guards against repeating a request before it is known whether its target crashed", () => {
    expect(decideUnansweredSend(failed(), AGAIN)).toEqual({ type: "await-target" });
    expect(decideUnansweredSend(failed(), { ...AGAIN, target: "undecided" })).toEqual({ type: "await-target" });
    expect(decideUnansweredSend(failed(), { ...AGAIN, target: "reset" })).toEqual({ type: "repeat", isBudgeted: true });
});

test("guards against an unknown outcome for requests that have not run, and against repeats after the deadline", () => {
    expect(decideUnansweredSend(failed({ sent: false }), ONCE).type).toBe("not-run");
    expect(decideUnansweredSend({ type: "not-run", reason: "shed" }, ONCE).type).toBe("not-run");
    expect(decideUnansweredSend({ type: "not-run", reason: "deadline-passed" }, AGAIN).type).toBe("expired");
    expect(decideUnansweredSend(failed(), { ...AGAIN, isOutOfTime: true }).type).toBe("unknown");
    expect(decideUnansweredSend({ type: "abandoned", reason: "deadline-passed" }, AGAIN).type).toBe("unknown");
});
