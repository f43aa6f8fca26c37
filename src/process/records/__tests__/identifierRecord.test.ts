import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { v7 } from "uuid";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { parseIdentifier } from "../../../request/identifier.js";
import { IdentifierRecord, type Admission, type IdentifiedRequest, type RecordedAnswer } from "../identifierRecord.js";
import { RecordAuthority } from "../recordAuthority.js";
import { exportHandOver, importHandOver, recordHandOverSchema } from "../recordHandOver.js";

const requestAt = (timeMs: number, change: Partial<IdentifiedRequest> = {}): IdentifiedRequest => ({
    service: "payout",
    position: 7,
    identifier: parseIdentifier(v7({ msecs: timeMs }))._unsafeUnwrap(),
    fingerprint: Buffer.from("0123456789abcdef", "hex"),
    authoritySinceMs: 0,
    ...change,
});

const answer = (text: string): RecordedAnswer => ({ status: 200, headers: [["x", "y"]], body: Buffer.from(text) });

const run = (admission: Admission) => {
    if (admission.type !== "run") {
        throw new Error(`Expected run, got ${JSON.stringify(admission)}`);
    }
    return admission.handle;
};

const refusalType = (admission: Admission) => (admission.type === "refuse" ? admission.refusal.type : admission.type);

describe("IdentifierRecord", () => {
    test("guards against running a request twice: concurrently, after its answer, and after an unknown end", async () => {
        const clock = new ManualClock();
        const record = new IdentifierRecord({ clock });
        const request = requestAt(clock.wallMs());
        const handle = run(record.admit(request));
        const joined = record.admit(request);
        handle.settle({ type: "answered", answer: answer("paid") });
        handle.settle({ type: "not-run" });
        expect(joined.type === "join" && (await joined.settlement)).toEqual({
            type: "answered",
            answer: answer("paid"),
        });
        expect(record.admit(request)).toEqual({ type: "replay", answer: answer("paid") });
        const other = requestAt(clock.wallMs());
        run(record.admit(other)).settle({ type: "unknown" });
        expect(refusalType(record.admit(other))).toBe("already-run");
        expect(refusalType(record.admit({ ...request, fingerprint: Buffer.alloc(8) }))).toBe("identifier-reused");
    });

    test("guards against permanently refusing a request that did not run", () => {
        const clock = new ManualClock();
        const record = new IdentifierRecord({ clock });
        const request = requestAt(clock.wallMs());
        for (let round = 0; round < 100; round++) {
            run(record.admit(request)).settle({ type: "not-run" });
        }
        expect(record.usage().identifiers).toBe(0);
    });

    test("guards against accepting identifiers whose earlier run can't be excluded", () => {
        const clock = new ManualClock();
        const record = new IdentifierRecord({ clock });
        const now = clock.wallMs();
        expect(refusalType(record.admit(requestAt(now + 501)))).toBe("identifier-from-future");
        expect(refusalType(record.admit(requestAt(now + 500)))).toBe("run");
        expect(refusalType(record.admit(requestAt(now - 120_001)))).toBe("identifier-too-old");
        expect(refusalType(record.admit(requestAt(now - 120_000)))).toBe("run");
        const authoritySinceMs = now - 1_000;
        expect(refusalType(record.admit(requestAt(now, { authoritySinceMs })))).toBe("identifier-before-term");
        expect(refusalType(record.admit(requestAt(now + 1, { authoritySinceMs })))).toBe("run");
    });

    test("guards against running a dropped identifier again after the wall clock is set back", () => {
        const clock = new ManualClock();
        const record = new IdentifierRecord({ clock });
        const request = requestAt(clock.wallMs());
        run(record.admit(request)).settle({ type: "answered", answer: answer("paid") });
        clock.advance(150_000);
        expect(refusalType(record.admit(request))).toBe("identifier-too-old");
        expect(record.usage()).toEqual({ identifiers: 0, tableBytes: 0, answerBytes: 0 });
        clock.shiftWall(-150_000);
        expect(refusalType(record.admit(request))).toBe("identifier-too-old");
    });

    test("guards against unbounded memory, and against dropping identifiers to limit it", () => {
        const clock = new ManualClock();
        const record = new IdentifierRecord({ clock, maximumIdentifiers: 3, maximumAnswersBytes: 700 });
        const requests = [0, 1, 2].map(() => requestAt(clock.wallMs()));
        for (const request of requests) {
            run(record.admit(request)).settle({ type: "answered", answer: answer("x".repeat(50)) });
        }
        expect(record.usage().answerBytes).toBeLessThanOrEqual(700);
        expect(requests.map(request => refusalType(record.admit(request)))).toEqual([
            "already-run",
            "replay",
            "replay",
        ]);
        expect(refusalType(record.admit(requestAt(clock.wallMs())))).toBe("overloaded");
    });

    test("guards against running a request more than once in any order of sends, ends, moves and clock steps", () => {
        const step = fc.oneof(
            fc.record({ type: fc.constant("send" as const), id: fc.nat(5) }),
            fc.record({
                type: fc.constant("end" as const),
                id: fc.nat(5),
                how: fc.constantFrom("answered", "unknown"),
            }),
            fc.record({ type: fc.constant("advance" as const), ms: fc.constantFrom(100, 19_700, 20_000, 90_000) }),
            fc.record({ type: fc.constant("shift" as const), ms: fc.nat(90_000) }),
            fc.record({ type: fc.constant("move" as const), lost: fc.boolean() }),
        );
        fc.assert(
            fc.property(fc.array(step, { maxLength: 40 }), steps => {
                const clock = new ManualClock();
                const ids = [0, 1, 2, 3, 4, 5].map(index => requestAt(clock.wallMs() + index * 20_000));
                const ran = new Set<number>();
                let handles = new Map<number, ReturnType<typeof run>>();
                let record = new IdentifierRecord({ clock });
                let authority = new RecordAuthority();
                authority.set("payout", [{ slice: [0, 100], sinceMs: 0 }]);
                for (const action of steps) {
                    if (action.type === "send") {
                        const authoritySinceMs = authority.sinceMs("payout", 7) ?? Number.MAX_SAFE_INTEGER;
                        const admission = record.admit({ ...ids[action.id], authoritySinceMs });
                        if (admission.type === "run") {
                            expect(ran.has(action.id)).toBe(false);
                            ran.add(action.id);
                            handles.set(action.id, admission.handle);
                        }
                    } else if (action.type === "end") {
                        handles
                            .get(action.id)
                            ?.settle({ type: action.how === "unknown" ? "unknown" : "answered" } as never);
                    } else if (action.type === "advance") {
                        clock.advance(action.ms);
                    } else if (action.type === "shift") {
                        // Only forward: a clock set back between two dispatchers exceeds the skew that the window
                        // allows for.
                        clock.shiftWall(action.ms);
                    } else if (action.type === "move") {
                        const next = new IdentifierRecord({ clock });
                        const nextAuthority = new RecordAuthority();
                        if (action.lost) {
                            nextAuthority.takeOver("payout", [[0, 100]], clock.wallMs());
                        } else {
                            const sent = exportHandOver(record, authority, {
                                handOver: "m",
                                service: "payout",
                                slices: [[0, 100]],
                                skewMs: 500,
                            });
                            const received = recordHandOverSchema.parse(JSON.parse(JSON.stringify(sent)));
                            importHandOver(next, nextAuthority, received)._unsafeUnwrap();
                            expect(nextAuthority.sinceMs("payout", 7)).toBeUndefined();
                            nextAuthority.confirm("m");
                        }
                        record = next;
                        authority = nextAuthority;
                        handles = new Map();
                    }
                }
            }),
            { seed: 11, numRuns: 500 },
        );
    });
});

describe("handover", () => {
    test("guards against a moved slice that loses answers, or against exporting a neighbour's identifiers", () => {
        const clock = new ManualClock();
        const record = new IdentifierRecord({ clock });
        const authority = new RecordAuthority();
        authority.takeOver("payout", [[0, 100]], clock.wallMs() - 50_000);
        const request = requestAt(clock.wallMs());
        const neighbour = requestAt(clock.wallMs(), { position: 8 });
        run(record.admit(request)).settle({ type: "answered", answer: answer("paid") });
        run(record.admit(neighbour)).settle({ type: "unknown" });
        const sent = exportHandOver(record, authority, {
            handOver: "m",
            service: "payout",
            slices: [[0, 8]],
            skewMs: 500,
        });
        const next = new IdentifierRecord({ clock });
        const nextAuthority = new RecordAuthority();
        importHandOver(next, nextAuthority, recordHandOverSchema.parse(sent))._unsafeUnwrap();
        expect(nextAuthority.confirm("m")).toBe(true);
        expect(next.usage().identifiers).toBe(1);
        expect(next.admit(request)).toMatchObject({
            type: "replay",
            answer: { status: 200, body: Buffer.from("paid") },
        });
        expect(nextAuthority.intervalsOf("payout", [[0, 100]])).toEqual([
            { slice: [0, 8], sinceMs: clock.wallMs() - 50_000 },
        ]);
    });

    test("guards against an instant that is too early after an abandoned move", () => {
        const authority = new RecordAuthority();
        authority.prepare("m", "payout", [{ slice: [0, 8], sinceMs: 5 }]);
        authority.discard("m");
        expect(authority.confirm("m")).toBe(false);
        authority.takeOver("payout", [[4, 10]], 900);
        authority.set("payout", [{ slice: [6, 8], sinceMs: 20 }]);
        authority.release("payout", [[9, 10]]);
        expect([3, 4, 6, 8, 9].map(position => authority.sinceMs("payout", position))).toEqual([
            undefined,
            900,
            20,
            900,
            undefined,
        ]);
    });
});
