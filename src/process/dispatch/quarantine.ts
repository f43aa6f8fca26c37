import { z } from "zod";
import { refuse, type Refusal } from "../../request/refusal.js";
import type { Clock } from "../runtime/clock.js";

/** Time for which a suspicion holds without a further crash. */
export const DEFAULT_SUSPICION_MS = 600_000;
/** Time for which a convicted request is refused. */
export const DEFAULT_CONVICTION_MS = 600_000;
/** Fingerprints kept; about 200 bytes each. Cleared ones make room first, then the oldest suspects. */
export const DEFAULT_QUARANTINE_RECORDS = 2_048;
/** Time after its end without an answer in which a request may still be running on the target and crash it. */
export const DEFAULT_LINGERING_MS = 2_000;
/** How far ahead of this clock the times of peers may be; a peer's wrong clock must not make records eternal. */
const PEER_CLOCK_ALLOWANCE_MS = 60_000;

/** Targets named in a record. A conviction needs two crashes; copies of a request may run on more. */
const MAX_NAMED_TARGETS = 4;

const timeSchema = z.number().int().min(0);

/**
 * What is known of a fingerprint, as shared between instances. Times are wall milliseconds, 0 for never. Records of one
 * fingerprint are merged by the later of each time, so they may arrive in any order and more than once.
 */
export const quarantineRecordSchema = z.object({
    fingerprint: z.string().regex(/^[0-9a-f]{64}$/),
    suspectedAtMs: timeSchema,
    clearedAtMs: timeSchema,
    convictedAtMs: timeSchema,
    pardonedAtMs: timeSchema,
    /** Keys of the targets that crashed with it in flight, for operators. */
    targets: z.array(z.string().max(512)).max(MAX_NAMED_TARGETS).optional(),
});
export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>;

/** A request that runs on a target. Exactly one of the functions is called, unless the target crashes before. */
export interface QuarantineRun {
    /** The target answered completely: whatever the request was suspected of, it didn't crash the target. */
    finish(): void;
    /**
     * The request ended without a complete answer. Call it only after `classifyTargetFailure` has said that a broken
     * connection was no crash.
     */
    abandon(): void;
}

/** Whether a request may run on a target. */
export type QuarantineAdmission =
    | { type: "run"; run: QuarantineRun }
    /** Another suspect runs, or the same suspect runs elsewhere; ask again when `onSuspectEnd` is called. */
    | { type: "wait" }
    | { type: "refuse"; refusal: Refusal };

/** What a crash changed. */
export interface CrashEffect {
    suspected: string[];
    convicted: string[];
}

interface ActiveRun {
    fingerprint: string;
    boot: string;
    asSuspect: boolean;
    abandonedAt: number | undefined;
}

/**
 * Finds requests that crash their targets, by the fingerprints in flight at crashes.
 *
 * Requests in flight at a crash become suspects. A suspect runs alone among suspects on a target and once at a time, so
 * a second crash under it points to it alone and convicts it. Copies that were started before the suspicion don't
 * convict: several suspects may have been in flight with them.
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
    private readonly limits: { suspicionMs: number; convictionMs: number; records: number; lingeringMs: number };
    private readonly held = new Map<string, QuarantineRecord>();
    private readonly runs = new Map<string, Set<ActiveRun>>();

    constructor(options: {
        clock: Clock;
        /** Called with records to be sent to peers. */
        onChange?: (records: QuarantineRecord[]) => void;
        /** Called when a waiting suspect may be able to run. */
        onSuspectEnd?: () => void;
        suspicionMs?: number;
        convictionMs?: number;
        maximumRecords?: number;
        lingeringMs?: number;
    }) {
        this.clock = options.clock;
        this.onChange = options.onChange ?? (() => undefined);
        this.onSuspectEnd = options.onSuspectEnd ?? (() => undefined);
        this.limits = {
            suspicionMs: options.suspicionMs ?? DEFAULT_SUSPICION_MS,
            convictionMs: options.convictionMs ?? DEFAULT_CONVICTION_MS,
            records: options.maximumRecords ?? DEFAULT_QUARANTINE_RECORDS,
            lingeringMs: options.lingeringMs ?? DEFAULT_LINGERING_MS,
        };
    }

    /** State of a fingerprint now. */
    stateOf(fingerprint: string): "clear" | "suspect" | "convicted" {
        const record = this.held.get(fingerprint);
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

    /** Wall milliseconds until which a convicted fingerprint is refused; `undefined` for others. */
    convictedUntil(fingerprint: string): number | undefined {
        const record = this.held.get(fingerprint);
        return record !== undefined && this.stateOf(fingerprint) === "convicted"
            ? record.convictedAtMs + this.limits.convictionMs
            : undefined;
    }

    /** Asks to run a request on a target. `boot` is the target's boot identifier, as far as known. */
    start(fingerprint: string, target: string, boot: string): QuarantineAdmission {
        const state = this.stateOf(fingerprint);
        if (state === "convicted") {
            return { type: "refuse", refusal: refuse("quarantined", "It was in flight at two crashes of targets.") };
        }
        const asSuspect = state === "suspect";
        if (asSuspect && this.mustWait(fingerprint, target)) {
            return { type: "wait" };
        }
        const run: ActiveRun = { fingerprint, boot, asSuspect, abandonedAt: undefined };
        const runs = this.runs.get(target) ?? new Set();
        this.runs.set(target, runs.add(run));
        return {
            type: "run",
            run: {
                finish: () => {
                    if (this.endRun(target, run)) {
                        if (this.clearSuspicion(fingerprint) || run.asSuspect) {
                            this.onSuspectEnd();
                        }
                    }
                },
                abandon: () => this.abandon(target, run),
            },
        };
    }

    /**
     * Records a crash of the process with this boot identifier. Requests started on a later process of the target are
     * not touched, and a second report of the same crash changes nothing.
     */
    targetCrashed(target: string, boot: string): CrashEffect {
        const involved = [...(this.runs.get(target) ?? [])].filter(run => run.boot === boot);
        involved.forEach(run => this.endRun(target, run));
        const fingerprints = new Set(involved.map(({ fingerprint }) => fingerprint));
        const guilty = new Set(involved.filter(({ asSuspect }) => asSuspect).map(({ fingerprint }) => fingerprint));
        const nowMs = this.clock.wallMs();
        const effect: CrashEffect = { suspected: [], convicted: [] };
        for (const fingerprint of fingerprints) {
            const record = this.recordOf(fingerprint);
            // A time that isn't later than that of the clearing would be without effect.
            if (guilty.has(fingerprint)) {
                record.convictedAtMs = Math.max(nowMs, record.pardonedAtMs + 1);
                effect.convicted.push(fingerprint);
            } else {
                record.suspectedAtMs = Math.max(nowMs, record.clearedAtMs + 1);
                effect.suspected.push(fingerprint);
            }
            record.targets = namedTargets(record.targets, [target]);
            this.held.set(fingerprint, record);
        }
        this.announce([...fingerprints]);
        if (guilty.size > 0) {
            this.onSuspectEnd();
        }
        return effect;
    }

    /** Requests that may run on a process of a target, those included whose answers were given up a short time ago. */
    openRuns(target: string, boot: string): number {
        return [...(this.runs.get(target) ?? [])].filter(run => run.boot === boot).length;
    }

    /** Takes over records of peers. Times too far ahead count as now, once. Gives the held records that this changed. */
    merge(records: readonly QuarantineRecord[]): QuarantineRecord[] {
        const changed: QuarantineRecord[] = [];
        const nowMs = this.clock.wallMs();
        const later = (ours: number, theirs: number) =>
            theirs > nowMs + PEER_CLOCK_ALLOWANCE_MS ? ours || nowMs : Math.max(ours, theirs);
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
            this.held.set(theirs.fingerprint, merged);
        }
        this.dropExcess();
        // A record that is dropped at once would be passed on each time that a copy of it arrives.
        return changed.filter(({ fingerprint }) => this.held.has(fingerprint));
    }

    /** All records that still matter, for the full exchange with a peer and for operators. */
    records(): QuarantineRecord[] {
        this.dropExcess();
        return [...this.held.values()].map(record => ({ ...record }));
    }

    /** An operator's decision to let a request run again. */
    pardon(fingerprint: string): void {
        const record = this.recordOf(fingerprint);
        record.pardonedAtMs = Math.max(this.clock.wallMs(), record.convictedAtMs);
        this.held.set(fingerprint, record);
        this.clearSuspicion(fingerprint);
        this.announce([fingerprint]);
        this.onSuspectEnd();
    }

    private mustWait(fingerprint: string, target: string): boolean {
        this.dropLingering();
        for (const [name, runs] of this.runs) {
            for (const run of runs) {
                if (run.asSuspect && (name === target || run.fingerprint === fingerprint)) {
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
        this.clock.setTimer(this.limits.lingeringMs, () => {
            if (this.endRun(target, run) && run.asSuspect) {
                this.onSuspectEnd();
            }
        });
    }

    /** Ends lingering runs whose timers are late, so that a busy event loop doesn't hold up suspects. */
    private dropLingering(): void {
        const nowMs = this.clock.monotonicMs();
        for (const [target, runs] of this.runs) {
            for (const run of runs) {
                if (run.abandonedAt !== undefined && nowMs - run.abandonedAt >= this.limits.lingeringMs) {
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
        const record = this.held.get(fingerprint);
        if (record !== undefined && record.suspectedAtMs > record.clearedAtMs) {
            record.clearedAtMs = Math.max(this.clock.wallMs(), record.suspectedAtMs);
            this.announce([fingerprint]);
            return true;
        }
        return false;
    }

    private announce(fingerprints: readonly string[]): void {
        const changed = fingerprints
            .map(fingerprint => this.held.get(fingerprint))
            .filter(record => record !== undefined);
        if (changed.length > 0) {
            this.onChange(changed.map(record => ({ ...record })));
        }
        this.dropExcess();
    }

    private recordOf(fingerprint: string): QuarantineRecord {
        const none = { suspectedAtMs: 0, clearedAtMs: 0, convictedAtMs: 0, pardonedAtMs: 0 };
        return this.held.get(fingerprint) ?? { fingerprint, ...none };
    }

    /**
     * Drops records whose suspicion and conviction have expired. Cleared ones stay until then, or a late copy of the
     * suspicion from a peer would bring it back.
     */
    private dropExcess(): void {
        const nowMs = this.clock.wallMs();
        for (const [fingerprint, { suspectedAtMs, convictedAtMs }] of this.held) {
            const expired =
                nowMs >= suspectedAtMs + this.limits.suspicionMs && nowMs >= convictedAtMs + this.limits.convictionMs;
            if (expired) {
                this.held.delete(fingerprint);
            }
        }
        const excess = this.held.size - this.limits.records;
        if (excess > 0) {
            const ranks = { clear: 0, suspect: 1, convicted: 2 };
            [...this.held.values()]
                .map(record => ({ record, rank: ranks[this.stateOf(record.fingerprint)] }))
                .sort((a, b) => a.rank - b.rank || latestOf(a.record) - latestOf(b.record))
                .slice(0, excess)
                .forEach(({ record }) => this.held.delete(record.fingerprint));
        }
    }
}

const namedTargets = (before: readonly string[] = [], added: readonly string[] = []): string[] =>
    [...new Set([...before, ...added])].sort().slice(0, MAX_NAMED_TARGETS);

const latestOf = ({ suspectedAtMs, convictedAtMs }: QuarantineRecord): number => Math.max(suspectedAtMs, convictedAtMs);
