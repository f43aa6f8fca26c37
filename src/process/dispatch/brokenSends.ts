import { answerLost, deadlineRefusal, type SendResult, type TargetTask } from "../../request/targetTask.js";
import { classifyTargetFailure, type TargetFailure, type TargetFailureObservation } from "./classifyTargetFailure.js";
import type { Clock } from "../runtime/clock.js";
import { decideUnansweredSend } from "./decideUnansweredSend.js";

/** Time for which broken requests wait for the verdict whether their target crashed. */
export const CRASH_VERDICT_WAIT_MS = 1_500;
/** Pause before a request that the target refused without running it is offered again. */
export const RESUBMIT_PAUSE_MS = 10;

type UnansweredResult = Exclude<SendResult, { type: "answered" }>;

/**
 * Requests whose sends brought no answer. Those whose connections broke wait until it is known whether the target
 * crashed, since a request that may have crashed it must not be sent on like any other.
 *
 * @example
 * broken.add(task, result);
 * broken.targetCrashed(); // the target's process has gone, and the quarantine knows
 */
export class BrokenSends {
    private readonly waiting = new Map<TargetTask, UnansweredResult>();

    constructor(
        private readonly options: {
            clock: Clock;
            /** Boot identifier of the target's process as of its last answer; empty before the first one. */
            bootIdentifier: () => string;
            /** Asks the target on a connection of its own. */
            probe: () => Promise<TargetFailureObservation["probe"]>;
            /** Whether the retry budget allows another send. */
            mayRetry: () => boolean;
            submit: (task: TargetTask) => void;
        },
    ) {}

    /** Decides about a request after a send without an answer. */
    add(task: TargetTask, result: UnansweredResult): void {
        this.follow(task, result, undefined);
    }

    delete(task: TargetTask): void {
        this.waiting.delete(task);
    }

    /** Removes and returns all requests that wait. */
    take(): TargetTask[] {
        const taken = [...this.waiting.keys()];
        this.waiting.clear();
        return taken;
    }

    /** The target's process is gone; the quarantine must have been told before. */
    targetCrashed(): void {
        const broken = [...this.waiting];
        this.waiting.clear();
        broken.forEach(([task, result]) => this.follow(task, result, "crash"));
    }

    /** Offers a request that has not run to the target again after a pause. */
    offerAgain(task: TargetTask): void {
        const { clock, submit } = this.options;
        const cancel = clock.setTimer(RESUBMIT_PAUSE_MS, () => {
            if (clock.monotonicMs() >= task.deadlineAt) {
                task.refuse(deadlineRefusal(task, "The target could not take it."));
                return;
            }
            submit(task);
        });
        task.cancelTimers.push(cancel);
    }

    private follow(task: TargetTask, result: UnansweredResult, target: TargetFailure | undefined): void {
        const { clock, submit, mayRetry } = this.options;
        const isOutOfTime = target === undefined && clock.monotonicMs() >= task.deadlineAt;
        const decision = decideUnansweredSend(result, { isIdempotent: task.open.idempotent, isOutOfTime, target });
        if (decision.type === "await-target") {
            this.awaitTarget(task, result);
            return;
        }
        // Without effect after a crash, which has ended the run.
        task.quarantineRun?.abandon();
        switch (decision.type) {
            case "not-run":
                this.offerAgain(task);
                return;
            case "expired":
                task.refuse(deadlineRefusal(task, decision.detail));
                return;
            case "unknown":
                task.refuse(answerLost(decision.detail));
                return;
            case "repeat":
                if (decision.isBudgeted && !mayRetry()) {
                    task.refuse(answerLost("The connection to the target broke and the retry budget is spent."));
                    return;
                }
                task.freshConnection = true;
                submit(task);
        }
    }

    private awaitTarget(task: TargetTask, result: UnansweredResult): void {
        const { clock, bootIdentifier, probe } = this.options;
        const settle = () => {
            if (this.waiting.delete(task)) {
                this.follow(task, result, "reset");
            }
        };
        const bootBefore = bootIdentifier() || undefined;
        this.waiting.set(task, result);
        task.cancelTimers.push(clock.setTimer(CRASH_VERDICT_WAIT_MS, settle));
        void probe().then(answer => {
            // A crash is told through `targetCrashed`, for all requests that it may be due to.
            if (classifyTargetFailure({ bootBefore, probe: answer, brokenConnections: 1 }) === "reset") {
                settle();
            }
        });
    }
}
