import { seededRandom } from "../../../test/support/seededRandom.js";
import type { Route } from "../routeConfig.js";
import { WeightedSplit } from "../weightedSplit.js";

const route = (weights: readonly number[]): Route => ({
    name: "divided",
    host: "shop.example",
    prefix: "/divided/",
    repeatability: "idempotent",
    bulk: false,
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    maxAttempts: 2,
    priority: 1,
    backends: weights.map((weight, index) => ({ service: `service-${index}`, weight })),
});

const SPLITS = 4_000;
/** Four standard deviations of the mean of that many independent choices. */
const MAX_DIFFERENCE = 0.032;

describe("WeightedSplit", () => {
    // With few requests for each instance and config, the first service of a route got nearly all.
    it.each([
        [[50, 50], 1],
        [[50, 50], 2],
        [[90, 10], 1],
        [[90, 10], 4],
        [[10, 90], 1],
        [[60, 30, 10], 1],
        [[60, 30, 10], 3],
        [[1, 0, 3], 1],
        [[0.7, 0.2, 0.1], 2],
    ])(
        "gives each service its share for weights %j of the first %d requests of many instances",
        (weights, requests) => {
            const random = seededRandom(5);
            const counts = weights.map(() => 0);
            for (let instance = 0; instance < SPLITS; instance++) {
                const split = new WeightedSplit(random);
                for (let request = 0; request < requests; request++) {
                    counts[Number(split.next(route(weights)).split("-")[1])]++;
                }
            }
            const total = weights.reduce((sum, weight) => sum + weight, 0);
            counts.forEach((count, index) =>
                expect(Math.abs(count / (SPLITS * requests) - weights[index] / total)).toBeLessThan(MAX_DIFFERENCE),
            );
        },
    );

    it.each([1, 2, 7])("keeps the shares of all requests while the weights change after each %d", requests => {
        const random = seededRandom(9);
        const split = new WeightedSplit(random);
        let first = 0;
        let expected = 0;
        for (let config = 0; config < 500; config++) {
            const weight = Math.floor(random() * 99) + 1;
            const divided = route([weight, 100 - weight]);
            split.retain([divided]);
            for (let request = 0; request < requests; request++) {
                first += split.next(divided) === "service-0" ? 1 : 0;
                expected += weight / 100;
                expect(Math.abs(first - expected)).toBeLessThanOrEqual(1.5);
            }
        }
    });

    it("gives no request to a service whose weight has become zero", () => {
        const split = new WeightedSplit(seededRandom(3));
        split.next(route([1, 99]));
        const divided = route([100, 0]);
        split.retain([divided]);
        const services = Array.from({ length: 20 }, () => split.next(divided));
        expect(new Set(services)).toEqual(new Set(["service-0"]));
    });

    it("divides the requests of routes with the same name apart", () => {
        const split = new WeightedSplit(() => 0);
        const two = route([50, 50]);
        const three = { ...route([1, 1, 1]), prefix: "/other/" };
        const services = Array.from({ length: 3 }, () => [split.next(two), split.next(three)]);
        expect(services.map(([, service]) => service).sort()).toEqual(["service-0", "service-1", "service-2"]);
    });
});
