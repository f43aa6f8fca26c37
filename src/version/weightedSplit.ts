import type { Route } from "./routeConfig.js";

/**
 * Divides the requests of each route among its back ends by weight. Smooth weighted round robin keeps each share within
 * one request of its weight at any moment, which random draws don't.
 *
 * @example
 * const split = new WeightedSplit();
 * split.next(route); // "stock" nine times of ten at weights 90 and 10
 */
export class WeightedSplit {
    private readonly credits = new Map<string, number[]>();

    constructor(private readonly random: () => number = Math.random) {}

    /** The service that takes the next request of the route. */
    next(route: Route): string {
        const { backends } = route;
        if (backends.length === 1) {
            return backends[0].service;
        }
        const total = backends.reduce((sum, { weight }) => sum + weight, 0);
        const credits = this.creditsOf(route.name, backends.length, total);
        let best = 0;
        for (let index = 0; index < backends.length; index++) {
            credits[index] += backends[index].weight;
            if (credits[index] > credits[best]) {
                best = index;
            }
        }
        credits[best] -= total;
        return backends[best].service;
    }

    /** Forgets the counts, as when a new version changes weights. */
    reset(): void {
        this.credits.clear();
    }

    /** A random phase keeps the instances from sending the rare back end's requests at the same moments. */
    private creditsOf(route: string, length: number, total: number): number[] {
        let credits = this.credits.get(route);
        if (credits === undefined) {
            const phase = this.random() * total;
            credits = Array.from({ length }, (_, index) => (index === 0 ? phase : -phase / (length - 1)));
            this.credits.set(route, credits);
        }
        return credits;
    }
}
