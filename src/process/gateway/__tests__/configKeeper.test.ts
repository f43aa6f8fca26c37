import { err, ok } from "neverthrow";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import type { RouteConfig } from "../../../version/routeConfig.js";
import { ConfigKeeper } from "../configKeeper.js";

const config = (version: number, service = "stock"): RouteConfig => ({
    version,
    routes: [
        {
            name: "read",
            host: "shop.example",
            prefix: "/read/",
            repeatability: "idempotent",
            bulk: false,
            timeoutMs: 1_000,
            targetLatencyMs: 100,
            maxAttempts: 2,
            priority: 1,
            backends: [{ service, weight: 1 }],
        },
    ],
    services: [
        { name: "stock", connectionLimit: 100, keyed: false },
        { name: "other", connectionLimit: 100, keyed: false },
    ],
    limits: { headerBytes: 1_000, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
});

const createKeeper = () => {
    const applied: string[] = [];
    const keeper = new ConfigKeeper({
        clock: new ManualClock(),
        logger: SILENT_LOGGER,
        knownUntil: () => -Infinity,
        onChange: ({ config: { version, routes } }) => applied.push(`${version} ${routes[0].backends[0].service}`),
    });
    return { keeper, applied };
};

describe("ConfigKeeper", () => {
    it("keeps a config that a restored store lacks, until a newer one is written", () => {
        const { keeper, applied } = createKeeper();
        for (const version of [13, 17, 13, 17, 19]) {
            keeper.apply(ok(config(version)));
        }
        expect(applied).toEqual(["13 stock", "17 stock", "19 stock"]);
    });

    it("keeps the last good config when the restored store has one that can't be read", () => {
        const { keeper, applied } = createKeeper();
        keeper.apply(ok(config(17)));
        keeper.apply(err({ type: "bad-config", detail: "no routes" }));
        expect(keeper.current?.config.version).toBe(17);
        expect(applied).toHaveLength(1);
    });

    it("doesn't keep a lost content of a version when the operator has given the version to another one", () => {
        const { keeper, applied } = createKeeper();
        keeper.apply(ok(config(17)));
        keeper.apply(ok(config(13)));
        keeper.apply(ok(config(17, "other")));
        expect(applied).toEqual(["17 stock", "17 other"]);
    });
});
