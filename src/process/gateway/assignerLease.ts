import { z } from "zod";
import type { Clock, TimerCancellation } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import { parseJson } from "../runtime/parseJson.js";
import type { RowStore } from "./rowStore.js";

/** Table of the lease. It has no other rows, so that renewals wake nobody who follows a table. */
export const LEASE_TABLE = "sassafrasloom-lease";
export const LEASE_KEY = "assigner";
/** Time for which a written lease holds, in milliseconds. Several renewals may fail within it. */
export const LEASE_MS = 3_500;
/** Time between two renewals, in milliseconds. */
const RENEWAL_MS = 1_000;
/**
 * Time between two looks of the others at the lease, in milliseconds. One look shows the age of the lease, and the looks of
 * several instances fall at different times.
 */
const WATCH_MS = 5_000;
/** Pause after a call that failed, in milliseconds. */
const FAILURE_PAUSE_MS = 250;
/** Difference of the clocks' rates that the wait for another's lease allows for. */
const CLOCK_DRIFT = 0.02;
/** Change between the time of day and the steady clock that is taken for a suspension, in milliseconds. */
const SUSPENSION_MS = 250;

const leaseSchema = z.object({
    instance: z.string(),
    incarnation: z.string(),
    renewal: z.number().int(),
    /** Where the holder takes reports of load, as `HOST:PORT`. */
    peerAddress: z.string().optional(),
    /** The store's clock at the time of the write at the latest, in milliseconds; missing when the writer didn't know it. */
    writtenMs: z.number().optional(),
});
type Lease = z.infer<typeof leaseSchema>;

/** The store's clock at a moment of this process, at the latest. */
interface StoreTime {
    storeMs: number;
    at: number;
    offsetMs: number;
}

/**
 * The lease of the one instance that assigns keys. It is a row of the store that its holder rewrites; another instance
 * takes it over when the row hasn't changed for the lease's time. The holder counts the time from before its write, the
 * others from the store's clock at that write at the latest, or from their first reading of the row, so that two never
 * hold it at once.
 *
 * A steady clock may stand still while a machine is suspended, so a change of the time of day against it ends the lease
 * for the holder until the next renewal.
 *
 * @example
 * const lease = new AssignerLease({ store, instance, incarnation, clock, logger, gained });
 * lease.start();
 * lease.isHeld();
 */
export class AssignerLease {
    private rowVersion: number | undefined;
    private rowSeenAt = 0;
    private heldUntil = -Infinity;
    private isHolder = false;
    private renewal = 0;
    private wallOffsetMs: number;
    private storeTime: StoreTime | undefined;
    /** Version of the row when this process last held the lease. */
    private heldVersion: number | undefined;
    private holderAddress: string | undefined;
    private disposed = false;
    private cancelTimer: TimerCancellation = () => undefined;

    constructor(
        private readonly options: {
            store: RowStore;
            instance: string;
            /** Differs at each start of the instance. */
            incarnation: string;
            /** Where this instance takes reports of load, as `HOST:PORT`. */
            peerAddress?: string;
            clock: Clock;
            logger: Logger;
            /** Called when the lease was got; `isContinuous` when nobody else has held it since this process last did. */
            gained: (isContinuous: boolean) => void;
            /** Called when the lease has ended for this process, which may get it again. */
            lost?: () => void;
            random?: () => number;
        },
    ) {
        this.wallOffsetMs = this.offsetMs();
    }

    /** Whether this instance may assign and grant keys now. */
    isHeld(): boolean {
        const offsetMs = this.offsetMs();
        if (Math.abs(offsetMs - this.wallOffsetMs) > SUSPENSION_MS) {
            this.wallOffsetMs = offsetMs;
            this.heldUntil = -Infinity;
        }
        return this.options.clock.monotonicMs() < this.heldUntil;
    }

    /** Where another instance takes reports of load, if it held the lease when this one looked last. */
    get assignerAddress(): string | undefined {
        return this.isHolder ? undefined : this.holderAddress;
    }

    /** Version of the lease's row, which transactions of the holder expect. */
    get version(): number {
        return this.rowVersion ?? 0;
    }

    start(): void {
        void this.run();
    }

    /**
     * Gives the lease up, so that another instance need not wait for its end. It isn't held any more from this call on;
     * the row goes when `settled` says that calls made under it have ended.
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
        const name = { table: LEASE_TABLE, key: LEASE_KEY };
        const deleted = await this.options.store.transact({
            expected: [{ ...name, version: this.version }],
            puts: [],
            deletes: [name],
        });
        if (deleted.isErr()) {
            this.options.logger.warn("The lease couldn't be given up; it ends by itself.", {
                cause: deleted.error.type,
            });
        }
    }

    dispose(): void {
        this.disposed = true;
        this.cancelTimer();
    }

    private async run(): Promise<void> {
        while (!this.disposed) {
            const pauseMs = this.isHolder ? await this.write() : await this.watch();
            await new Promise<void>(resolve => {
                this.cancelTimer = this.options.clock.setTimer(pauseMs, resolve);
            });
        }
    }

    /** Looks at the lease and takes it when it has ended. Returns the pause until the next look. */
    private async watch(): Promise<number> {
        const { store, clock, instance } = this.options;
        const sentAt = clock.monotonicMs();
        const reading = await store.row(LEASE_TABLE, LEASE_KEY);
        if (reading.isErr()) {
            return FAILURE_PAUSE_MS * 2;
        }
        const { row, storeMs } = reading.value;
        this.noteStoreTime(storeMs, sentAt);
        const now = clock.monotonicMs();
        const lease = row?.value === undefined ? undefined : this.parse(row.value);
        if ((row?.version ?? 0) !== this.rowVersion) {
            this.adoptLateWrite(lease, row?.version);
            this.rowVersion = row?.version ?? 0;
            this.rowSeenAt = now;
        }
        // One process runs under an instance's name at a time, so an earlier one under this name has ended.
        const isFree = lease === undefined || lease.instance === instance;
        this.holderAddress = isFree ? undefined : lease.peerAddress;
        const seenMs = now - this.rowSeenAt;
        const writtenAgoMs = lease?.writtenMs === undefined ? 0 : storeMs - lease.writtenMs;
        if (isFree || Math.max(seenMs, writtenAgoMs) > LEASE_MS * (1 + CLOCK_DRIFT)) {
            return this.write();
        }
        return WATCH_MS * (0.9 + 0.2 * (this.options.random ?? Math.random)());
    }

    private async write(): Promise<number> {
        const { store, clock, instance, incarnation } = this.options;
        const sentAt = clock.monotonicMs();
        const offsetMs = this.offsetMs();
        const writtenMs = this.storeMsAtLatest(sentAt, offsetMs);
        const { peerAddress } = this.options;
        const lease: Lease = { instance, incarnation, renewal: ++this.renewal, writtenMs, peerAddress };
        const name = { table: LEASE_TABLE, key: LEASE_KEY };
        const expectedVersion = this.version;
        const written = await store.transact({
            expected: [{ ...name, version: expectedVersion }],
            puts: [{ ...name, value: Buffer.from(JSON.stringify(lease)) }],
        });
        if (written.isOk() && written.value.type === "committed") {
            this.noteStoreTime(written.value.storeMs, sentAt);
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

    /** After a conflict: an earlier write of this process whose answer was lost may be what is there. */
    private async readBack(): Promise<number> {
        const { store, incarnation, logger } = this.options;
        const reading = await store.row(LEASE_TABLE, LEASE_KEY);
        if (reading.isErr()) {
            this.checkLost();
            return FAILURE_PAUSE_MS;
        }
        const { row } = reading.value;
        const lease = row?.value === undefined ? undefined : this.parse(row.value);
        if (lease?.incarnation === incarnation) {
            // When the earlier write was done isn't known, so it doesn't prolong the lease; another write does.
            this.adoptLateWrite(lease, row?.version);
            this.rowVersion = row?.version ?? 0;
            return 0;
        }
        this.rowVersion = row?.version ?? 0;
        this.rowSeenAt = this.options.clock.monotonicMs();
        logger.info("Another instance holds the lease for assigning keys.", { holder: lease?.instance });
        this.heldUntil = -Infinity;
        this.checkLost();
        return WATCH_MS;
    }

    /** A write of this process that was done without an answer doesn't interrupt its holding of the lease. */
    private adoptLateWrite(lease: Lease | undefined, version: number | undefined): void {
        if (lease?.incarnation === this.options.incarnation && this.heldVersion === this.rowVersion) {
            this.heldVersion = version;
        }
    }

    /** Learns the store's clock from an answer to a call that was sent at `sentAt`. */
    private noteStoreTime(storeMs: number, sentAt: number): void {
        // The store read its clock before the answer came, but not before the call was sent.
        this.storeTime = { storeMs, at: sentAt, offsetMs: this.offsetMs() };
    }

    /** The store's clock now at the latest; `undefined` when the own clock may have stood still meanwhile. */
    private storeMsAtLatest(now: number, offsetMs: number): number | undefined {
        const { storeTime } = this;
        if (storeTime === undefined || Math.abs(storeTime.offsetMs - offsetMs) > SUSPENSION_MS) {
            return undefined;
        }
        return Math.ceil(storeTime.storeMs + (now - storeTime.at) * (1 + CLOCK_DRIFT));
    }

    private hold(sentAt: number, offsetMs: number, expectedVersion: number): void {
        const isContinuous = this.heldVersion !== undefined && this.heldVersion === expectedVersion;
        this.heldVersion = this.rowVersion;
        if (Math.abs(this.offsetMs() - offsetMs) > SUSPENSION_MS) {
            return;
        }
        if (this.disposed) {
            return;
        }
        this.wallOffsetMs = offsetMs;
        this.heldUntil = sentAt + LEASE_MS;
        if (!this.isHolder) {
            this.isHolder = true;
            this.options.logger.info("The lease for assigning keys was gained.", {
                version: this.rowVersion,
                isContinuous,
            });
            this.options.gained(isContinuous);
        }
    }

    private checkLost(): void {
        if (this.isHolder && !this.isHeld()) {
            this.loseIt();
        }
    }

    private loseIt(): void {
        this.isHolder = false;
        this.options.logger.info("The lease for assigning keys was lost.", { version: this.rowVersion });
        this.options.lost?.();
    }

    private parse(value: Buffer): Lease | undefined {
        const parsed = leaseSchema.safeParse(parseJson(value.toString()));
        if (!parsed.success) {
            this.options.logger.warn("The lease's row can't be read; waiting for its end.", {});
            return { instance: "", incarnation: "", renewal: 0 };
        }
        return parsed.data;
    }

    private offsetMs(): number {
        return this.options.clock.wallMs() - this.options.clock.monotonicMs();
    }
}
