import type { Route } from "./routeConfig.js";

/**
 * Distributes the requests of each route to its backends by weight. Smooth weighted round robin keeps each share within
 * one request of its weight at any time, unlike a random choice.
 *
 * @example
 * const split = new WeightedSplit();
 * split.next(route); // "stock" in nine of ten cases with weights of 90 and 10
 */
export class WeightedSplit {
    private readonly currentWeights = new Map<string, number[]>();

    constructor(private readonly random: () => number = Math.random) {}

    /** The service to which the next request of the route is sent. */
    next(route: Route): string {
        const { backends } = route;
        if (backends.length === 1) {
            return backends[0].service;
        }
        const total = backends.reduce((sum, { weight }) => sum + weight, 0);
        const currentWeights = this.currentWeightsOf(route.name, backends.length, total);
        let best = 0;
        for (let index = 0; index < backends.length; index++) {
            currentWeights[index] += backends[index].weight;
            if (currentWeights[index] > currentWeights[best]) {
                best = index;
            }
        }
        currentWeights[best] -= total;
        return backends[best].service;
    }

    /** Resets the current weights, for example when a new version changes the weights. */
    reset(): void {
        this.currentWeights.clear();
    }

    /** A random phase prevents instances from sending requests to a backend of low weight at the same time. */
    private currentWeightsOf(route: string, length: number, total: number): number[] {
        let currentWeights = this.currentWeights.get(route);
        if (currentWeights === undefined) {
            const phase = this.random() * total;
            currentWeights = Array.from({ length }, (_, index) => (index === 0 ? phase : -phase / (length - 1)));
            this.currentWeights.set(route, currentWeights);
        }
        return currentWeights;
    }
}
