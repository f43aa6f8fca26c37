import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import type { PlatformError } from "../store/platformError.js";
import type { RowStore, StoredRow } from "./rowStore.js";

/** First pause after a failed call, in milliseconds; it doubles up to the longest, so that an outage isn't met with a flood. */
const FIRST_PAUSE_MS = 60;
/** Longest pause after a failed call, in milliseconds; bounds how late the store's return is noticed. */
const LONGEST_PAUSE_MS = 500;

/** Time in which the store answers a call when there are changes, in milliseconds; a longer call found none. */
const READ_MS = 30;

/** How a call ended. */
type FollowerStep = "changed" | "quiet" | "failed" | "history-lost";

/** What a follower tells its owner. */
export interface FollowedTable {
    /** All rows; rows that aren't listed don't exist. */
    replaced(rows: StoredRow[]): void;
    changed(row: StoredRow): void;
    /** The store has answered again after `silentMs` milliseconds without an answer. */
    regained(silentMs: number): void;
}

/**
 * Follows one table of the store: a snapshot first, then its changes. Rows older than what is known are ignored, so the
 * view never goes back.
 *
 * @example
 * const follower = new TableFollower({ store, table: "op", clock, logger, waitMs: 4000, pauseMs: () => 0, followed });
 * follower.start();
 */
export class TableFollower {
    private position: number | undefined;
    private readonly versions = new Map<string, number>();
    private disposed = false;
    private failures = 0;
    private lastAnswerAt: number;
    private wake: () => void = () => undefined;
    /** Monotonic time in milliseconds from which what is known is fresh; `Infinity` during the pause after changes. */
    private freshFrom = -Infinity;
    private isHurried = false;
    private endPause: () => void = () => undefined;

    constructor(
        private readonly options: {
            store: RowStore;
            table: string;
            clock: Clock;
            logger: Logger;
            /**
             * Time for which the store holds a call for changes, in milliseconds. It bounds how long a connection that has
             * gone silent goes unnoticed.
             */
            waitMs: number;
            /** Pause after changes, in milliseconds: changes that come together then cost one call. */
            pauseMs: () => number;
            /** The part of that pause that `hurry` doesn't end, in milliseconds; all of it by default. */
            leastPauseMs?: number;
            followed: FollowedTable;
        },
    ) {
        this.lastAnswerAt = options.clock.monotonicMs();
    }

    /** Whether a snapshot has been read. */
    get isLoaded(): boolean {
        return this.position !== undefined;
    }

    /** Whether the last call failed. */
    get isFailing(): boolean {
        return this.failures > 0;
    }

    /** Milliseconds since the store last answered a call of this follower. */
    silentMs(): number {
        return this.options.clock.monotonicMs() - this.lastAnswerAt;
    }

    /** Whether changes are known as soon as the store has them; `false` during the pause after changes. */
    get isFresh(): boolean {
        return this.options.clock.monotonicMs() >= this.freshFrom;
    }

    /** Reads changes soon, because what is known has proved to be out of date. */
    hurry(): void {
        this.isHurried = true;
        this.endPause();
    }

    start(): void {
        void this.run();
    }

    dispose(): void {
        this.disposed = true;
        this.wake();
    }

    private async run(): Promise<void> {
        let listing = true;
        while (!this.disposed) {
            const isListing: boolean = listing || this.position === undefined;
            const step: FollowerStep = isListing ? await this.list() : await this.follow();
            listing = step === "history-lost" || (isListing && step === "failed");
            if (step === "failed") {
                await this.pause(this.failurePauseMs());
            } else if (step === "changed") {
                await this.pauseAfterChanges();
            }
        }
    }

    private async pauseAfterChanges(): Promise<void> {
        const pauseMs = this.options.pauseMs();
        const leastMs = Math.min(pauseMs, this.options.leastPauseMs ?? pauseMs);
        this.isHurried = false;
        this.freshFrom = Infinity;
        await this.pause(leastMs);
        if (!this.isHurried && !this.disposed) {
            const rest = this.pause(pauseMs - leastMs);
            this.endPause = this.wake;
            await rest;
            this.endPause = () => undefined;
        }
        this.freshFrom = this.options.clock.monotonicMs() + READ_MS;
    }

    private async list(): Promise<"changed" | "failed"> {
        const { store, table, followed } = this.options;
        const snapshot = await store.snapshot(table);
        if (snapshot.isErr()) {
            return this.failed(snapshot.error);
        }
        this.answered();
        const { rows, version } = snapshot.value;
        if (this.position !== undefined && version < this.position) {
            return this.failed({ type: "platform-protocol", detail: `snapshot at ${version} is stale` });
        }
        this.position = version;
        const fresh = rows.filter(row => row.version >= (this.versions.get(row.key) ?? 0));
        this.versions.clear();
        fresh.forEach(row => this.versions.set(row.key, row.version));
        followed.replaced(fresh);
        return "changed";
    }

    private async follow(): Promise<FollowerStep> {
        const { store, table, followed, logger } = this.options;
        // While the store fails, calls that it needn't hold show its return soonest.
        const waitMs = this.isFailing ? 0 : this.options.waitMs;
        const changes = await store.changes(table, this.position ?? 0, waitMs);
        if (changes.isErr()) {
            return this.failed(changes.error);
        }
        this.answered();
        if (changes.value.type === "history-lost") {
            logger.info("The store has dropped its history; reading the table anew.", { table });
            return "history-lost";
        }
        const { rows, version } = changes.value;
        for (const row of rows) {
            if (row.version > (this.versions.get(row.key) ?? 0)) {
                this.versions.set(row.key, row.version);
                followed.changed(row);
            }
        }
        this.position = Math.max(this.position ?? 0, version);
        return rows.length > 0 ? "changed" : "quiet";
    }

    private answered(): void {
        const silentMs = this.silentMs();
        this.lastAnswerAt = this.options.clock.monotonicMs();
        if (this.failures > 0) {
            this.options.logger.info("The store answers again.", {
                table: this.options.table,
                failures: this.failures,
                silentMs: Math.round(silentMs),
            });
            this.failures = 0;
            this.options.followed.regained(silentMs);
        }
    }

    private failed(error: PlatformError): "failed" {
        if (this.failures === 0) {
            const { table, logger } = this.options;
            logger.warn("The store doesn't answer.", { table, cause: error.type, detail: error.detail });
        }
        this.failures++;
        return "failed";
    }

    private failurePauseMs(): number {
        return Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(this.failures - 1, 10));
    }

    private async pause(durationMs: number): Promise<void> {
        if (durationMs <= 0) {
            return;
        }
        await new Promise<void>(resolve => {
            const cancel = this.options.clock.setTimer(durationMs, resolve);
            this.wake = () => {
                cancel();
                resolve();
            };
        });
    }
}
