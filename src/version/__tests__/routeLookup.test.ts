import type { Route, RouteConfig } from "../routeConfig.js";
import { RouteLookup } from "../routeLookup.js";
import { WeightedSplit } from "../weightedSplit.js";

const route = (name: string, host: string, prefix: string, backends = [{ service: "stock", weight: 1 }]): Route => ({
    name,
    host,
    prefix,
    repeatability: "idempotent",
    bulk: false,
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    maxAttempts: 2,
    priority: 1,
    backends,
});

const config = (routes: Route[]): RouteConfig => ({
    version: 1,
    routes,
    services: [{ name: "stock", connectionLimit: 130, keyed: true }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

describe("RouteLookup", () => {
    const lookup = new RouteLookup(
        config([
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("all", "b.example", "/"),
        ]),
    );

    it.each([
        ["a.example", "/x/1", "short"],
        ["a.example", "/x/y/1?z=/q/", "long"],
        ["A.Example:8080", "/x/y/", "long"],
        ["a.example", "/x", undefined],
        ["a.example", "/other/1", undefined],
        ["b.example", "/anything", "all"],
        ["c.example", "/x/1", undefined],
    ])("finds the longest prefix for %s%s", (host, url, name) => {
        expect(lookup.find(host, url)?.name).toBe(name);
    });
});

describe("WeightedSplit", () => {
    it("keeps each backend's share within one request of its weight at any time", () => {
        const split = new WeightedSplit(() => 0.3);
        const backends = [
            { service: "stock", weight: 90 },
            { service: "orders", weight: 10 },
        ];
        const divided = route("divided", "a.example", "/", backends);
        let orders = 0;
        for (let count = 1; count <= 500; count++) {
            orders += split.next(divided) === "orders" ? 1 : 0;
            expect(Math.abs(orders - count / 10)).toBeLessThanOrEqual(1);
        }
    });
});
