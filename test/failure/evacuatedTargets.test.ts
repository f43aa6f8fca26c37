import { freePorts } from "../support/freePorts.js";
import { GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { MemoryRowStore } from "../support/memoryRowStore.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Time from the store's acknowledgement of the row in which requests may still arrive, in milliseconds. */
const EVACUATE_MS = 5_000;
/** Time within which an instance applies what the operator has written, in milliseconds. */
const READ_MS = 2_000;
const ROW = "evacuate/wels";

/** The entry of a target in a failure domain. */
const entryIn = (target: ScriptedTarget, zone: string): unknown => {
    const entry = standInEntry(target) as { info: object };
    return { ...entry, info: { ...entry.info, zone } };
};

const isRequest = ({ url }: TargetArrival): boolean => url.startsWith("/read/");

describe("targets of a failure domain that is evacuated by a row of the store", () => {
    let store: MemoryRowStore;
    let instances: GatewayHarness[];
    let targets: ScriptedTarget[];

    /** Prepares targets in some failure domains, of a service with keys or without. */
    const prepare = async (zones: readonly string[], isKeyed: boolean): Promise<void> => {
        instances = [];
        let handovers = 0;
        targets = await Promise.all(
            zones.map(zone =>
                startScriptedTarget(arrival =>
                    arrival.answer({
                        body: zone,
                        headers: arrival.url === "/release" ? [`X-Handover: ${zone}-${handovers++}`] : [],
                    }),
                ),
            ),
        );
        store = new MemoryRowStore();
        const config = standInConfig(1) as { services: { rows: unknown[][] } };
        config.services.rows = [["stock", "/healthz", 130, isKeyed || null]];
        store.put("op", "config", config);
        targets.forEach((target, index) => store.put("servers", `t${index}`, entryIn(target, zones[index])));
    };
    const join = async (name: string, port?: number): Promise<GatewayHarness> => {
        const instance = await GatewayHarness.join(store, name, port);
        instances.push(instance);
        return instance;
    };
    const requestsAt = (index: number): number => targets[index].arrivals.filter(isRequest).length;
    const knows = ({ log }: GatewayHarness): boolean => log.some(line => line.includes("wels is being evacuated"));

    afterEach(async () => {
        instances.forEach(instance => instance.dispose());
        await Promise.all(targets.map(target => target.dispose()));
    });

    it("guards against an instance that is ready before it has read the rows", async () => {
        await prepare(["wels", "linz"], false);
        store.put("op", ROW, {});
        const instance = await join("a1");
        expect(knows(instance)).toBe(true);
        for (let count = 0; count < 10; count++) {
            expect((await instance.request("GET", "/read/x")).body).toBe("linz");
        }
        expect(requestsAt(0)).toBe(0);
        expect((await metricsOf(instance)).includes('sassafrasloom_evacuated_domains{domain="wels"} 1')).toBe(true);
    });

    it("guards against requests from an instance that has started long after the writing of the row", async () => {
        await prepare(["wels"], false);
        store.put("op", ROW, {});
        const instance = await join("a1");
        expect((await instance.request("GET", "/read/x")).status).toBe(503);
        expect(requestsAt(0)).toBe(0);
    });

    it("guards against requests after the time for it, and against refusals once the row is removed", async () => {
        await prepare(["wels"], false);
        const instance = await join("a1");
        store.put("op", ROW, {});
        const acknowledgedAt = performance.now();
        await waitFor(() => knows(instance), READ_MS);
        expect((await instance.request("GET", "/read/last-choice")).status).toBe(200);
        let lastAt = 0;
        while (performance.now() - acknowledgedAt < EVACUATE_MS + 500) {
            const before = requestsAt(0);
            await instance.request("GET", "/read/x");
            lastAt = requestsAt(0) > before ? performance.now() : lastAt;
            await pause(20);
        }
        expect(lastAt - acknowledgedAt).toBeLessThan(EVACUATE_MS);
        const refused = await instance.request("GET", "/read/x");
        expect([refused.status, /retry-after: /i.test(refused.head)]).toEqual([503, true]);
        store.drop("op", ROW);
        await waitFor(async () => (await instance.request("GET", "/read/x")).status === 200, READ_MS);
    });

    it("guards against keys that stay there, also at an instance that gets the row from another one", async () => {
        await prepare(["wels", "linz"], true);
        const ports = await freePorts(2);
        const [first, second] = [await join("a0", ports[0]), await join("a1", ports[1])];
        for (const instance of [first, second]) {
            await waitFor(async () => (await instance.request("GET", "/read/x")).status === 200);
        }
        await waitFor(() => instances.some(({ log }) => log.some(line => line.includes("are relayed"))), 20_000);
        store.put("op", ROW, {});
        await waitFor(() => knows(first) && knows(second), READ_MS);
        await waitFor(
            () => instances.some(({ log }) => log.some(line => line.includes("wels owns no keys of service stock"))),
            EVACUATE_MS,
        );
        expect(targets[0].arrivals.some(({ url }) => url === "/release")).toBe(true);
        const handovers = targets[1].arrivals.filter(({ url, body }) => url === "/grant" && body.includes("wels-"));
        expect(handovers.length).toBeGreaterThan(0);
        const before = requestsAt(0);
        for (const instance of [first, second]) {
            await waitFor(async () => (await instance.request("GET", "/read/x")).body === "linz");
        }
        await pause(500);
        expect((await first.request("GET", "/read/x")).body).toBe("linz");
        expect(requestsAt(0)).toBe(before);
    });
});

const metricsOf = async ({ metricsPort }: GatewayHarness): Promise<string> =>
    (await fetch(`http://127.0.0.1:${metricsPort}/metrics`)).text();
