import { rendezvousFirst, rendezvousOrder } from "../membership/rendezvous.js";
import type { TargetRow } from "../store/rows.js";
import type { Versioned } from "../store/tableReplica.js";

/** Additional wait per place behind the preferred instance, in case the preferred ones don't act. */
export const RANK_WAIT_MS = 500;

/** What is known about the instance that a target's row names as its dispatcher. */
export type HolderState =
    /** No instance is named. */
    | { type: "none" }
    | { type: "alive" }
    /** Registered but suspected; `mayAct` says whether this instance may act on that. */
    | { type: "suspected"; since: number; mayAct: boolean }
    /**
     * No longer registered; `since` is when that was first seen. Where this instance gave it no promise, its lease may last
     * for `leaseMs` from then on: 0 if its removal proves that it had lapsed, the length of a promise if unknown.
     */
    | { type: "gone"; since: number; leaseMs?: number };

/** What a decision on takeovers depends on. Times are in monotonic milliseconds. */
export interface TakeoverView {
    now: number;
    /** Incarnation of this instance. */
    self: string;
    /** Members that may dispatch, as far as this instance hears them. */
    candidates: readonly string[];
    /** Candidates that hold a promise given to a holder and so come before the others; `undefined` if all do. */
    claimants?: (incarnation: string) => readonly string[] | undefined;
    holderState: (incarnation: string) => HolderState;
    /** Until when this instance has promised the holder not to take over; `undefined` if it gave no promise. */
    promisedUntil: (incarnation: string) => number | undefined;
    /**
     * When this instance first saw the present version of a row. What other dispatchers sent to the target, or for slices
     * that came to it, they sent before.
     */
    rowSeenAt: (row: Versioned<TargetRow>) => number;
    /** Whether the service's targets check grants, and the longest deadline of those that don't. */
    fencing: (service: string) => { checked: boolean; deadlineCapMs: number } | undefined;
    promiseMs: number;
    /** Whether this instance may take over targets that don't check grants. */
    mayTakeUnchecked: boolean;
}

/** A target that this instance should take over. */
export interface Claim {
    row: Versioned<TargetRow>;
    /** Why: the cause in the audit trail. */
    cause: "unassigned" | "dispatcher-gone" | "dispatcher-suspected";
    /**
     * Monotonic milliseconds from which the former dispatcher can't have sent anything, because its lease had lapsed.
     * `undefined` where the target fences it, which happens only after the takeover.
     */
    lapsedAt: number | undefined;
}

/**
 * Time from which a target may be taken over, or `undefined` while it may not.
 * A target that checks grants fences the old dispatcher itself. For others the promise to the old dispatcher and the
 * last deadline that it may have given must have passed.
 */
const eligibleAt = (
    view: TakeoverView,
    versioned: Versioned<TargetRow>,
): ({ at: number } & Omit<Claim, "row">) | undefined => {
    const row = versioned.value;
    const fencing = view.fencing(row.service);
    const holder = view.holderState(row.dispatcher);
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
    // An instance that joined later gave no promise; the holder's lease may still rest on what came before it.
    const leaseMs = holder.type === "gone" ? (holder.leaseMs ?? view.promiseMs) : view.promiseMs;
    const promisedUntil = view.promisedUntil(row.dispatcher) ?? holder.since + leaseMs;
    const lapsedAt = Math.max(holder.since, promisedUntil, view.rowSeenAt(versioned));
    return { at: lapsedAt + fencing.deadlineCapMs, cause, lapsedAt };
};

/**
 * Decides which targets of the own domain this instance takes over now.
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
 * The row after a takeover.
 *
 * @example
 * claimedRow(row, "a2.1f").term === row.term + 1;
 */
export const claimedRow = (row: TargetRow, dispatcher: string): TargetRow => ({
    ...row,
    dispatcher,
    term: row.term + 1,
});

/**
 * A target that its dispatcher should hand over to the instance that is preferred for it, so that the targets are
 * spread again after instances were replaced; `undefined` when each is where it belongs.
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
