import type { TargetFailure } from "../connection/targetConnections.js";
import type { Header } from "../connection/peerProtocol.js";
import type { Clock, TimerCancellation } from "../process/runtime/clock.js";
import type { ForwardingPeer } from "../process/gateway/forwardingPeer.js";
import type { GatewayTarget } from "../process/gateway/gatewayTarget.js";
import type { Permit } from "../process/gateway/limitExchange.js";
import type { WaitingRequest } from "../process/gateway/roomQueue.js";
import type { TargetLimit } from "../process/gateway/warmupLimit.js";
import type { Route } from "../version/routeConfig.js";
import type { AttemptEnd, NextStep, RetryCause } from "./decideAfterAttempt.js";
import type { AnswerFacts, CallerEnd, GatewayCall } from "./gatewayCall.js";
import type { HeldAnswers } from "./heldAnswers.js";
import type { Refusal } from "./refusal.js";

/** Result of choosing a target for a request. */
export type Placement =
    | { type: "target"; target: GatewayTarget }
    /** The owner of the key may change; try again when `onOwnerChange` calls back, or after this many milliseconds. */
    | { type: "wait"; maxWaitMs: number }
    /** Room for the request is expected at this target within this many milliseconds. */
    | { type: "room"; target: GatewayTarget; maxWaitMs: number }
    | { type: "refuse"; refusal: Refusal };

/** State of a request on which the choice of a target depends. */
export interface PlacementQuery {
    call: GatewayCall;
    route: Route;
    service: string;
    /** Targets that it was sent to or that could not be reached. */
    tried: ReadonlySet<GatewayTarget>;
    /** Targets that could not be reached, so that nothing was sent to them. */
    unreached: ReadonlySet<GatewayTarget>;
    /** Targets that stated that they don't own its key. */
    notOwners: ReadonlySet<GatewayTarget>;
    /** Targets whose limits admitted no further request, with the delay after which their callers may return. */
    limited: ReadonlyMap<GatewayTarget, number>;
    /** Milliseconds until the final answer is due. */
    leftMs: number;
    /** Milliseconds until the instance gives its last answers; missing unless it stops. */
    stopsInMs?: number;
    /** Milliseconds for which it has waited for room; missing if it can't wait. */
    waitedMs?: number;
}

/** How a wait for room ended: with a send, a refusal, the end of the instance, or the departure of the caller. */
export type RoomWaitResult = "sent" | "refused" | "stopped" | "caller-gone";

/** What requests report of their use of targets, and where they wait for room. */
export interface RoomServices {
    /** Adds a request to those that wait for a target. The returned function takes it out. */
    join(target: GatewayTarget, request: WaitingRequest): TimerCancellation;
    /** Has the next request that waits for a target placed again, because room may have come. */
    wake(target: GatewayTarget): void;
    /** Called when a request is sent for the first time. */
    started(service: string, route: Route): void;
    /** Called with the time of an answer. */
    answered(
        request: { service: string; route: Route },
        target: GatewayTarget,
        answer: { durationMs: number; loadAtStart: number; facts: AnswerFacts },
    ): void;
    /** Called when a request that has waited for room waits no more. */
    waitEnded(request: { service: string; route: Route }, result: RoomWaitResult, waitedMs: number): void;
}

/** A request of a caller, as its process stops, logs and counts it. */
export interface RunningRequest {
    readonly call: GatewayCall;
    readonly route: Route;
    readonly service: string;
    readonly attempts: readonly AttemptRecord[];
    /** Number of times that it was sent to a target. */
    readonly sends: number;
    /** Time from its arrival until its final answer is due, in milliseconds. */
    readonly allowedMs: number;
    /** Time for which it has waited for room at targets, in milliseconds; missing if it can't wait. */
    readonly roomWaitMs?: number;
    /** Has it end by a monotonic time in milliseconds. */
    endBy(stopsAt: number): void;
}

/** Services of the process that a request depends on. */
export interface GatewayServices {
    clock: Clock;
    /** Answers of this process that are held until they are complete. */
    heldAnswers: HeldAnswers;
    /** Chooses a target for the next attempt. */
    place(query: PlacementQuery): Placement;
    /** Calls `callback` once when owners of the service's keys have changed. */
    onOwnerChange(service: string, callback: () => void): TimerCancellation;
    /** Whether a target is available for another attempt after one that ended like this. */
    canPlaceAgain(query: PlacementQuery, end: AttemptEnd): boolean;
    /**
     * Asks whether a request may be sent to a target with a limit, and calls back once, also before it returns. The returned
     * function cancels this.
     */
    permit(target: GatewayTarget, limit: TargetLimit, callback: (permit: Permit) => void): TimerCancellation;
    /** Whether a target still takes a request whose send was delayed. */
    takes(target: GatewayTarget, call: GatewayCall): boolean;
    /**
     * Called with what a target's answer states; see `TargetIntake`. The request was sent at `sentAt` on a connection that was
     * established at `connectedAt`, both monotonic times in milliseconds.
     */
    answerStated(target: GatewayTarget, facts: AnswerFacts, sentAt: number, connectedAt: number): void;
    rooms: RoomServices;
    /** Takes a retry from the budget of the service; `false` if there is none. */
    takeRetry(service: string): boolean;
    /** Called when a request is being sent to a further target. */
    retried(service: string, cause: RetryCause): void;
    /** Headers for a target: those of the caller and those required by the target's protocol. */
    targetHeaders(call: GatewayCall, target: string, leftMs: number): string[];
    factsOf(status: number, headers: Header[]): AnswerFacts;
    /** Called when a request is being sent to a target without a permit for a cold one. */
    sentUnbounded(target: GatewayTarget): void;
    /** Called when another target has answered at a target's address. */
    addressLost(target: GatewayTarget): void;
    /** Called when a connection broke while a target may have run the request. */
    brokeWhileRunning(call: GatewayCall, target: GatewayTarget, failure: TargetFailure): void;
    /** Called when an attempt at a target has got no complete answer. */
    attemptFailed(service: string, type: TargetFailure["type"], wasSent: boolean): void;
    /** Called when a target's answer was broken off because its content or what surrounds it was too large. */
    excessiveAnswer(request: RunningRequest, target: GatewayTarget, part: ExcessivePart, detail: string): void;
    /**
     * The other instance through which a request is sent to a target to which the path is cut; `undefined` if the path isn't cut, or
     * there is no instance but those that were tried.
     */
    peerTo(
        target: GatewayTarget,
        tried: ReadonlySet<ForwardingPeer>,
        isIdempotent: boolean,
    ): ForwardingPeer | undefined;
    /** Called when another instance hasn't sent a request to a target; `isLast` if no further one is tried. */
    notForwarded(target: GatewayTarget, peer: ForwardingPeer, failure: TargetFailure, isLast: boolean): void;
    /** Called when a request that was sent through another instance has got no answer. */
    forwardingLost(peer: ForwardingPeer): void;
    /** Called when a connection to a target couldn't be established. */
    connectionFailed(target: GatewayTarget, failure: TargetFailure): void;
    /** Called once when the request has ended. */
    ended(request: RunningRequest, outcome: RequestOutcome): void;
}

/** The part of an answer that was too large: its content, or its head and framing. */
export type ExcessivePart = "content" | "framing";

/** What a request was waiting for when its caller left. */
export type RequestState =
    | "owner-wait"
    | "limit-wait"
    | "connection-wait"
    | "room-wait"
    | "placement"
    | "connecting"
    | "at-target"
    | "forwarding";

/** How a request ended. */
export type RequestOutcome =
    | { type: "answered"; status: number }
    | { type: "refused"; refusal: Refusal }
    | {
          type: "caller-gone";
          state: RequestState;
          end: CallerEnd;
          /** Time by which the caller may have left before its request was sent, in milliseconds; 0 if it hadn't. */
          sentLateMs: number;
      };

/** One attempt as it is logged. */
export interface AttemptRecord {
    target: string;
    /** Milliseconds from the arrival of the request to the start of the attempt. */
    startedMs: number;
    /** Duration in milliseconds; `undefined` while it runs. */
    durationMs?: number;
    /** Assumed number of requests at the target before this one. */
    load: number;
    /** Address of the instance through which it was sent, unless it was sent directly. */
    through?: string;
    /** How it ended. */
    end?: string;
    /** Step that was chosen after its end. */
    next?: NextStep;
}
