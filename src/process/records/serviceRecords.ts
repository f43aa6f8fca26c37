import { err, ok, type Result } from "neverthrow";
import { v7 as uuidv7 } from "uuid";
import type { RequestIdentifier } from "../../request/identifier.js";
import { refuse, type Refusal } from "../../request/refusal.js";
import type { BundleService } from "../../version/bundle.js";
import type { Clock } from "../runtime/clock.js";
import { DurableRecord, readDurableRecord, type HeldTargetRow, type Scan, type Transact } from "./durableRecord.js";
import { IdentifierRecord, type Admission, type IdentifiedRequest } from "./identifierRecord.js";
import type { Logger } from "../observability/logger.js";
import { RecordAuthority } from "./recordAuthority.js";
import { PreparedHandOvers } from "./preparedHandOvers.js";
import {
    exportHandOver,
    handOverIdentifier,
    handOverName,
    importHandOver,
    type RecordHandOver,
} from "./recordHandOver.js";
import type { Slice, VersionedRow } from "../store/rows.js";
import { subtractSlices } from "../ownership/sliceMap.js";

/** Delay before a failed read of the durable record is retried, in milliseconds. */
const DURABLE_READ_RETRY_MS = 250;
/** Number of clock skews for which a durable row is kept beyond the identifier window. */
const RETENTION_SKEWS = 4;

interface RecordOfService {
    service: BundleService;
    memory: IdentifierRecord;
    durable: Map<string, DurableRecord>;
}

/** A read of the durable record in progress, and the slices whose record it completes. */
interface DurableRead {
    service: string;
    slices: readonly Slice[];
}

/** The dispatcher that a target had before this instance took it over. */
export interface FormerDispatcher {
    /** Empty if the target had no dispatcher. */
    incarnation: string;
    /** Monotonic milliseconds since which it can't have sent any request; `undefined` if that isn't known. */
    lapsedAt: number | undefined;
}

/** What the record of gained slices is based on; for the log. */
export interface GainedRecord {
    /** Whether a handover was applied. */
    isHandedOver: boolean;
    /**
     * What applies to slices that no handover covers: nothing could have run there, the durable record is read, or
     * identifiers from before an instant are refused. `covered` if there are none.
     */
    rest: "covered" | "unused" | "durable-record" | "refused-before-instant";
}

/** Why a durable record refused an identifier, with the target's newer row if that is the reason. */
export interface CommitRefusal {
    refusal: Refusal;
    row: VersionedRow | undefined;
}

/**
 * This instance's records of non-idempotent requests per service, and since when they are complete.
 *
 * @example
 * const admission = records.admit(service, { position, identifier, fingerprint });
 */
export class ServiceRecords {
    private readonly authority = new RecordAuthority();
    private readonly records = new Map<string, RecordOfService>();
    /** Identifiers under which the authority has prepared handovers. */
    private readonly prepared = new PreparedHandOvers<string>(identifier => this.authority.discard(identifier));
    private readonly reads = new Set<DurableRead>();

    constructor(
        private readonly options: {
            clock: Clock;
            log: Logger;
            transact: Transact;
            scan: Scan;
            heldRow: (targetKey: string) => HeldTargetRow | undefined;
            serviceOf: (name: string) => BundleService | undefined;
        },
    ) {}

    /** Decides about a non-idempotent request. A request for a position without authority is refused as not run. */
    admit(service: BundleService, request: Omit<IdentifiedRequest, "authoritySinceMs" | "service">): Admission {
        const since = this.authority.sinceMs(service.name, request.position);
        if (since === undefined) {
            return { type: "refuse", refusal: refuse("not-dispatcher", "The record of the key isn't complete yet.") };
        }
        const { memory } = this.recordOf(service);
        return memory.admit({ ...request, service: service.name, authoritySinceMs: since });
    }

    /**
     * Writes an admitted identifier to the durable record. Returns ok at once for services without a durable record.
     */
    async commit(
        service: BundleService,
        targetKey: string,
        request: { identifier: RequestIdentifier; fingerprint: Uint8Array; position: number },
        rowVersion: number,
        isWanted: () => boolean,
    ): Promise<Result<void, CommitRefusal>> {
        if (service.record !== "durable") {
            return ok(undefined);
        }
        const result = await this.durableOf(service, targetKey).commit({
            recorded: {
                position: request.position,
                identifier: Buffer.from(request.identifier.bytes).toString("hex"),
                fingerprint: Buffer.from(request.fingerprint).toString("hex").slice(0, 16),
            },
            timeMs: request.identifier.timeMs,
            rowVersion,
            isWanted,
        });
        return result.mapErr(({ refusal, ...rest }) => ({ refusal, row: "row" in rest ? rest.row : undefined }));
    }

    /**
     * This instance has become the dispatcher of more slices of a target, under a term. `former` is the dispatcher from
     * which it took the target over without a handover. `attempt` is the handover that the target's row carries out. Any
     * other handover says nothing about what its sender admitted afterwards, even if it was prepared for the same term.
     */
    gained(
        service: string,
        gained: readonly Slice[],
        targetKey: string,
        term: number,
        former: FormerDispatcher | undefined,
        attempt?: string,
    ): GainedRecord {
        // A handover under the same term may have set instants for these slices when they moved to other instances.
        // Those instants must not apply here.
        this.release(service, gained);
        const handOver = this.prepared.take({ targetKey, term, attempt });
        const isHandedOver = handOver !== undefined && this.authority.confirm(handOver);
        // The handover may cover only a part: another instance may have prepared one under the same term, or this
        // instance may have seen the row only after two moves. Without an instant, requests for the rest would be
        // refused for as long as it stays here.
        const covered = this.authority.intervalsOf(service, gained).map(({ slice }) => slice);
        const slices = subtractSlices(gained, covered);
        if (slices.length === 0) {
            return { isHandedOver, rest: "covered" };
        }
        if (former?.incarnation === "") {
            this.authority.set(
                service,
                slices.map(slice => ({ slice, sinceMs: 0 })),
            );
            return { isHandedOver, rest: "unused" };
        }
        const declared = this.options.serviceOf(service);
        if (declared?.record === "durable") {
            void this.readDurable(declared, slices, targetKey);
            return { isHandedOver, rest: "durable-record" };
        }
        // The lapse may be seconds ago. Identifiers created since then can't have run under the former dispatcher.
        const { clock } = this.options;
        const lapsedForMs = former?.lapsedAt === undefined ? 0 : clock.monotonicMs() - former.lapsedAt;
        this.authority.takeOver(service, slices, clock.wallMs() - Math.max(0, lapsedForMs));
        return { isHandedOver, rest: "refused-before-instant" };
    }

    /** Another instance has become the dispatcher of these slices. */
    lost(service: string, slices: readonly Slice[]): void {
        this.release(service, slices);
    }

    /**
     * The former dispatcher of slices was fenced only now and may have admitted requests until then. This has no effect
     * for services with a durable record, which is read after the former dispatcher could last write to it.
     */
    fenced(service: BundleService, slices: readonly Slice[]): void {
        if (service.record !== "durable") {
            this.authority.takeOver(service.name, slices, this.options.clock.wallMs());
        }
    }

    /** Exports the record of slices for their next dispatcher. */
    export(
        service: BundleService,
        slices: readonly Slice[],
        targetKey: string,
        term: number,
    ): RecordHandOver & { attempt: string } {
        const handOver = exportHandOver(this.recordOf(service).memory, this.authority, {
            handOver: handOverIdentifier(targetKey, term),
            service: service.name,
            slices,
            skewMs: service.clockSkewMs,
        });
        return { ...handOver, attempt: uuidv7() };
    }

    /** Imports a record of the former dispatcher. It takes effect once a row that states its attempt does. */
    import(handOver: RecordHandOver): boolean {
        const service = this.options.serviceOf(handOver.service);
        if (service === undefined) {
            return false;
        }
        const name = handOverName(handOver);
        const identifier = `${handOver.handOver}/${name.attempt ?? ""}`;
        const { memory } = this.recordOf(service);
        if (importHandOver(memory, this.authority, { ...handOver, handOver: identifier }).isErr()) {
            return false;
        }
        this.prepared.add(name, identifier);
        return true;
    }

    /** Number of identifiers held and bytes used, over all services. */
    usage(): { identifiers: number; bytes: number } {
        const usages = [...this.records.values()].map(({ memory }) => memory.usage());
        return {
            identifiers: usages.reduce((sum, { identifiers }) => sum + identifiers, 0),
            bytes: usages.reduce((sum, { tableBytes, answerBytes }) => sum + tableBytes + answerBytes, 0),
        };
    }

    /** Deletes old rows of durable records; to be called periodically. */
    async prune(): Promise<void> {
        for (const { durable } of this.records.values()) {
            for (const record of durable.values()) {
                await record.prune();
            }
        }
    }

    /**
     * Ends the authority over slices, also that of reads in progress: those don't contain what another dispatcher runs
     * until the slices return.
     */
    private release(service: string, slices: readonly Slice[]): void {
        this.authority.release(service, slices);
        for (const read of this.reads) {
            if (read.service === service) {
                read.slices = subtractSlices(read.slices, slices);
            }
        }
    }

    private recordOf(service: BundleService): RecordOfService {
        const held = this.records.get(service.name);
        if (held !== undefined) {
            return held;
        }
        const record: RecordOfService = {
            service,
            memory: new IdentifierRecord({
                clock: this.options.clock,
                windowMs: service.identifierWindowMs,
                skewMs: service.clockSkewMs,
            }),
            durable: new Map(),
        };
        this.records.set(service.name, record);
        return record;
    }

    private durableOf(service: BundleService, targetKey: string): DurableRecord {
        const { durable } = this.recordOf(service);
        const held = durable.get(targetKey);
        if (held !== undefined) {
            return held;
        }
        const record = new DurableRecord({
            clock: this.options.clock,
            transact: this.options.transact,
            heldRow: () => this.options.heldRow(targetKey),
            retentionMs: service.identifierWindowMs + RETENTION_SKEWS * service.clockSkewMs,
        });
        durable.set(targetKey, record);
        return record;
    }

    /** Reads the record of earlier dispatchers. Until that succeeds, requests for the slices are refused as not run. */
    private async readDurable(service: BundleService, slices: readonly Slice[], targetKey: string): Promise<void> {
        const { clock, scan, log, heldRow } = this.options;
        const read: DurableRead = { service: service.name, slices };
        this.reads.add(read);
        while (heldRow(targetKey) !== undefined && read.slices.length > 0) {
            const contents = await readDurableRecord(scan, service.name);
            const imported = contents.isOk()
                ? this.recordOf(service).memory.importIdentifiers(service.name, contents.value.identifiers)
                : err(contents.error);
            if (imported.isOk() && contents.isOk()) {
                const prefix = `record/${targetKey.slice("target/".length)}/`;
                this.durableOf(service, targetKey).adoptRows(
                    contents.value.rows.filter(({ key }) => key.startsWith(prefix)),
                );
                this.authority.set(
                    service.name,
                    read.slices.map(slice => ({ slice, sinceMs: 0 })),
                );
                break;
            }
            if (imported.isErr()) {
                log.warn("The durable record can't be read; trying again.", {
                    service: service.name,
                    cause: imported.error.type,
                });
            }
            await new Promise<void>(resolve => clock.setTimer(DURABLE_READ_RETRY_MS, resolve));
        }
        this.reads.delete(read);
    }
}
