import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import type { Evacuation } from "./evacuation.js";
import type { StoredRow } from "./rowStore.js";
import { RETURN_GRACE_MS } from "./targetDirectory.js";

/**
 * Share of the time for an evacuation in which targets of the domain may get requests, counted from the reading of the row. The rest
 * is left for the time in which the row is read, which is at most 2 s of the usual 5 s.
 */
const SENDING_SHARE = 0.6;
/**
 * Share of that time from the last reading without the row, after which the row was written, until the targets get no more requests. It
 * counts where the row is read late, as after a start, a freeze or an outage. The rest is left for the way of a request.
 */
const LATEST_SHARE = 0.95;
/** Age of an ended evacuation up to which a copy of the store may still contain its row, in milliseconds. */
const COPY_AGE_MS = 60_000;

/**
 * The failure domains that are being evacuated, by the rows of the config's table. An evacuation lasts until its row is removed.
 *
 * The store may be restored from a copy that lacks the latest writes or brings removed rows back. An evacuation whose row the copy
 * lacks goes on for the time in which the operator writes the row again. A row of the copy whose evacuation has ended before counts
 * only if it is still there after that time, or is written meanwhile.
 *
 * @example
 * const evacuations = new Evacuations({ clock, logger, evacuateMs: 5_000, decode, began, ended });
 * evacuations.listed(rows);
 * evacuations.all(); // [{ domain: "wels", since: 1_000, sendsUntil: 4_000 }]
 */
export class Evacuations {
    private readonly inForce = new Map<string, Evacuation>();
    /** Monotonic times in milliseconds at which evacuations ended, by domain. */
    private readonly endedAt = new Map<string, number>();
    /** Evacuations in force whose rows are missing since the store was restored. */
    private readonly missing = new Set<string>();
    /** Domains whose rows are in the copy although their evacuations had ended, with the times that follow from its reading. */
    private readonly doubted = new Map<string, Pick<Evacuation, "since" | "sendsUntil">>();
    /** Monotonic time in milliseconds until which rows may be written again after a restore. */
    private graceEndsAt = -Infinity;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            /** Time from the request to evacuate a domain until its targets may get no more requests, in milliseconds. */
            evacuateMs: number;
            /** The failure domain that a row with this key asks to evacuate; `undefined` for another row. */
            decode: (key: string) => string | undefined;
            /** Monotonic time in milliseconds up to which all rows were known before those that are applied now. */
            completeUntil: () => number;
            began: (evacuation: Evacuation) => void;
            ended: (domain: string) => void;
        },
    ) {}

    /** The evacuations in force. */
    all(): Evacuation[] {
        return [...this.inForce.values()];
    }

    /** Applies a changed or removed row. */
    rowChanged({ key, value }: StoredRow): void {
        const domain = this.options.decode(key);
        if (domain === undefined) {
            return;
        }
        const isOfCopy = this.doubted.delete(domain);
        this.missing.delete(domain);
        if (value === undefined && !this.inForce.has(domain) && !isOfCopy) {
            // The row was written and removed while none could be read.
            this.options.ended(domain);
        } else if (value === undefined) {
            this.end(domain);
        } else {
            this.begin(domain, this.timesOfNewRow());
        }
    }

    /** Applies a snapshot of all rows. */
    listed(rows: readonly StoredRow[]): void {
        const domains = this.domainsOf(rows);
        const now = this.options.clock.monotonicMs();
        [...this.doubted.keys()].filter(domain => !domains.has(domain)).forEach(domain => this.doubted.delete(domain));
        for (const { domain } of this.all().filter(({ domain }) => !domains.has(domain))) {
            if (now < this.graceEndsAt) {
                this.missing.add(domain);
            } else {
                this.end(domain);
            }
        }
        for (const domain of domains) {
            this.missing.delete(domain);
            if (!this.doubted.has(domain)) {
                this.begin(domain, this.timesOfNewRow());
            }
        }
    }

    /** Applies the first snapshot of a store that was restored from a copy. */
    restored(rows: readonly StoredRow[]): void {
        const now = this.options.clock.monotonicMs();
        this.graceEndsAt = now + RETURN_GRACE_MS;
        this.doubted.clear();
        [...this.domainsOf(rows)]
            .filter(domain => !this.inForce.has(domain) && now - (this.endedAt.get(domain) ?? -Infinity) < COPY_AGE_MS)
            .forEach(domain => this.doubted.set(domain, this.timesOfNewRow()));
        this.listed(rows);
        this.options.clock.setTimer(RETURN_GRACE_MS, () => this.endGrace());
    }

    private domainsOf(rows: readonly StoredRow[]): Set<string> {
        return new Set(
            rows
                .filter(({ value }) => value !== undefined)
                .map(({ key }) => this.options.decode(key))
                .filter(domain => domain !== undefined),
        );
    }

    private endGrace(): void {
        if (this.options.clock.monotonicMs() < this.graceEndsAt) {
            // The store was restored once more.
            return;
        }
        [...this.missing].forEach(domain => this.end(domain));
        [...this.doubted].forEach(([domain, times]) => this.begin(domain, times));
        this.doubted.clear();
    }

    /** The times of an evacuation whose row is read now. */
    private timesOfNewRow(): Pick<Evacuation, "since" | "sendsUntil"> {
        const { clock, evacuateMs, completeUntil } = this.options;
        const since = clock.monotonicMs();
        const latest = Math.min(since + evacuateMs * SENDING_SHARE, completeUntil() + evacuateMs * LATEST_SHARE);
        return { since, sendsUntil: Math.max(since, latest) };
    }

    private begin(domain: string, times: Pick<Evacuation, "since" | "sendsUntil">): void {
        if (this.inForce.has(domain)) {
            return;
        }
        const { logger, began } = this.options;
        const evacuation = { domain, ...times };
        this.inForce.set(domain, evacuation);
        this.endedAt.delete(domain);
        logger.info(`Failure domain ${domain} is being evacuated.`, {
            sendsForMs: Math.max(0, Math.round(evacuation.sendsUntil - this.options.clock.monotonicMs())),
        });
        began(evacuation);
    }

    private end(domain: string): void {
        this.missing.delete(domain);
        const evacuation = this.inForce.get(domain);
        if (evacuation === undefined) {
            return;
        }
        const now = this.options.clock.monotonicMs();
        this.inForce.delete(domain);
        this.endedAt.set(domain, now);
        this.options.logger.info(`The evacuation of failure domain ${domain} has ended.`, {
            ms: Math.round(now - evacuation.since),
        });
        this.options.ended(domain);
    }
}
