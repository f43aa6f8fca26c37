import { afterInput } from "../process/runtime/afterInput.js";
import type { GatewayTarget } from "../process/gateway/gatewayTarget.js";
import type { WaitingRequest } from "../process/gateway/roomQueue.js";
import type { Route } from "../version/routeConfig.js";
import type { GatewayCall } from "./gatewayCall.js";
import type { GatewayServices, RequestOutcome, RoomWaitResult } from "./gatewayServices.js";

/**
 * The waits of one request for room at a target. It is placed anew after each: the target may have begun to leave or to rest, its
 * keys may have moved, or there may still be no room.
 *
 * @example
 * roomWait.wait(target, 300, request.leftMs(), () => request.place());
 */
export class RoomWait {
    private pastMs = 0;
    private since: number | undefined;
    private target: GatewayTarget | undefined;
    private cancel: () => void = () => undefined;
    private isReported = true;

    constructor(
        private readonly request: { call: GatewayCall; route: Route; service: string },
        private readonly services: Pick<GatewayServices, "clock" | "rooms">,
    ) {}

    get isWaiting(): boolean {
        return this.since !== undefined;
    }

    /** Time for which the request has waited for room, in milliseconds. */
    get waitedMs(): number {
        return this.pastMs + (this.since === undefined ? 0 : this.services.clock.monotonicMs() - this.since);
    }

    /** Waits for room at a target for a time at most, in milliseconds, and calls `place` then. */
    wait(target: GatewayTarget, maxWaitMs: number, leftMs: number, place: () => void): void {
        const { clock, rooms } = this.services;
        const { call, route, service } = this.request;
        const now = clock.monotonicMs();
        this.since = now;
        this.target = target;
        this.isReported = false;
        let cancelInput: (() => void) | undefined;
        const end = () => {
            cancelInput ??= afterInput(() => {
                this.stop();
                place();
                if (this.target !== target) {
                    // It was sent or refused, so it has left its turn to the next one.
                    rooms.wake(target);
                }
            });
        };
        const waiting: WaitingRequest = {
            ...{ service, priority: route.priority, bytes: call.body.length, wake: end },
            deadlineAt: now + leftMs,
            latestAt: now + maxWaitMs,
        };
        const leave = rooms.join(target, waiting);
        const cancelTimer = clock.setTimer(maxWaitMs, end);
        this.cancel = () => {
            cancelTimer();
            leave();
            cancelInput?.();
        };
    }

    /** Called when the request is sent. */
    ended(result: RoomWaitResult): void {
        if (!this.isReported) {
            this.isReported = true;
            this.services.rooms.waitEnded(this.request, result, this.waitedMs);
        }
    }

    /** Called when the request ends. A request that waits then leaves its turn to the next one. */
    finish(outcome: RequestOutcome): void {
        const { target } = this;
        this.stop();
        this.ended(resultOf(outcome));
        if (target !== undefined) {
            this.services.rooms.wake(target);
        }
    }

    private stop(): void {
        this.pastMs = this.waitedMs;
        this.since = undefined;
        this.target = undefined;
        this.cancel();
        this.cancel = () => undefined;
    }
}

const resultOf = (outcome: RequestOutcome): RoomWaitResult => {
    if (outcome.type === "refused") {
        return outcome.refusal.type === "shutting-down" ? "stopped" : "refused";
    }
    return outcome.type === "caller-gone" ? "caller-gone" : "sent";
};
