import type { Clock } from "../runtime/clock.js";
import { MAX_COLD_MS } from "./limitMessage.js";
import type { TargetEntry } from "./targetEntry.js";
import type { WarmupBound } from "./warmupBound.js";
import { coldRate, type ColdLimit } from "./warmupLimit.js";

/**
 * Time after a failed connection from which on an answer may disprove a restart, in milliseconds. An answer that was written before
 * the restart may be read just after the failure.
 */
const DISPROOF_DELAY_MS = 250;
/** Failures of connections within this time count as one, in milliseconds. */
const SAME_FAILURE_MS = 100;
/**
 * Time for which a target is cold after a failed connection, in milliseconds, if its warm-up isn't longer. It covers three check-ins, after
 * which the entry of a target that is down is removed, one check-in for the entry of a new start, and the pause of the reads.
 */
export const SUSPICION_MS = 5_000;
/** Maximum time that a report of another instance is assumed to be on its way, in milliseconds. */
const REPORT_DELAY_MS = 250;
/** Least time between two reports of failed connections to a target that counts as cold already, in milliseconds. */
const REPORT_PAUSE_MS = 500;
/** Least extension of a warm-up that is reported to the other instances, in milliseconds. */
const NEWS_MS = 1_000;
/** Number of targets that are remembered; those that were added first are forgotten first. */
const MAX_TARGETS = 5_000;
/** Number of requests to a target whose times are kept for the log. */
const MAX_SENDS = 64;

/** Why a target counts as cold. */
export type ColdCause = "entry" | "answer" | "restart" | "report" | "evacuation" | ConnectionFailureCause;

/**
 * How a connection to a target failed: no process listened, it was reset, none could be established for a time, or an idle one ended while
 * this instance stood still.
 */
export type ConnectionFailureCause = "refused" | "broken" | "silent" | "ended";

/** How a target was found to be cold, and what had been sent to it before. */
export interface ColdFinding {
    cause: ColdCause;
    /** How much longer it is cold, in milliseconds. */
    leftMs: number;
    /** Time for which it has been cold already, in milliseconds; `undefined` unless its entry or an answer shows it. */
    coldForMs?: number;
    /** Number of requests that were sent in that time without a permit, up to `MAX_SENDS`. */
    sentMeanwhile?: number;
    /** Time since the connection that failed last showed that the target's process ran, in milliseconds; for `broken`. */
    aliveMsAgo?: number;
}

/** What identifies a target and its start. */
export type WarmingTarget = Pick<TargetEntry, "id" | "service" | "startedAtMs">;

/** Warm-up of the targets of a service, as its config states it. */
export interface ServiceWarmup {
    /** Time for which a started target is cold, in milliseconds. */
    warmupMs: number;
    /** Requests a second that a cold target tolerates; above 0. */
    perSecond: number;
}

/** What is known of one target. Times are monotonic, in milliseconds. */
interface KnownWarmup {
    startedAtMs: number;
    /** Remaining time in the entry that was last read, in milliseconds. */
    entryLeftMs: number;
    /** End of the warm-up by its entries. */
    entryUntil: number;
    /** End of the warm-up by answers and by reports of other instances. */
    statedUntil: number;
    /** Time until which a warm-up that has begun before its domain was evacuated or taken back may last. */
    evacuationUntil: number;
    /** Time at which a later start was read than the one known before. */
    restartReadAt: number;
    /** Failed connections that a restart after `aliveAt` would explain, here or at another instance, oldest first. */
    failures: { aliveAt: number; from: number; to: number; forMs: number; isReported: boolean }[];
    /** Time of the last evidence of a warm-up other than an answer. */
    evidenceAt: number;
    /** Time of the last failed connection that was reported. */
    reportedAt: number;
    /** Times of the latest requests that were sent without a permit, oldest first. */
    sends: number[];
}

/**
 * Knows until when each target counts as cold. This handles targets that start, and ones that restart under the same identifier
 * before their new entry is read: a failed connection is the first sign of that.
 *
 * Times that an entry states are counted from when it was read, as its age isn't known. Statements of the target about itself
 * replace what was known from before their request was sent. A failed connection stops counting if the target answers on a
 * connection that was established before that one last showed that the process ran: a restart since then would have broken it, too.
 *
 * @example
 * const watch = new WarmupWatch({ clock, bound, warmupOf });
 * watch.entryRead(entry);
 * watch.limitOf(entry); // { perSecond: 7.5, burst: 2, leftMs: 20_000 }
 */
export class WarmupWatch {
    private readonly known = new Map<string, KnownWarmup>();

    constructor(
        private readonly options: {
            clock: Clock;
            bound: WarmupBound;
            /** Warm-up of a service; `undefined` if its cold targets get any rate. */
            warmupOf: (service: string) => ServiceWarmup | undefined;
            /** Called when a target has become cold, or states that it is so for longer than was known. */
            turnedCold?: (target: WarmingTarget, finding: ColdFinding) => void;
            /**
             * Called when a connection was refused or reset to a target that counts as cold already. Other instances may count it as cold
             * for a shorter time.
             */
            failedAgain?: (target: WarmingTarget, leftMs: number, aliveMsAgo: number) => void;
            /** Called when an answer has shown that a failed connection was no restart, and the target counts as warm. */
            disproved?: (target: WarmingTarget) => void;
        },
    ) {}

    /** Whether the entries that were read state that a target is cold now. */
    isStatedCold(id: string): boolean {
        return (this.known.get(id)?.entryUntil ?? -Infinity) > this.options.clock.monotonicMs();
    }

    /**
     * Applies a target's entry, also one that was read before.
     *
     * @param isNew whether it has just been written; it may state the same time as that of an earlier warm-up
     */
    entryRead(
        { id, service, startedAtMs, warmupLeftMs }: WarmingTarget & Pick<TargetEntry, "warmupLeftMs">,
        isNew = false,
    ): void {
        const earlier = this.known.get(id);
        const isSameStart = earlier?.startedAtMs === startedAtMs;
        if (isSameStart && earlier.entryLeftMs === warmupLeftMs && !isNew) {
            // An entry that is listed again says nothing new.
            return;
        }
        const isRestart = earlier !== undefined && startedAtMs > earlier.startedAtMs;
        this.update({ id, service, startedAtMs }, isRestart ? "restart" : "entry", known => {
            const now = this.options.clock.monotonicMs();
            if (isRestart) {
                known.restartReadAt = now;
            }
            known.startedAtMs = Math.max(known.startedAtMs, startedAtMs);
            known.entryLeftMs = warmupLeftMs;
            if (warmupLeftMs > 0) {
                known.entryUntil = Math.max(known.entryUntil, now + warmupLeftMs);
                known.evidenceAt = now;
            }
        });
    }

    /**
     * Applies an answer to a request that was sent at `sentAt`.
     *
     * @param statedLeftMs how much longer the target is cold by its own statement, in milliseconds; `undefined` if it doesn't say so
     * @param connectedAt monotonic time in milliseconds at which its connection was established
     */
    answered(
        target: WarmingTarget,
        sentAt: number,
        statedLeftMs: number | undefined,
        connectedAt: number = sentAt,
    ): void {
        if (this.warmupOf(target) === undefined || (statedLeftMs === undefined && !this.known.has(target.id))) {
            return;
        }
        const leftMs = statedLeftMs === undefined ? undefined : Math.min(MAX_COLD_MS, statedLeftMs);
        this.update(target, "answer", known => {
            const now = this.options.clock.monotonicMs();
            known.failures = known.failures.filter(
                ({ aliveAt, to }) => aliveAt < connectedAt || now - to < DISPROOF_DELAY_MS,
            );
            if (leftMs === undefined || target.startedAtMs < known.startedAtMs) {
                return;
            }
            if (sentAt > Math.max(known.evidenceAt, known.restartReadAt, known.failures.at(-1)?.to ?? -Infinity)) {
                known.entryUntil = -Infinity;
                known.evacuationUntil = -Infinity;
                known.restartReadAt = -Infinity;
                known.failures = [];
                known.statedUntil = now + leftMs;
            } else {
                known.statedUntil = Math.max(known.statedUntil, now + leftMs);
            }
        });
    }

    /**
     * Counts a target as cold because its failure domain is evacuated or taken back, before which it may have turned cold. Its entry
     * may state that later than requests may be sent to it.
     */
    evacuationChanged(target: WarmingTarget): void {
        this.update(target, "evacuation", (known, warmup) => {
            known.evidenceAt = this.options.clock.monotonicMs();
            known.evacuationUntil = known.evidenceAt + (warmup?.warmupMs ?? 0);
        });
    }

    /** Records a request that is sent without a permit. */
    sent(target: WarmingTarget): void {
        if (this.warmupOf(target) === undefined) {
            return;
        }
        const { sends } = this.known.get(target.id) ?? this.add(target);
        sends.push(this.options.clock.monotonicMs());
        sends.splice(0, sends.length - MAX_SENDS);
    }

    /**
     * Counts a failed connection to a target, or the end of a time in which none could be established: its host may have been without
     * power, so that the target has restarted.
     *
     * @param aliveAt monotonic time in milliseconds up to which the connection shows that the target's process ran
     */
    connectionFailed(
        target: WarmingTarget,
        cause: ConnectionFailureCause,
        aliveAt: number = this.options.clock.monotonicMs(),
    ): void {
        const warmup = this.warmupOf(target);
        if (warmup === undefined) {
            return;
        }
        // Once a connection can be established again, a process listens, so its warm-up has begun.
        const forMs = cause === "silent" ? warmup.warmupMs : Math.max(warmup.warmupMs, SUSPICION_MS);
        const wasCold = this.leftMs(target, warmup) > 0;
        this.update(target, cause, known => {
            const now = this.options.clock.monotonicMs();
            const last = known.failures.at(-1);
            if (last !== undefined && !last.isReported && now - last.from < SAME_FAILURE_MS) {
                last.to = now;
                last.aliveAt = Math.min(last.aliveAt, aliveAt);
                last.forMs = Math.max(last.forMs, forMs);
            } else {
                known.failures.push({ aliveAt, from: now, to: now, forMs, isReported: false });
            }
            const isReportable = cause === "refused" || cause === "broken";
            if (isReportable && now - known.reportedAt >= REPORT_PAUSE_MS) {
                known.reportedAt = now;
                if (wasCold) {
                    this.options.failedAgain?.(
                        target,
                        this.leftMs(target, warmup),
                        Math.min(MAX_COLD_MS, now - aliveAt),
                    );
                }
            }
        });
    }

    /**
     * Applies what another instance has found about a target.
     *
     * @param isSuspected whether it only knows that a connection was reset
     * @param aliveMsAgo time since that connection last showed that the target's process ran, in milliseconds
     */
    reported(target: WarmingTarget, leftMs: number, isSuspected = false, aliveMsAgo = Infinity): void {
        this.update(target, "report", known => {
            const now = this.options.clock.monotonicMs();
            if (isSuspected) {
                const aliveAt = now - aliveMsAgo - REPORT_DELAY_MS;
                known.failures.push({ aliveAt, from: now, to: now, forMs: SUSPICION_MS, isReported: true });
                return;
            }
            known.statedUntil = Math.max(known.statedUntil, now + leftMs);
            known.evidenceAt = now;
        });
    }

    /** The limit of a cold target; `undefined` for one that is warm. */
    limitOf(target: WarmingTarget): ColdLimit | undefined {
        const warmup = this.warmupOf(target);
        const leftMs = this.leftMs(target, warmup);
        return warmup === undefined || leftMs <= 0
            ? undefined
            : { ...coldRate(this.options.bound, warmup.perSecond, 1 - leftMs / warmup.warmupMs), leftMs };
    }

    private warmupOf({ service }: WarmingTarget): ServiceWarmup | undefined {
        return this.options.warmupOf(service);
    }

    private leftMs({ id }: WarmingTarget, warmup: ServiceWarmup | undefined): number {
        const known = this.known.get(id);
        if (known === undefined || warmup === undefined) {
            return 0;
        }
        const until = Math.max(
            known.entryUntil,
            known.statedUntil,
            known.evacuationUntil,
            known.restartReadAt + warmup.warmupMs,
            ...known.failures.map(({ to, forMs }) => to + forMs),
        );
        return Math.min(MAX_COLD_MS, Math.max(0, until - this.options.clock.monotonicMs()));
    }

    private update(
        target: WarmingTarget,
        cause: ColdCause,
        change: (known: KnownWarmup, warmup: ServiceWarmup | undefined) => void,
    ): void {
        const warmup = this.warmupOf(target);
        const earlierLeftMs = this.leftMs(target, warmup);
        const known = this.known.get(target.id) ?? this.add(target);
        if (warmup !== undefined) {
            const now = this.options.clock.monotonicMs();
            known.failures = known.failures.filter(({ to, forMs }) => to + forMs > now);
        }
        const hadFailures = known.failures.length > 0;
        change(known, warmup);
        const leftMs = this.leftMs(target, warmup);
        const isNews = cause === "answer" && leftMs > earlierLeftMs + NEWS_MS;
        if ((earlierLeftMs <= 0 && leftMs > 0) || isNews) {
            this.options.turnedCold?.(target, { cause, leftMs, ...this.detailsOf(known, cause, leftMs, warmup) });
        }
        if (cause === "answer" && earlierLeftMs > 0 && leftMs <= 0 && hadFailures) {
            this.options.disproved?.(target);
        }
    }

    private detailsOf(
        { sends, entryLeftMs, failures }: KnownWarmup,
        cause: ColdCause,
        leftMs: number,
        warmup: ServiceWarmup | undefined,
    ): Omit<ColdFinding, "cause" | "leftMs"> {
        const now = this.options.clock.monotonicMs();
        if (cause === "broken") {
            const { aliveAt = now } = failures.at(-1) ?? {};
            return { aliveMsAgo: Math.min(MAX_COLD_MS, now - aliveAt) };
        }
        const isStated = cause === "answer" || ((cause === "entry" || cause === "restart") && entryLeftMs > 0);
        if (!isStated || warmup === undefined) {
            return {};
        }
        const coldForMs = Math.max(0, warmup.warmupMs - (cause === "answer" ? leftMs : entryLeftMs));
        const since = now - coldForMs;
        return { coldForMs, sentMeanwhile: sends.filter(at => at >= since).length };
    }

    private add({ id, startedAtMs }: WarmingTarget): KnownWarmup {
        const [first] = this.known.keys();
        if (this.known.size >= MAX_TARGETS) {
            this.known.delete(first);
        }
        const never = -Infinity;
        const known: KnownWarmup = {
            startedAtMs,
            entryLeftMs: 0,
            entryUntil: never,
            statedUntil: never,
            evacuationUntil: never,
            restartReadAt: never,
            failures: [],
            evidenceAt: never,
            reportedAt: never,
            sends: [],
        };
        this.known.set(id, known);
        return known;
    }
}
