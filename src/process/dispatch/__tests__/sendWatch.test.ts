import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "../../../../test/support/manualClock.js";
import type { OpenFrame } from "../../../connection/peerProtocol.js";
import type { TargetAnswer } from "../../../connection/targetConnections.js";
import { TargetTask } from "../../../request/targetTask.js";
import { SendWatch } from "../sendWatch.js";

const OPEN = { caller: "c", priority: 0, kind: "labels.print", position: 1, idempotent: false } as unknown as OpenFrame;

const setUp = ({ suspect = false, idempotent = false } = {}) => {
    const clock = new ManualClock();
    const aborted: string[] = [];
    const task = new TargetTask(
        { ...OPEN, idempotent },
        { head: () => undefined, data: () => undefined, end: () => undefined, refused: () => undefined },
        {
            deadlineAt: 10_000,
            suspect,
            fingerprint: "",
            events: { start: () => undefined, sendEnded: () => undefined, left: () => undefined },
        },
    );
    const watch = new SendWatch({
        clock,
        keeper: { announce: async () => idempotent } as unknown as ConstructorParameters<typeof SendWatch>[0]["keeper"],
        connections: { closeIdleBefore: () => undefined } as unknown as ConstructorParameters<
            typeof SendWatch
        >[0]["connections"],
        routeP99Ms: () => 0,
        isSending: () => true,
        silentConnection: () => undefined,
        mayRetry: () => idempotent,
    });
    /** Starts a send with its own deadline and returns the receiver of its answer. */
    const send = (deadlineAt: number): TargetAnswer => {
        let receiver: TargetAnswer | undefined;
        task.sentAt = clock.monotonicMs();
        watch.start(task, deadlineAt);
        task.sendThrough(answer => {
            receiver = answer as TargetAnswer;
            return { abort: reason => aborted.push(reason), pause: () => undefined, resume: () => undefined };
        });
        receiver?.sent();
        return receiver as TargetAnswer;
    };
    return { clock, aborted, send };
};

describe("SendWatch", () => {
    test("guards against the deadline timer of an earlier send aborting a later one", () => {
        const { clock, aborted, send } = setUp();
        const first = send(1_000);
        first.head(503, [{ name: "sassafrasloom-not-run", value: "shed" }], undefined);
        first.end();
        clock.advance(900);
        send(1_900);
        clock.advance(500);
        expect(aborted).toEqual([]);
        clock.advance(700);
        expect(aborted).toHaveLength(1);
    });

    test("guards against aborting a suspect too early, which blocks all other suspects for seconds", async () => {
        for (const [suspect, abortedBefore] of [
            [false, 300],
            [true, 1_050],
        ] as const) {
            // prettier-ignore
            const { clock, aborted, send } = setUp({ suspect, idempotent: true });
            send(9_000);
            clock.advance(abortedBefore - 100);
            await Promise.resolve();
            expect(aborted).toHaveLength(0);
            clock.advance(100);
            await Promise.resolve();
            expect(aborted).toHaveLength(1);
        }
    });
});
