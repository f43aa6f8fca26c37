import type { AnswerSink, DispatchedRequest } from "../../connection/answerSink.js";
import type { OpenFrame } from "../../connection/peerProtocol.js";
import type { HandedOverLoad } from "../balance/dispatchedLoad.js";
import type { EarlierRuns } from "../membership/earlierRuns.js";
import { refuse } from "../../request/refusal.js";
import type { BundleService } from "../../version/bundle.js";
import type { FormerDispatcher, ServiceRecords } from "../records/serviceRecords.js";
import type { TargetRow } from "../store/rows.js";
import { targetRowKey } from "../store/rows.js";
import { normalizeSlices, subtractSlices } from "../ownership/sliceMap.js";
import type { TableReplica } from "../store/tableReplica.js";
import type { DispatchServices } from "./dispatchServices.js";
import { TargetDispatcher, type TargetDispatcherEvents } from "./targetDispatcher.js";

/** Age from which a handed-over load is out of date, as when the hand-over was not written, in milliseconds. */
const EARLIER_LOAD_LIMIT_MS = 5_000;

const NO_REQUEST: DispatchedRequest = { cancel: () => undefined, credit: () => undefined };

/**
 * The dispatchers of the targets whose rows name this instance. It follows the replica.
 *
 * @example
 * dispatchers.sync();
 * dispatchers.dispatch(open, sink);
 */
export class Dispatchers {
    private readonly dispatchers = new Map<string, TargetDispatcher>();
    /** Dispatchers that ended with requests in flight. */
    private readonly ended = new Set<TargetDispatcher>();
    private readonly earlierRuns = new Map<string, EarlierRuns>();
    private readonly earlierLoads = new Map<string, { load: HandedOverLoad; at: number }>();
    /** Rows by service that this instance dispatched for at the last synchronization. */
    private heldRows = new Map<string, TargetRow[]>();

    constructor(
        private readonly options: {
            replica: TableReplica;
            services: DispatchServices & TargetDispatcherEvents;
            records: ServiceRecords;
            serviceOf: (name: string) => BundleService | undefined;
            /**
             * The dispatcher from which this instance took a target over under a term, without a hand-over; `undefined`
             * if this instance didn't take it over.
             */
            takenFrom: (targetKey: string, term: number) => FormerDispatcher | undefined;
        },
    ) {}

    /** Creates and ends dispatchers to match the rows, and tells the present ones of changes. */
    sync(): void {
        const self = this.options.services.incarnation();
        const rows = this.options.replica.allTargets().map(({ value }) => value);
        const own = rows.filter(row => row.dispatcher === self);
        this.followAuthority(own);
        const present = new Set(own.map(row => targetRowKey(row.service, row.target)));
        for (const [key, dispatcher] of this.dispatchers) {
            if (!present.has(key)) {
                this.dispatchers.delete(key);
                this.end(dispatcher);
            }
        }
        for (const row of own) {
            this.follow(row);
        }
    }

    get(key: string): TargetDispatcher | undefined {
        return this.dispatchers.get(key);
    }

    all(): TargetDispatcher[] {
        return [...this.dispatchers.values()];
    }

    /** Takes a request from a peer or a caller for a target of this instance. */
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

    /** Requests at the dispatchers that have not ended. */
    openRequests(): number {
        return this.all().reduce((sum, dispatcher) => sum + dispatcher.openRequests, this.ending());
    }

    /** Notes what the former dispatcher of a target has running. It arrives before the row names this instance. */
    expectEarlierRuns(targetKey: string, runs: EarlierRuns): void {
        this.earlierRuns.set(targetKey, runs);
    }

    /** Notes the load that the former dispatcher of a target counted. It arrives before the row names this instance. */
    expectEarlierLoad(targetKey: string, load: HandedOverLoad): void {
        this.earlierLoads.set(targetKey, { load, at: this.options.services.clock.monotonicMs() });
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

    private ending(): number {
        for (const dispatcher of this.ended) {
            if (dispatcher.openRequests === 0) {
                this.ended.delete(dispatcher);
            }
        }
        return [...this.ended].reduce((sum, dispatcher) => sum + dispatcher.openRequests, 0);
    }

    private follow(row: TargetRow): void {
        const key = targetRowKey(row.service, row.target);
        const held = this.dispatchers.get(key);
        if (held !== undefined && held.address === row.address) {
            held.rowChanged();
            return;
        }
        if (held !== undefined) {
            this.end(held);
        }
        const service = this.options.serviceOf(row.service);
        if (service === undefined) {
            this.dispatchers.delete(key);
            return;
        }
        const { services } = this.options;
        const takenFrom = this.options.takenFrom(key, row.term)?.incarnation ?? "";
        const dispatcher = new TargetDispatcher(service, row, services, takenFrom);
        const runs = this.earlierRuns.get(key);
        if (runs !== undefined) {
            dispatcher.expectEarlierRuns(runs);
        }
        this.earlierRuns.delete(key);
        const earlier = this.earlierLoads.get(key);
        if (earlier !== undefined && services.clock.monotonicMs() - earlier.at <= EARLIER_LOAD_LIMIT_MS) {
            dispatcher.resumeLoad(earlier.load);
        }
        this.earlierLoads.delete(key);
        this.dispatchers.set(key, dispatcher);
    }

    /**
     * Adjusts since when the records are complete: a slice that is gained counts from now, or from what its former
     * dispatcher handed over; one that moves between targets of this instance keeps its time.
     */
    private followAuthority(own: readonly TargetRow[]): void {
        const { records } = this.options;
        const held = new Map<string, TargetRow[]>();
        for (const row of own) {
            held.set(row.service, [...(held.get(row.service) ?? []), row]);
        }
        for (const service of new Set([...held.keys(), ...this.heldRows.keys()])) {
            const rowsBefore = this.heldRows.get(service) ?? [];
            const rowsNow = held.get(service) ?? [];
            // The replica keeps the object of a row until the row changes, and most changes are of other targets.
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
                    records.gained(service, gained, key, row.term, this.options.takenFrom(key, row.term));
                }
            }
        }
        this.heldRows = held;
    }
}
