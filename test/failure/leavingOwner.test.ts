import { leaseKey, LEASE_TABLE } from "../../src/process/gateway/assignerLease.js";
import { freePorts } from "../support/freePorts.js";
import { DRAIN_MS, GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { MemoryRowStore } from "../support/memoryRowStore.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

const LEAVING = "Server-Leaving: 1";

/** Requests for the keys of an owner that leaves are refused from the end of its drain time until the keys have moved. */
describe("an owner of keys that states that it leaves while its entry says that it is ready", () => {
    let store: MemoryRowStore;
    let instances: GatewayHarness[];
    let targets: ScriptedTarget[];
    /** Index of the leaving target, and whether an answer carries the statement. */
    let leaving: number | undefined;
    let isStatedIn: (arrival: TargetArrival) => boolean;
    let handovers: number;

    const isOwnershipCall = ({ url }: TargetArrival): boolean => url === "/grant" || url === "/release";

    const answer = (index: number, arrival: TargetArrival): void => {
        const statement = leaving === index && isStatedIn(arrival) ? [LEAVING] : [];
        if (arrival.url === "/release") {
            arrival.answer({ headers: [...statement, `X-Handover: h${handovers++}`] });
            return;
        }
        arrival.answer({ body: `t${index}`, headers: statement });
    };

    beforeEach(async () => {
        leaving = undefined;
        handovers = 0;
        targets = await Promise.all([0, 1].map(index => startScriptedTarget(arrival => answer(index, arrival))));
        store = new MemoryRowStore();
        const config = standInConfig(1) as { services: { rows: unknown[][] } };
        config.services.rows = [["stock", "/healthz", 130, true]];
        store.put("op", "config", config);
        targets.forEach((target, index) => store.put("servers", `t${index}`, standInEntry(target)));
        const ports = await freePorts(2);
        instances = [
            await GatewayHarness.join(store, "a0", ports[0]),
            await GatewayHarness.join(store, "a1", ports[1]),
        ];
        await waitFor(async () => (await instances[0].request("GET", "/read/ready")).status === 200);
        await waitFor(async () => (await instances[1].request("GET", "/read/ready")).status === 200);
    });

    afterEach(async () => {
        instances.forEach(instance => instance.dispose());
        await Promise.all(targets.map(target => target.dispose()));
    });

    /** The instances by whether they assign keys. */
    const roles = (): { assigner: GatewayHarness; other: GatewayHarness } => {
        const { instance } = store.read(LEASE_TABLE, leaseKey(0)) as { instance: string };
        const assigner = instance === "a0" ? 0 : 1;
        return { assigner: instances[assigner], other: instances[1 - assigner] };
    };

    const ownerAt = async (instance: GatewayHarness): Promise<number> =>
        Number((await instance.request("GET", "/read/x")).body.slice(1));

    /** Waits until the keys have moved from the leaving target with its handover. */
    const moved = async (from: number): Promise<void> => {
        const receiver = targets[1 - from];
        await waitFor(
            () =>
                receiver.arrivals.some(
                    ({ url, body }) => url === "/grant" && typeof JSON.parse(body).handover === "string",
                ),
            DRAIN_MS,
        );
    };

    it("loses them in its drain time if only another instance than the assigner has read the statement", async () => {
        const { other } = roles();
        // The other instance may look at the lease only now.
        await pause(1_000);
        const owner = await ownerAt(other);
        isStatedIn = arrival => !isOwnershipCall(arrival);
        leaving = owner;
        expect(await ownerAt(other)).toBe(owner);
        await moved(owner);
        await waitFor(async () => (await ownerAt(other)) === 1 - owner, DRAIN_MS);
    });

    it("loses them in its drain time if no request reaches it, since its answers to renewals state it, too", async () => {
        const { assigner } = roles();
        const owner = await ownerAt(assigner);
        isStatedIn = isOwnershipCall;
        leaving = owner;
        await moved(owner);
        await waitFor(async () => (await ownerAt(assigner)) === 1 - owner, DRAIN_MS);
    });
});
