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
    /** Domains whose rows are in the copy although their evacuations had ended, with the time at which the row was read. */
    private readonly doubted = new Map<string, number>();
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
        this.doubted.delete(domain);
        this.missing.delete(domain);
        if (value === undefined) {
            this.end(domain);
        } else {
            this.begin(domain, this.options.clock.monotonicMs());
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
                this.begin(domain, now);
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
            .forEach(domain => this.doubted.set(domain, now));
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
        [...this.doubted].forEach(([domain, readAt]) => this.begin(domain, readAt));
        this.doubted.clear();
    }

    private begin(domain: string, since: number): void {
        if (this.inForce.has(domain)) {
            return;
        }
        const { evacuateMs, logger, began } = this.options;
        const evacuation = { domain, since, sendsUntil: since + evacuateMs * SENDING_SHARE };
        this.inForce.set(domain, evacuation);
        this.endedAt.delete(domain);
        logger.info(`Failure domain ${domain} is being evacuated.`, { sendsForMs: evacuateMs * SENDING_SHARE });
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
