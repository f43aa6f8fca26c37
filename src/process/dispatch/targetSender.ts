import type { TargetConnections } from "../../connection/targetConnections.js";
import type { Refusal } from "../../request/refusal.js";
import { targetHeaders } from "../../request/targetHeaders.js";
import type { TargetTask } from "../../request/targetTask.js";
import type { BundleService } from "../../version/bundle.js";
import type { DispatchServices } from "./dispatchServices.js";
import type { GrantKeeper } from "../ownership/grantKeeper.js";
import type { QuarantineRun } from "./quarantine.js";
import type { TargetRow } from "../store/rows.js";
import type { SendWatch } from "./sendWatch.js";
import { slicesContain } from "../ownership/sliceMap.js";
import type { TargetRuns } from "./targetRuns.js";
import type { TargetScheduler } from "./targetScheduler.js";

/** How to proceed with a request that has been assigned a slot. */
type SendAdmission =
    | { type: "send"; deadlineAt: number; targetDeadline: number; term: number; run: QuarantineRun }
    /** It can't be sent to the target now. */
    | { type: "later" }
    /** This instance no longer dispatches for its position. */
    | { type: "bounce" }
    | { type: "refuse"; refusal: Refusal };

/**
 * Sends requests that have been assigned a slot to their target, if its row, its grant, the lease and the quarantine
 * allow it at that moment.
 *
 * @example
 * sender.send(task);
 */
export class TargetSender {
    constructor(
        private readonly options: {
            service: BundleService;
            targetKey: string;
            services: DispatchServices;
            keeper: GrantKeeper;
            connections: TargetConnections;
            scheduler: TargetScheduler<TargetTask>;
            runs: TargetRuns;
            watch: SendWatch;
            /** The target's row while this instance dispatches for it. */
            row: () => TargetRow | undefined;
            isHeld: (task: TargetTask) => boolean;
            /** Monotonic time in milliseconds until which this instance may send to the target. */
            authorityUntil: () => number;
            /** Returns a request to the instance that received it. */
            bounce: (task: TargetTask) => void;
            /** Submits a request again after a delay. */
            resubmitLater: (task: TargetTask) => void;
            counters: { sends: number };
        },
    ) {}

    /** Sends a request. If it can't be sent, frees its slot and refuses, returns or resubmits it. */
    send(task: TargetTask): void {
        const { services, scheduler, bounce, resubmitLater } = this.options;
        const now = services.clock.monotonicMs();
        const admission = this.admit(task, now);
        if (admission.type === "send") {
            this.start(task, now, admission);
            return;
        }
        scheduler.finished(task, { outcome: "failed", serviceMs: 0 });
        if (admission.type === "bounce") {
            bounce(task);
        } else if (admission.type === "refuse") {
            task.refuse(admission.refusal);
        } else {
            resubmitLater(task);
        }
    }

    private admit(task: TargetTask, now: number): SendAdmission {
        const { service, targetKey, services, keeper, isHeld, authorityUntil } = this.options;
        const { anyOwner } = task.open;
        const row = this.options.row();
        if (row === undefined || (!anyOwner && !slicesContain(row.slices, task.position))) {
            return { type: "bounce" };
        }
        const covered = anyOwner || keeper.covers(task.position);
        const deadlineAt = this.deadline(task, now);
        const targetDeadline = keeper.targetTime(deadlineAt);
        if (!covered || isHeld(task) || authorityUntil() <= now || targetDeadline === undefined) {
            return { type: "later" };
        }
        const admission = services.quarantine.start(task.fingerprint, targetKey, keeper.bootIdentifier);
        if (admission.type !== "run") {
            return admission.type === "wait" ? { type: "later" } : admission;
        }
        const term = service.grants === "checked" ? (keeper.granted()?.term ?? row.term) : row.term;
        return { type: "send", deadlineAt, targetDeadline, term, run: admission.run };
    }

    /** Deadlines for unchecked targets are capped, because a takeover waits for the latest deadline that was sent. */
    private deadline(task: TargetTask, now: number): number {
        const { service } = this.options;
        return service.grants === "unchecked"
            ? Math.min(task.deadlineAt, now + service.deadlineCapMs)
            : task.deadlineAt;
    }

    private start(task: TargetTask, now: number, admission: Extract<SendAdmission, { type: "send" }>): void {
        const { service, services, connections, scheduler, runs, watch, counters } = this.options;
        const { deadlineAt, targetDeadline, term, run } = admission;
        task.quarantineRun = run;
        task.inFlight = true;
        task.sentAt = now;
        task.mayHaveRunBefore = task.mayHaveRun;
        runs.add(task, deadlineAt);
        watch.start(task, deadlineAt);
        if (scheduler.longRunning > 0 && !task.declaredLong && task.sends === 0) {
            services.headOfLineDelay(service.name, now - (task.deadlineAt - task.open.deadlineMs));
        }
        const fresh = task.freshConnection;
        task.freshConnection = false;
        counters.sends++;
        const { method, path, body } = task.open;
        const headers = targetHeaders(task.open, term, targetDeadline);
        task.sendThrough(answer => connections.send({ method, path, headers, body }, answer, { fresh }));
    }
}
