import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { PlatformHandle } from "../../../../test/support/platformHandle.js";
import { PlatformStandIn } from "../../../../test/support/platformStandIn.js";
import { systemClock } from "../../runtime/clock.js";
import { PlatformTable } from "../platformTable.js";

describe("PlatformTable", () => {
    let standIn: PlatformStandIn;
    let platform: PlatformHandle;
    let table: PlatformTable;

    beforeEach(async () => {
        standIn = new PlatformStandIn();
        platform = new PlatformHandle(await standIn.listen());
        table = new PlatformTable({ url: platform.url, clock: systemClock, timeoutMs: 500, resolutionLimitMs: 5_000 });
    });

    afterEach(async () => {
        await table.dispose();
        await standIn.dispose();
    });

    const create = (key: string) => table.transact([{ key, version: 0 }], [{ key, value: { name: key } }]);
    const committed = (...rows: object[]) => ({ value: { type: "committed", rows } });

    test("guards against a lost reply that is reported as a conflict or whose write is applied twice", async () => {
        await platform.control({ table: { loseReplies: 1 } });
        expect(await create("a")).toMatchObject(committed({ key: "a", version: 1, value: { name: "a" } }));
        expect(standIn.statistics().table).toMatchObject({ lostReplies: 1, revision: 1, writes: 2 });
    });

    test("guards against reporting a removal with a lost reply as a conflict, since deleted rows carry no attempt", async () => {
        await create("member");
        await platform.control({ table: { loseReplies: 1 } });
        const removal = await table.transact(
            [{ key: "member", version: 1 }],
            [
                { key: "member", value: undefined },
                { key: "marker", value: { by: "a1" } },
            ],
        );
        expect(removal).toMatchObject(committed({ key: "marker", version: 2 }, { key: "member", version: 2 }));
    });

    test("guards against reporting a conflict as a commit, with and without a lost reply of the winner", async () => {
        await create("a");
        const other = new PlatformTable({ url: platform.url, clock: systemClock, timeoutMs: 500 });
        await platform.control({ table: { loseReplies: 1 } });
        const change = (from: PlatformTable, name: string) =>
            from.transact([{ key: "a", version: 1 }], [{ key: "a", value: { name } }]);
        const results = await Promise.all([change(table, "first"), change(other, "second")]);
        await other.dispose();
        const types = results.map(result => result.map(({ type }) => type).unwrapOr("conflict"));
        expect([...types].sort()).toEqual(["committed", "conflict"]);
        const winner = types[0] === "committed" ? "first" : "second";
        results.forEach(result => {
            expect(result).toMatchObject({ value: { rows: [{ key: "a", version: 2, value: { name: winner } }] } });
        });
    });

    test("guards against reporting an unknown result in an outage although nothing was done, and the reverse", async () => {
        await platform.control({ table: { outage: "unavailable" } });
        expect(await create("a")).toMatchObject({ error: { type: "platform-unavailable" } });
        expect(table.counters.writes).toBe(1);
        expect(await table.scan("")).toMatchObject({ error: { type: "platform-unavailable" } });
        await platform.control({ table: { outage: "hang" } });
        const short = new PlatformTable({
            url: platform.url,
            clock: systemClock,
            timeoutMs: 50,
            resolutionLimitMs: 100,
        });
        const unknown = await short.transact([{ key: "a", version: 0 }], [{ key: "a", value: {} }]);
        await short.dispose();
        expect(unknown).toMatchObject({ error: { type: "platform-unknown" } });
        await standIn.dispose();
        // A client without connections: if an open connection breaks, the result is unknown.
        const fresh = new PlatformTable({ url: platform.url, clock: systemClock });
        const refused = await fresh.transact([{ key: "a", version: 0 }], [{ key: "a", value: {} }]);
        await fresh.dispose();
        expect(refused).toMatchObject({ error: { type: "platform-unavailable" } });
    });

    test("guards against an unknown result that a subsequent outage turns into a failure", async () => {
        await platform.control({ table: { loseReplies: 1 } });
        const result = create("a");
        while (standIn.statistics().table.lostReplies === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        standIn.control({ table: { outage: "unavailable" } });
        while (table.counters.writes < 3) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        standIn.control({ table: { outage: "off" } });
        expect(await result).toMatchObject(committed({ key: "a", version: 1 }));
    });
});
