import { answerLost, deadlineRefusal, type SendResult, type TargetTask } from "../../request/targetTask.js";
import { classifyTargetFailure, type TargetFailure, type TargetFailureObservation } from "./classifyTargetFailure.js";
import type { Clock } from "../runtime/clock.js";
import { decideUnansweredSend } from "./decideUnansweredSend.js";

/** Maximum time for which requests on broken connections wait until it is known whether their target crashed. */
export const CRASH_DETECTION_WAIT_MS = 1_500;
/** Delay before a request that the target refused without running it is submitted again. */
export const RESUBMIT_PAUSE_MS = 10;

type UnansweredResult = Exclude<SendResult, { type: "answered" }>;

/**
 * Requests whose sends ended without an answer. Requests whose connections broke wait until it is known whether the
 * target crashed, because a request that may have crashed it must not be sent again without restrictions.
 *
 * @example
 * unanswered.add(task, result);
 * unanswered.targetCrashed(); // the target's process has ended, and the quarantine has been notified
 */
export class UnansweredSends {
    private readonly waiting = new Map<TargetTask, UnansweredResult>();

    constructor(
        private readonly options: {
            clock: Clock;
            /** Boot identifier in the target's last answer; empty before the first answer. */
            bootIdentifier: () => string;
            /** Probes the target on a separate connection. */
            probe: () => Promise<TargetFailureObservation["probe"]>;
            /** Whether the retry budget allows another send. */
            mayRetry: () => boolean;
            submit: (task: TargetTask) => void;
        },
    ) {}

    /** Handles a request after a send without an answer. */
    add(task: TargetTask, result: UnansweredResult): void {
        this.applyDecision(task, result, undefined);
    }

    /** Whether requests wait until it is known whether their target crashed. */
    get awaitsTargetState(): boolean {
        return this.waiting.size > 0;
    }

    /** Removes a request whose caller has left. */
    delete(task: TargetTask): void {
        if (this.waiting.delete(task)) {
            task.quarantineRun?.abandon();
        }
    }

    /** Removes and returns all waiting requests. */
    take(): TargetTask[] {
        const taken = [...this.waiting.keys()];
        taken.forEach(task => this.delete(task));
        return taken;
    }

    /** Handles the end of the target's process; the quarantine must have been notified before. */
    targetCrashed(): void {
        const broken = [...this.waiting];
        this.waiting.clear();
        broken.forEach(([task, result]) => this.applyDecision(task, result, "crash"));
    }

    /** Submits a request that has not run to the target again, after a delay. */
    resubmitLater(task: TargetTask): void {
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

    private applyDecision(task: TargetTask, result: UnansweredResult, target: TargetFailure | undefined): void {
        const { clock, submit, mayRetry } = this.options;
        const isOutOfTime = target === undefined && clock.monotonicMs() >= task.deadlineAt;
        const decision = decideUnansweredSend(result, { isIdempotent: task.open.idempotent, isOutOfTime, target });
        if (decision.type === "await-target") {
            this.awaitTargetState(task, result);
            return;
        }
        // Has no effect after a crash, because the crash has already ended the run.
        task.quarantineRun?.abandon();
        switch (decision.type) {
            case "not-run":
                this.resubmitLater(task);
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

    private awaitTargetState(task: TargetTask, result: UnansweredResult): void {
        const { clock, bootIdentifier, probe } = this.options;
        const settle = () => {
            if (this.waiting.delete(task)) {
                this.applyDecision(task, result, "reset");
            }
        };
        const bootBefore = bootIdentifier() || undefined;
        this.waiting.set(task, result);
        task.cancelTimers.push(clock.setTimer(CRASH_DETECTION_WAIT_MS, settle));
        void probe().then(answer => {
            // A crash is reported by `targetCrashed`, for all requests that may have caused it.
            if (classifyTargetFailure({ bootBefore, probe: answer, brokenConnections: 1 }) === "reset") {
                settle();
            }
        });
    }
}
