import type { GatewayCall } from "../../request/gatewayCall.js";
import type { AttemptRecord, RequestOutcome, RunningRequest } from "../../request/gatewayServices.js";
import type { Refusal } from "../../request/refusal.js";
import type { Clock } from "../runtime/clock.js";
import type { LogFields, Logger } from "../observability/logger.js";

/**
 * Maximum number of request lines per second, by importance. Each limit applies to the lines of all importances together, so
 * that failures can still be logged when the other lines have reached their limits. Logging costs CPU time that requests
 * need.
 */
const LINES_PER_SECOND = { failed: 20, unusual: 8, ordinary: 1 } as const;
type Importance = keyof typeof LINES_PER_SECOND;

/** State of a service as known to an instance, with its age. */
export interface ServiceState {
    /** Version of the active config. */
    config: number | undefined;
    /** Fencing token of the key assignment. */
    fence: number | undefined;
    /** Time since this instance last learned of a change of owners, in milliseconds. */
    ownersAgeMs: number | undefined;
    /** Time since the store last answered, in milliseconds. */
    storeSilentMs: number;
    /** Targets that have stated a rest and that they leave, separated by commas; `undefined` if there are none. */
    resting: string | undefined;
    leaving: string | undefined;
}

const attemptText = ({ target, through, startedMs, durationMs, load, end, next }: AttemptRecord): string => {
    const duration = durationMs === undefined ? "" : ` +${Math.round(durationMs)}`;
    const decision = next === undefined ? "" : ` -> ${next}`;
    const way = through === undefined ? "" : ` through ${through}`;
    return `${target}${way} @${Math.round(startedMs)}${duration} ms, load ${load}: ${end ?? "no answer"}${decision}`;
};

const endText = (outcome: RequestOutcome): string => {
    switch (outcome.type) {
        case "answered":
            return `answered with ${outcome.status}`;
        case "refused":
            return outcome.refusal.type;
        case "caller-gone":
            return `caller-gone, ${outcome.state}`;
    }
};

/** How late a request was sent whose caller may have left before, and why that was noticed late. */
const lateSendFields = (outcome: RequestOutcome): LogFields =>
    outcome.type === "caller-gone" && outcome.sentLateMs > 0
        ? { sentLateMs: Math.round(outcome.sentLateMs), endReadLate: outcome.end.cause }
        : {};

/** Time for which a request waited for room, and the priority of a route for whose request there was none. */
const roomFields = ({ route, roomWaitMs = 0 }: RunningRequest, outcome: RequestOutcome): LogFields => ({
    roomWaitMs: roomWaitMs > 0 ? Math.round(roomWaitMs) : undefined,
    priority: outcome.type === "refused" && outcome.refusal.type === "overloaded" ? route.priority : undefined,
});

/** Failures are the most important; requests with several attempts or late answers explain more than ordinary ones. */
const importanceOf = (request: RunningRequest, outcome: RequestOutcome, ms: number): Importance => {
    if (outcome.type === "refused" || (outcome.type === "answered" && outcome.status >= 500)) {
        return "failed";
    }
    const isUnusual =
        outcome.type === "caller-gone" || request.attempts.length > 1 || ms > request.route.targetLatencyMs;
    return isUnusual ? "unusual" : "ordinary";
};

/**
 * Writes one line for each request that has ended: its attempts, the decision after each, and the state of the service as
 * known to the instance. The rate of lines is limited, with priority for failures; the next line states how many were
 * dropped.
 *
 * @example
 * const log = new RequestLog({ clock, logger, serviceState });
 * log.ended(request, outcome);
 */
export class RequestLog {
    private second = 0;
    private written = 0;
    private dropped = 0;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            serviceState: (service: string) => ServiceState;
        },
    ) {}

    ended(request: RunningRequest, outcome: RequestOutcome): void {
        const { call, route, service } = request;
        const ms = this.options.clock.monotonicMs() - call.arrivedAt;
        if (!this.reserveLine(importanceOf(request, outcome, ms))) {
            return;
        }
        this.write(call, endText(outcome), {
            detail: outcome.type === "refused" ? outcome.refusal.detail : undefined,
            route: route.name,
            service,
            targets: [...new Set(request.attempts.map(({ target }) => target))].join(","),
            attempts: request.attempts.map(attemptText).join("; "),
            sends: request.sends,
            ms: Math.round(ms),
            ...lateSendFields(outcome),
            ...roomFields(request, outcome),
            timeoutMs: Math.round(request.allowedMs),
            ...this.options.serviceState(service),
        });
    }

    /** Logs a request that was refused before a target was chosen. */
    refused(call: GatewayCall, refusal: Refusal): void {
        if (this.reserveLine("failed")) {
            this.write(call, refusal.type, { detail: refusal.detail, host: call.host, method: call.method });
        }
    }

    private write(call: GatewayCall, end: string, fields: LogFields): void {
        const dropped = this.dropped === 0 ? undefined : this.dropped;
        this.dropped = 0;
        this.options.logger.info(`Request ${call.requestId} ended: ${end}.`, {
            request: call.requestId,
            end,
            key: call.key,
            ...fields,
            dropped,
        });
    }

    /** Whether a line may be written now; counts it as written or as dropped. */
    private reserveLine(importance: Importance): boolean {
        const second = Math.floor(this.options.clock.monotonicMs() / 1_000);
        if (second !== this.second) {
            this.second = second;
            this.written = 0;
        }
        if (this.written >= LINES_PER_SECOND[importance]) {
            this.dropped++;
            return false;
        }
        this.written++;
        return true;
    }
}
