import { ok, type Result } from "neverthrow";
import { z } from "zod";
import type { Clock, TimerCancellation } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import { parseJson } from "../runtime/parseJson.js";
import type { PlatformError } from "../store/platformError.js";
import { SUSPENSION_MS, wallOffsetMs } from "../runtime/wallOffset.js";
import { GrantRecord } from "./grantRecord.js";
import type { RowName, RowStore } from "./rowStore.js";

/** Table of the lease. It has no other rows, so that renewals don't wake the followers of other tables. */
export const LEASE_TABLE = "sassafrasloom-lease";
/**
 * Key of the lease's row in an era of the store. Each era has a row of its own, whose first write deletes those of earlier
 * eras, so a write that expects a row of an earlier era can't succeed by a version that was given out again.
 *
 * @example
 * leaseKey(3); // "assigner-3"
 */
export const leaseKey = (era: number): string => `assigner-${era}`;
/** Duration of the lease after a write, in milliseconds. Several renewals may fail within it. */
export const LEASE_MS = 3_500;
/** Interval between renewals, in milliseconds. */
const RENEWAL_MS = 1_000;
/**
 * Mean interval at which the other instances read the lease, in milliseconds. One read is enough to tell the age of the
 * lease, and several instances read it at different times.
 */
const WATCH_MS = 5_000;
/** The same while messages of the holder show that it holds the lease; their end has the lease read at once. */
const HEARD_WATCH_MS = 60_000;
/** Time in milliseconds over which the reads of the instances are spread when the lease of a silent holder expires. */
const EXPIRY_SPREAD_MS = 500;
/** Minimum interval between reads that are made before they are due, in milliseconds. */
const MIN_WATCH_MS = 1_000;
/** Pause after a failed call, in milliseconds. */
const FAILURE_PAUSE_MS = 250;
/** Time in milliseconds for which an instance that reaches no target leaves a free lease to others. */
const UNFIT_WAIT_MS = 3_000;
/** Pause between two looks at a lease that is left to others, in milliseconds. */
const UNFIT_PAUSE_MS = 500;
/** Maximum relative drift of a clock, which may be slow at the holder and fast at an instance that waits for its lease. */
const CLOCK_DRIFT = 0.02;
/** Time without a change after which another instance's lease has expired, in milliseconds. */
const EXPIRY_MS = (LEASE_MS * (1 + CLOCK_DRIFT)) / (1 - CLOCK_DRIFT);

const leaseSchema = z.object({
    instance: z.string(),
    incarnation: z.string(),
    renewal: z.number().int(),
    /** Address at which the holder receives load reports, as `HOST:PORT`. */
    peerAddress: z.string().optional(),
    /** Upper bound of the store's clock at the write, in milliseconds; missing when the writer didn't know it. */
    writtenMs: z.number().optional(),
});
type Lease = z.infer<typeof leaseSchema>;

/** The row that proves the lease; transactions of its holder expect it. */
export interface LeaseProof {
    /** Era of the store in which the lease was acquired. */
    era: number;
    row: RowName & { version: number };
}

/** The instance to which the lease is passed on. */
export interface LeaseSuccessor {
    instance: string;
    /** Address at which it receives load reports, as `HOST:PORT`. */
    peerAddress: string;
}

/** A reading of the store's clock; the store read it at or after the monotonic time `at` of this process. */
interface StoreTime {
    storeMs: number;
    at: number;
    offsetMs: number;
}

/**
 * The lease of the one instance that assigns keys. It is a row of the store that its holder rewrites; another instance
 * acquires it when the row hasn't changed for the duration of the lease. The holder counts that duration from before its
 * write; the others count it from an upper bound of the store's clock at that write, or from their first read of the row.
 * Two instances therefore never hold the lease at the same time.
 *
 * A monotonic clock may stop while a machine is suspended, so the holder treats the lease as expired until the next renewal
 * when the wall clock has shifted against it.
 *
 * When the store is restored from a copy, the row in it may be older than the lease in force. The holder acquires the lease
 * of the new era while its lease of the earlier one lasts; all other instances wait until any earlier lease has expired.
 *
 * @example
 * const lease = new AssignerLease({ store, instance, incarnation, clock, logger, gained });
 * lease.start();
 * lease.isHeld();
 */
export class AssignerLease {
    /** Era of the store in which the row was read. */
    private era: number | undefined;
    /** Monotonic time in milliseconds from which no instance holds a lease of an earlier era. */
    private earlierErasEndAt = -Infinity;
    /** Monotonic time in milliseconds from which no other instance has held the lease. */
    private othersEndedAt = -Infinity;
    private rowVersion: number | undefined;
    private rowSeenAt = 0;
    private heldUntil = -Infinity;
    private isHolder = false;
    private renewal = 0;
    private wallOffsetMs: number;
    private storeTime: StoreTime | undefined;
    /** Version of the row when this process last held the lease. */
    private heldVersion: number | undefined;
    /** Whether another process may have held the lease since `gained` was last called. */
    private isInterrupted = false;
    /** Era in which `gained` was last called. */
    private gainedEra: number | undefined;
    /** Whether no instance has held a lease yet, as far as this one knows. */
    private isFirstLease: boolean;
    private holderAddress: string | undefined;
    private disposed = false;
    private cancelTimer: TimerCancellation = () => undefined;
    /** Monotonic time in milliseconds of the last read of the row. */
    private watchedAt = -Infinity;
    /** Ends the pause before the next step. */
    private wake: () => void = () => undefined;
    /** Whether the next step reads the row although messages of the holder come. */
    private isReadRequested = true;
    /** Whether the holder's messages have ended, so that its lease may expire. */
    private isHolderSilent = false;
    /** Monotonic time in milliseconds at which the lease was first found to be free; `undefined` while it isn't. */
    private freeSince: number | undefined;
    /** The instance to which the lease is being passed on, and what has to end before. */
    private handover: { successor: LeaseSuccessor; settled: () => Promise<void>; ended: () => void } | undefined;

    constructor(
        private readonly options: {
            store: RowStore;
            instance: string;
            /** Unique for each start of the instance. */
            incarnation: string;
            /** Address at which this instance receives load reports, as `HOST:PORT`. */
            peerAddress?: string;
            clock: Clock;
            logger: Logger;
            /** Whether the whole system starts for the first time, so that no instance has held a lease before. */
            isFirstStart?: boolean;
            /**
             * Called after the lease was acquired, also in another era of the store; `isContinuous` if no other process has
             * held it since this one last did.
             */
            gained: (isContinuous: boolean) => void;
            /** Called after this process has lost the lease, which it may acquire again. */
            lost?: () => void;
            /** Whether messages of the instance that holds the lease come. */
            isHolderHeard?: () => boolean;
            /** Whether this instance reaches targets. One that doesn't leaves a free lease to others for a while. */
            isFit?: () => boolean;
            random?: () => number;
        },
    ) {
        this.wallOffsetMs = wallOffsetMs(this.options.clock);
        this.isFirstLease = this.options.isFirstStart === true;
    }

    /** Whether this instance holds the lease and may assign and grant keys. */
    isHeld(): boolean {
        const offsetMs = wallOffsetMs(this.options.clock);
        if (Math.abs(offsetMs - this.wallOffsetMs) > SUSPENSION_MS) {
            this.wallOffsetMs = offsetMs;
            this.heldUntil = -Infinity;
        }
        return this.options.clock.monotonicMs() < this.heldUntil;
    }

    /** Address for load reports of the instance that held the lease at the last read; `undefined` if that is this one. */
    get assignerAddress(): string | undefined {
        return this.isHolder ? undefined : this.holderAddress;
    }

    /**
     * The proof that this instance holds the lease in the current era. It is missing between a restore of the store and the
     * acquisition in the new era, although the lease of the earlier one may still be held.
     */
    get proof(): LeaseProof | undefined {
        return this.era === undefined || this.heldVersion === undefined || !this.isHeld()
            ? undefined
            : { era: this.era, row: { ...this.rowName(this.era), version: this.rowVersion ?? 0 } };
    }

    /**
     * Upper bound of the monotonic time in milliseconds at which the grants of other instances end. `-Infinity` if there are
     * none, as at the first start.
     */
    otherGrantsEndAt(holdMs: number): number {
        return GrantRecord.ofFormerHolders(this.othersEndedAt, holdMs).endsAt();
    }

    start(): void {
        void this.run();
    }

    /** Reads the lease before it is due, unless it has just been read; its holder may have changed. */
    lookAgain(): void {
        if (!this.isHolder && this.options.clock.monotonicMs() - this.watchedAt >= MIN_WATCH_MS) {
            this.stepNow();
        }
    }

    /** Reads the lease because its holder's messages have ended, and again when it expires. */
    holderSilent(): void {
        this.isHolderSilent = true;
        this.lookAgain();
    }

    /** Reads the lease at once, because it was passed on to this instance. */
    wasPassedOn(): void {
        if (!this.isHolder) {
            this.stepNow();
        }
    }

    /**
     * Passes the lease on to another instance, which can take it at once; no third one can before it has expired. The lease is no
     * longer held from this call on; the row is written once `settled` has resolved, when all calls made under the lease have ended.
     * Resolves when that was tried. If it fails, this instance may take the lease again, as its row still names it.
     */
    passOn(successor: LeaseSuccessor, settled: () => Promise<void>): Promise<void> {
        if (!this.isHolder || !this.isHeld() || this.disposed || this.handover !== undefined) {
            return Promise.resolve();
        }
        this.heldUntil = -Infinity;
        this.checkLost();
        return new Promise(ended => {
            this.handover = { successor, settled, ended };
            this.stepNow();
        });
    }

    /** Takes the next step at once if the store is in a later era than the lease, which each instance has to learn of soon. */
    storeRestored(era: number): void {
        if (era > (this.era ?? era)) {
            this.stepNow();
        }
    }

    /**
     * Releases the lease, so that another instance need not wait for it to expire. It is no longer held from this call on;
     * the row is deleted once `settled` has resolved, when all calls made under the lease have ended.
     */
    async release(settled: () => Promise<void>): Promise<void> {
        this.dispose();
        const wasHeld = this.isHolder && this.isHeld();
        this.heldUntil = -Infinity;
        this.checkLost();
        if (!wasHeld) {
            return;
        }
        await settled();
        if (this.era === undefined) {
            return;
        }
        const name = this.rowName(this.era);
        const deleted = await this.options.store.transact({
            expected: [{ ...name, version: this.rowVersion ?? 0 }],
            puts: [],
            deletes: [name],
        });
        if (deleted.isErr()) {
            this.options.logger.warn("The lease couldn't be released; it will expire.", {
                cause: deleted.error.type,
            });
        }
    }

    dispose(): void {
        this.disposed = true;
        this.cancelTimer();
    }

    /** Ends the pause before the next step, which reads the row. */
    private stepNow(): void {
        this.isReadRequested = true;
        this.cancelTimer();
        this.wake();
    }

    private async run(): Promise<void> {
        while (!this.disposed) {
            const pauseMs = await this.step();
            if (this.handover !== undefined) {
                continue;
            }
            await new Promise<void>(resolve => {
                this.cancelTimer = this.options.clock.setTimer(pauseMs, resolve);
                this.wake = resolve;
            });
        }
    }

    private step(): Promise<number> {
        if (this.handover !== undefined) {
            return this.writeSuccessor(this.handover);
        }
        if (this.isHolder) {
            return this.write();
        }
        const heardPauseMs = this.heardPauseMs();
        if (heardPauseMs > 0) {
            return Promise.resolve(heardPauseMs);
        }
        this.isReadRequested = false;
        return this.watch();
    }

    /** Has the lease's row name the successor. Returns the pause until the next step. */
    private async writeSuccessor({ successor, settled, ended }: NonNullable<typeof this.handover>): Promise<number> {
        const { store, clock, logger } = this.options;
        await settled();
        const { era = 0 } = this;
        const sentAt = clock.monotonicMs();
        const writtenMs = this.storeMsAtLatest(sentAt, wallOffsetMs(clock));
        const lease: Lease = { ...successor, incarnation: "", renewal: ++this.renewal, writtenMs };
        const name = this.rowName(era);
        const written = await store.transact({
            expected: [{ ...name, version: this.rowVersion ?? 0 }],
            puts: [{ ...name, value: Buffer.from(JSON.stringify(lease)) }],
        });
        this.handover = undefined;
        if (written.isOk() && written.value.era === era && written.value.type === "committed") {
            this.rowVersion = written.value.version;
            this.rowSeenAt = clock.monotonicMs();
            this.holderAddress = successor.peerAddress;
            logger.info("The lease for assigning keys was passed on.", { successor: successor.instance });
            ended();
            return WATCH_MS;
        }
        logger.warn("The lease for assigning keys couldn't be passed on.", {
            successor: successor.instance,
            cause: written.isErr() ? written.error.type : "the row has changed",
        });
        ended();
        return FAILURE_PAUSE_MS;
    }

    /** Acquires a lease that is free, unless others that reach targets are to take it first. Returns the pause until the next step. */
    private acquire(): Promise<number> | number {
        const now = this.options.clock.monotonicMs();
        this.freeSince ??= now;
        const isFit = this.options.isFit?.() !== false;
        return isFit || now - this.freeSince >= UNFIT_WAIT_MS ? this.write() : UNFIT_PAUSE_MS;
    }

    /**
     * Time in milliseconds until the row has to be read, because messages of the holder have come since the last read that
     * found another instance's lease; 0 if it has to be read now.
     */
    private heardPauseMs(): number {
        const { clock, isHolderHeard } = this.options;
        const isHeard = this.holderAddress !== undefined && isHolderHeard?.() === true;
        return !isHeard || this.isReadRequested || this.isHolderSilent
            ? 0
            : Math.max(0, this.watchedAt + HEARD_WATCH_MS - clock.monotonicMs());
    }

    /** Reads the lease and acquires it if it has expired. Returns the pause until the next step. */
    private async watch(): Promise<number> {
        const { store, clock, instance } = this.options;
        const sentAt = clock.monotonicMs();
        this.watchedAt = sentAt;
        const readEra = this.era ?? 0;
        const reading = await store.row(LEASE_TABLE, leaseKey(readEra));
        if (reading.isErr()) {
            return FAILURE_PAUSE_MS * 2;
        }
        const { row, storeMs, era } = reading.value;
        if (era !== this.era) {
            const pauseMs = this.enterEra(era);
            if (era !== readEra) {
                return pauseMs;
            }
        }
        this.recordStoreTime(storeMs, sentAt);
        const now = clock.monotonicMs();
        const lease = row?.value === undefined ? undefined : this.parse(row.value);
        if ((row?.version ?? 0) !== this.rowVersion) {
            this.adoptLateWrite(lease, row?.version);
            this.rowVersion = row?.version ?? 0;
            this.rowSeenAt = now;
        }
        this.isFirstLease &&= lease === undefined;
        if (lease === undefined) {
            if (now < this.earlierErasEndAt) {
                return this.earlierErasEndAt - now;
            }
            this.holderAddress = undefined;
            return this.acquire();
        }
        // Only one process at a time runs under an instance's name, so an earlier one with this name has ended.
        const isFree = lease.instance === instance;
        this.holderAddress = isFree ? undefined : lease.peerAddress;
        const seenMs = now - this.rowSeenAt;
        const writtenAgoMs = lease.writtenMs === undefined ? 0 : storeMs - lease.writtenMs;
        if (isFree) {
            return this.write();
        }
        if (Math.max(seenMs, writtenAgoMs) > EXPIRY_MS) {
            return this.acquire();
        }
        this.freeSince = undefined;
        return this.watchPauseMs(EXPIRY_MS - Math.max(seenMs, writtenAgoMs));
    }

    /** Pause until the next read of a lease that expires in so many milliseconds. */
    private watchPauseMs(expiresInMs: number): number {
        const { random = Math.random, isHolderHeard } = this.options;
        const isHeard = isHolderHeard?.() === true;
        this.isHolderSilent &&= !isHeard;
        const pauseMs = (isHeard ? HEARD_WATCH_MS : WATCH_MS) * (0.9 + 0.2 * random());
        return this.isHolderSilent ? Math.min(pauseMs, expiresInMs + EXPIRY_SPREAD_MS * random()) : pauseMs;
    }

    private async write(): Promise<number> {
        const { store, clock, instance, incarnation } = this.options;
        const { era = 0 } = this;
        // There are no eras before the first one.
        const mayHaveEarlierRows = this.rowVersion === 0 && era > 0;
        const earlierRows = mayHaveEarlierRows ? await this.rowsOfEarlierEras(era) : ok({ rows: [], era });
        if (earlierRows.isErr()) {
            this.checkLost();
            return FAILURE_PAUSE_MS;
        }
        if (earlierRows.value.era !== era) {
            return this.enterEra(earlierRows.value.era);
        }
        const sentAt = clock.monotonicMs();
        const offsetMs = wallOffsetMs(this.options.clock);
        const writtenMs = this.storeMsAtLatest(sentAt, offsetMs);
        const { peerAddress } = this.options;
        const lease: Lease = { instance, incarnation, renewal: ++this.renewal, writtenMs, peerAddress };
        const name = this.rowName(era);
        const expectedVersion = this.rowVersion ?? 0;
        const written = await store.transact({
            expected: [{ ...name, version: expectedVersion }, ...earlierRows.value.rows],
            puts: [{ ...name, value: Buffer.from(JSON.stringify(lease)) }],
            deletes: earlierRows.value.rows.map(({ table, key }) => ({ table, key })),
        });
        if (written.isOk() && written.value.era !== era) {
            return this.enterEra(written.value.era);
        }
        if (written.isOk() && written.value.type === "committed") {
            this.recordStoreTime(written.value.storeMs, sentAt);
            this.rowVersion = written.value.version;
            this.hold(sentAt, offsetMs, expectedVersion);
            return RENEWAL_MS;
        }
        if (written.isOk()) {
            return this.readBack();
        }
        this.checkLost();
        return FAILURE_PAUSE_MS;
    }

    /** Reads the row after a conflict, which an earlier write of this process without an answer may have caused. */
    private async readBack(): Promise<number> {
        const { store, incarnation, logger } = this.options;
        const reading = await store.row(LEASE_TABLE, leaseKey(this.era ?? 0));
        if (reading.isErr()) {
            this.checkLost();
            return FAILURE_PAUSE_MS;
        }
        const { row, era } = reading.value;
        if (era !== this.era) {
            return this.enterEra(era);
        }
        const lease = row?.value === undefined ? undefined : this.parse(row.value);
        if (lease?.incarnation === incarnation) {
            // The time of the earlier write is unknown, so it doesn't extend the lease; another write does.
            this.adoptLateWrite(lease, row?.version);
            this.rowVersion = row?.version ?? 0;
            return 0;
        }
        this.rowVersion = row?.version ?? 0;
        this.rowSeenAt = this.options.clock.monotonicMs();
        if (lease === undefined && this.isHeld()) {
            // A row of an earlier era has changed, so the transaction failed although no other instance holds the lease.
            return FAILURE_PAUSE_MS;
        }
        logger.info("Another instance holds the lease for assigning keys.", { holder: lease?.instance });
        this.holderAddress = lease?.peerAddress;
        this.heldUntil = -Infinity;
        this.checkLost();
        return WATCH_MS;
    }

    /** Keeps the lease continuous across a write of this process that was applied although its answer was lost. */
    private adoptLateWrite(lease: Lease | undefined, version: number | undefined): void {
        if (lease?.incarnation === this.options.incarnation && this.isContinuousAfter(this.rowVersion ?? 0)) {
            this.heldVersion = version;
        }
    }

    /**
     * Whether no other instance has held the lease since this one did, if the row has only changed from this version by its
     * own write. The first row of an era is continuous with a lease of the earlier one that is still held, as no other
     * instance acquires the lease before that one has expired.
     */
    private isContinuousAfter(version: number): boolean {
        return this.heldVersion === undefined ? version === 0 && this.isHeld() : this.heldVersion === version;
    }

    private rowName(era: number): RowName {
        return { table: LEASE_TABLE, key: leaseKey(era) };
    }

    /** Reads the rows of earlier eras, which the copy from which the store was restored may contain. */
    private async rowsOfEarlierEras(
        era: number,
    ): Promise<Result<{ rows: LeaseProof["row"][]; era: number }, PlatformError>> {
        const snapshot = await this.options.store.snapshot(LEASE_TABLE);
        return snapshot.map(({ rows, era: listedEra }) => ({
            rows: rows
                .filter(({ key }) => key !== leaseKey(era))
                .map(({ key, version }) => ({ table: LEASE_TABLE, key, version })),
            era: listedEra,
        }));
    }

    /**
     * Starts anew with the row of another era. A lease of the earlier era is held until it expires. Returns the pause until
     * the next step.
     */
    private enterEra(era: number): number {
        const { clock, logger } = this.options;
        const { era: earlier } = this;
        if (earlier !== undefined && era < earlier) {
            return FAILURE_PAUSE_MS;
        }
        const isFirst = earlier === undefined;
        const isHeld = this.isHeld();
        // Before the store was restored, another instance may have acquired the first lease, which the copy doesn't show.
        const hasEarlierLeases = era > 0;
        this.isFirstLease &&= !hasEarlierLeases;
        this.era = era;
        this.earlierErasEndAt = hasEarlierLeases ? clock.monotonicMs() + EXPIRY_MS : -Infinity;
        this.rowVersion = isFirst ? undefined : 0;
        this.heldVersion = undefined;
        this.storeTime = undefined;
        if (!isFirst) {
            logger.warn("The store was restored from a copy.", { era, isLeaseHeld: isHeld });
            this.checkLost();
        }
        return 0;
    }

    /** Records the store's clock from the answer to a call that was sent at `sentAt`. */
    private recordStoreTime(storeMs: number, sentAt: number): void {
        // The store read its clock before the answer arrived, but not before the call was sent.
        this.storeTime = { storeMs, at: sentAt, offsetMs: wallOffsetMs(this.options.clock) };
    }

    /** Upper bound of the store's clock now; `undefined` if this process's monotonic clock may have stopped meanwhile. */
    private storeMsAtLatest(now: number, offsetMs: number): number | undefined {
        const { storeTime } = this;
        if (storeTime === undefined || Math.abs(storeTime.offsetMs - offsetMs) > SUSPENSION_MS) {
            return undefined;
        }
        return Math.ceil(storeTime.storeMs + (now - storeTime.at) * (1 + CLOCK_DRIFT));
    }

    private hold(sentAt: number, offsetMs: number, expectedVersion: number): void {
        this.isInterrupted ||= !this.isContinuousAfter(expectedVersion);
        this.heldVersion = this.rowVersion;
        if (Math.abs(wallOffsetMs(this.options.clock) - offsetMs) > SUSPENSION_MS) {
            return;
        }
        if (this.disposed || this.handover !== undefined) {
            return;
        }
        this.freeSince = undefined;
        this.wallOffsetMs = offsetMs;
        this.heldUntil = sentAt + LEASE_MS;
        if (!this.isHeld()) {
            // The answer came after the end of the lease, as after a freeze. The next write holds it.
            return;
        }
        if (!this.isHolder || this.gainedEra !== this.era) {
            const isContinuous = !this.isInterrupted;
            this.isHolder = true;
            this.isInterrupted = false;
            if (!isContinuous) {
                this.othersEndedAt = this.isFirstLease ? -Infinity : this.options.clock.monotonicMs();
            }
            this.isFirstLease = false;
            this.gainedEra = this.era;
            this.options.logger.info("The lease for assigning keys was gained.", {
                era: this.era,
                version: this.rowVersion,
                isContinuous,
            });
            this.options.gained(isContinuous);
        }
    }

    private checkLost(): void {
        if (this.isHolder && !this.isHeld()) {
            this.lose();
        }
    }

    private lose(): void {
        this.isHolder = false;
        this.options.logger.info("The lease for assigning keys was lost.", { version: this.rowVersion });
        this.options.lost?.();
    }

    private parse(value: Buffer): Lease | undefined {
        const parsed = leaseSchema.safeParse(parseJson(value.toString()));
        if (!parsed.success) {
            this.options.logger.warn("The lease's row can't be read; waiting for the lease to expire.", {});
            return { instance: "", incarnation: "", renewal: 0 };
        }
        return parsed.data;
    }
}
