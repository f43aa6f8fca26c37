import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Names of the platform's messages and settings. Only `platform/` and tests may contain them. */
const WIRE_NAMES =
    /[Xx]-(Upstream|upstream|Not-E|not-e|Shard|shard|Expect|expect|Handover|handover)|rows-(tx|get|feed)|route_type|target_latency_ms|max_attempts|warmup_left_ms|hold_ms|node_name|SASSAFRASLOOM_CONFIG/;

/** Modules that `platform/` may import from the product: types, helpers of codecs, and the ones that `main.ts` starts. */
const ALLOWED_IMPORTS = new Set([
    "src/connection/gatewayServer",
    "src/connection/peerProtocol",
    "src/connection/httpCalls",
    "src/process/runtime/clock",
    "src/process/gateway/configKeeper",
    "src/process/gateway/gateway",
    "src/process/gateway/keyMap",
    "src/process/gateway/ownershipCalls",
    "src/process/gateway/retryLimit",
    "src/process/gateway/rowStore",
    "src/process/gateway/targetEntry",
    "src/process/observability/logger",
    "src/process/runtime/parseJson",
    "src/process/store/platformError",
    "src/request/gatewayCall",
    "src/version/routeConfig",
]);

const MAX_PLATFORM_LINES = 800;

const sources = (folder: string): string[] =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(name => name.endsWith(".ts") && !name.includes("__tests__"))
        .map(name => join(folder, name));

describe("platform/", () => {
    it("guards against names of the platform's wire format outside platform/", () => {
        const offenders = sources("src").filter(file => WIRE_NAMES.test(readFileSync(file, "utf8")));
        expect(offenders).toEqual([]);
    });

    it("guards against imports of decision logic", () => {
        const imports = sources("platform").flatMap(file =>
            [...readFileSync(file, "utf8").matchAll(/from "\.\.\/(src\/[^"]+)\.js"/g)].map(([, path]) => path),
        );
        expect(imports.length).toBeGreaterThan(0);
        expect(imports.filter(path => !ALLOWED_IMPORTS.has(path))).toEqual([]);
    });

    it("guards against an adapter that grows beyond its line limit", () => {
        const lines = sources("platform").reduce((sum, file) => sum + readFileSync(file, "utf8").split("\n").length, 0);
        expect(lines).toBeLessThan(MAX_PLATFORM_LINES);
    });
});
