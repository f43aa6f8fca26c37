import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ManualClock } from "../../../../test/support/manualClock.js";
import type { RefusalKind } from "../../../request/refusal.js";
import { TargetScheduler, type ScheduledWork } from "../targetScheduler.js";

type WorkState = "waiting" | "started" | "finished" | "removed" | RefusalKind;

/** A scheduler that records the state of each submitted request. */
class Harness {
    readonly clock = new ManualClock();
    readonly scheduler: TargetScheduler;
    readonly states = new Map<ScheduledWork, WorkState>();
    readonly started: ScheduledWork[] = [];

    constructor(options: { slots: number; cold?: boolean; maxWaiting?: number; maxCallers?: number }) {
        this.scheduler = new TargetScheduler(this.clock, options);
    }

    submit(given: Partial<ScheduledWork> & { deadlineMs?: number } = {}): ScheduledWork {
        const settle = (state: WorkState) => {
            expect(this.states.get(work)).toBe("waiting");
            this.states.set(work, state);
        };
        const work: ScheduledWork = {
            caller: "a",
            priority: "normal",
            route: "lookup",
            declaredLong: false,
            suspect: false,
            position: 0,
            deadlineAt: this.clock.monotonicMs() + (given.deadlineMs ?? 1_000),
            start: () => {
                settle("started");
                this.started.push(work);
            },
            refuse: refusal => settle(refusal.type),
            ...given,
        };
        this.states.set(work, "waiting");
        this.scheduler.submit(work);
        return work;
    }

    /** Finishes the request that started first after `serviceMs`. */
    finishNext(serviceMs = 10): void {
        this.clock.advance(serviceMs);
        const work = this.started.shift();
        if (work !== undefined) {
            this.states.set(work, "finished");
            this.scheduler.finished(work, { outcome: "completed", serviceMs });
        }
    }

    count(state: WorkState): number {
        return [...this.states.values()].filter(other => other === state).length;
    }
}

describe("TargetScheduler", () => {
    test("guards against requests settled never or twice, and against exceeding a limit on requests in flight", () => {
        const step = fc.record({
            action: fc.constantFrom("submit", "submit", "submit", "finish", "shed", "advance", "cancel", "remove", "pause", "resume"), // prettier-ignore
            caller: fc.constantFrom("a", "b", "c"),
            priority: fc.constantFrom("high" as const, "normal" as const, "bulk" as const),
            long: fc.boolean(),
            suspect: fc.boolean(),
            position: fc.integer({ min: 0, max: 3 }),
            ms: fc.integer({ min: 0, max: 60 }),
        });
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 6 }),
                fc.array(step, { maxLength: 120, size: "max" }),
                (slots, steps) => {
                    const harness = new Harness({ slots, maxWaiting: 8, maxCallers: 2 });
                    for (const { action, caller, priority, long, suspect, position, ms } of steps) {
                        const waiting = [...harness.states].find(([, state]) => state === "waiting")?.[0];
                        const running = harness.started[0];
                        if (action === "submit") {
                            harness.submit({
                                caller,
                                priority,
                                declaredLong: long,
                                suspect,
                                position,
                                deadlineMs: 5 * ms,
                            });
                        } else if (action === "finish") {
                            harness.finishNext(ms);
                        } else if (action === "shed" && running !== undefined) {
                            harness.started.shift();
                            harness.states.set(running, "finished");
                            harness.scheduler.finished(running, { outcome: "shed", serviceMs: 0 });
                        } else if (action === "advance") {
                            harness.clock.advance(ms);
                        } else if (action === "cancel" && waiting !== undefined) {
                            expect(harness.scheduler.cancel(waiting)).toBe(true);
                            harness.states.set(waiting, "removed");
                        } else if (action === "remove") {
                            const removed = harness.scheduler.removeIf(work => work.position === position);
                            removed.forEach(work => harness.states.set(work, "removed"));
                        } else if (action === "pause" || action === "resume") {
                            harness.scheduler[action]();
                        }
                        const snapshot = harness.scheduler.snapshot();
                        expect(snapshot.queued).toBe(harness.count("waiting"));
                        expect(snapshot.inFlight).toBe(harness.started.length);
                        expect(snapshot.inFlight).toBeLessThanOrEqual(slots);
                        expect(snapshot.longInFlight).toBeLessThanOrEqual(Math.max(1, Math.floor(slots / 2)));
                        expect(harness.started.filter(work => work.suspect).length).toBeLessThanOrEqual(1);
                    }
                    harness.scheduler.resume();
                    harness.clock.advance(1_000);
                    for (let left = harness.states.size; left > 0; left--) {
                        harness.finishNext(0);
                    }
                    expect(harness.count("waiting")).toBe(0);
                },
            ),
            { seed: 11, numRuns: 300 },
        );
    });

    test("guards against running requests that can't finish in time, and against refusing them at their deadline", () => {
        const harness = new Harness({ slots: 1 });
        for (let index = 0; index < 30; index++) {
            harness.submit({ route: "warm-up", deadlineMs: 10_000 });
        }
        // 30 requests of about 10 ms each are served first.
        const late = harness.submit({ deadlineMs: 100 });
        const inTime = harness.submit({ deadlineMs: 1_000 });
        expect([harness.states.get(late), harness.states.get(inTime)]).toEqual(["overloaded", "waiting"]);
        harness.scheduler.pause();
        const paused = harness.submit({ deadlineMs: 900 });
        harness.clock.advance(899);
        expect(harness.states.get(paused)).toBe("deadline-passed");
    });

    test("guards against starvation of bulk and normal work by high priority, and against ignoring priority", () => {
        const harness = new Harness({ slots: 1 });
        const starts = { high: 0, normal: 0, bulk: 0 };
        for (let round = 0; round < 300; round++) {
            for (const priority of ["high", "normal", "bulk"] as const) {
                harness.submit({ priority, deadlineMs: 60_000 });
            }
            starts[harness.started[0].priority]++;
            harness.finishNext();
        }
        expect(starts.bulk).toBeGreaterThanOrEqual(25);
        expect(starts.normal).toBeGreaterThanOrEqual(25);
        expect(starts.high).toBeGreaterThanOrEqual(200);
    });

    test("guards against starting the oldest request first in an overload, when little of its time is left", () => {
        const harness = new Harness({ slots: 1 });
        const all = Array.from({ length: 60 }, () => harness.submit({ deadlineMs: 1_000 }));
        harness.finishNext(10);
        expect(harness.started).toEqual([all[59]]);
        harness.clock.advance(245);
        expect(harness.states.get(all[1])).toBe("overloaded");
    });

    test("guards against unbounded memory with many callers and requests", () => {
        const harness = new Harness({ slots: 1, maxWaiting: 50, maxCallers: 20 });
        for (let index = 0; index < 5_000; index++) {
            harness.submit({ caller: `caller-${index}`, deadlineMs: 100_000 });
        }
        expect(harness.scheduler.snapshot().queued).toBeLessThanOrEqual(50);
        expect(harness.count("overloaded")).toBe(4_949);
    });

    test("guards against refusing every request forever because of a wrong learned time", () => {
        const harness = new Harness({ slots: 1 });
        harness.submit({ deadlineMs: 60_000 });
        harness.finishNext(50_000);
        harness.submit({ deadlineMs: 200 });
        expect(harness.started.length).toBe(1);
    });

    test("guards against a cold target getting all slots immediately, or no further ones until a request ends", () => {
        const harness = new Harness({ slots: 6, cold: true });
        for (let index = 0; index < 6; index++) {
            harness.submit({ deadlineMs: 20_000 });
        }
        const inFlight = [0, 1_000, 1_000, 3_000].map(ms => {
            harness.clock.advance(ms);
            return harness.started.length;
        });
        expect(inFlight).toEqual([1, 2, 3, 6]);
    });

    test("guards against long work, declared or learned, occupying slots that short work needs", () => {
        const harness = new Harness({ slots: 6 });
        for (let index = 0; index < 40; index++) {
            harness.submit();
            harness.finishNext(10);
        }
        for (let index = 0; index < 8; index++) {
            harness.submit({ route: "export", deadlineMs: 60_000 });
            harness.finishNext(500);
        }
        for (let index = 0; index < 6; index++) {
            harness.submit({ route: index % 2 === 0 ? "export" : "other", declaredLong: index % 2 === 1, deadlineMs: 60_000 }); // prettier-ignore
        }
        expect(harness.scheduler.snapshot()).toMatchObject({ longInFlight: 3, queuedLong: 3 });
    });
});
