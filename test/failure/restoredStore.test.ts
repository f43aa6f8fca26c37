import { GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { MemoryRowStore } from "../support/memoryRowStore.js";
import { startScriptedTarget, type ScriptedTarget } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Time within which a confirmed config must be in force, and after which a leaving target gets nothing, in milliseconds. */
const APPLY_MS = 2_000;

/** Time that targets take for a request, in milliseconds; requests at the same time are spread over all targets. */
const SERVICE_MS = 20;
/** Rounds of simultaneous requests after which each usable target has answered. */
const ROUNDS = 10;

/** A route that a later config adds. */
const ADDED_ROUTE = ["added", "shop.example", "/added/", "idempotent", 1_500, 400, 2, "stock", 3, null];

/** An instance that trusts the copy routes by an older config and to targets that have left, and misses later changes. */
describe("a store that comes back from an older copy", () => {
    let store: MemoryRowStore;
    let instances: GatewayHarness[];
    let targets: ScriptedTarget[];

    beforeEach(async () => {
        store = new MemoryRowStore();
        targets = await Promise.all(
            [0, 1, 2].map(index =>
                startScriptedTarget(arrival => setTimeout(() => arrival.answer({ body: `t${index}` }), SERVICE_MS)),
            ),
        );
        store.put("op", "config", standInConfig(3));
        targets.slice(0, 2).forEach((_, index) => register(index));
        instances = [await GatewayHarness.join(store, "a0"), await GatewayHarness.join(store, "a1")];
    });

    afterEach(async () => {
        instances.forEach(instance => instance.dispose());
        await Promise.all(targets.map(target => target.dispose()));
    });

    const register = (index: number, state = "ready") =>
        store.put("servers", `t${index}`, standInEntry(targets[index], { state }));

    const statusOf = async (path: string, instance = instances[0]) => (await instance.request("GET", path)).status;

    /** Waits until all instances use the config. */
    const applied = (version: number) =>
        waitFor(
            () => instances.every(({ log }) => log.some(line => line.includes(`Config ${version} is in force`))),
            APPLY_MS,
        );

    /** Targets that answer requests to all instances. */
    const answering = async (): Promise<string[]> => {
        const answered = new Set<string>();
        for (let round = 0; round < ROUNDS; round++) {
            const answers = await Promise.all(
                Array.from({ length: 6 }, (_, index) =>
                    instances[index % instances.length].request("GET", `/read/${round}-${index}`),
                ),
            );
            expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
            answers.forEach(({ body }) => answered.add(body));
        }
        return [...answered].sort();
    };

    it("keeps a confirmed config that is gone from the copy, and applies the next one in time", async () => {
        const copy = store.copy();
        store.put("op", "config", standInConfig(5, [ADDED_ROUTE]));
        await applied(5);
        store.restore(copy);
        for (let round = 0; round < 5; round++) {
            expect(await statusOf("/added/x")).toBe(200);
            await pause(50);
        }
        store.put("op", "config", standInConfig(5, [ADDED_ROUTE]));
        await pause(100);
        const later = ["later", ...ADDED_ROUTE.slice(1, 2), "/later/", ...ADDED_ROUTE.slice(3)];
        store.put("op", "config", standInConfig(9, [ADDED_ROUTE, later]));
        await applied(9);
        expect(await Promise.all(instances.map(instance => statusOf("/later/x", instance)))).toEqual([200, 200]);
    });

    it("applies a config that is written when the new history has passed the old one", async () => {
        const copy = store.copy();
        store.put("op", "config", standInConfig(4));
        await applied(4);
        store.fault = "down";
        await pause(300);
        store.restore(copy);
        store.put("op", "config", standInConfig(6, [ADDED_ROUTE]));
        for (let change = 0; change < 10; change++) {
            store.put("servers", "other", change);
        }
        store.fault = undefined;
        await applied(6);
        expect(await statusOf("/added/x")).toBe(200);
    });

    it("applies a config after two drills during which an instance got no answers", async () => {
        const copy = store.copy();
        store.put("op", "config", standInConfig(5, [ADDED_ROUTE]));
        await applied(5);
        store.fault = "down";
        await pause(300);
        store.restore(copy);
        store.put("op", "config", standInConfig(4));
        store.restore(copy);
        store.fault = undefined;
        await pause(1_000);
        expect(await statusOf("/added/x")).toBe(200);
        store.put("op", "config", standInConfig(8, [ADDED_ROUTE]));
        await applied(8);
    });

    it("serves from the copy in an instance that starts after the restore, until the config is written again", async () => {
        const copy = store.copy();
        store.put("op", "config", standInConfig(5, [ADDED_ROUTE]));
        await applied(5);
        store.restore(copy);
        instances.push(await GatewayHarness.join(store, "a2"));
        expect(await statusOf("/read/x", instances[2])).toBe(200);
        store.put("op", "config", standInConfig(5, [ADDED_ROUTE]));
        await applied(5);
        expect(await statusOf("/added/x", instances[2])).toBe(200);
    });

    it("sends nothing to a target whose leaving is gone from the copy, and is written again", async () => {
        const copy = store.copy();
        register(1, "draining");
        await pause(APPLY_MS);
        expect(await answering()).toEqual(["t0"]);
        store.restore(copy);
        for (let round = 0; round < 5; round++) {
            expect(await answering()).toEqual(["t0"]);
            await pause(50);
        }
        register(1, "draining");
        await pause(200);
        store.drop("servers", "t1");
        await pause(APPLY_MS);
        expect(await answering()).toEqual(["t0"]);
    });

    it("sends nothing to a target that has left and is in the copy", async () => {
        const copy = store.copy();
        store.drop("servers", "t1");
        await pause(APPLY_MS);
        expect(await answering()).toEqual(["t0"]);
        store.restore(copy);
        await pause(700);
        expect(await answering()).toEqual(["t0"]);
        store.drop("servers", "t1");
        await pause(APPLY_MS);
        expect(await answering()).toEqual(["t0"]);
    });

    it("doesn't take a target that the copy lacks for one that has left while it may register again", async () => {
        const copy = store.copy();
        register(2);
        const logged = (text: string) => instances.every(({ log }) => log.some(line => line.includes(text)));
        await waitFor(() => logged("Target t2 is usable"), APPLY_MS);
        store.restore(copy);
        await pause(600);
        register(2);
        // Beyond the time after which the target would have been removed.
        await pause(APPLY_MS + 500);
        expect(logged("The store was restored from a copy")).toBe(true);
        expect(instances.flatMap(({ log }) => log.filter(line => line.includes("has left")))).toEqual([]);
        // Instances prefer targets that they know to be fast, so the others leave.
        [0, 1].forEach(index => register(index, "draining"));
        await waitFor(async () => (await answering()).join() === "t2");
    });

    it("reports the era in the metrics", async () => {
        store.restore(store.copy());
        const metrics = async () => {
            const response = await fetch(`http://127.0.0.1:${instances[0].metricsPort}/metrics`);
            return response.text();
        };
        await waitFor(async () => (await metrics()).includes("sassafrasloom_store_era 1"), 5_000);
    });
});
