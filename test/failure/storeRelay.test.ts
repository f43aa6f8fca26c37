import { leaseKey, LEASE_TABLE } from "../../src/process/gateway/assignerLease.js";
import { freePorts } from "../support/freePorts.js";
import { GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { MemoryRowStore } from "../support/memoryRowStore.js";
import { startScriptedTarget, type ScriptedTarget } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Time in which all instances come to hear the one that relays changes, in milliseconds. */
const SETTLING_MS = 2_500;
const ROUTE_COLUMNS_AFTER_PREFIX = ["idempotent", 1_500, 400, 2, "stock", 3, null];

describe("changes of the store that one instance relays", () => {
    const names = ["a1", "a2", "a3", "a4"];
    let store: MemoryRowStore;
    let target: ScriptedTarget;
    let instances: Map<string, GatewayHarness>;

    beforeEach(async () => {
        target = await startScriptedTarget(arrival => arrival.answer());
        store = new MemoryRowStore();
        store.put("op", "config", standInConfig(1));
        store.put("servers", "t1", standInEntry(target));
        const ports = await freePorts(names.length);
        instances = new Map();
        for (const [index, name] of names.entries()) {
            instances.set(name, await GatewayHarness.join(store, name, ports[index]));
        }
        await pause(SETTLING_MS);
    });
    afterEach(async () => {
        instances.forEach(instance => instance.dispose());
        await target.dispose();
    });

    const addRoute = (version: number, name: string) =>
        store.put(
            "op",
            "config",
            standInConfig(version, [[name, "shop.example", `/${name}/`, ...ROUTE_COLUMNS_AFTER_PREFIX]]),
        );
    const serve = async (name: string): Promise<number> => {
        const answers = await Promise.all([...instances.values()].map(each => each.request("GET", `/${name}/1`)));
        return answers.filter(({ status }) => status === 200).length;
    };
    const sourceName = () => (store.read(LEASE_TABLE, leaseKey(0)) as { instance: string }).instance;

    it("are in force at all instances, also when the source is lost or the store was away", async () => {
        const change = async (version: number, name: string) => {
            addRoute(version, name);
            await waitFor(async () => (await serve(name)) === instances.size);
        };
        await change(2, "second");

        const source = sourceName();
        instances.get(source)?.dispose();
        instances.delete(source);
        await change(3, "third");

        store.fault = "down";
        await pause(SETTLING_MS);
        store.fault = undefined;
        await change(4, "fourth");

        await waitFor(() => instances.has(sourceName()));
        await pause(SETTLING_MS);
        await change(5, "fifth");
    }, 60_000);

    it("end the use of a target that leaves, and begin that of another", async () => {
        const other = await startScriptedTarget(arrival => arrival.answer({ body: "other" }));
        store.put("servers", "t2", standInEntry(other));
        store.put("servers", "t1", standInEntry(target, { state: "draining" }));
        await waitFor(async () => {
            const before = target.arrivals.length;
            return (await serve("read")) === instances.size && target.arrivals.length === before;
        });
        await other.dispose();
    }, 30_000);
});
