import type { AttemptEnd } from "../../request/decideAfterAttempt.js";
import type { Placement, PlacementQuery } from "../../request/gatewayServices.js";
import { refuse } from "../../request/refusal.js";
import { refuseStopping } from "../../request/refuseStopping.js";
import type { GatewayCall } from "../../request/gatewayCall.js";
import type { RouteLookup } from "../../version/routeLookup.js";
import { chooseTarget, expectedMs, isFull } from "./chooseTarget.js";
import type { Intake } from "./decideIntake.js";
import { decideRoom, type RoomState } from "./decideRoom.js";
import type { GatewayTarget } from "./gatewayTarget.js";
import type { KeyMap } from "./keyMap.js";
import { isAccepting } from "./targetDirectory.js";
import type { TargetRooms } from "./targetRooms.js";

/** Retry pause for callers whose key has no owner, in seconds; a new owner is assigned within a few tenths of a second. */
const NO_OWNER_PAUSE_S = 0.35;
/** Maximum wait for the new owner of a key that its owner has released, in milliseconds. */
const MOVE_WAIT_MS = 250;
/** Maximum wait until changes of owners are read, in milliseconds; covers a short pause and a call to the store. */
const STALE_WAIT_MS = 80;
/** Spread of the return of callers that were refused because of a rest: its share of the rest, and its bounds in milliseconds. */
const REST_SPREAD = { share: 0.5, minMs: 200, maxMs: 2_000 };
/** Differences of deadlines up to this share of the longest one aren't taken as a retry. */
const SAME_DEADLINE_SHARE = 0.02;
/** Assumed size of a route's answers before the first one, in kilobytes. */
const INITIAL_ANSWER_KB = 2;
/** The same for routes with large answers. */
const INITIAL_BULK_ANSWER_KB = 64;
/** Weight of the newest answer in the mean size. */
const SIZE_WEIGHT = 0.05;
/** State of a target for which nothing competes. */
const UNSHARED: RoomState = {
    ...{ hasPriorities: false, rivals: [], work: 1, isDue: false },
    ...{ canWait: false, ahead: 0, waitSuccess: 1, refusedBefore: 0 },
};

/** Chooses targets for requests by what this instance currently knows. */
export class TargetPlacement {
    private readonly answerKb = new Map<string, number>();
    /** Longest deadline stated by callers, by route, in milliseconds. */
    private readonly longestDeadline = new Map<string, number>();

    constructor(
        private readonly view: {
            lookup: () => RouteLookup | undefined;
            keyMap: (service: string) => KeyMap | undefined;
            /** Targets of a service whose entries don't say that they leave. */
            targets: (service: string) => GatewayTarget[];
            /** The target among them with this identifier and start time, if there is one. */
            owner: (id: string, startedAtMs: number) => GatewayTarget | undefined;
            /** Time for which a leaving target may get requests, in milliseconds. */
            drainMs: number;
            /** Whether neither this instance nor another one is known to reach a target. */
            isOutOfReach: (target: GatewayTarget) => boolean;
            /** Number of times that answers of a target pass from one failure domain to another; `undefined` if they come directly. */
            crossings: (target: GatewayTarget) => number | undefined;
            /** Whether the known owners are up to date with the store. */
            ownersAreFresh: () => boolean;
            /** Competition for the targets; requests neither wait nor give way without it. */
            rooms?: Pick<TargetRooms, "stateOf" | "heldBack" | "refused">;
            random: () => number;
        },
    ) {}

    /** Updates the mean answer size of a route. */
    recordAnswerSize(route: string, bytes: number): void {
        const known = this.answerKb.get(route);
        const kilobytes = bytes / 1_000;
        this.answerKb.set(route, known === undefined ? kilobytes : known + (kilobytes - known) * SIZE_WEIGHT);
    }

    place(query: PlacementQuery): Placement {
        return this.isKeyed(query.service) ? this.placeAtOwner(query) : this.placeAnywhere(query);
    }

    /** Whether there is a target for another attempt. An overloaded key owner can't be replaced by another target. */
    canPlaceAgain(query: PlacementQuery, end: AttemptEnd): boolean {
        if (!this.isKeyed(query.service)) {
            return this.view
                .targets(query.service)
                .some(
                    target =>
                        !query.tried.has(target) &&
                        !query.limited.has(target) &&
                        !this.view.isOutOfReach(target) &&
                        this.takes(target, query.call),
                );
        }
        const owner = this.ownerOf(query);
        switch (end) {
            case "not-run":
                return owner === undefined || query.notOwners.has(owner) || !query.tried.has(owner);
            case "not-sent":
                return (owner !== undefined && !query.unreached.has(owner)) || !this.view.ownersAreFresh();
            case "silent":
                // Only the owner can run the request, and it may be running it.
                return false;
            case "lost":
            case "failed":
                return owner !== undefined && !owner.isSuspect() && this.takes(owner, query.call);
        }
    }

    /** Whether a target takes a request at present, by its entry and by what it has stated. */
    takes(target: GatewayTarget, call: GatewayCall): boolean {
        const { type } = this.intakeOf(target, call);
        return isAccepting(target.listed) && (type === "open" || type === "last-choice");
    }

    private intakeOf(target: GatewayTarget, call: GatewayCall): Intake {
        return target.intakeFor(call.arrivedAt, this.view.drainMs);
    }

    private isKeyed(service: string): boolean {
        return this.view.lookup()?.service(service)?.keyed === true;
    }

    private ownerOf({ call, service }: PlacementQuery): GatewayTarget | undefined {
        const range = this.view.keyMap(service)?.rangeOf(call.key ?? 0);
        return range === undefined ? undefined : this.view.owner(range.target, range.startedAtMs);
    }

    private placeAtOwner(query: PlacementQuery): Placement {
        const owner = this.ownerOf(query);
        if (owner === undefined) {
            return query.notOwners.size > 0
                ? { type: "wait", maxWaitMs: MOVE_WAIT_MS }
                : this.waitIfStale(this.refusal("no-owner", "The key has no owner at present.", NO_OWNER_PAUSE_S));
        }
        if (query.notOwners.has(owner)) {
            return { type: "wait", maxWaitMs: MOVE_WAIT_MS };
        }
        if (owner.isSuspect() || query.unreached.has(owner) || this.view.isOutOfReach(owner)) {
            return this.waitIfStale(
                this.refusal("owner-unreachable", `Owner ${owner.id} can't be reached.`, NO_OWNER_PAUSE_S),
            );
        }
        const { type } = this.intakeOf(owner, query.call);
        if (type === "leaving" || type === "evacuated") {
            const text = type === "leaving" ? `Owner ${owner.id} leaves.` : `Owner ${owner.id} is evacuated.`;
            return this.waitIfStale(this.refusal("no-owner", text, NO_OWNER_PAUSE_S));
        }
        return this.refuseBySoonest([owner], query) ?? this.admitOrRefuse(owner, query);
    }

    /** Refuses because of a missing owner only if the known owners are up to date; waits for changes otherwise. */
    private waitIfStale(refusal: Placement): Placement {
        return this.view.ownersAreFresh() ? refusal : { type: "wait", maxWaitMs: STALE_WAIT_MS };
    }

    private placeAnywhere(query: PlacementQuery): Placement {
        const targets = this.view.targets(query.service);
        const untried = targets.filter(target => !query.tried.has(target) && !this.view.isOutOfReach(target));
        const intakes = (type: Intake["type"]) =>
            untried.filter(target => this.intakeOf(target, query.call).type === type);
        const open = this.placeAmong(intakes("open"), query);
        const lastChoice = open?.type === "target" ? undefined : this.placeAmong(intakes("last-choice"), query);
        return (
            (lastChoice?.type === "target" ? lastChoice : open) ??
            lastChoice ??
            this.refuseIfClosed(targets, query) ??
            this.refusal("owner-unreachable", `Service ${query.service} has no further target.`, NO_OWNER_PAUSE_S)
        );
    }

    /** Refuses by the soonest target, unless one that was tried may take the request again at once. */
    private refuseIfClosed(targets: readonly GatewayTarget[], query: PlacementQuery): Placement | undefined {
        const { tried, limited, call } = query;
        const isLimited = targets.some(target => limited.has(target) && !tried.has(target));
        const isClosed = targets.every(target => limited.has(target) || !this.takes(target, call));
        return isLimited || isClosed ? this.refuseBySoonest(targets, query) : undefined;
    }

    /** Places a request at one of some targets that take it; `undefined` if their limits admit none, or there are none. */
    private placeAmong(targets: readonly GatewayTarget[], query: PlacementQuery): Placement | undefined {
        const unlimited = targets.filter(({ limit }) => limit === undefined);
        const preferred =
            unlimited.length === targets.length ? targets : [...unlimited, ...this.ofColdDomains(targets, query)];
        const placement = this.choose(preferred, query);
        if (placement?.type === "target") {
            return placement;
        }
        // Targets with limits are in need or cold, so they are used only where the others can't serve the caller.
        const admitting = targets.filter(target => target.limit !== undefined && !query.limited.has(target));
        const limited = this.choose(admitting, query);
        return placement?.type === "room" && limited?.type !== "target" ? placement : (limited ?? placement);
    }

    /**
     * Cold targets of failure domains without a warm one, as after such a domain was lost and has come back. They compete with the
     * targets of the other domains for as many requests as their limits admit; otherwise all load would go to these.
     */
    private ofColdDomains(targets: readonly GatewayTarget[], query: PlacementQuery): GatewayTarget[] {
        const warmDomains = new Set(
            this.view
                .targets(query.service)
                .filter(target => !target.isCold)
                .map(({ listed }) => listed.entry.domain),
        );
        return targets
            .filter(
                ({ listed, limit }) =>
                    limit?.cold !== undefined && limit.stated === undefined && !warmDomains.has(listed.entry.domain),
            )
            .filter(target => !query.limited.has(target));
    }

    /** Chooses among targets any of which may run a request; `undefined` if there are none. */
    private choose(targets: readonly GatewayTarget[], query: PlacementQuery): Placement | undefined {
        const { route } = query;
        const answerKb = this.answerKb.get(route.name) ?? (route.bulk ? INITIAL_BULK_ANSWER_KB : INITIAL_ANSWER_KB);
        const candidates = targets.map(target => target.candidate(this.view.crossings(target)));
        const chosen = chooseTarget(candidates, answerKb, this.view.random);
        return chosen === undefined ? undefined : this.admitOrRefuse(chosen.target, query);
    }

    /** Refuses because of the target whose limit or rest ends soonest for the caller; `undefined` if none has refused it. */
    private refuseBySoonest(targets: readonly GatewayTarget[], query: PlacementQuery): Placement | undefined {
        const delays = targets.map(target => this.delayOf(target, query));
        const [soonest] = delays.filter(delay => delay !== undefined).sort((a, b) => a.forMs - b.forMs);
        return soonest === undefined
            ? undefined
            : { type: "refuse", refusal: refuse("overloaded", soonest.detail, soonest.forMs / 1_000) };
    }

    /** Delay after which a caller may return that a target's limit or rest has refused; `undefined` if none has. */
    private delayOf(target: GatewayTarget, query: PlacementQuery): { forMs: number; detail: string } | undefined {
        const turnMs = query.limited.get(target);
        if (turnMs !== undefined) {
            // The delay is the caller's turn, so it has no jitter.
            return {
                forMs: turnMs,
                detail: `Target ${target.id} takes ${Math.round(10 * (target.limit?.perSecond ?? 0)) / 10} requests a second.`,
            };
        }
        const intake = this.intakeOf(target, query.call);
        if (intake.type !== "resting") {
            return undefined;
        }
        const { share, minMs, maxMs } = REST_SPREAD;
        const spreadMs = Math.min(maxMs, Math.max(minMs, intake.forMs * share));
        return {
            forMs: intake.forMs + spreadMs * this.view.random(),
            detail: `Target ${target.id} takes no requests for ${Math.round(intake.forMs)} ms.`,
        };
    }

    /**
     * Estimated time since the caller's first attempt; on a retry, callers state the remaining part of their initial
     * deadline.
     */
    private elapsedMs({ call, route }: PlacementQuery): number {
        const longest = Math.max(this.longestDeadline.get(route.name) ?? 0, call.deadlineMs ?? 0);
        this.longestDeadline.set(route.name, longest);
        const elapsedMs = longest - (call.deadlineMs ?? longest);
        return elapsedMs > longest * SAME_DEADLINE_SHARE ? elapsedMs : 0;
    }

    private admitOrRefuse(target: GatewayTarget, query: PlacementQuery): Placement {
        const { rooms, random } = this.view;
        const { call, route, leftMs, stopsInMs, waitedMs = 0 } = query;
        const candidate = target.candidate();
        // An estimate by the loads of other targets would refuse requests at idle ones while the service is busy.
        const neededMs = expectedMs({ ...candidate, load: target.load() });
        const state = rooms?.stateOf(target, query) ?? UNSHARED;
        const decision = decideRoom({
            ...state,
            ...{ leftMs, stopsInMs, waitedMs },
            expectedMs: neededMs,
            serviceMs: candidate.serviceMs,
            slots: candidate.slots,
            elapsedMs: this.elapsedMs(query),
            targetLatencyMs: route.targetLatencyMs,
            priority: route.priority,
            callerLeftMs: leftMs + Math.max(0, (call.deadlineMs ?? 0) - route.timeoutMs),
            isFull: this.hasNoOther(query) && isFull(candidate),
            random,
        });
        switch (decision.type) {
            case "send":
                return { type: "target", target };
            case "stopping":
                return { type: "refuse", refusal: refuseStopping() };
            case "wait":
                rooms?.heldBack(query);
                return { type: "room", target, maxWaitMs: decision.forMs };
            case "refuse": {
                target.declined();
                rooms?.heldBack(query);
                rooms?.refused(target, decision.delayMs);
                const text = `Target ${target.id} needs about ${Math.round(neededMs)} ms.`;
                const delayS = decision.delayMs / 1_000;
                return decision.isFinal
                    ? { type: "refuse", refusal: refuse("overloaded", text, delayS) }
                    : this.refusal("overloaded", text, delayS);
            }
        }
    }

    /** Whether a request that its target turns away can't be sent to another one. */
    private hasNoOther({ service, route }: PlacementQuery): boolean {
        return this.isKeyed(service) || route.repeatability === "nonIdempotent";
    }

    /** Refuses with jitter on the pause, so that callers who were refused together don't retry together. */
    private refusal(kind: "no-owner" | "owner-unreachable" | "overloaded", text: string, pauseS: number): Placement {
        return { type: "refuse", refusal: refuse(kind, text, pauseS * (0.6 + 0.8 * this.view.random())) };
    }
}
