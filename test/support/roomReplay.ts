import type { GatewayCall } from "../../src/request/gatewayCall.js";
import type { PlacementQuery } from "../../src/request/gatewayServices.js";
import { GatewayTarget } from "../../src/process/gateway/gatewayTarget.js";
import { KEY_COUNT, KeyMap } from "../../src/process/gateway/keyMap.js";
import { ServiceProfile } from "../../src/process/gateway/serviceProfile.js";
import type { DirectoryTarget } from "../../src/process/gateway/targetDirectory.js";
import { TargetIntake } from "../../src/process/gateway/targetIntake.js";
import { TargetPlacement } from "../../src/process/gateway/targetPlacement.js";
import { TargetRooms } from "../../src/process/gateway/targetRooms.js";
import type { Clock } from "../../src/process/runtime/clock.js";
import { IndexedHeap, type HeapItem } from "../../src/process/runtime/indexedHeap.js";
import type { Route } from "../../src/version/routeConfig.js";
import type { RouteLookup } from "../../src/version/routeLookup.js";
import { seededRandom } from "./seededRandom.js";

/** A kind of request; times are in milliseconds. */
export interface RoomKind {
    name: string;
    ratePerS: number;
    workMs: number;
    targetLatencyMs: number;
    deadlineMs: number;
    timeoutMs: number;
    priority: number;
    valueInTime: number;
    valueLate: number;
}

/** Load on one service, whose targets and instances are evenly spread over the failure domains. */
export interface RoomLoad {
    keyed: boolean;
    targets: number;
    instances: number;
    slots: number;
    /** Requests that wait at a target; it never answers further ones. */
    queue: number;
    kinds: readonly RoomKind[];
    durationMs: number;
    /** Factor on the rate of a kind at a time in a failure domain. */
    factor: (kind: RoomKind, at: number, domain: number) => number;
    /** Rate of each kind for one key, relative to its rate; 0 if there is no hot key. */
    hotShare: number;
    /** Interval at which the instances learn of the load of each target, as from the reports of others. */
    reportMs: number;
}

export interface KindResult {
    asked: number;
    served: number;
    inTime: number;
    /** Share of the value of all its requests, if all were served in time. */
    value: number;
    /** Client attempts that were refused after a wait of more than an eighth of the target latency. */
    costlyWaits: number;
}

const DOMAINS = 3;
const WAY_MS = 1;
const RETRIES = 2;
/** Share of callers that return at once after a refusal. */
const HASTY_SHARE = 0.05;
const SLOW_PERIOD_MS = 400;
const SPEEDS = [0.6, 1, 1.4];

interface Event extends HeapItem {
    at: number;
    run: () => void;
}

/** Replays the load with the rule for rooms, or with the earlier one, by which each request is admitted by its own target latency. */
export const replayRooms = (load: RoomLoad, seed: number, hasRooms: boolean): Map<string, KindResult> => {
    const random = seededRandom(seed);
    const arrivals = seededRandom(seed + 1);
    let now = 0;
    const events = new IndexedHeap<Event>((a, b) => a.at < b.at);
    const after = (delayMs: number, run: () => void) => {
        const event = { at: now + delayMs, run, heapIndex: -1 };
        events.push(event);
        return () => {
            event.run = () => undefined;
        };
    };
    const clock: Clock = { monotonicMs: () => now, wallMs: () => now, setTimer: after };
    const routes = load.kinds.map(
        kind => ({ ...kind, backends: [{ service: "s", weight: 1 }], repeatability: "idempotent" }) as unknown as Route,
    );
    const servers = Array.from({ length: load.targets }, (_, index) => ({
        ...{ running: 0, waiting: [] as (() => void)[], phase: index * 97, speed: SPEEDS[index % SPEEDS.length] },
    }));
    /** A fifth of the targets is slowed down by neighbours in each period. */
    const timeAt = (index: number, workMs: number) => {
        const { phase, speed } = servers[index];
        const isSlowed = (Math.floor(now / SLOW_PERIOD_MS) * 7 + phase) % 5 === 0;
        return ((workMs * (0.7 + 0.6 * random())) / speed) * (isSlowed ? 3 : 1);
    };
    const loadOf = (index: number) => ({
        ...{ running: servers[index].running, waiting: servers[index].waiting.length, slots: load.slots },
    });
    const width = Math.floor(KEY_COUNT / load.targets);
    const ranges = servers.map((_, index) => ({
        ...{ from: index * width, to: index === load.targets - 1 ? KEY_COUNT - 1 : (index + 1) * width - 1 },
        ...{ target: String(index), startedAtMs: 1, address: "", fence: 1 },
    }));
    const keyMap = new KeyMap({ service: "s", fence: 1, ranges });
    const instances = Array.from({ length: load.instances }, (_, at) => {
        const profile = new ServiceProfile();
        const targets = servers.map((_server, index) => {
            const entry = {
                id: String(index),
                service: "s",
                address: "127.0.0.1:1",
                slots: load.slots,
                warmupLeftMs: 0,
            };
            const listed = { entry: { ...entry, startedAtMs: 1 }, intake: new TargetIntake() };
            return new GatewayTarget(listed as DirectoryTarget, clock, index % DOMAINS === at % DOMAINS, 4, profile);
        });
        const rooms = new TargetRooms({ clock, random });
        rooms.update(routes);
        const placement = new TargetPlacement({
            lookup: () => ({ service: () => ({ keyed: load.keyed }) }) as unknown as RouteLookup,
            keyMap: () => (load.keyed ? keyMap : undefined),
            targets: () => targets,
            owner: id => targets[Number(id)],
            drainMs: 2_000,
            isOutOfReach: () => false,
            crossings: () => undefined,
            ownersAreFresh: () => true,
            rooms: hasRooms ? rooms : undefined,
            random,
        });
        const learn = () => {
            targets.forEach((target, index) => target.report(loadOf(index)));
            after(load.reportMs, learn);
        };
        after(load.reportMs * random(), learn);
        return { targets, rooms, placement };
    });
    const results = new Map(
        load.kinds.map(({ name }) => [name, { asked: 0, served: 0, inTime: 0, value: 0, costlyWaits: 0 }]),
    );

    const ask = (kind: RoomKind, key: number, firstAt: number, retriesLeft: number, at: number): void => {
        const { rooms, placement } = instances[at];
        const route = routes[load.kinds.indexOf(kind)];
        const result = results.get(kind.name) as KindResult;
        const arrivedAt = now;
        const deadlineMs = firstAt + kind.deadlineMs - now;
        const dueAt = now + Math.min(kind.timeoutMs, deadlineMs);
        let waitedMs = 0;
        rooms.demandOf("s").asked(route);
        const place = () => {
            const query: PlacementQuery = {
                call: { key, deadlineMs, arrivedAt, body: Buffer.alloc(0) } as unknown as GatewayCall,
                ...{ route, service: "s", leftMs: dueAt - now, waitedMs },
                ...{ tried: new Set(), unreached: new Set(), notOwners: new Set(), limited: new Map() },
            };
            const placed = placement.place(query);
            if (placed.type === "target") {
                send(placed.target);
            } else if (placed.type === "room") {
                wait(placed.target, placed.maxWaitMs);
            } else if (placed.type === "refuse") {
                refused(1_000 * (placed.refusal.retryAfterSeconds ?? 1));
            }
        };
        const wait = (target: GatewayTarget, maxWaitMs: number) => {
            const since = now;
            let isOver = false;
            const end = () => {
                if (!isOver) {
                    isOver = true;
                    leave();
                    after(0, () => {
                        waitedMs += now - since;
                        place();
                    });
                }
            };
            const ticket = { service: "s", priority: kind.priority, bytes: 0, deadlineAt: dueAt };
            const leave = rooms.join(target, { ...ticket, latestAt: now + maxWaitMs, wake: end });
            after(maxWaitMs, end);
        };
        const waitEnded = (isSent: boolean) => {
            if (waitedMs > 0) {
                rooms.waitEnded({ service: "s", route }, isSent, waitedMs);
            }
        };
        const refused = (pauseMs: number) => {
            waitEnded(false);
            result.costlyWaits += Number(waitedMs > kind.targetLatencyMs / 8);
            const leftMs = firstAt + kind.deadlineMs - now;
            const returnMs = random() < HASTY_SHARE ? 20 : pauseMs;
            if (retriesLeft > 0 && returnMs <= leftMs / 3) {
                const next = Math.floor(random() * load.instances);
                after(returnMs, () => ask(kind, key, firstAt, retriesLeft - 1, next));
            }
        };
        const send = (target: GatewayTarget) => {
            const index = Number(target.id);
            const server = servers[index];
            const startedAt = now;
            const loadAtStart = target.load();
            target.started();
            waitEnded(true);
            rooms.started("s", route);
            const ended = () => {
                target.ended();
                rooms.wake(target);
            };
            const run = () => {
                server.running++;
                after(timeAt(index, kind.workMs), () => {
                    server.running--;
                    server.waiting.shift()?.();
                    target.report(loadOf(index));
                    target.answered(now - startedAt, loadAtStart);
                    rooms.answered({ service: "s", route }, target, {
                        ...{ durationMs: now - startedAt, loadAtStart, facts: { load: loadOf(index) } as never },
                    });
                    ended();
                    if (now <= dueAt) {
                        const isInTime = now - firstAt <= kind.targetLatencyMs;
                        result.served++;
                        result.inTime += Number(isInTime);
                        result.value += isInTime ? 1 : kind.valueLate / kind.valueInTime;
                    }
                });
            };
            after(WAY_MS, () => {
                if (server.running < load.slots) {
                    run();
                } else if (server.waiting.length < load.queue) {
                    server.waiting.push(run);
                } else {
                    after(dueAt - now, ended);
                }
            });
        };
        place();
    };

    for (const kind of load.kinds) {
        for (let domain = 0; domain < DOMAINS; domain++) {
            const perMs = kind.ratePerS / 1_000 / DOMAINS;
            const most = perMs * 4 * (1 + load.hotShare);
            for (let at = 0; at < load.durationMs; at += -Math.log(1 - arrivals()) / most) {
                const draw = arrivals() * most;
                const isHot = draw < perMs * load.hotShare;
                const isAsked = isHot || draw - perMs * load.hotShare < perMs * load.factor(kind, at, domain);
                const key = isHot ? 0 : Math.floor(arrivals() * KEY_COUNT);
                const instance = Math.floor((arrivals() * load.instances) / DOMAINS) * DOMAINS + domain;
                if (isAsked) {
                    const result = results.get(kind.name) as KindResult;
                    events.push({
                        at,
                        run: () => {
                            result.asked++;
                            ask(kind, key, now, RETRIES, instance % load.instances);
                        },
                        heapIndex: -1,
                    });
                }
            }
        }
    }
    const endsAt = load.durationMs + 8_000;
    for (let event = events.peek(); event !== undefined && event.at <= endsAt; event = events.peek()) {
        events.remove(event);
        now = Math.max(now, event.at);
        event.run();
    }
    results.forEach(result => (result.value /= result.asked));
    return results;
};
