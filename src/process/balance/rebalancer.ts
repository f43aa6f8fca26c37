import { z } from "zod";
import type { BundleService } from "../../version/bundle.js";
import type { Clock } from "../runtime/clock.js";
import { targetLoadSchema, type ReportedLoad } from "./dispatchedLoad.js";
import type { Dispatchers } from "../dispatch/dispatchers.js";
import { loadImbalance } from "./loadImbalance.js";
import type { TargetLoad } from "./loadModel.js";
import type { Logger } from "../observability/logger.js";
import type { Membership } from "../membership/membership.js";
import { MoveBudget } from "./moveBudget.js";
import type { Ownership } from "../ownership/ownership.js";
import { parseJson } from "../runtime/parseJson.js";
import type { Peers } from "../membership/peers.js";
import { findOutliers, type Outliers } from "./outliers.js";
import { DEFAULT_REBALANCE_LIMITS, planMoves, type Move } from "./rebalance.js";
import { rendezvousFirst } from "../membership/rendezvous.js";
import { sliceSchema, targetRowKey, type Slice, type TargetRow } from "../store/rows.js";
import type { TableReplica } from "../store/tableReplica.js";
import { domainSignature, trackDomain, MAX_SETTLE_MS, usableLoads, type DomainChanges } from "./usableLoads.js";

/** Interval between two load reports of a dispatcher, in milliseconds. */
export const DEFAULT_LOAD_REPORT_MS = 1_000;
/** Interval between two plans for a service, in milliseconds. */
export const DEFAULT_PLAN_MS = 2_000;
/** Maximum number of slices that one transfer moves, so that a slow request delays few others. */
const SLICES_PER_TRANSFER = 8;

const loadNoteSchema = z.object({ service: z.string(), loads: z.record(z.string(), targetLoadSchema) });
const moveNoteSchema = z.object({
    service: z.string(),
    moves: z.array(z.object({ slice: sliceSchema, from: z.string(), to: z.string(), reason: z.string() })),
});
type PlannedMove = z.infer<typeof moveNoteSchema>["moves"][number];

/**
 * Balances the load of the services. One member per service is its planner: dispatchers report the loads of their
 * targets to it, and it asks the dispatchers of the source targets to make the planned moves.
 *
 * @example
 * store.add(repeat(clock, 250, () => rebalancer.tick()));
 */
export class Rebalancer {
    private readonly reports = new Map<string, { load: ReportedLoad; at: number }>();
    /** Keyed by service and domain. */
    private readonly domainChanges = new Map<string, DomainChanges>();
    private readonly budgets = new Map<string, MoveBudget>();
    private readonly plannedAt = new Map<string, number>();
    private readonly outliers = new Map<string, { seen: Outliers; at: number }>();
    private reportedAt = -Infinity;
    private transfersRunning = 0;

    constructor(
        private readonly options: {
            clock: Clock;
            log: Logger;
            replica: TableReplica;
            membership: Membership;
            peers: () => Peers;
            dispatchers: () => Dispatchers;
            ownership: () => Ownership;
            services: () => readonly BundleService[];
            movesPerMinute: number;
            movesInParallel: number;
            /** Whether moves may be planned; false while this instance is leaving. */
            isEnabled: () => boolean;
        },
    ) {}

    /** Reports loads and plans moves if due. */
    tick(): void {
        const { clock, services, isEnabled, membership } = this.options;
        if (!isEnabled() || !membership.isRegistered()) {
            return;
        }
        const now = clock.monotonicMs();
        if (now - this.reportedAt >= DEFAULT_LOAD_REPORT_MS) {
            this.reportedAt = now;
            services().forEach(service => this.report(service));
        }
        for (const { name } of services()) {
            const last = this.plannedAt.get(name) ?? -Infinity;
            if (now - last >= DEFAULT_PLAN_MS && this.plannerOf(name) === membership.identity().incarnation) {
                this.plannedAt.set(name, now);
                this.plan(name);
            }
        }
    }

    /**
     * Planners of the services whose targets this instance dispatches for; this instance needs a control link to them.
     */
    planners(): string[] {
        const names = new Set(
            this.options
                .dispatchers()
                .all()
                .map(({ service }) => service.name),
        );
        return [...names].map(name => this.plannerOf(name)).filter(planner => planner !== undefined);
    }

    /** Members that dispatch for targets of the services for which this instance is the planner. */
    reporters(): string[] {
        const { replica, services, membership } = this.options;
        const self = membership.identity().incarnation;
        return services()
            .filter(({ name }) => this.plannerOf(name) === self)
            .flatMap(({ name }) => replica.targets(name).map(({ value }) => value.dispatcher))
            .filter(dispatcher => dispatcher !== "" && dispatcher !== self);
    }

    /** Handles a load report of a peer. */
    handleLoadReport(payload: string): undefined {
        const note = loadNoteSchema.safeParse(parseJson(payload));
        if (note.success) {
            this.keep(note.data.service, note.data.loads);
        }
    }

    /** Handles the planner's request to make moves. */
    handlePlannedMoves(payload: string): undefined {
        const note = moveNoteSchema.safeParse(parseJson(payload));
        if (note.success) {
            void this.makeMoves(note.data.service, note.data.moves);
        }
    }

    /** Ratio of the busiest target's load per slot to the mean; `undefined` if this instance isn't the planner. */
    imbalanceOf(service: string): number | undefined {
        const rates = this.options.replica.targets(service).flatMap(({ value }) => {
            const load = this.reports.get(targetRowKey(service, value.target))?.load;
            return load === undefined ? [] : [load.slices.reduce((sum, { work }) => sum + work, 0) / load.capacity];
        });
        return rates.length === 0 ? undefined : loadImbalance(rates);
    }

    private plannerOf(service: string): string | undefined {
        const { replica, membership } = this.options;
        const active = replica
            .allMembers()
            .map(({ value }) => value)
            .filter(({ state, incarnation }) => state === "active" && !membership.isSuspected(incarnation))
            .map(({ incarnation }) => incarnation);
        return rendezvousFirst(`planner/${service}`, active);
    }

    private report({ name }: BundleService): void {
        const { dispatchers, peers, membership } = this.options;
        const loads: Record<string, ReportedLoad> = {};
        for (const dispatcher of dispatchers().all()) {
            if (dispatcher.service.name === name && dispatcher.isReady) {
                loads[dispatcher.target] = dispatcher.loadReport();
            }
        }
        const planner = this.plannerOf(name);
        if (planner === undefined || Object.keys(loads).length === 0) {
            return;
        }
        if (planner === membership.identity().incarnation) {
            this.keep(name, loads);
        } else {
            peers().controlLink(planner)?.notify("load", { service: name, loads });
        }
    }

    private keep(service: string, loads: Record<string, ReportedLoad>): void {
        const at = this.options.clock.monotonicMs();
        for (const [target, load] of Object.entries(loads)) {
            this.reports.set(targetRowKey(service, target), { load, at });
        }
    }

    private plan(service: string): void {
        const { clock, replica, log, membership, peers } = this.options;
        const now = clock.monotonicMs();
        const rows = replica.targets(service).map(({ value }) => value);
        const measured = usableLoads(rows, this.reports, { now, isSettled: () => true });
        const outliersBefore = this.replaceOutliers(service, measured, now);
        const settled = this.settledDomains(service, rows, now);
        const loads = usableLoads(rows, this.reports, { now, isSettled: domain => settled.has(domain) });
        const budget = this.budgetOf(service);
        const moves = planMoves(loads, rows, { ...budget.limits(), outliersBefore }).filter(
            ({ reason }) => reason !== "evacuate",
        );
        if (moves.length === 0) {
            return;
        }
        budget.spend(moves);
        log.info("Planned moves.", { service, moves: moves.length });
        const dispatcherOf = new Map(rows.map(row => [row.target, row.dispatcher]));
        const byDispatcher = new Map<string, Move[]>();
        for (const move of moves) {
            const dispatcher = dispatcherOf.get(move.from) ?? "";
            byDispatcher.set(dispatcher, [...(byDispatcher.get(dispatcher) ?? []), move]);
        }
        for (const [dispatcher, own] of byDispatcher) {
            if (dispatcher === membership.identity().incarnation) {
                void this.makeMoves(service, own);
            } else {
                peers().controlLink(dispatcher)?.notify("moves", { service, moves: own });
            }
        }
    }

    /** Stores the current outliers and returns those of the previous planning round; none if that was too long ago. */
    private replaceOutliers(service: string, loads: ReadonlyMap<string, TargetLoad>, now: number): Outliers {
        const before = this.outliers.get(service);
        // These are the levels that a plan aims for. With the thresholds instead, noise would hide a target near a
        // threshold in one of two rounds.
        const { reliefGoal, fillGoal } = DEFAULT_REBALANCE_LIMITS;
        this.outliers.set(service, { seen: findOutliers(loads, { above: reliefGoal, below: fillGoal }), at: now });
        const isRecent = before !== undefined && now - before.at <= MAX_SETTLE_MS;
        return isRecent ? before.seen : { busy: new Set(), idle: new Set() };
    }

    private settledDomains(service: string, rows: readonly TargetRow[], now: number): Set<string> {
        const members = this.options.replica.allMembers().map(({ value }) => value);
        const settled = new Set<string>();
        for (const domain of new Set(rows.map(row => row.domain))) {
            const key = `${service} ${domain}`;
            const signature = domainSignature(domain, members, rows);
            const changes = trackDomain(this.domainChanges.get(key), signature, now);
            this.domainChanges.set(key, changes);
            if (changes.usableAt === now) {
                settled.add(domain);
            }
        }
        return settled;
    }

    private budgetOf(service: string): MoveBudget {
        const existing = this.budgets.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const budget = new MoveBudget(this.options.clock, this.options.movesPerMinute);
        this.budgets.set(service, budget);
        return budget;
    }

    /** Makes moves from targets of this instance; the moves of one target are made sequentially. */
    private async makeMoves(service: string, moves: readonly PlannedMove[]): Promise<void> {
        const bySource = new Map<string, PlannedMove[]>();
        for (const move of moves) {
            bySource.set(move.from, [...(bySource.get(move.from) ?? []), move]);
        }
        const sources = [...bySource];
        const work = async () => {
            for (let next = sources.shift(); next !== undefined; next = sources.shift()) {
                await this.makeMovesOf(service, next[0], next[1]);
            }
        };
        const workers = Math.max(1, this.options.movesInParallel - this.transfersRunning);
        this.transfersRunning += workers;
        await Promise.all(Array.from({ length: workers }, work)).finally(() => {
            this.transfersRunning -= workers;
        });
    }

    private async makeMovesOf(service: string, from: string, moves: readonly PlannedMove[]): Promise<void> {
        const { ownership, log } = this.options;
        const sourceKey = targetRowKey(service, from);
        for (let start = 0; start < moves.length; start += SLICES_PER_TRANSFER) {
            const part = moves.slice(start, start + SLICES_PER_TRANSFER);
            const given = new Map<string, Slice[]>();
            for (const { to, slice } of part) {
                const key = targetRowKey(service, to);
                given.set(key, [...(given.get(key) ?? []), slice]);
            }
            const result = await ownership().move(sourceKey, given, part[0].reason);
            if (result.type === "failed") {
                log.info("A planned move was not made.", { from, reason: result.reason });
            }
        }
    }
}
