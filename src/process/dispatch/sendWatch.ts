import type { TargetConnections } from "../../connection/targetConnections.js";
import { DEADLINE_GRACE_MS, type TargetTask } from "../../request/targetTask.js";
import type { Clock } from "../runtime/clock.js";
import type { GrantKeeper } from "../ownership/grantKeeper.js";
import { lateAfterMs } from "./lateAnswer.js";

/** Pause before a target that gave no answer is asked again whether a late request's connection is silent. */
export const LATE_PROBE_PAUSE_MS = 50;

/**
 * Watches the sends to one target: ends them after their deadline, and replaces connections that have gone silent.
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
            /** Learned p99 of a route in milliseconds; 0 while nothing is known. */
            routeP99Ms: (route: string) => number;
            isSending: (task: TargetTask) => boolean;
            /** A connection turned out to be silent. */
            silentConnection: () => void;
            /** Whether an idempotent request may be sent again. */
            mayRetry: () => boolean;
            /** Least silence in milliseconds before a connection is doubted. */
            lateAnswerMs?: number;
        },
    ) {}

    /** Watches the send that begins now. `deadlineAt` is in monotonic milliseconds. */
    start(task: TargetTask, deadlineAt: number): void {
        const { clock, routeP99Ms, lateAnswerMs } = this.options;
        const wait = Math.max(0, deadlineAt + DEADLINE_GRACE_MS - clock.monotonicMs());
        task.sendTimers.push(clock.setTimer(wait, () => task.abortSend("deadline")));
        // A suspect runs alone and answers are longer after a crash. One that is given up still counts as running for some
        // seconds, in which no other suspect may run, so its connection is doubted as late as that of a second send.
        const sendsBefore = task.lateSends + (task.suspect ? 1 : 0);
        const lateAfter = lateAfterMs(routeP99Ms(task.route), sendsBefore, lateAnswerMs);
        task.sendTimers.push(clock.setTimer(lateAfter, () => this.doubtConnection(task, task.sentAt)));
    }

    /**
     * Finds out on a new connection whether the target answers while the answer to a send is late. Repeated while
     * nothing is known, since the connection that the keeper uses may have gone silent at the same time.
     */
    private doubtConnection(task: TargetTask, sentAt: number): void {
        const { clock, keeper, connections, isSending, silentConnection, mayRetry } = this.options;
        const isOver = () => task.isFinished || task.sentAt !== sentAt || task.hasProgress || !isSending(task);
        if (isOver()) {
            return;
        }
        void keeper.announce({ fresh: true }).then(answers => {
            if (isOver()) {
                return;
            }
            if (!answers) {
                task.sendTimers.push(clock.setTimer(LATE_PROBE_PAUSE_MS, () => this.doubtConnection(task, sentAt)));
                return;
            }
            silentConnection();
            // The target answers elsewhere, so connections that were last used before this one are doubtful too.
            connections.closeIdleBefore(sentAt);
            if (task.open.idempotent && mayRetry()) {
                task.lateSends++;
                task.freshConnection = true;
                task.abortSend("late");
            }
        });
    }
}
