import type { AuditChange } from "./auditRecord.js";
import type { MembershipChange } from "../membership/membership.js";
import type { OwnershipChange } from "../ownership/ownership.js";
import type { QuarantineRecord } from "../dispatch/quarantine.js";

/** A change that a daemon makes without an operator's request. */
export type DaemonChange = MembershipChange | OwnershipChange | { type: "quarantined"; record: QuarantineRecord };

/**
 * Converts a change made by an instance into the form that the audit trail records.
 *
 * @example
 * audit.append(auditedChange("a1", { type: "activated", incarnation: "a1.9f" }));
 */
export const auditedChange = (actor: string, change: DaemonChange): AuditChange => {
    switch (change.type) {
        case "registered":
        case "activated":
        case "removed-member":
        case "removed-self":
        case "left":
            return {
                action: "membership",
                subject: `member/${change.incarnation}`,
                actor,
                cause: MEMBERSHIP_CAUSES[change.type],
                after: { change: change.type },
            };
        case "takeover":
            return {
                action: "takeover",
                subject: change.target,
                actor,
                cause: change.cause,
                before: { dispatcher: change.from, term: change.term - 1 },
                after: { dispatcher: actor, term: change.term },
            };
        case "handed-over":
            return {
                action: "takeover",
                subject: change.target,
                actor,
                cause: "handed-over",
                before: { dispatcher: actor, term: change.term - 1 },
                after: { dispatcher: change.to, term: change.term },
            };
        case "target-lost":
            return {
                action: "takeover",
                subject: change.target,
                actor,
                cause: `target-lost: ${change.loss}`,
                after: { term: change.transfer.term, given: change.transfer.given },
            };
        case "moved":
            return {
                action: "move",
                subject: change.transfer.source,
                actor,
                cause: change.cause,
                after: { term: change.transfer.term, given: change.transfer.given },
            };
        case "quarantined":
            return {
                action: "quarantine",
                subject: change.record.fingerprint,
                actor,
                cause: "It was in flight at two crashes of targets.",
                after: { convictedAtMs: change.record.convictedAtMs, targets: change.record.targets },
            };
    }
};

const MEMBERSHIP_CAUSES = {
    registered: "The instance has started.",
    activated: "Every member counts on its promises.",
    "removed-member": "It gave no sign of life.",
    "removed-self": "Another member had removed it.",
    left: "Orderly shutdown.",
} as const;
