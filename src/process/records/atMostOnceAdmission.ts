import { parseIdentifier, refusalOfIdentifierError, type RequestIdentifier } from "../../request/identifier.js";
import { refuse } from "../../request/refusal.js";
import { answerLost, type TargetTask } from "../../request/targetTask.js";
import type { BundleService } from "../../version/bundle.js";
import type { Clock } from "../runtime/clock.js";
import type { Settlement } from "./identifierRecord.js";
import type { VersionedRow } from "../store/rows.js";
import type { ServiceRecords } from "./serviceRecords.js";

/**
 * Checks the non-idempotent requests for one target against the record of admitted ones: a request runs, joins the
 * running one with the same identifier, gets the recorded answer or is refused.
 *
 * @example
 * admission.admit(task);
 */
export class AtMostOnceAdmission {
    constructor(
        private readonly options: {
            clock: Clock;
            service: BundleService;
            targetKey: string;
            records: () => ServiceRecords;
            /** Version of the target's row that this instance currently holds. */
            rowVersion: () => number;
            ownRows: () => readonly VersionedRow[];
            /** Submits an admitted request for dispatch. */
            submit: (task: TargetTask) => void;
        },
    ) {}

    admit(task: TargetTask): void {
        const { service, records, rowVersion, submit } = this.options;
        const identifier = parseIdentifier(task.open.identifier);
        if (identifier.isErr()) {
            task.refuse(refusalOfIdentifierError(identifier.error));
            return;
        }
        const version = rowVersion();
        const admission = records().admit(service, {
            position: task.position,
            identifier: identifier.value,
            fingerprint: task.open.fingerprint,
        });
        switch (admission.type) {
            case "refuse":
                task.refuse(admission.refusal);
                return;
            case "replay":
                task.replay(admission.answer);
                return;
            case "join":
                this.join(task, admission.settlement);
                return;
            case "run":
                task.runHandle = admission.handle;
                admission.handle.setMayHaveRun(() => task.inFlight || task.mayHaveRun);
                if (service.record === "durable") {
                    void this.recordDurably(task, identifier.value, version);
                } else {
                    submit(task);
                }
        }
    }

    /** Records the identifier in the platform's table before the request may run. */
    private async recordDurably(task: TargetTask, identifier: RequestIdentifier, rowVersion: number): Promise<void> {
        const { clock, service, targetKey, records, ownRows, submit } = this.options;
        const { position, open } = task;
        const isWanted = () => !task.isFinished && clock.monotonicMs() < task.deadlineAt;
        const request = { identifier, fingerprint: open.fingerprint, position };
        const recorded = await records().commit(service, targetKey, request, rowVersion, isWanted);
        recorded.match(
            () => submit(task),
            ({ refusal, row }) => task.refuseWith(refusal, row === undefined ? ownRows() : [row]),
        );
    }

    private join(task: TargetTask, settlement: Promise<Settlement>): void {
        const { clock } = this.options;
        const wait = task.deadlineAt - clock.monotonicMs();
        task.cancelTimers.push(
            clock.setTimer(wait, () => {
                task.mayHaveRun = true;
                task.refuse(answerLost("The first send with this identifier has not ended."));
            }),
        );
        void settlement.then(settled => {
            if (task.isFinished) {
                return;
            }
            if (settled.type === "not-run") {
                this.admit(task);
            } else if (settled.type === "answered" && settled.answer !== undefined) {
                task.replay(settled.answer);
            } else {
                task.mayHaveRun = true;
                const type = settled.type === "answered" ? "already-run" : "answer-lost";
                task.refuse(refuse(type, "The first send with this identifier was sent to the target."));
            }
        });
    }
}
