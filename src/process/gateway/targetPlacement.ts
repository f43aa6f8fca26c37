import type { AttemptEnd } from "../../request/decideAfterAttempt.js";
import type { Placement, PlacementQuery } from "../../request/gatewayRequest.js";
import { refuse } from "../../request/refusal.js";
import type { RouteLookup } from "../../version/routeLookup.js";
import { chooseTarget, expectedMs } from "./chooseTarget.js";
import { decideAdmission } from "./decideAdmission.js";
import type { GatewayTarget } from "./gatewayTarget.js";
import type { KeyMap } from "./keyMap.js";

/** Pause for callers whose key has no owner, in seconds; owners are found within a few tenths of a second. */
const NO_OWNER_PAUSE_S = 0.35;
/** Longest wait for the new owner of a key that its owner has given up, in milliseconds. */
const MOVE_WAIT_MS = 250;
/** Longest wait until changes of owners are read, in milliseconds: a short pause and a call to the store. */
const STALE_WAIT_MS = 80;
/** Differences of deadlines up to this share of the longest one don't show a second attempt. */
const SAME_DEADLINE_SHARE = 0.02;
/** Size of an answer assumed before one was seen, in kilobytes. */
const INITIAL_ANSWER_KB = 2;
/** The same for routes with large answers. */
const INITIAL_BULK_ANSWER_KB = 64;
/** Weight of the newest answer in the mean size. */
const SIZE_WEIGHT = 0.05;

/** Spreads a pause, so that callers who were refused together don't return together. */
const spread = (seconds: number): number => seconds * (0.6 + 0.8 * Math.random());

/** Where requests go, by what this instance knows now. */
export class TargetPlacement {
    private readonly answerKb = new Map<string, number>();
    /** Longest deadline that callers stated, by route, in milliseconds. */
    private readonly longestDeadline = new Map<string, number>();

    constructor(
        private readonly view: {
            lookup: () => RouteLookup | undefined;
            keyMap: (service: string) => KeyMap | undefined;
            /** Usable targets of a service. */
            targets: (service: string) => GatewayTarget[];
            /** The usable target with this identifier and start, if there is one. */
            owner: (id: string, startedAtMs: number) => GatewayTarget | undefined;
            /** Whether changes of owners are known as soon as the store has them. */
            ownersAreFresh: () => boolean;
            random: () => number;
        },
    ) {}

    /** Learns the size of a route's answers. */
    answered(route: string, bytes: number): void {
        const known = this.answerKb.get(route);
        const kilobytes = bytes / 1_000;
        this.answerKb.set(route, known === undefined ? kilobytes : known + (kilobytes - known) * SIZE_WEIGHT);
    }

    place(query: PlacementQuery): Placement {
        return this.isKeyed(query.service) ? this.placeAtOwner(query) : this.placeAnywhere(query);
    }

    /** Whether a further attempt has a target. A full owner of a key can't be replaced by another target. */
    canPlaceAgain(query: PlacementQuery, end: AttemptEnd | "silent"): boolean {
        if (!this.isKeyed(query.service)) {
            return this.view.targets(query.service).some(target => !query.tried.has(target));
        }
        const owner = this.ownerOf(query);
        switch (end) {
            case "not-run":
                return owner === undefined || query.disowned.has(owner) || !query.tried.has(owner);
            case "not-sent":
                return (owner !== undefined && !query.unreached.has(owner)) || !this.view.ownersAreFresh();
            case "silent":
                // Only the owner can run it, and it may be doing so.
                return false;
            case "lost":
            case "failed":
                return owner !== undefined && !owner.isSuspect();
        }
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
            return query.disowned.size > 0
                ? { type: "wait", longestMs: MOVE_WAIT_MS }
                : this.unlessStale(this.refusal("no-owner", "The key has no owner at present.", NO_OWNER_PAUSE_S));
        }
        if (query.disowned.has(owner)) {
            return { type: "wait", longestMs: MOVE_WAIT_MS };
        }
        if (owner.isSuspect() || query.unreached.has(owner)) {
            return this.unlessStale(
                this.refusal("owner-unreachable", `Owner ${owner.id} can't be reached.`, NO_OWNER_PAUSE_S),
            );
        }
        return this.unlessFull(owner, query);
    }

    /** A refusal for want of an owner holds only if the owners are known as they are now. */
    private unlessStale(refusal: Placement): Placement {
        return this.view.ownersAreFresh() ? refusal : { type: "wait", longestMs: STALE_WAIT_MS };
    }

    private placeAnywhere(query: PlacementQuery): Placement {
        const { route, service, tried } = query;
        const candidates = this.view
            .targets(service)
            .filter(target => !tried.has(target))
            .map(target => target.candidate());
        const answerKb = this.answerKb.get(route.name) ?? (route.bulk ? INITIAL_BULK_ANSWER_KB : INITIAL_ANSWER_KB);
        const chosen = chooseTarget(candidates, answerKb, this.view.random);
        return chosen === undefined
            ? this.refusal("owner-unreachable", `Service ${service} has no further target.`, NO_OWNER_PAUSE_S)
            : this.unlessFull(chosen.target, query);
    }

    /** Time since the caller's first attempt: callers state what is left of the time that they started with. */
    private elapsedMs({ call, route }: PlacementQuery): number {
        const longest = Math.max(this.longestDeadline.get(route.name) ?? 0, call.deadlineMs ?? 0);
        this.longestDeadline.set(route.name, longest);
        const elapsedMs = longest - (call.deadlineMs ?? longest);
        return elapsedMs > longest * SAME_DEADLINE_SHARE ? elapsedMs : 0;
    }

    private unlessFull(target: GatewayTarget, query: PlacementQuery): Placement {
        const candidate = target.candidate();
        const neededMs = expectedMs(candidate);
        const admission = decideAdmission({
            expectedMs: neededMs,
            serviceMs: candidate.serviceMs,
            leftMs: query.leftMs,
            elapsedMs: this.elapsedMs(query),
            targetLatencyMs: query.route.targetLatencyMs,
        });
        return admission.type === "admit"
            ? { type: "target", target }
            : this.refusal(
                  "overloaded",
                  `Target ${target.id} needs about ${Math.round(neededMs)} ms.`,
                  admission.pauseMs / 1_000,
              );
    }

    private refusal(kind: "no-owner" | "owner-unreachable" | "overloaded", text: string, pauseS: number): Placement {
        return { type: "refuse", refusal: refuse(kind, text, spread(pauseS)) };
    }
}
