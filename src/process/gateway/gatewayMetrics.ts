import type { RequestOutcome, RoomWaitResult, RunningRequest } from "../../request/gatewayServices.js";
import type { Refusal } from "../../request/refusal.js";
import { countRefusal } from "../observability/countRefusal.js";
import type { Clock } from "../runtime/clock.js";
import type { EvacuatedKeys } from "./evacuationProgress.js";
import type { CounterCell, Metrics, SummaryCell } from "../observability/metrics.js";
import type { ReadCall } from "./readProgress.js";

/** State of a gateway that is read when its metrics are collected. */
export interface GatewayState {
    /** Version of the active config; 0 before the first. */
    configVersion: number;
    /** Time since it came into force, and maximum time from its write until then, in milliseconds. */
    configAgeMs: number;
    configDelayMs: number;
    /** Time since the store last answered, in milliseconds. */
    storeSilentMs: number;
    /** Time since each followed table was last read, in milliseconds, the calls that have failed since, and the one under way. */
    tables: Iterable<{ table: string; silentMs: number; failedCalls: number; call: ReadCall }>;
    /** Era of the store; 0 while unknown. */
    storeEra: number;
    isAssigner: boolean;
    /** Whether this instance reaches no target. */
    isCutOff: boolean;
    /** Owners that didn't take their last grant, by service, as far as this instance assigns keys. */
    ownersWithoutGrant: Iterable<{ service: string; owners: number }>;
    evacuatedDomains: Iterable<string>;
    /** Keys whose owners are in evacuated failure domains, as far as this instance assigns keys. */
    evacuatedKeys: Iterable<EvacuatedKeys>;
    targets: Iterable<{
        service: string;
        target: string;
        inFlight: number;
        limit: number | undefined;
        /** Whether the path to the target is cut. */
        isCut: boolean;
        /** Whether its warm-up bounds the requests that it may get. */
        isCold: boolean;
        /** Requests running or waiting at it, as estimated. */
        load: number;
        /** Requests that were sent although it was thought to be saturated. */
        probes: number;
        /** Requests that were sent again because their answers were found to be missing. */
        missingAnswers: number;
    }>;
    /** What targets have shown, by service. */
    services: Iterable<{ service: string; instances: number; losesWhenFull: boolean }>;
    /** Requests that wait for room at a target, by service. */
    waiting: Iterable<[service: string, requests: number]>;
    retries: Iterable<{ service: string; available: number }>;
}

/** Time without an answer from the store after which it counts as down, in milliseconds; above the longest held call. */
const STORE_DOWN_MS = 14_000;

/** Time after a caller's departure from which on a send to a target counts as late, in milliseconds. */
export const LATE_SEND_MS = 500;

/** Label for requests without a known route, which have no service. */
const NO_SERVICE = "";

interface ServiceCells {
    answered: CounterCell;
    callerGone: CounterCell;
    requestTime: SummaryCell;
}

/**
 * Counts the requests of a gateway as they end, and reads its state whenever metrics are collected.
 *
 * @example
 * const observer = new GatewayMetrics(metrics, { clock, domain: "linz", state: () => gateway.state() });
 * observer.ended(request, outcome);
 */
export class GatewayMetrics {
    private readonly cells = new Map<string, ServiceCells>();
    /** Targets that have stated a limit. */
    private readonly limited = new Set<string>();
    /** Failure domains that were evacuated, and those of each service from which keys were moved. */
    private readonly evacuated = new Set<string>();
    private readonly evacuatedKeys = new Map<string, Pick<EvacuatedKeys, "service" | "domain">>();
    /** Services that have had cold targets. */
    private readonly warmed = new Set<string>();
    /** Services whose keys this instance has assigned. */
    private readonly assigned = new Set<string>();

    constructor(
        private readonly metrics: Metrics,
        private readonly options: { clock: Clock; domain: string; state: () => GatewayState },
    ) {
        metrics.onCollect(() => this.collect());
    }

    ended(request: RunningRequest, outcome: RequestOutcome): void {
        const cells = this.cellsOf(request.service);
        switch (outcome.type) {
            case "answered":
                cells.answered.add();
                break;
            case "refused":
                this.refused(outcome.refusal, request.service);
                if (outcome.refusal.type === "overloaded") {
                    const priority = String(request.route.priority);
                    this.metrics.counter("shed_requests_total", { service: request.service, priority }).add();
                }
                break;
            case "caller-gone":
                cells.callerGone.add();
                this.callerGone(request.service, outcome);
                break;
        }
        cells.requestTime.record((this.options.clock.monotonicMs() - request.call.arrivedAt) * 1_000);
    }

    /** Counts a refusal; omit `service` if no route was found. */
    refused(refusal: Refusal, service = NO_SERVICE): void {
        countRefusal(this.metrics, service, refusal);
    }

    /** Counts a request that has waited for room at a target. */
    roomWaitEnded(
        { service, route }: Pick<RunningRequest, "service" | "route">,
        result: RoomWaitResult,
        waitedMs: number,
    ): void {
        const priority = String(route.priority);
        this.metrics.counter("room_waits_total", { service, result, priority }).add();
        this.metrics.summary("room_wait_seconds", { service }).record(waitedMs * 1_000);
    }

    /** Counts a caller that left before a service was chosen for its request. */
    abandoned(): void {
        this.metrics.counter("callers_gone_total", { service: NO_SERVICE, state: "received" }).add();
    }

    private callerGone(service: string, outcome: Extract<RequestOutcome, { type: "caller-gone" }>): void {
        const { state, end, sentLateMs } = outcome;
        this.metrics.counter("callers_gone_total", { service, state }).add();
        if (sentLateMs > LATE_SEND_MS) {
            this.metrics.counter("late_sends_total", { service, cause: end.cause ?? "" }).add();
        }
    }

    /** Removes the series of a target that is gone. */
    targetGone(target: string): void {
        this.limited.delete(target);
        this.metrics.removeSeries("target", target);
    }

    private collect(): void {
        const state = this.options.state();
        const { configVersion, storeSilentMs, storeEra, isAssigner, targets, retries, ownersWithoutGrant } = state;
        this.metrics.gauge("bundle_version", { domain: this.options.domain }).set(configVersion);
        this.metrics.gauge("platform_up", {}).set(storeSilentMs < STORE_DOWN_MS ? 1 : 0);
        this.metrics.gauge("platform_silence_seconds", {}).set(storeSilentMs / 1_000);
        this.metrics.gauge("bundle_age_seconds", {}).set(state.configAgeMs / 1_000);
        this.metrics.gauge("bundle_delay_seconds", {}).set(state.configDelayMs / 1_000);
        for (const { table, silentMs, failedCalls, call } of state.tables) {
            this.metrics.gauge("table_silence_seconds", { table }).set(silentMs / 1_000);
            this.metrics.gauge("table_failed_calls", { table }).set(failedCalls);
            this.metrics.gauge("table_call_seconds", { table }).set(call.ms / 1_000);
            this.metrics.gauge("table_call_bytes", { table }).set(call.bytes);
        }
        this.metrics.gauge("store_era", {}).set(storeEra);
        this.metrics.gauge("key_assigner", {}).set(isAssigner ? 1 : 0);
        this.metrics.gauge("cut_off", {}).set(state.isCutOff ? 1 : 0);
        const failing = new Map([...ownersWithoutGrant].map(({ service, owners }) => [service, owners]));
        failing.forEach((_, service) => this.assigned.add(service));
        for (const service of this.assigned) {
            this.metrics.gauge("owners_without_grant", { service }).set(failing.get(service) ?? 0);
        }
        this.collectEvacuations(state);
        const cutPaths = new Map<string, number>();
        const coldTargets = new Map<string, number>();
        for (const { service, instances, losesWhenFull } of state.services) {
            this.metrics.gauge("sending_instances", { service }).set(instances);
            this.metrics.gauge("loses_when_full", { service }).set(losesWhenFull ? 1 : 0);
        }
        for (const { service, target, inFlight, limit, isCut, isCold, load, probes, missingAnswers } of targets) {
            coldTargets.set(service, (coldTargets.get(service) ?? 0) + (isCold ? 1 : 0));
            this.metrics.gauge("target_estimated_load_requests", { service, target }).set(load);
            this.metrics.gauge("target_probes", { service, target }).set(probes);
            this.metrics.gauge("target_missing_answers", { service, target }).set(missingAnswers);
            cutPaths.set(service, (cutPaths.get(service) ?? 0) + (isCut ? 1 : 0));
            this.metrics.gauge("target_in_flight_requests", { service, target }).set(inFlight);
            if (limit !== undefined || this.limited.has(target)) {
                this.limited.add(target);
                this.metrics.gauge("target_stated_limit", { service, target }).set(limit ?? Infinity);
            }
        }
        for (const [service, cold] of coldTargets) {
            if (cold > 0 || this.warmed.has(service)) {
                this.warmed.add(service);
                this.metrics.gauge("cold_targets", { service }).set(cold);
            }
        }
        cutPaths.forEach((cut, service) => this.metrics.gauge("cut_paths", { service }).set(cut));
        for (const [service, requests] of state.waiting) {
            this.metrics.gauge("room_waiting_requests", { service }).set(requests);
        }
        for (const { service, available } of retries) {
            this.metrics.gauge("retry_budget_tokens", { service }).set(available);
        }
        this.metrics.gauge("control_memory_bytes", {}).set(process.memoryUsage.rss());
    }

    private collectEvacuations({ evacuatedDomains, evacuatedKeys }: GatewayState): void {
        const domains = new Set(evacuatedDomains);
        domains.forEach(domain => this.evacuated.add(domain));
        for (const domain of this.evacuated) {
            this.metrics.gauge("evacuated_domains", { domain }).set(domains.has(domain) ? 1 : 0);
        }
        const nameOf = ({ service, domain }: Pick<EvacuatedKeys, "service" | "domain">) => `${service} ${domain}`;
        const owned = new Map([...evacuatedKeys].map(state => [nameOf(state), state]));
        owned.forEach(({ service, domain }, name) => this.evacuatedKeys.set(name, { service, domain }));
        this.evacuatedKeys.forEach((labels, name) =>
            this.metrics.gauge("evacuated_domain_keys", labels).set(owned.get(name)?.keys ?? 0),
        );
    }

    private cellsOf(service: string): ServiceCells {
        const known = this.cells.get(service);
        if (known !== undefined) {
            return known;
        }
        const cells = {
            answered: this.metrics.counter("requests_total", { service, outcome: "answered" }),
            callerGone: this.metrics.counter("requests_total", { service, outcome: "caller-gone" }),
            requestTime: this.metrics.summary("request_seconds", { service }),
        };
        this.cells.set(service, cells);
        return cells;
    }
}
