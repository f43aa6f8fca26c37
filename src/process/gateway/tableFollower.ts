import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import type { PlatformError } from "../store/platformError.js";
import type { RowStore, StoredRow } from "./rowStore.js";

/**
 * First pause after a failed call, in milliseconds; it doubles with each failure, so that an outage doesn't cause a flood
 * of calls.
 */
const FIRST_PAUSE_MS = 60;
/** Maximum pause after a failed call, in milliseconds; limits the delay until the store's recovery is noticed. */
const MAX_PAUSE_MS = 500;

/** Time within which the store answers a call if there are changes, in milliseconds; a call that takes longer found none. */
const READ_MS = 30;

/** Result of a call to the store. */
type FollowerStep = "changed" | "quiet" | "failed" | "history-lost";

/** Callbacks for what a follower reads. */
export interface FollowedTable {
    /** Called with a snapshot of all rows; rows that aren't included don't exist. */
    replaced(rows: StoredRow[]): void;
    changed(row: StoredRow): void;
    /** Called when the store answers again after `silentMs` milliseconds without an answer. */
    recovered(silentMs: number): void;
}

/**
 * Follows one table of the store: reads a snapshot, then its changes. Rows older than the known versions are ignored, so
 * the view never goes back in time.
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
    /** Monotonic time in milliseconds from which the view is up to date; `Infinity` during the pause after changes. */
    private freshFrom = -Infinity;
    private isRefreshRequested = false;
    private endPause: () => void = () => undefined;

    constructor(
        private readonly options: {
            store: RowStore;
            table: string;
            clock: Clock;
            logger: Logger;
            /**
             * Time for which the store holds a call for changes, in milliseconds. It limits how long a dead connection goes
             * unnoticed.
             */
            waitMs: number;
            /** Pause after changes, in milliseconds, so that changes in quick succession are read with one call. */
            pauseMs: () => number;
            /** The part of that pause that `refresh` doesn't end, in milliseconds; all of it by default. */
            minPauseMs?: number;
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

    /** Whether the view is up to date with the store; `false` during the pause after changes. */
    get isFresh(): boolean {
        return this.options.clock.monotonicMs() >= this.freshFrom;
    }

    /** Shortens the pause after changes, because the view has proved to be out of date. */
    refresh(): void {
        this.isRefreshRequested = true;
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
        const minMs = Math.min(pauseMs, this.options.minPauseMs ?? pauseMs);
        this.isRefreshRequested = false;
        this.freshFrom = Infinity;
        await this.pause(minMs);
        if (!this.isRefreshRequested && !this.disposed) {
            const remainder = this.pause(pauseMs - minMs);
            this.endPause = this.wake;
            await remainder;
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
        // While the store fails, calls without a wait detect its recovery earliest.
        const waitMs = this.isFailing ? 0 : this.options.waitMs;
        const changes = await store.changes(table, this.position ?? 0, waitMs);
        if (changes.isErr()) {
            return this.failed(changes.error);
        }
        this.answered();
        if (changes.value.type === "history-lost") {
            logger.info("The store has dropped its history; reading the whole table again.", { table });
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
            this.options.followed.recovered(silentMs);
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
        return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(this.failures - 1, 10));
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
