import { GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Time after which changed entries have been read and keys have been assigned, in milliseconds. */
const APPLIED_MS = 4_500;

/** A config in which the service `keyed` has one owner per key. */
const config = (): unknown => {
    const given = standInConfig(1, [
        ["keyed", "shop.example", "/keyed/", "idempotent", 1_500, 400, 2, "keyed", 3, null],
    ]) as { services: { rows: unknown[][] } };
    given.services.rows.push(["keyed", "/healthz", 130, true]);
    return given;
};

type Entry = { address: string; born: number; info: object; status: object };

/** Entries of another writer, made of the entry of a sound target. */
const ODD: [string, string, (entry: Entry) => object][] = [
    ["a port above 65535", "odd", entry => ({ ...entry, address: "127.0.0.1:99999" })],
    ["a host that no URL can have", "odd", entry => ({ ...entry, address: "%%:80" })],
    ["a line break in its id", "odd\r\nX-More: 1", entry => ({ ...entry, address: "127.0.0.1:9" })],
    [
        "more slots than any process has",
        "odd",
        entry => ({ ...entry, address: "127.0.0.1:9", info: { ...entry.info, slots: Number.MAX_SAFE_INTEGER } }),
    ],
];

describe("an odd entry among those of the targets", () => {
    let harness: GatewayHarness;
    let targets: ScriptedTarget[];

    beforeEach(async () => {
        targets = await Promise.all([1, 2].map(() => startScriptedTarget(arrival => arrival.answer())));
        harness = await GatewayHarness.start({ t0: targets[0] }, config());
        harness.putTarget("k0", targets[1], "keyed");
    });

    afterEach(async () => {
        harness.dispose();
        await Promise.all(targets.map(target => target.dispose()));
    });

    it.each(ODD)(
        "guards against requests and grants that end the process, with %s",
        async (_, id, change) => {
            const entryOf = (service: string) => standInEntry(targets[0], { service }) as Entry;
            harness.store.put("servers", id, change(entryOf("stock")));
            harness.store.put("servers", `${id}-keyed`, change(entryOf("keyed")));
            await pause(APPLIED_MS);
            const statuses: number[] = [];
            for (let round = 0; round < 20; round++) {
                statuses.push((await harness.request("GET", "/read/1")).status);
            }
            expect(statuses).toEqual(Array(20).fill(200));
            await waitFor(async () => (await harness.request("GET", "/keyed/1")).status === 200);
            expect(targets[1].arrivals.filter(({ url }) => url === "/grant").length).toBeGreaterThan(0);
            const used = harness.log.filter(line => line.includes("is usable") && !/Target [kt]0 /.test(line));
            expect(used).toEqual([]);
            expect(harness.log.some(line => line.includes("can't be decoded"))).toBe(true);

            harness.putTarget("late", targets[0], "stock");
            harness.store.drop("servers", "t0");
            await waitFor(() => harness.log.some(line => line.includes("Target late is usable")));
            expect((await harness.request("GET", "/read/1")).status).toBe(200);
        },
        30_000,
    );

    it.each<[string, (entry: Entry) => object]>([
        ["a service that no config names", entry => ({ ...entry, info: { ...entry.info, service: "unnamed" } })],
        ["no version", entry => ({ ...entry, info: { ...entry.info, version: undefined } })],
        ["no sequence number", entry => ({ ...entry, status: { ...entry.status, seq: undefined } })],
        ["all fields of its service", entry => entry],
    ])(
        "guards against an entry that ends the target whose address it names, with %s",
        async (_, change) => {
            const isKeyedServed = async () => (await harness.request("GET", "/keyed/1")).status === 200;
            await waitFor(isKeyedServed);
            /** Grants to the target by their fencing tokens; the keys of one that counts as ended get new tokens. */
            const fences = () =>
                new Set(
                    targets[1].arrivals
                        .filter(({ url }) => url === "/grant")
                        .map(({ body }) => (JSON.parse(body) as { fence: number }).fence),
                );
            const before = fences();
            [targets[0], targets[1]].forEach((target, index) => {
                const sound = standInEntry(target, { service: ["stock", "keyed"][index] }) as Entry;
                harness.store.put("servers", `odd-${index}`, change({ ...sound, born: sound.born + 1_000 }));
            });
            await pause(APPLIED_MS);
            expect(await isKeyedServed()).toBe(true);
            expect((await harness.request("GET", "/read/1")).status).toBe(200);
            expect(harness.log.filter(line => /Target [tk]0 has (left|ended)/.test(line))).toEqual([]);
            expect(fences()).toEqual(before);
        },
        30_000,
    );

    it("prefers the later of two targets with one address, and stops using one for which another has answered", async () => {
        await waitFor(async () => (await harness.request("GET", "/read/1")).status === 200);
        targets[0].script = arrival => {
            if (arrival.headers.get("x-expect-instance") === "t0") {
                arrival.answer({ status: 421, headers: ["X-Instance-Id: later", "X-Not-Executed: 1"] });
            } else {
                arrival.answer();
            }
        };
        const sound = standInEntry(targets[0]) as Entry;
        harness.store.put("servers", "later", { ...sound, born: sound.born + 1_000 });
        await waitFor(() => harness.log.some(line => line.includes("Target later is usable")));
        const orders = async () => {
            const statuses: number[] = [];
            for (let round = 0; round < 20; round++) {
                statuses.push((await harness.request("POST", `/order/${round}`, { body: "order" })).status);
            }
            return statuses;
        };
        const disowned = () =>
            targets[0].arrivals.filter(({ headers }) => headers.get("x-expect-instance") === "t0").length;
        const before = disowned();
        expect(await orders()).toEqual(Array(20).fill(200));
        expect(disowned()).toBe(before);
        harness.store.drop("servers", "later");
        await waitFor(() => harness.log.some(line => line.includes("Target later has left")));
        expect(await orders()).toEqual(Array(20).fill(503));
        expect(disowned()).toBe(before + 1);
        expect(harness.log.some(line => line.includes("Target t0 has left"))).toBe(true);
    }, 30_000);

    it("doesn't take an answer that names another target for the end of its target, unless it rejects the request", async () => {
        targets[0].script = arrival => arrival.answer({ headers: ["X-Instance-Id: later"] });
        for (let round = 0; round < 5; round++) {
            expect((await harness.request("GET", "/read/1")).status).toBe(200);
        }
        expect(harness.log.filter(line => line.includes("has left"))).toEqual([]);
    });
});
