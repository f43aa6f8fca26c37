import { z } from "zod";
import { refuse, type Refusal } from "../../request/refusal.js";
import type { Clock } from "../runtime/clock.js";

/** Time after which a suspicion without a further crash expires. */
export const DEFAULT_SUSPICION_MS = 600_000;
/** Time for which a convicted request is refused. */
export const DEFAULT_CONVICTION_MS = 600_000;
/** Maximum number of fingerprints, about 200 bytes each. Cleared ones are evicted first, then the oldest suspects. */
export const DEFAULT_QUARANTINE_RECORDS = 2_048;
/** Time for which a request that ended without an answer may still be running on the target and crash it. */
export const DEFAULT_ABANDONED_RUN_MS = 2_000;
/** Maximum lead of times from peers over this clock; a peer with a wrong clock must not keep records forever. */
const MAX_PEER_CLOCK_LEAD_MS = 60_000;

/** Maximum number of targets in a record. A conviction takes two crashes, but copies of a request may run on more. */
const MAX_NAMED_TARGETS = 4;

const timeSchema = z.number().int().min(0);

/**
 * State of a fingerprint, as exchanged between instances. Times are wall clock milliseconds, 0 for never. Records of
 * one fingerprint are merged by taking the later of each time, so they may arrive in any order and more than once.
 */
export const quarantineRecordSchema = z.object({
    fingerprint: z.string().regex(/^[0-9a-f]{64}$/),
    suspectedAtMs: timeSchema,
    clearedAtMs: timeSchema,
    convictedAtMs: timeSchema,
    pardonedAtMs: timeSchema,
    /** Keys of the targets that crashed while it was in flight, for operators. */
    targets: z.array(z.string().max(512)).max(MAX_NAMED_TARGETS).optional(),
});
export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>;

/** A request that runs on a target. Exactly one of the methods must be called, unless the target crashes before. */
export interface QuarantineRun {
    /** Records a complete answer, which shows that the request didn't crash the target and clears its suspicion. */
    finish(): void;
    /**
     * Records the end of the request without a complete answer. After a broken connection, call it only if
     * `classifyTargetFailure` has ruled out a crash, or if the request no longer waits for that decision. A crash that is
     * reported within `abandonedRunMs` still counts.
     */
    abandon(): void;
}

/** Whether a request may run on a target. */
export type QuarantineAdmission =
    | { type: "run"; run: QuarantineRun }
    /** Another suspect runs on the target, or the same suspect runs elsewhere; retry when `onSuspectEnd` is called. */
    | { type: "wait" }
    | { type: "refuse"; refusal: Refusal };

/** Fingerprints whose state a crash changed. */
export interface CrashEffect {
    suspected: string[];
    convicted: string[];
}

interface ActiveRun {
    fingerprint: string;
    boot: string;
    isSuspect: boolean;
    abandonedAt: number | undefined;
}

/**
 * Identifies requests that crash their targets by the fingerprints that are in flight at crashes.
 *
 * Requests in flight at a crash become suspects. A target runs only one suspect at a time, and each suspect runs only
 * once at a time, so a second crash identifies the suspect and convicts it. Copies that were started before the
 * suspicion don't lead to a conviction, because several suspects may have been in flight with them.
 *
 * @example
 * const admission = quarantine.start(fingerprint, "t1", boot);
 * if (admission.type === "run") {
 *     await send().then(admission.run.finish);
 * }
 */
export class Quarantine {
    private readonly clock: Clock;
    private readonly onChange: (records: QuarantineRecord[]) => void;
    private readonly onSuspectEnd: () => void;
    private readonly limits: { suspicionMs: number; convictionMs: number; records: number; abandonedRunMs: number };
    private readonly recordsByFingerprint = new Map<string, QuarantineRecord>();
    private readonly runs = new Map<string, Set<ActiveRun>>();

    constructor(options: {
        clock: Clock;
        /** Called with changed records, which are to be sent to peers. */
        onChange?: (records: QuarantineRecord[]) => void;
        /** Called when a waiting suspect may have become able to run. */
        onSuspectEnd?: () => void;
        suspicionMs?: number;
        convictionMs?: number;
        maximumRecords?: number;
        abandonedRunMs?: number;
    }) {
        this.clock = options.clock;
        this.onChange = options.onChange ?? (() => undefined);
        this.onSuspectEnd = options.onSuspectEnd ?? (() => undefined);
        this.limits = {
            suspicionMs: options.suspicionMs ?? DEFAULT_SUSPICION_MS,
            convictionMs: options.convictionMs ?? DEFAULT_CONVICTION_MS,
            records: options.maximumRecords ?? DEFAULT_QUARANTINE_RECORDS,
            abandonedRunMs: options.abandonedRunMs ?? DEFAULT_ABANDONED_RUN_MS,
        };
    }

    /** Current state of a fingerprint. */
    stateOf(fingerprint: string): "clear" | "suspect" | "convicted" {
        const record = this.recordsByFingerprint.get(fingerprint);
        if (record === undefined) {
            return "clear";
        }
        const nowMs = this.clock.wallMs();
        const { convictedAtMs, pardonedAtMs, suspectedAtMs, clearedAtMs } = record;
        if (convictedAtMs > pardonedAtMs && nowMs < convictedAtMs + this.limits.convictionMs) {
            return "convicted";
        }
        return suspectedAtMs > clearedAtMs && nowMs < suspectedAtMs + this.limits.suspicionMs ? "suspect" : "clear";
    }

    /** Wall clock milliseconds until which a convicted fingerprint is refused; `undefined` if it isn't convicted. */
    convictedUntil(fingerprint: string): number | undefined {
        const record = this.recordsByFingerprint.get(fingerprint);
        return record !== undefined && this.stateOf(fingerprint) === "convicted"
            ? record.convictedAtMs + this.limits.convictionMs
            : undefined;
    }

    /** Requests permission to run a request on a target. `boot` is the last known boot identifier of the target. */
    start(fingerprint: string, target: string, boot: string): QuarantineAdmission {
        const state = this.stateOf(fingerprint);
        if (state === "convicted") {
            return { type: "refuse", refusal: refuse("quarantined", "It was in flight at two crashes of targets.") };
        }
        const isSuspect = state === "suspect";
        if (isSuspect && this.mustWait(fingerprint, target)) {
            return { type: "wait" };
        }
        const run: ActiveRun = { fingerprint, boot, isSuspect, abandonedAt: undefined };
        const runs = this.runs.get(target) ?? new Set();
        this.runs.set(target, runs.add(run));
        return {
            type: "run",
            run: {
                finish: () => {
                    // The rest of an answer may arrive after the end of its target has ended the run.
                    const wasSuspectRun = this.endRun(target, run) && run.isSuspect;
                    if (this.clearSuspicion(fingerprint) || wasSuspectRun) {
                        this.onSuspectEnd();
                    }
                },
                abandon: () => this.abandon(target, run),
            },
        };
    }

    /**
     * Records a crash of the process with this boot identifier. Requests started on a later process of the target are
     * not affected, and a second report of the same crash has no effect.
     */
    targetCrashed(target: string, boot: string): CrashEffect {
        const involved = [...(this.runs.get(target) ?? [])].filter(run => run.boot === boot);
        involved.forEach(run => this.endRun(target, run));
        const fingerprints = new Set(involved.map(({ fingerprint }) => fingerprint));
        const suspects = new Set(involved.filter(({ isSuspect }) => isSuspect).map(({ fingerprint }) => fingerprint));
        const nowMs = this.clock.wallMs();
        const effect: CrashEffect = { suspected: [], convicted: [] };
        for (const fingerprint of fingerprints) {
            const record = this.recordOf(fingerprint);
            // A time that isn't later than that of the pardon or clearing would have no effect.
            if (suspects.has(fingerprint)) {
                record.convictedAtMs = Math.max(nowMs, record.pardonedAtMs + 1);
                effect.convicted.push(fingerprint);
            } else {
                record.suspectedAtMs = Math.max(nowMs, record.clearedAtMs + 1);
                effect.suspected.push(fingerprint);
            }
            record.targets = namedTargets(record.targets, [target]);
            this.recordsByFingerprint.set(fingerprint, record);
        }
        this.publish([...fingerprints]);
        if (suspects.size > 0) {
            this.onSuspectEnd();
        }
        return effect;
    }

    /** Number of requests that may run on a process of a target, including those abandoned a short time ago. */
    openRuns(target: string, boot: string): number {
        return [...(this.runs.get(target) ?? [])].filter(run => run.boot === boot).length;
    }

    /**
     * Merges records of peers and returns the stored records that changed. A time too far ahead is replaced by the
     * current time, or ignored if this instance already has a time.
     */
    merge(records: readonly QuarantineRecord[]): QuarantineRecord[] {
        const changed: QuarantineRecord[] = [];
        const nowMs = this.clock.wallMs();
        const later = (ours: number, theirs: number) =>
            theirs > nowMs + MAX_PEER_CLOCK_LEAD_MS ? ours || nowMs : Math.max(ours, theirs);
        for (const theirs of records) {
            const ours = this.recordOf(theirs.fingerprint);
            const merged: QuarantineRecord = {
                fingerprint: theirs.fingerprint,
                suspectedAtMs: later(ours.suspectedAtMs, theirs.suspectedAtMs),
                clearedAtMs: later(ours.clearedAtMs, theirs.clearedAtMs),
                convictedAtMs: later(ours.convictedAtMs, theirs.convictedAtMs),
                pardonedAtMs: later(ours.pardonedAtMs, theirs.pardonedAtMs),
                targets: namedTargets(ours.targets, theirs.targets),
            };
            if (
                merged.suspectedAtMs !== ours.suspectedAtMs ||
                merged.clearedAtMs !== ours.clearedAtMs ||
                merged.convictedAtMs !== ours.convictedAtMs ||
                merged.pardonedAtMs !== ours.pardonedAtMs
            ) {
                changed.push(merged);
            }
            this.recordsByFingerprint.set(theirs.fingerprint, merged);
        }
        this.prune();
        // A record that was evicted immediately would otherwise be forwarded each time a copy of it arrives.
        return changed.filter(({ fingerprint }) => this.recordsByFingerprint.has(fingerprint));
    }

    /** All records that have not expired, for the full exchange with a peer and for operators. */
    records(): QuarantineRecord[] {
        this.prune();
        return [...this.recordsByFingerprint.values()].map(record => ({ ...record }));
    }

    /** Allows a request to run again, by decision of an operator. */
    pardon(fingerprint: string): void {
        const record = this.recordOf(fingerprint);
        record.pardonedAtMs = Math.max(this.clock.wallMs(), record.convictedAtMs);
        this.recordsByFingerprint.set(fingerprint, record);
        this.clearSuspicion(fingerprint);
        this.publish([fingerprint]);
        this.onSuspectEnd();
    }

    private mustWait(fingerprint: string, target: string): boolean {
        this.endExpiredRuns();
        for (const [name, runs] of this.runs) {
            for (const run of runs) {
                if (run.isSuspect && (name === target || run.fingerprint === fingerprint)) {
                    return true;
                }
            }
        }
        return false;
    }

    private abandon(target: string, run: ActiveRun): void {
        if (run.abandonedAt !== undefined || !this.runs.get(target)?.has(run)) {
            return;
        }
        run.abandonedAt = this.clock.monotonicMs();
        this.clock.setTimer(this.limits.abandonedRunMs, () => {
            if (this.endRun(target, run) && run.isSuspect) {
                this.onSuspectEnd();
            }
        });
    }

    /** Ends abandoned runs whose timers are overdue, so that a busy event loop doesn't delay suspects. */
    private endExpiredRuns(): void {
        const nowMs = this.clock.monotonicMs();
        for (const [target, runs] of this.runs) {
            for (const run of runs) {
                if (run.abandonedAt !== undefined && nowMs - run.abandonedAt >= this.limits.abandonedRunMs) {
                    this.endRun(target, run);
                }
            }
        }
    }

    private endRun(target: string, run: ActiveRun): boolean {
        const runs = this.runs.get(target);
        const ended = runs?.delete(run) ?? false;
        if (runs?.size === 0) {
            this.runs.delete(target);
        }
        return ended;
    }

    private clearSuspicion(fingerprint: string): boolean {
        const record = this.recordsByFingerprint.get(fingerprint);
        if (record !== undefined && record.suspectedAtMs > record.clearedAtMs) {
            record.clearedAtMs = Math.max(this.clock.wallMs(), record.suspectedAtMs);
            this.publish([fingerprint]);
            return true;
        }
        return false;
    }

    private publish(fingerprints: readonly string[]): void {
        const changed = fingerprints
            .map(fingerprint => this.recordsByFingerprint.get(fingerprint))
            .filter(record => record !== undefined);
        if (changed.length > 0) {
            this.onChange(changed.map(record => ({ ...record })));
        }
        this.prune();
    }

    private recordOf(fingerprint: string): QuarantineRecord {
        const none = { suspectedAtMs: 0, clearedAtMs: 0, convictedAtMs: 0, pardonedAtMs: 0 };
        return this.recordsByFingerprint.get(fingerprint) ?? { fingerprint, ...none };
    }

    /**
     * Deletes records whose suspicion and conviction have expired, and evicts records beyond the maximum. Cleared ones
     * are kept until they expire; otherwise a late copy of the suspicion from a peer would restore it.
     */
    private prune(): void {
        const nowMs = this.clock.wallMs();
        for (const [fingerprint, { suspectedAtMs, convictedAtMs }] of this.recordsByFingerprint) {
            const expired =
                nowMs >= suspectedAtMs + this.limits.suspicionMs && nowMs >= convictedAtMs + this.limits.convictionMs;
            if (expired) {
                this.recordsByFingerprint.delete(fingerprint);
            }
        }
        const excess = this.recordsByFingerprint.size - this.limits.records;
        if (excess > 0) {
            const ranks = { clear: 0, suspect: 1, convicted: 2 };
            [...this.recordsByFingerprint.values()]
                .map(record => ({ record, rank: ranks[this.stateOf(record.fingerprint)] }))
                .sort((a, b) => a.rank - b.rank || latestOf(a.record) - latestOf(b.record))
                .slice(0, excess)
                .forEach(({ record }) => this.recordsByFingerprint.delete(record.fingerprint));
        }
    }
}

const namedTargets = (before: readonly string[] = [], added: readonly string[] = []): string[] =>
    [...new Set([...before, ...added])].sort().slice(0, MAX_NAMED_TARGETS);

const latestOf = ({ suspectedAtMs, convictedAtMs }: QuarantineRecord): number => Math.max(suspectedAtMs, convictedAtMs);
