import { createHash } from "node:crypto";
import { z } from "zod";
import type { GatewayCall } from "../../request/gatewayCall.js";
import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import { parseJson } from "../runtime/parseJson.js";
import type { StoredRow } from "./rowStore.js";

/** Table of the store in which each instance has one row with the crashes that it observed. */
export const CRASH_TABLE = "sassafrasloom-crashes";
/** Time after a broken connection within which the end of the target's process counts as a crash, in milliseconds. */
const EVIDENCE_MS = 2_500;
/** Number of targets that must have crashed while running a request, as seen by all instances, before it is refused. */
export const CRASHES_TO_QUARANTINE = 3;
/** Time for which an answered request isn't suspected, in milliseconds. */
const CLEARED_MS = 30_000;
/** Time for which a request stays quarantined after the last crash, in milliseconds. */
const QUARANTINE_MS = 600_000;
/** Maximum number of fingerprints in an instance's row; the oldest are dropped first. */
const MAX_REPORTED = 200;

const reportSchema = z.object({
    /** Crashed targets by fingerprint. */
    crashes: z.record(z.string(), z.array(z.string()).max(100)),
});

interface BrokenRun {
    fingerprint: string;
    brokeAt: number;
}

/**
 * Detects requests that crash the targets that run them. A request whose connection broke becomes suspect if the target's
 * process turns out to have ended. Instances share their observations through the store, since the caller may retry at any
 * instance. A complete answer clears a request, because requests that were merely in flight at a crash succeed when they
 * are retried.
 *
 * @example
 * suspects.connectionBroke(call, "t1");
 * suspects.targetEnded("t1");
 * suspects.isQuarantined(call); // true after three crashes
 */
export class CrashSuspects {
    private readonly broken = new Map<string, BrokenRun[]>();
    /** Crashed targets by fingerprint, as observed by this instance. */
    private readonly own = new Map<string, Set<string>>();
    /** Crashed targets by fingerprint as reported by other instances, by the keys of their rows. */
    private readonly others = new Map<string, Map<string, string[]>>();
    private readonly clearedAt = new Map<string, number>();
    private readonly quarantinedAt = new Map<string, number>();

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            /** Key of this instance's row. */
            ownRow: string;
            /** Writes this instance's row. */
            publish: (value: Buffer) => void;
        },
    ) {}

    /** Fingerprint of a request by its content, since a caller retries it under a new identifier. */
    fingerprint(call: GatewayCall): string {
        return createHash("sha1")
            .update(`${call.method} ${call.host} ${call.url}\n`)
            .update(call.body)
            .digest("base64url");
    }

    /** Whether a request is refused because it has crashed several targets. */
    isQuarantined(call: GatewayCall): boolean {
        if (this.own.size === 0 && this.others.size === 0) {
            return false;
        }
        const fingerprint = this.fingerprint(call);
        const now = this.options.clock.monotonicMs();
        const quarantinedAt = this.quarantinedAt.get(fingerprint);
        if (quarantinedAt !== undefined) {
            return now - quarantinedAt < QUARANTINE_MS;
        }
        const clearedAt = this.clearedAt.get(fingerprint) ?? -Infinity;
        if (now - clearedAt < CLEARED_MS || this.crashesOf(fingerprint) < CRASHES_TO_QUARANTINE) {
            return false;
        }
        this.quarantinedAt.set(fingerprint, now);
        this.options.logger.warn("A request is refused, since targets crashed while they ran it.", {
            method: call.method,
            host: call.host,
            url: call.url.slice(0, 200),
            fingerprint,
        });
        return true;
    }

    /** Records that the connection to a target broke before a request was answered. */
    connectionBroke(call: GatewayCall, target: string): void {
        const now = this.options.clock.monotonicMs();
        const recent = (this.broken.get(target) ?? []).filter(({ brokeAt }) => now - brokeAt < EVIDENCE_MS);
        this.broken.set(target, [...recent, { fingerprint: this.fingerprint(call), brokeAt: now }]);
    }

    /** Whether the end of a target's process would make requests suspect. */
    isConcerned(target: string): boolean {
        const now = this.options.clock.monotonicMs();
        return (this.broken.get(target) ?? []).some(({ brokeAt }) => now - brokeAt < EVIDENCE_MS);
    }

    /** Records that a target's process has ended: nothing listens at its address, or it has restarted. */
    targetEnded(target: string): void {
        const now = this.options.clock.monotonicMs();
        const runs = (this.broken.get(target) ?? []).filter(({ brokeAt }) => now - brokeAt < EVIDENCE_MS);
        this.broken.delete(target);
        if (runs.length === 0) {
            return;
        }
        for (const fingerprint of new Set(runs.map(run => run.fingerprint))) {
            const targets = this.own.get(fingerprint) ?? new Set();
            this.own.delete(fingerprint);
            this.own.set(fingerprint, targets.add(target));
        }
        for (const fingerprint of [...this.own.keys()].slice(0, Math.max(0, this.own.size - MAX_REPORTED))) {
            this.own.delete(fingerprint);
        }
        this.publishOwn();
    }

    /** Clears an answered request if it was in flight at a crash. */
    answered(call: GatewayCall): void {
        if (this.own.size === 0 && this.others.size === 0) {
            return;
        }
        const fingerprint = this.fingerprint(call);
        this.own.delete(fingerprint);
        if (this.crashesOf(fingerprint) > 0) {
            this.clearedAt.set(fingerprint, this.options.clock.monotonicMs());
        }
    }

    /** Applies the row of an instance. */
    rowChanged(row: StoredRow): void {
        if (row.key === this.options.ownRow || row.value === undefined) {
            return;
        }
        const parsed = reportSchema.safeParse(parseJson(row.value.toString()));
        if (!parsed.success) {
            this.options.logger.warn("A crash report can't be read.", { row: row.key });
            return;
        }
        this.others.set(row.key, new Map(Object.entries(parsed.data.crashes)));
    }

    /**
     * Applies the rows of a store that was restored from a copy. They may lack crashes that were read before, which stay known
     * until their instances write their rows again, as this one does.
     */
    restored(rows: readonly StoredRow[]): void {
        const before = new Map(this.others);
        for (const row of rows) {
            this.rowChanged(row);
            const reports = this.others.get(row.key);
            for (const [fingerprint, targets] of before.get(row.key) ?? []) {
                reports?.set(fingerprint, [...new Set([...targets, ...(reports.get(fingerprint) ?? [])])]);
            }
        }
        if (this.own.size > 0) {
            this.publishOwn();
        }
    }

    private publishOwn(): void {
        const crashes = Object.fromEntries([...this.own].map(([fingerprint, targets]) => [fingerprint, [...targets]]));
        this.options.publish(Buffer.from(JSON.stringify({ crashes })));
    }

    private crashesOf(fingerprint: string): number {
        const others = [...this.others.values()].flatMap(reports => reports.get(fingerprint) ?? []);
        return new Set([...others, ...(this.own.get(fingerprint) ?? [])]).size;
    }
}
