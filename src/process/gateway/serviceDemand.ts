import type { Route } from "../../version/routeConfig.js";
import { DurationEstimate } from "../dispatch/durationEstimate.js";
import { isLowerStartDue } from "../dispatch/startShare.js";
import type { Clock } from "../runtime/clock.js";
import { DecayedRate } from "../runtime/decayedRate.js";
import type { Rival } from "./decideRoom.js";

/** Half-life of the recent demand, in milliseconds; a burst of a kind lasts about three times as long. */
const HALF_LIFE_MS = 2_000;
/**
 * A priority gets the next start while it gets less than this share of the starts per request that all priorities get. The bound
 * is a quarter; the rest covers that a caller whose request is refused asks up to three times.
 */
const LEAST_START_SHARE = 0.4;
/** Recent requests of a priority below which that share isn't compared. */
const MIN_ASKED = 3;
/** Share of the requests of a service below which a route counts as not asked for. */
const MIN_SHARE = 0.005;

interface RouteDemand {
    route: Route;
    /** Decaying numbers of requests and of those that were sent to a target. */
    asked: number;
    started: number;
    /** Decaying numbers of long waits, by how they ended. */
    waitsSent: number;
    waitsRefused: number;
    /** Time that its requests take in a free slot at usual speed. */
    work: DurationEstimate;
}

const COUNTED_PARTS = ["asked", "started", "waitsSent", "waitsRefused"] as const;
type CountedPart = (typeof COUNTED_PARTS)[number];

/**
 * What this instance was recently asked for by the routes of one service, what it has started of it, and how much work the requests
 * of each route are.
 *
 * @example
 * demand.asked(route);
 * demand.isDue(route.priority);
 */
export class ServiceDemand {
    private readonly routes = new Map<string, RouteDemand>();
    /** By priority: starts of more urgent ones since its last start, counted while its requests find too little room. */
    private readonly higherStarts = new Map<number, number>();
    private readonly decay: DecayedRate;

    constructor(clock: Clock) {
        this.decay = new DecayedRate(clock, HALF_LIFE_MS);
    }

    /** Drops the routes that are no longer in the config. */
    retain(names: ReadonlySet<string>): void {
        [...this.routes.keys()].filter(name => !names.has(name)).forEach(name => this.routes.delete(name));
    }

    asked(route: Route): void {
        this.count(route, "asked");
    }

    /** Counts the first send of a request. */
    started(route: Route): void {
        this.count(route, "started");
        this.higherStarts.delete(route.priority);
        for (const [priority, starts] of this.higherStarts) {
            if (priority > route.priority) {
                this.higherStarts.set(priority, starts + 1);
            }
        }
    }

    /** Counts a request that found too little room. */
    heldBack({ priority }: Route): void {
        this.higherStarts.set(priority, this.higherStarts.get(priority) ?? 0);
    }

    /** Counts a wait that was so long that a refusal after it costs the caller. */
    longWaitEnded(route: Route, isSent: boolean): void {
        this.count(route, isSent ? "waitsSent" : "waitsRefused");
    }

    /** Share of the long waits of a priority that recently ended with a send; 1 if there were none. */
    waitSuccess(priority: number): number {
        const sum = (part: "waitsSent" | "waitsRefused") =>
            this.total(demand => (demand.route.priority === priority ? demand[part] : 0)) / this.decay.weight();
        return (sum("waitsSent") + 1) / (sum("waitsSent") + sum("waitsRefused") + 1);
    }

    /** Records the time of an answer in a free slot, in milliseconds at usual speed. */
    worked(route: Route, workMs: number): void {
        this.of(route).work.record(workMs);
    }

    /** Mean work of a route's requests, relative to that of all requests; 1 as long as it isn't known. */
    workOf(route: Route): number {
        return this.relativeWork(this.routes.get(route.name)?.work.meanMs);
    }

    /** The other routes that were recently asked for. */
    rivalsOf({ name }: Route): Rival[] {
        const total = this.total(({ asked }) => asked);
        return [...this.routes.values()]
            .filter(({ route, asked }) => route.name !== name && asked > total * MIN_SHARE)
            .map(({ route: { priority, targetLatencyMs }, asked, work }) => ({
                ...{ priority, targetLatencyMs, work: this.relativeWork(work.meanMs), share: asked / total },
            }));
    }

    /** Whether the next start goes to a priority although more urgent ones want it. */
    isDue(priority: number): boolean {
        if (isLowerStartDue(this.higherStarts.get(priority) ?? 0)) {
            return true;
        }
        const isOwn = ({ route }: RouteDemand) => route.priority === priority;
        const asked = this.total(demand => (isOwn(demand) ? demand.asked : 0));
        const started = this.total(demand => (isOwn(demand) ? demand.started : 0));
        const allAsked = this.total(demand => demand.asked);
        const allStarted = this.total(demand => demand.started);
        const isCompared = asked >= MIN_ASKED * this.decay.weight() && allAsked > asked;
        return isCompared && started / asked < (LEAST_START_SHARE * allStarted) / allAsked;
    }

    private count(route: Route, what: CountedPart): void {
        const demand = this.of(route);
        const factor = this.decay.rescale();
        if (factor !== 1) {
            this.routes.forEach(each => COUNTED_PARTS.forEach(part => (each[part] *= factor)));
        }
        demand[what] += this.decay.weight();
    }

    private of(route: Route): RouteDemand {
        const demand = this.routes.get(route.name) ?? {
            ...{ route, asked: 0, started: 0, waitsSent: 0, waitsRefused: 0, work: new DurationEstimate() },
        };
        demand.route = route;
        this.routes.set(route.name, demand);
        return demand;
    }

    private total(part: (demand: RouteDemand) => number): number {
        return [...this.routes.values()].reduce((sum, demand) => sum + part(demand), 0);
    }

    private relativeWork(meanMs: number | undefined): number {
        const known = [...this.routes.values()].filter(({ work }) => work.meanMs !== undefined);
        const asked = known.reduce((sum, demand) => sum + demand.asked, 0);
        const all = known.reduce((sum, { work, asked }) => sum + (work.meanMs ?? 0) * asked, 0) / asked;
        return meanMs === undefined || !(all > 0) ? 1 : meanMs / all;
    }
}
