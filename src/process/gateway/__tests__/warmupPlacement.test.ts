import { ManualClock } from "../../../../test/support/manualClock.js";
import type { Placement } from "../../../request/gatewayServices.js";
import type { Route } from "../../../version/routeConfig.js";
import type { RouteLookup } from "../../../version/routeLookup.js";
import { GatewayTarget } from "../gatewayTarget.js";
import { KEY_COUNT, KeyMap } from "../keyMap.js";
import type { DirectoryTarget } from "../targetDirectory.js";
import { TargetIntake } from "../targetIntake.js";
import { TargetPlacement } from "../targetPlacement.js";

const COLD = { perSecond: 8, burst: 2, leftMs: 5_000 };

/** Placement of an instance in the first domain, with targets of two slots in the given domains. */
const createPlacement = (domains: string[], isKeyed = false) => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const cold = new Set<string>();
    const targets = domains.map((domain, index) => {
        const entry = { id: `t${index}`, service: "stock", address: "127.0.0.1:1", slots: 2, warmupLeftMs: 0, domain };
        const listed = { entry, intake: new TargetIntake() } as unknown as DirectoryTarget;
        const isNear = domain === domains[0];
        return new GatewayTarget(listed, clock, isNear, 4, undefined, () => (cold.has(entry.id) ? COLD : undefined));
    });
    const range = { from: 0, to: KEY_COUNT - 1, target: "t0", startedAtMs: 1, address: "", fence: 1 };
    const placement = new TargetPlacement({
        lookup: () => ({ service: () => ({ keyed: isKeyed }) }) as unknown as RouteLookup,
        keyMap: () => new KeyMap({ service: "stock", fence: 1, ranges: [range] }),
        targets: () => targets,
        owner: () => targets[0],
        isOutOfReach: () => false,
        crossings: () => undefined,
        ownersAreFresh: () => true,
        drainMs: 2_000,
        random: () => 0.5,
    });
    const place = (limited: [GatewayTarget, number][] = []): Placement =>
        placement.place({
            call: { key: 7, deadlineMs: 3_000, arrivedAt: clock.monotonicMs() } as never,
            route: { name: "read", targetLatencyMs: 400 } as Route,
            service: "stock",
            tried: new Set(),
            unreached: new Set(),
            notOwners: new Set(),
            limited: new Map(limited),
            leftMs: 3_000,
        });
    const load = (target: GatewayTarget): void => Array.from({ length: 20 }).forEach(() => target.started());
    const turnCold = (...turned: GatewayTarget[]) => turned.forEach(({ id }) => cold.add(id));
    return { targets, place, load, turnCold };
};

describe("TargetPlacement with cold targets", () => {
    // Guards against load on a cold target that a warm one can bear.
    it("prefers a warm target, and uses a cold one where the warm one can't serve the caller", () => {
        const { targets, place, load, turnCold } = createPlacement(["linz", "linz"]);
        turnCold(targets[0]);
        targets[1].started();
        expect(place()).toEqual({ type: "target", target: targets[1] });
        load(targets[1]);
        expect(place()).toEqual({ type: "target", target: targets[0] });
    });

    // Guards against a whole domain whose load goes to the other ones for the time of its warm-up.
    it("uses the cold targets of a domain without a warm one, until their limits refuse", () => {
        const { targets, place, turnCold } = createPlacement(["linz", "linz", "graz"]);
        const [near, other, far] = targets;
        turnCold(near, other);
        other.started();
        other.started();
        expect(place()).toEqual({ type: "target", target: near });
        const limited: [GatewayTarget, number][] = [
            [near, 100],
            [other, 100],
        ];
        expect(place(limited)).toEqual({ type: "target", target: far });
    });

    it("doesn't use a cold target of such a domain that has also stated a limit while another one serves", () => {
        const { targets, place, turnCold } = createPlacement(["linz", "graz"]);
        turnCold(targets[0]);
        targets[0].listed.intake.stateLimit(5, new ManualClock());
        expect(place()).toEqual({ type: "target", target: targets[1] });
    });

    // Guards against callers that all return at once, or before the target can take them.
    it.each([true, false])("tells a caller that the limit refuses its turn, in a service with keys: %s", isKeyed => {
        const { targets, place, turnCold } = createPlacement(["linz"], isKeyed);
        turnCold(targets[0]);
        expect(place([[targets[0], 700]])).toMatchObject({
            type: "refuse",
            refusal: { type: "overloaded", retryAfterSeconds: 0.7 },
        });
    });
});
