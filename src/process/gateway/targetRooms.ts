import type { AnswerFacts } from "../../request/gatewayCall.js";
import type { PlacementQuery } from "../../request/gatewayServices.js";
import type { Route } from "../../version/routeConfig.js";
import type { Clock, TimerCancellation } from "../runtime/clock.js";
import { COSTLY_WAIT_SHARE, type RoomState } from "./decideRoom.js";
import type { GatewayTarget } from "./gatewayTarget.js";
import { RoomQueue, type WaitingRequest } from "./roomQueue.js";
import { ServiceDemand } from "./serviceDemand.js";

/** Bounds on the pause between two tries of the requests that wait for a target, in milliseconds. */
const MIN_TRY_MS = 10;
const MAX_TRY_MS = 250;
/** Bounds on the requests that wait at an instance, and on the bytes of their bodies. */
const MAX_WAITING = 512;
const MAX_WAITING_BYTES = 16e6;

interface TargetRoom {
    queue: RoomQueue<WaitingRequest>;
    cancelTimer: TimerCancellation;
    /** Monotonic times in milliseconds at which refused callers may return. */
    returnsAt: number[];
}

/**
 * The competition for the targets of an instance: what its routes are asked for, which requests wait for which target, and which
 * callers were refused. All of it is lost with the instance; requests that wait haven't run.
 *
 * @example
 * const leave = rooms.join(target, waiting);
 * rooms.wake(target); // tries the next request that waits for it
 */
export class TargetRooms {
    private readonly demands = new Map<string, ServiceDemand>();
    private readonly rooms = new WeakMap<GatewayTarget, TargetRoom>();
    private readonly waiting = new Set<WaitingRequest>();
    private waitingBytes = 0;
    /** Services whose routes have several priorities. */
    private shared = new Set<string>();

    constructor(private readonly options: { clock: Clock; random: () => number }) {}

    /** Applies the routes of a config. */
    update(routes: readonly Route[]): void {
        const priorities = new Map<string, Set<number>>();
        for (const { backends, priority } of routes) {
            for (const { service } of backends.filter(({ weight }) => weight > 0)) {
                priorities.set(service, (priorities.get(service) ?? new Set()).add(priority));
            }
        }
        this.shared = new Set([...priorities].filter(([, each]) => each.size > 1).map(([service]) => service));
        const names = new Set(routes.map(({ name }) => name));
        this.demands.forEach(demand => demand.retain(names));
    }

    demandOf(service: string): ServiceDemand {
        const demand = this.demands.get(service) ?? new ServiceDemand(this.options.clock);
        this.demands.set(service, demand);
        return demand;
    }

    /** Number of requests that wait, by service. */
    waitingByService(): Map<string, number> {
        const counts = new Map([...this.demands.keys()].map(service => [service, 0]));
        this.waiting.forEach(({ service }) => counts.set(service, (counts.get(service) ?? 0) + 1));
        return counts;
    }

    stateOf(target: GatewayTarget, { service, route, call, leftMs, waitedMs }: PlacementQuery): RoomState {
        const now = this.options.clock.monotonicMs();
        const room = this.rooms.get(target);
        const demand = this.demandOf(service);
        const hasPriorities = this.shared.has(service);
        const isDue = hasPriorities && demand.isDue(route.priority);
        const hasSpace = this.waiting.size < MAX_WAITING && this.waitingBytes + call.body.length <= MAX_WAITING_BYTES;
        if (room !== undefined) {
            room.returnsAt = room.returnsAt.filter(at => at > now);
        }
        return {
            hasPriorities,
            rivals: hasPriorities ? demand.rivalsOf(route) : [],
            work: hasPriorities ? demand.workOf(route) : 1,
            isDue,
            canWait: waitedMs !== undefined && hasSpace && room?.queue.isFull !== true,
            ahead: isDue ? 0 : (room?.queue.ahead(route.priority, now + leftMs, now) ?? 0),
            waitSuccess: demand.waitSuccess(route.priority),
            refusedBefore: room?.returnsAt.length ?? 0,
        };
    }

    /** Counts a request that isn't sent at once because others need the room. */
    heldBack({ service, route }: PlacementQuery): void {
        if (this.shared.has(service)) {
            this.demandOf(service).heldBack(route);
        }
    }

    /** Counts a caller that was refused because of a target. */
    refused(target: GatewayTarget, delayMs: number): void {
        this.roomOf(target).returnsAt.push(this.options.clock.monotonicMs() + delayMs);
    }

    /** Adds a request to those that wait for a target. The returned function takes it out. */
    join(target: GatewayTarget, request: WaitingRequest): TimerCancellation {
        const room = this.roomOf(target);
        if (room.queue.join(request)) {
            this.waiting.add(request);
            this.waitingBytes += request.bytes;
            if (room.queue.size === 1) {
                this.tryLater(target, room);
            }
        }
        return () => {
            room.queue.leave(request);
            this.left(room, request);
        };
    }

    /** Has the next request that waits for a target placed again, because room may have come. */
    wake(target: GatewayTarget): void {
        const room = this.rooms.get(target);
        if (room === undefined || room.queue.size === 0) {
            return;
        }
        const demand = this.demandOf(target.listed.entry.service);
        const next = room.queue.take(priority => demand.isDue(priority));
        if (next !== undefined) {
            this.left(room, next);
            next.wake();
        }
    }

    /** Counts the first send of a request. */
    started(service: string, route: Route): void {
        this.demandOf(service).started(route);
    }

    /** Counts a request that has waited and waits no more, by whether it was sent. */
    waitEnded({ service, route }: { service: string; route: Route }, isSent: boolean, waitedMs: number): void {
        if (waitedMs > route.targetLatencyMs * COSTLY_WAIT_SHARE) {
            this.demandOf(service).longWaitEnded(route, isSent);
        }
    }

    /** Learns the work of a route by an answer that didn't wait at its target. */
    answered(
        { service, route }: { service: string; route: Route },
        target: GatewayTarget,
        answer: { durationMs: number; loadAtStart: number; facts: AnswerFacts },
    ): void {
        const { load } = answer.facts;
        if (load !== undefined && load.waiting === 0 && answer.loadAtStart < target.listed.entry.slots) {
            this.demandOf(service).worked(route, answer.durationMs / (load.slowdown ?? 1));
        }
    }

    private roomOf(target: GatewayTarget): TargetRoom {
        const room = this.rooms.get(target) ?? {
            queue: new RoomQueue<WaitingRequest>(),
            cancelTimer: () => undefined,
            returnsAt: [],
        };
        this.rooms.set(target, room);
        return room;
    }

    private left(room: TargetRoom, request: WaitingRequest): void {
        if (this.waiting.delete(request)) {
            this.waitingBytes -= request.bytes;
        }
        if (room.queue.size === 0) {
            room.cancelTimer();
        }
    }

    /** Tries the next request after the time of about one start; a random part keeps instances from trying at the same time. */
    private tryLater(target: GatewayTarget, room: TargetRoom): void {
        const { clock, random } = this.options;
        const { serviceMs, slots } = target.candidate();
        const stepMs = Math.min(MAX_TRY_MS, Math.max(MIN_TRY_MS, serviceMs / Math.max(1, slots)));
        room.cancelTimer = clock.setTimer(stepMs * (0.5 + random()), () => {
            this.wake(target);
            if (room.queue.size > 0) {
                this.tryLater(target, room);
            }
        });
    }
}
