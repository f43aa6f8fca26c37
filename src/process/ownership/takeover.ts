import { rendezvousFirst, rendezvousOrder } from "../membership/rendezvous.js";
import type { TargetRow } from "../store/rows.js";
import type { Versioned } from "../store/tableReplica.js";

/** Additional delay per rank behind the preferred instance, in milliseconds, in case the preferred ones don't act. */
export const RANK_WAIT_MS = 500;

/** State of the instance that a target's row names as its dispatcher. */
export type DispatcherState =
    /** No instance is named. */
    | { type: "none" }
    | { type: "alive" }
    /** Registered but suspected; `mayAct` is whether this instance may act on the suspicion. */
    | { type: "suspected"; since: number; mayAct: boolean }
    /**
     * No longer registered; `since` is when that was first seen. If this instance gave it no promise, its lease may
     * last for another `leaseMs` from then on: 0 if its removal proves that the lease has lapsed. Without `leaseMs` the
     * length of a promise is assumed.
     */
    | { type: "gone"; since: number; leaseMs?: number };

/** Input of the decision on takeovers. Times are monotonic, in milliseconds. */
export interface TakeoverView {
    now: number;
    /** Incarnation of this instance. */
    self: string;
    /** Members that may dispatch, among those that this instance receives heartbeats from. */
    candidates: readonly string[];
    /**
     * Candidates that claim before the others, because they promised a dispatcher not to take over; `undefined` if all
     * did.
     */
    claimants?: (incarnation: string) => readonly string[] | undefined;
    dispatcherState: (incarnation: string) => DispatcherState;
    /** Until when this instance has promised the dispatcher not to take over; `undefined` if it gave no promise. */
    promisedUntil: (incarnation: string) => number | undefined;
    /**
     * When this instance first saw the current version of a row. All requests that earlier dispatchers sent to the
     * target, or for slices that it has received since, were sent before that.
     */
    rowSeenAt: (row: Versioned<TargetRow>) => number;
    /** Whether the service's targets check grants, and the maximum deadline, which matters for targets that don't. */
    fencing: (service: string) => { checked: boolean; deadlineCapMs: number } | undefined;
    promiseMs: number;
    /** Whether this instance may take over targets that don't check grants. */
    mayTakeUnchecked: boolean;
}

/** A target that this instance should take over. */
export interface Claim {
    row: Versioned<TargetRow>;
    /** Reason for the takeover; written to the audit trail. */
    cause: "unassigned" | "dispatcher-gone" | "dispatcher-suspected";
    /**
     * Monotonic time in milliseconds after which the former dispatcher can't have sent anything, because its lease had
     * lapsed. `undefined` if the target itself fences the former dispatcher, which happens only after the takeover.
     */
    lapsedAt: number | undefined;
}

/**
 * Time from which a target may be taken over, or `undefined` while it must not be. A target that checks grants fences
 * the former dispatcher itself. For other targets, the promise to the former dispatcher and the last deadline that it
 * may have set must have passed.
 */
const eligibleAt = (
    view: TakeoverView,
    versioned: Versioned<TargetRow>,
): ({ at: number } & Omit<Claim, "row">) | undefined => {
    const row = versioned.value;
    const fencing = view.fencing(row.service);
    const holder = view.dispatcherState(row.dispatcher);
    if (fencing === undefined || holder.type === "alive") {
        return undefined;
    }
    if (holder.type === "none") {
        return { at: 0, cause: "unassigned", lapsedAt: undefined };
    }
    if (holder.type === "suspected" && !holder.mayAct) {
        return undefined;
    }
    const cause = holder.type === "gone" ? "dispatcher-gone" : "dispatcher-suspected";
    if (fencing.checked) {
        return { at: holder.since, cause, lapsedAt: undefined };
    }
    if (!view.mayTakeUnchecked) {
        return undefined;
    }
    // An instance that joined later gave no promise, but the dispatcher's lease may still depend on earlier promises of
    // other members.
    const leaseMs = holder.type === "gone" ? (holder.leaseMs ?? view.promiseMs) : view.promiseMs;
    const promisedUntil = view.promisedUntil(row.dispatcher) ?? holder.since + leaseMs;
    const lapsedAt = Math.max(holder.since, promisedUntil, view.rowSeenAt(versioned));
    return { at: lapsedAt + fencing.deadlineCapMs, cause, lapsedAt };
};

/**
 * Decides which targets of this instance's domain it takes over now.
 *
 * @example
 * planClaims(view, replica.allTargets().filter(({ value }) => value.domain === domain));
 */
export const planClaims = (view: TakeoverView, rows: readonly Versioned<TargetRow>[]): Claim[] =>
    rows.flatMap((row): Claim[] => {
        const eligible = eligibleAt(view, row);
        if (eligible === undefined) {
            return [];
        }
        const subject = `${row.value.service}/${row.value.target}`;
        const candidates = view.candidates.filter(candidate => candidate !== row.value.dispatcher);
        const claimants = view.claimants?.(row.value.dispatcher) ?? [];
        const order = [
            ...rendezvousOrder(subject, claimants),
            ...rendezvousOrder(subject, candidates).filter(candidate => !claimants.includes(candidate)),
        ];
        const rank = order.indexOf(view.self);
        const { at, cause, lapsedAt } = eligible;
        return rank >= 0 && view.now >= at + rank * RANK_WAIT_MS ? [{ row, cause, lapsedAt }] : [];
    });

/**
 * Returns a target's row as written by a takeover.
 *
 * @example
 * claimedRow(row, "a2.1f").term === row.term + 1;
 */
export const claimedRow = (row: TargetRow, dispatcher: string): TargetRow => ({
    ...row,
    dispatcher,
    term: row.term + 1,
    handOver: "",
});

/**
 * Finds a target that its dispatcher should hand over to its preferred instance, so that the targets are spread evenly
 * again after instances were replaced. `undefined` if every target is already at its preferred instance.
 *
 * @example
 * planHandOver("a2.1f", ["a1.9c", "a2.1f"], ownRows); // { row, to: "a1.9c" }
 */
export const planHandOver = (
    self: string,
    candidates: readonly string[],
    ownRows: readonly TargetRow[],
): { row: TargetRow; to: string } | undefined => {
    for (const row of ownRows) {
        const preferred = rendezvousFirst(`${row.service}/${row.target}`, candidates);
        if (preferred !== undefined && preferred !== self) {
            return { row, to: preferred };
        }
    }
    return undefined;
};
