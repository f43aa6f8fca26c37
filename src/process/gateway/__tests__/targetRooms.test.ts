import { ManualClock } from "../../../../test/support/manualClock.js";
import type { GatewayCall } from "../../../request/gatewayCall.js";
import type { Placement } from "../../../request/gatewayServices.js";
import { RoomWait } from "../../../request/roomWait.js";
import type { Route } from "../../../version/routeConfig.js";
import type { RouteLookup } from "../../../version/routeLookup.js";
import { GatewayTarget } from "../gatewayTarget.js";
import { KEY_COUNT, KeyMap } from "../keyMap.js";
import type { DirectoryTarget } from "../targetDirectory.js";
import { TargetIntake } from "../targetIntake.js";
import { TargetPlacement } from "../targetPlacement.js";
import { TargetRooms } from "../targetRooms.js";

const ROUTE = {
    ...{ name: "busy", targetLatencyMs: 4_000, timeoutMs: 5_000, priority: 1, repeatability: "idempotent" },
    backends: [{ service: "stock", weight: 1 }],
} as Route;

/** Two targets of one slot, the first of which owns all keys and is full. */
const create = () => {
    const clock = new ManualClock();
    const rooms = new TargetRooms({ clock, random: () => 0.5 });
    rooms.update([ROUTE]);
    const targets = ["a", "b"].map(id => {
        const entry = { id, service: "stock", address: "127.0.0.1:1", slots: 1, warmupLeftMs: 0, startedAtMs: 1 };
        return new GatewayTarget({ entry, intake: new TargetIntake() } as unknown as DirectoryTarget, clock, true, 4);
    });
    const view = { owner: targets[0] };
    const range = { from: 0, to: KEY_COUNT - 1, target: "a", startedAtMs: 1, address: "", fence: 1 };
    const placement = new TargetPlacement({
        lookup: () => ({ service: () => ({ keyed: true }) }) as unknown as RouteLookup,
        keyMap: () => new KeyMap({ service: "stock", fence: 1, ranges: [range] }),
        targets: () => targets,
        owner: () => view.owner,
        isOutOfReach: () => false,
        crossings: () => undefined,
        ownersAreFresh: () => true,
        drainMs: 2_000,
        rooms,
        random: () => 0.5,
    });
    Array.from({ length: 3 }, () => targets[0].started());
    /** A request that is placed again whenever a wait ends, with all its placements. */
    const request = (bytes = 0) => {
        const call = { key: 7, deadlineMs: 5_000, body: Buffer.alloc(bytes), arrivedAt: 0 } as unknown as GatewayCall;
        const ended: string[] = [];
        const waitEnded = (_: unknown, result: string) => void ended.push(result);
        const services = {
            clock,
            rooms: {
                ...{ join: rooms.join.bind(rooms), wake: rooms.wake.bind(rooms), waitEnded },
                ...{ started: () => undefined, answered: () => undefined },
            },
        };
        const wait = new RoomWait({ call, route: ROUTE, service: "stock" }, services);
        const placements: Placement[] = [];
        const leftMs = () => 5_000 - clock.monotonicMs();
        const place = () => {
            const placed = placement.place({
                ...{ call, route: ROUTE, service: "stock", leftMs: leftMs(), waitedMs: wait.waitedMs },
                ...{ tried: new Set(), unreached: new Set(), notOwners: new Set(), limited: new Map() },
            });
            placements.push(placed);
            if (placed.type === "room") {
                wait.wait(placed.target, placed.maxWaitMs, leftMs(), place);
            }
        };
        place();
        return { wait, placements, ended };
    };
    const waiting = () => rooms.waitingByService().get("stock") ?? 0;
    return { clock, rooms, targets, view, request, waiting };
};
/** Lets the callbacks run that come after the input that has arrived. */
const settle = async (): Promise<void> => {
    for (let round = 0; round < 6; round++) {
        await new Promise(resolve => setImmediate(resolve));
    }
};
/** The longest pause until waiting requests are tried again, in milliseconds. */
const TRY_MS = 250;

describe("TargetRooms", () => {
    it("guards against a request that waits for the former owner of its key", async () => {
        const { clock, targets, view, request, waiting } = create();
        const { placements } = request();
        expect(placements.map(({ type }) => type)).toEqual(["room"]);
        view.owner = targets[1];
        clock.advance(TRY_MS);
        await settle();
        expect(placements.at(-1)).toEqual({ type: "target", target: targets[1] });
        expect(waiting()).toBe(0);
    });

    it("guards against requests that go on waiting for an owner that has stopped answering", async () => {
        const { clock, targets, request, waiting } = create();
        const requests = [request(), request()];
        expect(waiting()).toBe(2);
        targets[0].unansweredCall(0);
        clock.advance(TRY_MS);
        await settle();
        for (const { placements } of requests) {
            expect(placements.at(-1)).toMatchObject({ type: "refuse", refusal: { type: "owner-unreachable" } });
        }
        expect(waiting()).toBe(0);
    });

    it("guards against a turn that is lost because the caller of the request that has it leaves", async () => {
        const { rooms, targets, request } = create();
        const [first, second] = [request(), request()];
        targets[0].ended();
        targets[0].ended();
        rooms.wake(targets[0]);
        const end = { since: 0, cause: undefined };
        first.wait.finish({ type: "caller-gone", state: "room-wait", end, sentLateMs: 0 });
        await settle();
        expect(first.ended).toEqual(["caller-gone"]);
        expect(second.placements.at(-1)?.type).toBe("target");
    });

    it("guards against more memory for the bodies of waiting requests than its bound", () => {
        const { request, waiting } = create();
        expect(request(16_000_000).placements[0].type).toBe("room");
        expect(request(1).placements[0].type).toBe("refuse");
        expect(waiting()).toBe(1);
    });
});
