import { err } from "neverthrow";
import { ASSIGNMENT_TABLE } from "../../src/process/gateway/keyAssigner.js";
import { DRAIN_MS, GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { MemoryRowStore } from "../support/memoryRowStore.js";
import { startScriptedTarget, type ScriptedTarget } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Interval of the requests in milliseconds. */
const INTERVAL_MS = 40;

describe("a target whose entry has been removed", () => {
    let store: MemoryRowStore;
    let instance: GatewayHarness;
    let targets: ScriptedTarget[];
    /** Whether calls for the owners of keys fail. */
    let areOwnersFailing: boolean;

    beforeEach(async () => {
        areOwnersFailing = false;
        targets = await Promise.all([0, 1].map(() => startScriptedTarget(arrival => arrival.answer())));
        store = new MemoryRowStore();
        const failing = <Call extends (table: string, ...rest: never[]) => Promise<unknown>>(call: Call): Call =>
            ((table: string, ...rest: never[]) =>
                areOwnersFailing && table === ASSIGNMENT_TABLE
                    ? Promise.resolve(err({ type: "platform-unavailable", detail: "down" }))
                    : call(table, ...rest)) as Call;
        store.changes = failing(store.changes.bind(store));
        store.snapshot = failing(store.snapshot.bind(store));
        store.put("op", "config", standInConfig(1));
        targets.forEach((target, index) => store.put("servers", `t${index}`, standInEntry(target)));
        instance = await GatewayHarness.join(store, "a1");
        await waitFor(async () => (await instance.request("GET", "/read/ready")).status === 200);
    });

    afterEach(async () => {
        instance.dispose();
        await Promise.all(targets.map(target => target.dispose()));
    });

    // The failing calls passed for an outage of the store, in which entries of living targets expire.
    it("gets no requests after its drain time while another table of the store can't be read", async () => {
        areOwnersFailing = true;
        // A held call for the owners ends with a change.
        store.put(ASSIGNMENT_TABLE, "none", {});
        await pause(2_500);
        store.drop("servers", "t0");
        const removedAt = performance.now();
        const late: number[] = [];
        const servedByOther = targets[1].arrivals.length;
        while (performance.now() < removedAt + 2 * DRAIN_MS) {
            areOwnersFailing = performance.now() < removedAt + DRAIN_MS / 2;
            const before = targets[0].arrivals.length;
            const sentAt = performance.now();
            expect((await instance.request("GET", "/read/1")).status).toBe(200);
            if (targets[0].arrivals.length > before) {
                late.push(Math.round(sentAt - removedAt));
            }
            await pause(INTERVAL_MS);
        }
        expect(targets[1].arrivals.length).toBeGreaterThan(servedByOther);
        expect(late.filter(ms => ms > DRAIN_MS)).toEqual([]);
    }, 60_000);
});
