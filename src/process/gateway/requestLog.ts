import type { GatewayRequest, RequestOutcome } from "../../request/gatewayRequest.js";
import type { Clock } from "../clock.js";
import type { Logger } from "../logger.js";

/** Most lines about requests in a second. Writing lines costs processor time that requests need. */
const LINES_PER_SECOND = 20;

/**
 * Writes one line for each request that ended without a target's answer, within a budget of lines.
 *
 * @example
 * const log = new RequestLog(clock, logger);
 * log.ended(request, outcome);
 */
export class RequestLog {
    private second = 0;
    private written = 0;
    private dropped = 0;

    constructor(
        private readonly clock: Clock,
        private readonly logger: Logger,
    ) {}

    ended(request: GatewayRequest, outcome: RequestOutcome): void {
        if (outcome.type !== "refused") {
            return;
        }
        const now = this.clock.monotonicMs();
        const second = Math.floor(now / 1_000);
        if (second !== this.second) {
            this.second = second;
            this.written = 0;
        }
        if (this.written >= LINES_PER_SECOND) {
            this.dropped++;
            return;
        }
        this.written++;
        const { call, route, service } = request;
        this.logger.info(`Request ${call.requestId} has ended without an answer.`, {
            cause: outcome.cause,
            detail: outcome.detail,
            route: route.name,
            service,
            key: call.key,
            targets: request.targets().join(","),
            sends: request.sends,
            ms: Math.round(now - call.arrivedAt),
            dropped: this.dropped === 0 ? undefined : this.dropped,
        });
        this.dropped = 0;
    }
}
