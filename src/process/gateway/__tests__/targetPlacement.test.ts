import { ManualClock } from "../../../../test/support/manualClock.js";
import type { GatewayCall } from "../../../request/gatewayCall.js";
import type { Placement, PlacementQuery } from "../../../request/gatewayServices.js";
import type { Route } from "../../../version/routeConfig.js";
import type { RouteLookup } from "../../../version/routeLookup.js";
import { GatewayTarget } from "../gatewayTarget.js";
import { KEY_COUNT, KeyMap } from "../keyMap.js";
import type { DirectoryTarget } from "../targetDirectory.js";
import { TargetIntake } from "../targetIntake.js";
import { TargetPlacement } from "../targetPlacement.js";

const START_MS = 1_000;

const createPlacement = (view: { isListed: boolean; isFresh: boolean }) => {
    const clock = new ManualClock();
    const listed = {
        entry: { id: "t1", service: "stock", address: "127.0.0.1:1", slots: 4, warmupLeftMs: 0, startedAtMs: START_MS },
        intake: new TargetIntake(),
    } as unknown as DirectoryTarget;
    const owner = new GatewayTarget(listed, clock, true, 4);
    const range = { from: 0, to: KEY_COUNT - 1, target: "t1", startedAtMs: START_MS, address: "", fence: 1 };
    const placement = new TargetPlacement({
        lookup: () => ({ service: () => ({ keyed: true }) }) as unknown as RouteLookup,
        keyMap: () => new KeyMap({ service: "stock", fence: 1, ranges: [range] }),
        targets: () => [owner],
        owner: () => (view.isListed ? owner : undefined),
        isOutOfReach: () => false,
        crossings: () => undefined,
        ownersAreFresh: () => view.isFresh,
        drainMs: 2_000,
        random: () => 0.5,
    });
    const place = (unreached: GatewayTarget[] = []): Placement =>
        placement.place({
            call: { key: 7, deadlineMs: 3_000 } as never,
            route: { name: "read", targetLatencyMs: 400 } as Route,
            service: "stock",
            tried: new Set(unreached),
            unreached: new Set(unreached),
            notOwners: new Set(),
            limited: new Map(),
            leftMs: 3_000,
        });
    return { owner, placement, place };
};

describe("TargetPlacement", () => {
    it("doesn't refuse a request for its key's owner if that may have been replaced since the last read", () => {
        const { place } = createPlacement({ isListed: false, isFresh: false });
        expect(place().type).toBe("wait");
        const unreachable = createPlacement({ isListed: true, isFresh: false });
        unreachable.owner.unansweredCall(0);
        expect(unreachable.place().type).toBe("wait");
    });

    it("refuses a request at once if the current owner of its key is gone or doesn't answer", () => {
        expect(createPlacement({ isListed: false, isFresh: true }).place()).toMatchObject({
            type: "refuse",
            refusal: { type: "no-owner" },
        });
        const unreachable = createPlacement({ isListed: true, isFresh: true });
        unreachable.owner.unansweredCall(0);
        expect(unreachable.place()).toMatchObject({ type: "refuse", refusal: { type: "owner-unreachable" } });
    });

    it("doesn't choose an unreachable owner again, which would repeat until the request's deadline", () => {
        const stale = createPlacement({ isListed: true, isFresh: false });
        expect(stale.place([stale.owner]).type).toBe("wait");
        const fresh = createPlacement({ isListed: true, isFresh: true });
        expect(fresh.place([fresh.owner])).toMatchObject({ type: "refuse", refusal: { type: "owner-unreachable" } });
    });

    it("doesn't send a request that waited for a permit to a target that is draining or gone by then", () => {
        const { owner, placement } = createPlacement({ isListed: true, isFresh: true });
        const call = { arrivedAt: 0 } as GatewayCall;
        expect(placement.takes(owner, call)).toBe(true);
        owner.listed.gone = true;
        expect(placement.takes(owner, call)).toBe(false);
        Object.assign(owner.listed, { gone: false, entry: { ...owner.listed.entry, draining: true } });
        expect(placement.takes(owner, call)).toBe(false);
    });

    it("sends to a stale owner that answers, since it refuses keys that it has released", () => {
        const { owner, place } = createPlacement({ isListed: true, isFresh: false });
        expect(place()).toEqual({ type: "target", target: owner });
    });
});

/** Placement in a service without keys, with targets of two slots. */
const createShared = (count: number) => {
    const clock = new ManualClock();
    clock.advance(1_000);
    let random = 0.5;
    const targets = Array.from({ length: count }, (_, index) => {
        const entry = { id: `t${index}`, service: "stock", address: "127.0.0.1:1", slots: 2, warmupLeftMs: 0 };
        return new GatewayTarget({ entry, intake: new TargetIntake() } as unknown as DirectoryTarget, clock, true, 4);
    });
    const placement = new TargetPlacement({
        lookup: () => ({ service: () => ({ keyed: false }) }) as unknown as RouteLookup,
        keyMap: () => undefined,
        targets: () => targets,
        owner: () => undefined,
        isOutOfReach: () => false,
        crossings: () => undefined,
        ownersAreFresh: () => true,
        drainMs: 2_000,
        random: () => random,
    });
    const place = (drawn = 0.5): Placement => {
        random = drawn;
        return placement.place({
            call: { deadlineMs: 3_000, arrivedAt: clock.monotonicMs() } as never,
            route: { name: "read", targetLatencyMs: 400 } as Route,
            service: "stock",
            tried: new Set(),
            unreached: new Set(),
            notOwners: new Set(),
            limited: new Map(),
            leftMs: 3_000,
        });
    };
    const delayMs = (drawn: number): number => {
        const placed = place(drawn);
        return placed.type === "refuse" ? 1_000 * (placed.refusal.retryAfterSeconds ?? 0) : -1;
    };
    const load = (target: GatewayTarget): void => Array.from({ length: 20 }).forEach(() => target.started());
    return { clock, targets, place, delayMs, load };
};

describe("TargetPlacement with targets that leave or rest", () => {
    it("guards against sends to a leaving target that another target serves", () => {
        const { clock, targets, place } = createShared(2);
        targets[0].listed.intake.stateLeaving(clock);
        targets[1].started();
        expect(place()).toEqual({ type: "target", target: targets[1] });
    });

    it("guards against the refusal of callers that only a leaving target can serve, and against later sends to it", () => {
        const { clock, targets, place, load } = createShared(2);
        targets[0].listed.intake.stateLeaving(clock);
        load(targets[1]);
        expect(place()).toEqual({ type: "target", target: targets[0] });
        clock.advance(1_600);
        expect(place()).toMatchObject({ type: "refuse", refusal: { type: "overloaded" } });
    });

    it("guards against callers who return before the shortest rest or all at its end", () => {
        const { clock, targets, delayMs } = createShared(2);
        targets[0].listed.intake.stateRest(8_000, clock);
        targets[1].listed.intake.stateRest(1_000, clock);
        expect([0, 0.5, 0.99].map(delayMs)).toEqual([1_000, 1_250, 1_495]);
    });
});

describe("TargetPlacement in an evacuation", () => {
    const evacuation = { domain: "wels", since: 1_000, sendsUntil: 4_000 };

    it("guards against requests without keys that go to an evacuated target although another one has room", () => {
        const { targets, place } = createShared(2);
        targets[0].listed.evacuation = evacuation;
        targets[1].started();
        expect(place()).toEqual({ type: "target", target: targets[1] });
    });

    it("guards against callers that are refused while only evacuated targets have room, and against later sends", () => {
        const { clock, targets, place, load } = createShared(2);
        targets[0].listed.evacuation = evacuation;
        load(targets[1]);
        expect(place()).toEqual({ type: "target", target: targets[0] });
        clock.advance(3_000);
        expect(place()).toMatchObject({ type: "refuse", refusal: { type: "overloaded" } });
    });

    it("guards against requests that are held or sent when every target is evacuated", () => {
        const { clock, targets, place } = createShared(2);
        targets.forEach(({ listed }) => (listed.evacuation = evacuation));
        clock.advance(3_000);
        expect(place()).toMatchObject({ type: "refuse", refusal: { type: "owner-unreachable" } });
    });

    it("guards against a key's request, or one that waited for a permit, that goes to an evacuated owner too late", () => {
        const { owner, placement, place } = createPlacement({ isListed: true, isFresh: true });
        owner.listed.evacuation = { domain: "wels", since: 0, sendsUntil: 1 };
        const call = { arrivedAt: 0 } as GatewayCall;
        expect([place().type, placement.takes(owner, call)]).toEqual(["target", true]);
        owner.listed.evacuation = { domain: "wels", since: 0, sendsUntil: 0 };
        expect(place()).toMatchObject({ type: "refuse", refusal: { type: "no-owner" } });
        expect(placement.takes(owner, call)).toBe(false);
        const query = { call, service: "stock", tried: new Set([owner]) } as unknown as PlacementQuery;
        expect(placement.canPlaceAgain(query, "lost")).toBe(false);
    });
});
