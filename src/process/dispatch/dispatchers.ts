import type { AnswerSink, DispatchedRequest } from "../../connection/answerSink.js";
import type { OpenFrame } from "../../connection/peerProtocol.js";
import type { TargetHandOver } from "../membership/controlHandler.js";
import { refuse } from "../../request/refusal.js";
import type { BundleService } from "../../version/bundle.js";
import { PreparedHandOvers, type HandOverName } from "../records/preparedHandOvers.js";
import type { FormerDispatcher, ServiceRecords } from "../records/serviceRecords.js";
import type { TargetRow } from "../store/rows.js";
import { targetRowKey } from "../store/rows.js";
import { normalizeSlices, subtractSlices } from "../ownership/sliceMap.js";
import type { TableReplica } from "../store/tableReplica.js";
import type { DispatchServices } from "./dispatchServices.js";
import { TargetDispatcher, type TargetDispatcherEvents } from "./targetDispatcher.js";

/**
 * Maximum age of a handed-over load, in milliseconds. It can become outdated while the result of writing the row of the
 * handover isn't known.
 */
const MAX_EARLIER_LOAD_AGE_MS = 5_000;

const NO_REQUEST: DispatchedRequest = { cancel: () => undefined, credit: () => undefined };

/**
 * Dispatchers of the targets whose rows name this instance, kept in step with the replica by `sync`.
 *
 * @example
 * dispatchers.sync();
 * dispatchers.dispatch(open, sink);
 */
export class Dispatchers {
    private readonly dispatchers = new Map<string, TargetDispatcher>();
    /** Disposed dispatchers that may still have requests in flight. */
    private readonly ended = new Set<TargetDispatcher>();
    /** What former dispatchers handed over with targets, and the monotonic time of its arrival. */
    private readonly handOvers = new PreparedHandOvers<TargetHandOver & { at: number }>();
    /** Rows by service that named this instance as dispatcher at the last call of `sync`. */
    private lastOwnRows = new Map<string, TargetRow[]>();

    constructor(
        private readonly options: {
            replica: TableReplica;
            services: DispatchServices & TargetDispatcherEvents;
            records: ServiceRecords;
            serviceOf: (name: string) => BundleService | undefined;
            /**
             * The former dispatcher from which this instance took over a target in a term without a handover;
             * `undefined` if it didn't take over the target.
             */
            takenFrom: (targetKey: string, term: number) => FormerDispatcher | undefined;
        },
    ) {}

    /** Creates and disposes dispatchers to match the rows, and notifies the existing ones of changes. */
    sync(): void {
        const self = this.options.services.incarnation();
        const rows = this.options.replica.allTargets().map(({ value }) => value);
        const own = rows.filter(row => row.dispatcher === self);
        this.updateRecordCoverage(own);
        const present = new Set(own.map(row => targetRowKey(row.service, row.target)));
        for (const [key, dispatcher] of this.dispatchers) {
            if (!present.has(key)) {
                this.dispatchers.delete(key);
                this.end(dispatcher);
            }
        }
        for (const row of own) {
            this.syncDispatcher(row);
        }
    }

    get(key: string): TargetDispatcher | undefined {
        return this.dispatchers.get(key);
    }

    all(): TargetDispatcher[] {
        return [...this.dispatchers.values()];
    }

    /** Accepts a request from a peer or a caller for a target of this instance. */
    dispatch(open: OpenFrame, sink: AnswerSink): DispatchedRequest {
        const key = targetRowKey(open.service, open.target);
        const dispatcher = this.dispatchers.get(key);
        if (dispatcher === undefined) {
            const row = this.options.replica.row(key);
            const refusal = refuse("not-dispatcher", "This instance doesn't dispatch for the target.");
            sink.refused(refusal, { rows: row === undefined ? [] : [row], mayHaveRun: false });
            return NO_REQUEST;
        }
        return dispatcher.dispatch(open, sink);
    }

    /** Number of requests that have not ended, at all dispatchers. */
    openRequests(): number {
        return this.all().reduce((sum, dispatcher) => sum + dispatcher.openRequests, this.openRequestsOfEnded());
    }

    /**
     * Stores the requests in flight and the load that the former dispatcher of a target reports. They arrive before the
     * target's row names this instance. They apply if that row states the same handover or has a later term.
     */
    expectHandOver(name: HandOverName, handOver: TargetHandOver): void {
        this.handOvers.add(name, { ...handOver, at: this.options.services.clock.monotonicMs() });
    }

    tick(): void {
        this.dispatchers.forEach(dispatcher => dispatcher.tick());
    }

    dispose(): void {
        this.dispatchers.forEach(dispatcher => dispatcher.dispose());
        this.dispatchers.clear();
    }

    private end(dispatcher: TargetDispatcher): void {
        dispatcher.dispose();
        this.ended.add(dispatcher);
    }

    private openRequestsOfEnded(): number {
        for (const dispatcher of this.ended) {
            if (dispatcher.openRequests === 0) {
                this.ended.delete(dispatcher);
            }
        }
        return [...this.ended].reduce((sum, dispatcher) => sum + dispatcher.openRequests, 0);
    }

    private syncDispatcher(row: TargetRow): void {
        const key = targetRowKey(row.service, row.target);
        const existing = this.dispatchers.get(key);
        if (existing !== undefined && existing.address === row.address) {
            existing.rowChanged();
            return;
        }
        if (existing !== undefined) {
            this.end(existing);
        }
        const service = this.options.serviceOf(row.service);
        if (service === undefined) {
            this.dispatchers.delete(key);
            return;
        }
        const { services } = this.options;
        const takenFrom = this.formerDispatcherOf(row)?.incarnation ?? "";
        const dispatcher = new TargetDispatcher(service, row, services, takenFrom);
        // After missed rows it isn't known whether one of them carried the latest handover out. Its requests then count as
        // running, because a move of their positions would end them.
        const missed = this.handOvers.latestBefore(key, row.term);
        const earlier = this.handOvers.take({ targetKey: key, term: row.term, attempt: row.handOver }) ?? missed;
        if (earlier?.runs !== undefined) {
            dispatcher.expectEarlierRuns(earlier.runs);
        }
        if (earlier?.load !== undefined && services.clock.monotonicMs() - earlier.at <= MAX_EARLIER_LOAD_AGE_MS) {
            dispatcher.resumeLoad(earlier.load);
        }
        this.dispatchers.set(key, dispatcher);
    }

    /**
     * The dispatcher from which this instance took a target over. A row that carries out a handover was written by the
     * former dispatcher, even if a claim of this instance failed under the same term.
     */
    private formerDispatcherOf(row: TargetRow): FormerDispatcher | undefined {
        const isHandedOver = row.handOver !== undefined && row.handOver !== "";
        return isHandedOver ? undefined : this.options.takenFrom(targetRowKey(row.service, row.target), row.term);
    }

    /**
     * Updates the time from which the records of each slice are complete. For a gained slice this is now, or the time
     * that its former dispatcher handed over; a slice that moves between targets of this instance keeps its time.
     */
    private updateRecordCoverage(own: readonly TargetRow[]): void {
        const { records } = this.options;
        const ownByService = new Map<string, TargetRow[]>();
        for (const row of own) {
            ownByService.set(row.service, [...(ownByService.get(row.service) ?? []), row]);
        }
        for (const service of new Set([...ownByService.keys(), ...this.lastOwnRows.keys()])) {
            const rowsBefore = this.lastOwnRows.get(service) ?? [];
            const rowsNow = ownByService.get(service) ?? [];
            // Most changes concern other targets. Rows can be compared by identity, because the replica replaces the
            // object of a row only when the row changes.
            if (rowsBefore.length === rowsNow.length && rowsNow.every((row, index) => row === rowsBefore[index])) {
                continue;
            }
            const before = normalizeSlices(rowsBefore.flatMap(({ slices }) => slices));
            const now = rowsNow.flatMap(({ slices }) => slices);
            records.lost(service, subtractSlices(before, now));
            for (const row of rowsNow.filter(changed => !rowsBefore.includes(changed))) {
                const gained = subtractSlices(row.slices, before);
                if (gained.length > 0) {
                    const key = targetRowKey(service, row.target);
                    const former = this.formerDispatcherOf(row);
                    const { isHandedOver, rest } = records.gained(service, gained, key, row.term, former, row.handOver);
                    // The message names the slices' target and term because the logger only counts repeats of a message.
                    this.options.services.log.info(`Gained slices of ${key} in term ${row.term}.`, {
                        isHandedOver,
                        rest,
                        from: former?.incarnation,
                    });
                }
            }
        }
        this.lastOwnRows = ownByService;
    }
}
