import type { Route } from "./routeConfig.js";

/** Number of choices among which a split begins at random if its weights don't repeat after fewer. */
const MAX_PERIOD = 1_000;

type Backend = Route["backends"][number];

/** How many requests each service of a route is short of its share, by service. */
type Deficits = Map<string, number>;

const choose = (deficits: Deficits, backends: readonly Backend[], total: number): string => {
    let chosen = backends[0].service;
    let largest = -Infinity;
    for (const { service, weight } of backends) {
        const deficit = (deficits.get(service) ?? 0) + weight / total;
        deficits.set(service, deficit);
        if (deficit > largest) {
            largest = deficit;
            chosen = service;
        }
    }
    deficits.set(chosen, largest - 1);
    return chosen;
};

const totalOf = (backends: readonly Backend[]): number => backends.reduce((sum, { weight }) => sum + weight, 0);

/** Identifies a route by the requests that it gets, since names aren't unique. */
const identityOf = ({ host, prefix }: Route): string => `${host.toLowerCase()}${prefix}`;

/**
 * Distributes the requests of each route to its backends by weight. Smooth weighted round robin keeps each share within
 * one request of its weight at any time, unlike a random choice. Its state doesn't depend on the weights, so a new config, with
 * other weights, too, continues the distribution.
 *
 * @example
 * const split = new WeightedSplit();
 * split.next(route); // "stock" in nine of ten cases with weights of 90 and 10
 */
export class WeightedSplit {
    private readonly deficits = new Map<string, Deficits>();

    constructor(private readonly random: () => number = Math.random) {}

    /** The service to which the next request of the route is sent. */
    next(route: Route): string {
        const { backends } = route;
        if (backends.length === 1) {
            return backends[0].service;
        }
        const weighted = backends.filter(({ weight }) => weight > 0);
        const total = totalOf(weighted);
        return choose(this.deficitsOf(route, weighted, total), weighted, total);
    }

    /** Removes the state of routes that no longer exist, and of services that no longer get requests of a route. */
    retain(routes: readonly Route[]): void {
        const divided = new Map(
            routes.filter(({ backends }) => backends.length > 1).map(each => [identityOf(each), each]),
        );
        for (const [identity, deficits] of this.deficits) {
            const weighted = divided.get(identity)?.backends.filter(({ weight }) => weight > 0) ?? [];
            const services = new Set(weighted.map(({ service }) => service));
            const isSame = services.size === deficits.size && [...services].every(service => deficits.has(service));
            if (!isSame) {
                this.deficits.delete(identity);
            }
        }
    }

    /** A random start prevents instances from choosing the same service at the same time. */
    private deficitsOf(route: Route, backends: readonly Backend[], total: number): Deficits {
        const identity = identityOf(route);
        let deficits = this.deficits.get(identity);
        if (deficits === undefined) {
            deficits = new Map();
            // Whole weights repeat after as many choices as their sum, so each beginning is as likely as its share.
            const isRepeating = backends.every(({ weight }) => Number.isInteger(weight)) && total <= MAX_PERIOD;
            const skipped = Math.floor(this.random() * (isRepeating ? total : MAX_PERIOD));
            for (let choice = 0; choice < skipped; choice++) {
                choose(deficits, backends, total);
            }
            this.deficits.set(identity, deficits);
        }
        return deficits;
    }
}
