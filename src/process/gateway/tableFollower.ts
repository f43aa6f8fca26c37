import type { Clock, TimerCancellation } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import type { PlatformError } from "../store/platformError.js";
import { decideRead, maxChangesMs, wholePauseMs } from "./decideRead.js";
import type { FollowedTable } from "./followedTable.js";
import { ReadProgress, type ReadCall } from "./readProgress.js";
import type { RelayedChanges, RelayedRow } from "./relayMessage.js";
import type { TableStep } from "./relayStream.js";
import type { RowStore, StoredRow } from "./rowStore.js";
import { newestRows, TableVersions } from "./tableVersions.js";

/**
 * First pause after a failed call, in milliseconds; it doubles with each failure, so that an outage doesn't cause a flood
 * of calls.
 */
const FIRST_PAUSE_MS = 60;
/** Maximum pause after a failed call, in milliseconds; limits the delay until the store's recovery is noticed. */
const MAX_PAUSE_MS = 500;

/**
 * Pause after a failed call while another follower finds out when the store answers again, in milliseconds. It ends with
 * `retry`.
 */
const PROBED_PAUSE_MS = 5_000;

/** Time within which the store answers a call if there are changes, in milliseconds; a call that takes longer found none. */
const READ_MS = 30;

/** Duration from which a call that was answered is logged, in milliseconds. */
const SLOW_READ_MS = 500;

/** Time within which the store begins to answer a held call for changes that have been made, in milliseconds. */
const HELD_ANSWER_MS = 300;

/**
 * Maximum wait for relayed changes before it is checked whether this instance has to read the store, in milliseconds; it may
 * have become the one that passes changes on.
 */
const RELAY_CHECK_MS = 500;
/** Pause after a read of the store while changes are relayed, in milliseconds; by then most changes have been relayed. */
const RELAY_READ_PAUSE_MS = 200;

/** Result of a call to the store. */
type FollowerStep = "changed" | "quiet" | "failed" | "too-large" | "history-lost" | "restored";

/**
 * Follows one table of the store: reads a snapshot, then its changes. Rows older than the known versions are ignored, so
 * the view doesn't go back in time. Versions count within one era of the store only. In a later era the whole table is read
 * again, whatever its versions are, and answers of earlier eras are ignored. While another instance relays the changes, the
 * store is read only if some were missed.
 *
 * @example
 * const follower = new TableFollower({ store, table: "op", clock, logger, waitMs: 4000, pauseMs: () => 0, followed });
 * follower.start();
 */
export class TableFollower {
    /** Version up to which the table has been read in this era. */
    private position = 0;
    /** Latest known era; `undefined` before the first answer. */
    private era: number | undefined;
    private mustList = true;
    /** Whether the changes may take too long to read, or come faster than they are read; relayed changes still apply. */
    private isLagging = false;
    /** Latest version of a change that a relayed message has shown without its content. */
    private shownVersion = 0;
    /** Whether the pause between readings of the whole table runs, which only a request for the current state ends. */
    private isPacing = false;
    /** Whether the store was restored and the table hasn't been listed since. */
    private isRestored = false;
    private hasSnapshot = false;
    private readonly versions = new TableVersions();
    private disposed = false;
    private failures = 0;
    private lastAnswerAt: number;
    private knownUntil = -Infinity;
    private wake: () => void = () => undefined;
    /** Monotonic time in milliseconds from which the view is up to date; `Infinity` during the pause after changes. */
    private freshFrom = -Infinity;
    private isRefreshRequested = false;
    private endPause: () => void = () => undefined;
    private heldCall = new AbortController();
    /** Whether the store holds the call under way until there are changes. */
    private isCallHeld = false;
    /** Monotonic time in milliseconds until which the relayed state is recent enough. */
    private relayedUntil = -Infinity;
    /** Whether the store has to be read, because relayed changes were missed or a request needs the current state. */
    private isReadNeeded = false;
    /** Whether the path to the store may have failed unnoticed, since the changes were relayed. */
    private isPathUnknown = false;
    /** Whether the held call was ended to be made anew, which is no failure of the store. */
    private isCallRenewed = false;
    /** Whether the call under way was ended, since its answer took too long to arrive. */
    private isTooLarge = false;
    private readonly progress: ReadProgress;
    /** Duration of the last reading of the whole table, in milliseconds. */
    private wholeMs = 0;
    /** Cancels the end of the call whose answer has begun to arrive. */
    private cancelTooLarge: TimerCancellation | undefined;
    /** Cancels the end of the held call, which must have been answered by then. */
    private cancelEndOfCall: TimerCancellation | undefined;

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
            waitMs: () => number;
            /** Pause after changes, in milliseconds, so that changes in quick succession are read with one call. */
            pauseMs: () => number;
            /** The part of that pause that `refresh` doesn't end, in milliseconds; all of it by default. */
            minPauseMs?: number;
            /** Whether another follower is failing and calls `retry` when the store answers it. */
            isProbed?: () => boolean;
            /**
             * Whether only the newest version of a row matters. The whole table is then read where several versions may have been
             * missed, and older versions in an answer aren't applied.
             */
            needsNewest?: boolean;
            followed: FollowedTable;
            /** Relay of changes between instances; each change is read from the store without it. */
            relay?: {
                /** Age from which a relayed state is too old, in milliseconds. */
                maxAgeMs: number;
                /** Whether this instance is the one that passes changes on. */
                isSource: () => boolean;
                /** Takes what was read from the store. */
                read: (step: TableStep) => void;
            };
        },
    ) {
        this.lastAnswerAt = options.clock.monotonicMs();
        this.progress = new ReadProgress(options.clock);
    }

    /** Whether a snapshot has been read. */
    get isLoaded(): boolean {
        return this.hasSnapshot;
    }

    /** Latest known era of the store; 0 before the first answer. */
    get latestEra(): number {
        return this.era ?? 0;
    }

    /** Whether the last call failed. */
    get isFailing(): boolean {
        return this.failures > 0;
    }

    /** Number of calls that have failed since the last answer. */
    get failedCalls(): number {
        return this.failures;
    }

    /** The call under way. */
    get call(): ReadCall {
        return this.progress.current;
    }

    /**
     * Monotonic time in milliseconds up to which all rows were known; `-Infinity` without a snapshot. While rows are applied, it is
     * that of the answer before, so these rows were written later.
     */
    get completeUntil(): number {
        return this.knownUntil;
    }

    /** Milliseconds since the store last answered a call of this follower. */
    silentMs(): number {
        return this.options.clock.monotonicMs() - this.lastAnswerAt;
    }

    /** Whether the view is up to date with the store; `false` during the pause after changes. */
    get isFresh(): boolean {
        return this.options.clock.monotonicMs() >= this.freshFrom || this.isRelayed();
    }

    /** Shortens the pause after changes, because the view has proved to be out of date. */
    refresh(): void {
        this.isRefreshRequested = true;
        this.endPause();
        this.readInstead();
    }

    /** Ends a held call and makes it anew, because changes are to be noticed within the present wait from now on. */
    renewHeldCall(): void {
        if (this.isCallHeld) {
            this.isCallRenewed = true;
            this.heldCall.abort();
        }
    }

    /** Calls the store again after a failure, because it answers another follower. */
    retry(): void {
        if (this.isFailing) {
            this.wake();
        }
    }

    /** Whether the content is known and the store answers. */
    isCurrent(): boolean {
        return this.hasSnapshot && !this.mustList && !this.isFailing;
    }

    /** Applies changes that another instance has read. */
    relayed({ era, from, to, ageMs, rows }: RelayedChanges): void {
        const { clock, followed, relay } = this.options;
        if (this.disposed || this.mustList || relay === undefined || era < (this.era ?? era)) {
            return;
        }
        if (era !== this.era || this.position < from) {
            this.endHeldCall();
            this.readInstead();
            this.shownVersion = era === this.era ? Math.max(this.shownVersion, from) : this.shownVersion;
            return;
        }
        for (const row of rows.filter(each => this.versions.isNew(each))) {
            if (!this.applyRelayed(row)) {
                this.readInstead();
                return;
            }
        }
        this.position = Math.max(this.position, to);
        const readAt = clock.monotonicMs() - ageMs;
        this.knownUntil = Math.max(this.knownUntil, readAt);
        this.relayedUntil = Math.max(this.relayedUntil, readAt + relay.maxAgeMs);
        if (readAt > this.lastAnswerAt) {
            const silentMs = this.silentMs();
            this.lastAnswerAt = readAt;
            this.isLagging = false;
            if (this.isFailing) {
                this.failures = 0;
                followed.recovered(silentMs);
            }
        }
    }

    private applyRelayed({ key, version, value, change }: RelayedRow): boolean {
        const { followed } = this.options;
        if (change === undefined) {
            const content = value === undefined ? undefined : Buffer.from(value, "latin1");
            followed.changed({ key, version, value: content });
        } else if (followed.patched?.(change) !== true) {
            return false;
        }
        this.versions.add({ key, version }, change !== undefined || value !== undefined);
        return true;
    }

    /** Ends a held call that isn't answered although there are changes; its connection delivers nothing any more. */
    private endHeldCall(): void {
        const { heldCall, isCallHeld } = this;
        if (isCallHeld) {
            const reason = new Error("A held call isn't answered although there are changes.");
            this.cancelEndOfCall ??= this.options.clock.setTimer(HELD_ANSWER_MS, () => {
                if (this.progress.current.bytes === 0) {
                    heldCall.abort(reason);
                }
            });
        }
    }

    /** Reads the store although the changes are relayed. */
    private readInstead(): void {
        if (this.isRelayed()) {
            this.isReadNeeded = true;
            if (!this.isPacing) {
                this.wake();
            }
        }
    }

    /** Whether relayed messages have shown changes that this instance hasn't read. */
    private get isBehind(): boolean {
        return this.position < this.shownVersion;
    }

    /** Whether another instance relays the changes and none were missed. */
    private isRelayed(): boolean {
        const { clock, relay } = this.options;
        return (
            !this.isReadNeeded &&
            !this.isBehind &&
            !this.mustList &&
            clock.monotonicMs() < this.relayedUntil &&
            relay?.isSource() === false
        );
    }

    /**
     * Reads the whole table again at once, because another follower has found that the store was restored. A held call is
     * ended, since the restored store may never answer it.
     */
    restored(era: number): void {
        if (this.era === undefined || era <= this.era) {
            return;
        }
        this.enterEra(era);
        this.heldCall.abort();
        this.isRefreshRequested = true;
        this.wake();
    }

    start(): void {
        void this.run();
    }

    dispose(): void {
        this.disposed = true;
        this.cancelEndOfCall?.();
        this.cancelTooLarge?.();
        this.wake();
    }

    private async run(): Promise<void> {
        while (!this.disposed) {
            if (this.isRelayed()) {
                this.isPathUnknown = true;
                await this.pause(Math.min(RELAY_CHECK_MS, this.relayedUntil - this.options.clock.monotonicMs()));
                continue;
            }
            const wasReadNeeded = this.isReadNeeded || this.isBehind;
            const isWhole = this.readsWhole();
            const step = isWhole ? await this.list() : await this.follow();
            if (step === "failed") {
                await this.pause(this.failurePauseMs());
            } else if (step === "changed") {
                await this.pauseAfterChanges(isWhole && this.isLagging);
            } else if (wasReadNeeded) {
                await this.pause(RELAY_READ_PAUSE_MS);
            }
        }
    }

    /** Whether the next call reads the whole table. */
    private readsWhole(): boolean {
        const { isLagging, isBehind, isFailing } = this;
        const state = { isLagging, isBehind, isFailing, silentMs: this.silentMs() };
        return this.mustList || (this.options.needsNewest === true && decideRead(state) === "whole");
    }

    private async pauseAfterChanges(isWholeReadAgain: boolean): Promise<void> {
        const changesPauseMs = this.options.pauseMs();
        const minMs = Math.min(changesPauseMs, this.options.minPauseMs ?? changesPauseMs);
        const pauseMs = isWholeReadAgain ? Math.max(changesPauseMs, wholePauseMs(this.wholeMs)) : changesPauseMs;
        this.isRefreshRequested = false;
        this.freshFrom = Infinity;
        this.isPacing = pauseMs > changesPauseMs;
        await this.pause(minMs);
        if (!this.isRefreshRequested && !this.disposed) {
            const remainder = this.pause(pauseMs - minMs);
            this.endPause = this.wake;
            await remainder;
            this.endPause = () => undefined;
        }
        this.isPacing = false;
        this.freshFrom = this.mustList ? Infinity : this.options.clock.monotonicMs() + READ_MS;
    }

    private async list(): Promise<"changed" | "quiet" | "failed"> {
        const { store, table, followed } = this.options;
        this.isPathUnknown = false;
        this.isReadNeeded = false;
        this.progress.begin(0);
        const snapshot = await store.snapshot(table, this.progress.received);
        const call = this.progress.end();
        if (snapshot.isErr()) {
            return this.failed(snapshot.error, call);
        }
        this.readEnded(call, snapshot.value.rows.length);
        this.wholeMs = call.ms;
        const { rows, version, era } = snapshot.value;
        if (!this.checkEra(era)) {
            return this.late(era);
        }
        this.answered();
        if (version < this.position) {
            return this.failed({ type: "platform-protocol", detail: `snapshot at ${version} is stale` });
        }
        if (!this.mustList) {
            const changes = this.versions.changesTo(rows, version);
            // A table that has changed probably changes again.
            this.isLagging = changes.length > 0;
            this.apply(changes, version);
            return changes.length > 0 ? "changed" : "quiet";
        }
        this.position = version;
        const fresh = this.versions.reset(rows, version);
        const { isRestored } = this;
        this.mustList = false;
        this.isLagging = false;
        this.isRestored = false;
        this.hasSnapshot = true;
        if (isRestored) {
            followed.restored(fresh);
        } else {
            followed.replaced(fresh);
        }
        this.knownUntil = this.lastAnswerAt;
        this.options.relay?.read({ era, from: version, to: version, rows: undefined });
        return "changed";
    }

    private async follow(): Promise<FollowerStep> {
        const { store, table, logger } = this.options;
        // While the store fails, calls without a wait detect its recovery earliest.
        this.isCallHeld = !this.isFailing && !this.isReadNeeded && !this.isBehind && !this.isPathUnknown;
        this.isReadNeeded = false;
        this.isPathUnknown = false;
        this.heldCall = new AbortController();
        const waitMs = this.isCallHeld ? this.options.waitMs() : 0;
        this.progress.begin(waitMs);
        const { signal } = this.heldCall;
        const changes = await store.changes(table, this.position, waitMs, signal, this.limitedReceipt());
        const call = this.progress.end();
        this.isCallHeld = false;
        this.cancelTooLarge?.();
        this.cancelTooLarge = undefined;
        this.cancelEndOfCall?.();
        this.cancelEndOfCall = undefined;
        const { isCallRenewed } = this;
        this.isCallRenewed = false;
        if (this.isRestored) {
            return "restored";
        }
        if (changes.isErr() && this.isTooLarge) {
            this.isLagging = true;
            return "too-large";
        }
        if (changes.isErr()) {
            return isCallRenewed ? "quiet" : this.failed(changes.error, call);
        }
        const { era } = changes.value;
        if (!this.checkEra(era)) {
            return this.late(era);
        }
        this.answered();
        if (this.isRestored) {
            return "restored";
        }
        if (changes.value.type === "history-lost") {
            logger.info("The store has dropped its history; reading the whole table again.", { table });
            this.mustList = true;
            return "history-lost";
        }
        const { rows, version } = changes.value;
        this.readEnded(call, rows.length);
        const newest = this.options.needsNewest === true ? newestRows(rows) : rows;
        this.isLagging = newest.length < rows.length;
        this.apply(newest, version);
        return rows.length > 0 ? "changed" : "quiet";
    }

    /** Observes an answer with changes, and ends the call if the whole table is probably read sooner. */
    private limitedReceipt(): (bytes: number) => void {
        const { clock, needsNewest } = this.options;
        const { heldCall } = this;
        this.isTooLarge = false;
        return bytes => {
            this.progress.received(bytes);
            if (needsNewest === true) {
                this.cancelTooLarge ??= clock.setTimer(maxChangesMs(this.wholeMs), () => {
                    this.isTooLarge = true;
                    heldCall.abort(new Error("The changes take too long to arrive."));
                });
            }
        };
    }

    /** Applies the changes up to a version, and passes them on. */
    private apply(rows: readonly StoredRow[], to: number): void {
        const { followed, relay } = this.options;
        const applied: RelayedRow[] = [];
        for (const row of rows.filter(each => this.versions.isNew(each))) {
            const { key, value, version } = row;
            this.versions.add(row, value !== undefined);
            const change = followed.changed(row);
            if (change !== "same") {
                const content = change === undefined ? value?.toString("latin1") : undefined;
                applied.push({ key, version, value: content, change });
            }
        }
        this.knownUntil = this.lastAnswerAt;
        const from = this.position;
        this.position = Math.max(from, to);
        // Rows that were read before this instance passes changes on can't be passed on any more.
        const passedOn = relay?.isSource() === true ? applied : undefined;
        relay?.read({ era: this.latestEra, from, to: this.position, rows: passedOn });
    }

    /** Enters a later era; `false` if the era is an earlier one. */
    private checkEra(era: number): boolean {
        if (this.era === undefined) {
            this.era = era;
        } else if (era > this.era) {
            const { table, logger, followed } = this.options;
            logger.warn("The store was restored from a copy; reading all tables again.", { table, era });
            this.enterEra(era);
            followed.eraBegan(era);
        }
        return era === this.era;
    }

    private enterEra(era: number): void {
        this.era = era;
        this.position = 0;
        this.shownVersion = 0;
        this.versions.clear();
        this.mustList = true;
        this.isRestored = true;
        this.freshFrom = Infinity;
    }

    /** Counts an answer of an earlier era, which was on its way when the store was restored. */
    private late(era: number): "failed" {
        return this.failed({
            type: "platform-protocol",
            detail: `an answer of era ${era} came in era ${this.era}`,
        });
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

    private readEnded({ ms, bytes }: ReadCall, rows: number): void {
        if (ms >= SLOW_READ_MS) {
            const { table, logger } = this.options;
            logger.info(`Reading table ${table} took long.`, { ms: Math.round(ms), bytes, rows });
        }
    }

    private failed(error: PlatformError, call: ReadCall = this.progress.current): "failed" {
        const { table, logger } = this.options;
        const cause = { cause: error.type, detail: error.detail, ms: Math.round(call.ms), bytes: call.bytes };
        if (this.failures === 0) {
            logger.warn("The store doesn't answer.", { table, ...cause });
        } else {
            const silentMs = Math.round(this.silentMs());
            logger.warn(`Table ${table} is out of date.`, { silentMs, failures: this.failures + 1, ...cause });
        }
        this.failures++;
        if (error.type === "platform-unknown") {
            // The answer may have been too large, or the path dead, where the changes say more than the whole table.
            this.isLagging = call.bytes > 0 || !this.isLagging;
        }
        return "failed";
    }

    private failurePauseMs(): number {
        return this.options.isProbed?.() === true
            ? PROBED_PAUSE_MS
            : Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(this.failures - 1, 10));
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
