import type { TargetConnections } from "../../connection/targetConnections.js";
import { DEADLINE_GRACE_MS, type TargetTask } from "../../request/targetTask.js";
import type { Clock } from "../runtime/clock.js";
import type { GrantKeeper } from "../ownership/grantKeeper.js";
import { lateAfterMs } from "./lateAnswer.js";

/** Delay before the probe of a target is repeated after it got no answer, while an answer is late. */
export const LATE_PROBE_PAUSE_MS = 50;

/**
 * Monitors the sends to one target: aborts them after their deadline, and replaces connections that have become silent.
 *
 * @example
 * watch.start(task, deadlineAt);
 */
export class SendWatch {
    constructor(
        private readonly options: {
            clock: Clock;
            keeper: GrantKeeper;
            connections: TargetConnections;
            /** Learned p99 of a route in milliseconds; 0 before its first answer. */
            routeP99Ms: (route: string) => number;
            isSending: (task: TargetTask) => boolean;
            /** Called when a connection was found to be silent. */
            silentConnection: () => void;
            /** Whether an idempotent request may be sent again. */
            mayRetry: () => boolean;
            /** Minimum time in milliseconds without a byte of the answer before a connection is checked. */
            lateAnswerMs?: number;
        },
    ) {}

    /** Starts the timers of a send that begins now. `deadlineAt` is a monotonic time in milliseconds. */
    start(task: TargetTask, deadlineAt: number): void {
        const { clock, routeP99Ms, lateAnswerMs } = this.options;
        const wait = Math.max(0, deadlineAt + DEADLINE_GRACE_MS - clock.monotonicMs());
        task.sendTimers.push(clock.setTimer(wait, () => task.abortSend("deadline")));
        // Suspects run one at a time, and answers take longer after a crash. An aborted suspect still counts as running
        // for some seconds, in which no other suspect may run. Its connection is therefore checked only after the time
        // that applies to a second send.
        const sendsBefore = task.lateSends + (task.suspect ? 1 : 0);
        const lateAfter = lateAfterMs(routeP99Ms(task.route), sendsBefore, lateAnswerMs);
        task.sendTimers.push(clock.setTimer(lateAfter, () => this.checkConnection(task, task.sentAt)));
    }

    /**
     * Probes the target on a new connection while the answer to a send is late. The probe is repeated until the target
     * answers, because the grant keeper's connection may have become silent at the same time.
     */
    private checkConnection(task: TargetTask, sentAt: number): void {
        const { clock, keeper, connections, isSending, silentConnection, mayRetry } = this.options;
        const isOver = () => task.isFinished || task.sentAt !== sentAt || task.hasAnswerStarted || !isSending(task);
        if (isOver()) {
            return;
        }
        void keeper.announce({ fresh: true }).then(answers => {
            if (isOver()) {
                return;
            }
            if (!answers) {
                task.sendTimers.push(clock.setTimer(LATE_PROBE_PAUSE_MS, () => this.checkConnection(task, sentAt)));
                return;
            }
            silentConnection();
            // The target answers on another connection, so connections last used before this send may be silent too.
            connections.closeIdleBefore(sentAt);
            if (task.open.idempotent && mayRetry()) {
                task.lateSends++;
                task.freshConnection = true;
                task.abortSend("late");
            }
        });
    }
}
