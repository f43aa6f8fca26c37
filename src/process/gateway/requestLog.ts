import type { GatewayCall } from "../../request/gatewayCall.js";
import type { AttemptRecord, GatewayRequest, RequestOutcome } from "../../request/gatewayRequest.js";
import type { Refusal } from "../../request/refusal.js";
import type { Clock } from "../runtime/clock.js";
import type { LogFields, Logger } from "../observability/logger.js";

/**
 * Most lines about requests in a second, by importance. Each importance counts the lines of all, so that failures still
 * have room when the rest has used its share. Writing lines costs processor time that requests need.
 */
const LINES_PER_SECOND = { failed: 20, unusual: 8, ordinary: 1 } as const;
type Importance = keyof typeof LINES_PER_SECOND;

/** What an instance believes about a service, with the age of that. */
export interface ServiceBeliefs {
    /** Version of the config in force. */
    config: number | undefined;
    /** Fencing token of the owners of keys. */
    fence: number | undefined;
    /** Time since the owners last changed here, in milliseconds. */
    ownersAgeMs: number | undefined;
    /** Time since the store last answered, in milliseconds. */
    storeSilentMs: number;
}

const attemptText = ({ target, startedMs, durationMs, load, end, next }: AttemptRecord): string => {
    const duration = durationMs === undefined ? "" : ` +${Math.round(durationMs)}`;
    const decision = next === undefined ? "" : ` -> ${next}`;
    return `${target} @${Math.round(startedMs)}${duration} ms, load ${load}: ${end ?? "no answer"}${decision}`;
};

const endText = (outcome: RequestOutcome): string => {
    switch (outcome.type) {
        case "answered":
            return `answered with ${outcome.status}`;
        case "refused":
            return outcome.refusal.type;
        case "caller-gone":
            return "caller-gone";
    }
};

/** Failures matter most; requests that needed several attempts or were late explain more than ordinary ones. */
const importanceOf = (request: GatewayRequest, outcome: RequestOutcome, ms: number): Importance => {
    if (outcome.type === "refused" || (outcome.type === "answered" && outcome.status >= 500)) {
        return "failed";
    }
    const isUnusual =
        outcome.type === "caller-gone" || request.attempts.length > 1 || ms > request.route.targetLatencyMs;
    return isUnusual ? "unusual" : "ordinary";
};

/**
 * Writes one line for each request that has ended: its attempts, what decided about them, and what the instance believed.
 * Within a budget of lines a second, failures come before successes; the number of lines left out stands in the next one.
 *
 * @example
 * const log = new RequestLog({ clock, logger, beliefs });
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
            beliefs: (service: string) => ServiceBeliefs;
        },
    ) {}

    ended(request: GatewayRequest, outcome: RequestOutcome): void {
        const { call, route, service } = request;
        const ms = this.options.clock.monotonicMs() - call.arrivedAt;
        if (!this.hasRoom(importanceOf(request, outcome, ms))) {
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
            timeoutMs: Math.round(request.allowedMs),
            ...this.options.beliefs(service),
        });
    }

    /** A request that was refused before a target was chosen. */
    refused(call: GatewayCall, refusal: Refusal): void {
        if (this.hasRoom("failed")) {
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

    private hasRoom(importance: Importance): boolean {
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
