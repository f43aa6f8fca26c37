import { createHash } from "node:crypto";
import { z } from "zod";
import type { GatewayCall } from "../../request/gatewayCall.js";
import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import { parseJson } from "../runtime/parseJson.js";
import type { StoredRow } from "./rowStore.js";

/** Table of the store in which each instance states in a row what it saw. */
export const CRASH_TABLE = "sassafrasloom-crashes";
/** Time after a broken answer in which a sign of the target's end makes it a crash, in milliseconds. */
const EVIDENCE_MS = 2_500;
/** Targets that crashed with a request, as seen by all instances, from which it is refused. */
export const CRASHES_TO_CONVICT = 3;
/** Time for which a request that was answered isn't suspected, in milliseconds. */
const CLEARED_MS = 30_000;
/** Time for which a conviction holds after the last crash, in milliseconds. */
const CONVICTION_MS = 600_000;
/** Most fingerprints in an instance's row; the oldest make room. */
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
 * Finds requests that crash the targets that run them. A request whose connection broke is suspected when its target
 * proves to have ended; instances share what they saw through the store, since the caller sends it again anywhere. A
 * complete answer clears a request: innocent neighbours of a crash are answered the next time.
 *
 * @example
 * suspects.broke(call, "t1");
 * suspects.targetEnded("t1");
 * suspects.isConvicted(call); // true after three crashes
 */
export class CrashSuspects {
    private readonly broken = new Map<string, BrokenRun[]>();
    /** Crashed targets by fingerprint, as this instance saw them. */
    private readonly own = new Map<string, Set<string>>();
    /** The same of the other instances by the keys of their rows. */
    private readonly others = new Map<string, Map<string, string[]>>();
    private readonly clearedAt = new Map<string, number>();
    private readonly convictedAt = new Map<string, number>();

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

    /** Fingerprint of a request: a caller sends it again under a new identifier. */
    fingerprint(call: GatewayCall): string {
        return createHash("sha1")
            .update(`${call.method} ${call.host} ${call.url}\n`)
            .update(call.body)
            .digest("base64url");
    }

    /** Whether a request has crashed several targets. */
    isConvicted(call: GatewayCall): boolean {
        if (this.own.size === 0 && this.others.size === 0) {
            return false;
        }
        const fingerprint = this.fingerprint(call);
        const now = this.options.clock.monotonicMs();
        const convictedAt = this.convictedAt.get(fingerprint);
        if (convictedAt !== undefined) {
            return now - convictedAt < CONVICTION_MS;
        }
        const clearedAt = this.clearedAt.get(fingerprint) ?? -Infinity;
        if (now - clearedAt < CLEARED_MS || this.crashesOf(fingerprint) < CRASHES_TO_CONVICT) {
            return false;
        }
        this.convictedAt.set(fingerprint, now);
        this.options.logger.warn("A request is refused, since targets crashed while they ran it.", {
            method: call.method,
            host: call.host,
            url: call.url.slice(0, 200),
            fingerprint,
        });
        return true;
    }

    /** Notes that the connection to a target broke before the answer to a request. */
    broke(call: GatewayCall, target: string): void {
        const now = this.options.clock.monotonicMs();
        const recent = (this.broken.get(target) ?? []).filter(({ brokeAt }) => now - brokeAt < EVIDENCE_MS);
        this.broken.set(target, [...recent, { fingerprint: this.fingerprint(call), brokeAt: now }]);
    }

    /** Notes that a target's process has ended: nobody listens at its address, or it has started anew. */
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
        const crashes = Object.fromEntries([...this.own].map(([fingerprint, targets]) => [fingerprint, [...targets]]));
        this.options.publish(Buffer.from(JSON.stringify({ crashes })));
    }

    /** Clears a request that was answered, if it is among those that were in flight at a crash. */
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

    /** Takes over the row of an instance. */
    rowChanged(row: StoredRow): void {
        if (row.key === this.options.ownRow || row.value === undefined) {
            return;
        }
        const parsed = reportSchema.safeParse(parseJson(row.value.toString()));
        if (!parsed.success) {
            this.options.logger.warn("A report of crashes can't be read.", { row: row.key });
            return;
        }
        this.others.set(row.key, new Map(Object.entries(parsed.data.crashes)));
    }

    private crashesOf(fingerprint: string): number {
        const others = [...this.others.values()].flatMap(reports => reports.get(fingerprint) ?? []);
        return new Set([...others, ...(this.own.get(fingerprint) ?? [])]).size;
    }
}
