import { decideAfterAttempt } from "../decideAfterAttempt.js";

const base = {
    repeatability: "nonIdempotent" as const,
    mayHaveRun: false,
    sends: 1,
    maxAttempts: 3,
    leftMs: 1_000,
    hasTarget: true,
    takeRetry: () => true,
};

describe("decideAfterAttempt", () => {
    it("never repeats a non-idempotent request that may have run", () => {
        expect(decideAfterAttempt({ ...base, end: "lost" })).toBe("report-lost");
        expect(decideAfterAttempt({ ...base, end: "failed" })).toBe("deliver");
        expect(decideAfterAttempt({ ...base, end: "not-run", mayHaveRun: true })).toBe("report-lost");
    });

    it("sends a request that has not run to another target, within its attempts, time and retry budget", () => {
        expect(decideAfterAttempt({ ...base, end: "not-run" })).toBe("send-again");
        expect(decideAfterAttempt({ ...base, end: "not-run", sends: 3 })).toBe("refuse");
        expect(decideAfterAttempt({ ...base, end: "not-run", leftMs: 20 })).toBe("refuse");
        expect(decideAfterAttempt({ ...base, end: "not-run", hasTarget: false })).toBe("refuse");
        expect(decideAfterAttempt({ ...base, end: "not-run", takeRetry: () => false })).toBe("refuse");
    });

    it("takes no retry from the budget if nothing was sent", () => {
        const takeRetry = () => {
            throw new Error("a retry was taken from the budget");
        };
        expect(decideAfterAttempt({ ...base, end: "not-sent", sends: 0, takeRetry })).toBe("send-again");
    });

    it("repeats a request without an answer by the same limits, and otherwise waits for the answer", () => {
        const silent = { ...base, repeatability: "idempotent" as const, end: "silent" as const };
        expect(decideAfterAttempt(silent)).toBe("send-again");
        expect(decideAfterAttempt({ ...silent, sends: 3 })).toBe("wait");
        expect(decideAfterAttempt({ ...silent, leftMs: -1 })).toBe("wait");
        expect(decideAfterAttempt({ ...silent, takeRetry: () => false })).toBe("wait");
        expect(decideAfterAttempt({ ...silent, repeatability: "nonIdempotent" })).toBe("wait");
    });

    it("repeats an idempotent request, and forwards the target's error when it can't", () => {
        const idempotent = { ...base, repeatability: "idempotent" as const };
        expect(decideAfterAttempt({ ...idempotent, end: "lost" })).toBe("send-again");
        expect(decideAfterAttempt({ ...idempotent, end: "failed", takeRetry: () => false })).toBe("deliver");
        expect(decideAfterAttempt({ ...idempotent, end: "not-run", mayHaveRun: true, sends: 3 })).toBe("report-lost");
    });
});
