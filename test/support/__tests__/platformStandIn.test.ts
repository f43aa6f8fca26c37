import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { request } from "undici";
import { LaggingList } from "../laggingList.js";
import { PlatformHandle } from "../platformHandle.js";
import { PlatformStandIn } from "../platformStandIn.js";
import { Programs } from "../programs.js";
import { ReplyLoss } from "../replyLoss.js";
import { TableState, type TableRow } from "../tableState.js";

describe("TableState", () => {
    const put = (key: string, version: number | undefined, value: unknown = {}) => ({
        attempt: "a",
        conditions: version === undefined ? [] : [{ key, version }],
        writes: [{ key, value }],
    });

    test("guards against a partially applied transaction when one of its conditions fails", () => {
        const table = new TableState();
        table.transact(put("a", 0));
        const answer = table.transact({
            attempt: "b",
            conditions: [
                { key: "b", version: 0 },
                { key: "a", version: 9 },
                { key: "c", version: 3 },
            ],
            writes: [{ key: "b", value: 1 }],
        });
        expect(answer).toEqual({
            type: "conflict",
            conflicts: [
                { key: "a", version: 1, value: {} },
                { key: "c", version: 0 },
            ],
        });
        expect([table.read(["b"]), table.revision]).toEqual([[], 1]);
    });

    test("guards against a deleted row that is read as live or whose version falls when it is written again", () => {
        const table = new TableState();
        table.transact(put("a", 0));
        table.transact({ attempt: "b", conditions: [{ key: "a", version: 1 }], writes: [{ key: "a", delete: true }] });
        expect([table.read(["a"]), table.scan("", "", 10).rows, table.changes(1, ["a"])]).toEqual([
            [],
            [],
            [{ key: "a", version: 2 }],
        ]);
        expect(table.transact(put("a", 2)).type).toBe("conflict");
        expect(table.transact(put("a", 0))).toMatchObject({ type: "committed", rows: [{ key: "a", version: 3 }] });
    });

    test("guards against changes or pages that miss rows, by replicating random writes", () => {
        const write = fc.record({ key: fc.constantFrom("a/1", "a/2", "b/1", "b/2"), remove: fc.boolean() });
        fc.assert(
            fc.property(fc.array(fc.tuple(write, fc.boolean()), { maxLength: 60, size: "max" }), steps => {
                const table = new TableState();
                const replica = new Map<string, TableRow>();
                let since = 0;
                const follow = () => {
                    table.changes(since, ["a/", "b/"]).forEach(row => replica.set(row.key, row));
                    since = table.revision;
                };
                for (const [{ key, remove }, poll] of steps) {
                    const writes = [remove ? { key, delete: true as const } : { key, value: since }];
                    table.transact({ attempt: "a", conditions: [], writes });
                    if (poll) {
                        follow();
                    }
                }
                follow();
                const live = [...replica.values()].filter(row => row.value !== undefined);
                const paged: TableRow[] = [];
                for (let after: string | undefined = ""; after !== undefined;) {
                    const page: { rows: TableRow[]; next: string | undefined } = table.scan("", after, 1);
                    paged.push(...page.rows);
                    after = page.next;
                }
                expect(paged).toEqual(live.sort((x, y) => (x.key < y.key ? -1 : 1)));
            }),
            { seed: 3 },
        );
    });
});

test("guards against an instance list that shows changes before its lag has passed", () => {
    let now = 0;
    const list = new LaggingList(() => now);
    list.change({ name: "s1", role: "target", domain: "d1", address: "127.0.0.1:1", state: "live" });
    list.lagMs = 1_000;
    now = 5_000;
    list.change({ name: "s1", state: "leaving" });
    now = 5_500;
    list.change({ name: "s1", remove: true });
    const shownAt = (at: number) => {
        now = at;
        return list.shown().map(({ state }) => state);
    };
    expect([shownAt(5_999), shownAt(6_000), shownAt(6_500)]).toEqual([["live"], ["leaving"], []]);
});

test("guards against reply losses that differ between runs of the same seed", () => {
    const draws = () => {
        const loss = new ReplyLoss();
        loss.set({ probability: 0.3, seed: 5 });
        return Array.from({ length: 200 }, () => loss.losesNext());
    };
    expect(draws()).toEqual(draws());
    expect(draws().filter(lost => lost).length).toBeGreaterThan(30);
    expect(draws().filter(lost => lost).length).toBeLessThan(90);
});

describe("PlatformStandIn", () => {
    let standIn: PlatformStandIn;
    let platform: PlatformHandle;

    const send = async (method: "GET" | "PUT" | "POST", path: string, body?: string, timeoutMs = 10_000) => {
        const response = await request(platform.url + path, { method, body, signal: AbortSignal.timeout(timeoutMs) });
        return { status: response.statusCode, text: await response.body.text() };
    };
    const transaction = JSON.stringify({
        attempt: "a",
        conditions: [{ key: "a", version: 0 }],
        writes: [{ key: "a", value: { attempt: "a" } }],
    });

    beforeEach(async () => {
        standIn = new PlatformStandIn();
        platform = new PlatformHandle(await standIn.listen());
    });

    afterEach(async () => {
        await standIn.dispose();
    });

    test("guards against a lost reply whose write is not applied, and against losing more replies than requested", async () => {
        await platform.control({ table: { loseReplies: 1 } });
        await expect(send("POST", "/table/transactions", transaction, 1_000)).rejects.toThrow("aborted");
        expect(JSON.parse((await send("GET", "/table/rows?key=a&key=b")).text)).toEqual({
            revision: 1,
            rows: [{ key: "a", version: 1, value: { attempt: "a" } }],
        });
        expect((await send("POST", "/table/transactions", transaction)).status).toBe(409);
        const { table } = await platform.statistics();
        expect(table).toMatchObject({ reads: 1, writes: 2, conflicts: 1, lostReplies: 1, rows: 1 });
    });

    test("guards against an outage that executes operations, ends by itself, or affects the other parts", async () => {
        for (const outage of ["unavailable", "reset", "hang"] as const) {
            await platform.control({ table: { outage } });
            const sent = send("POST", "/table/transactions", transaction, 200);
            if (outage === "unavailable") {
                expect((await sent).status).toBe(503);
            } else {
                await expect(sent).rejects.toThrow();
            }
        }
        expect((await send("PUT", "/objects/x%2Fy", "content")).status).toBe(201);
        expect((await send("PUT", "/objects/x%2Fy", "content")).status).toBe(200);
        expect(await send("GET", "/objects/x%2Fy")).toEqual({ status: 200, text: "content" });
        expect((await send("GET", "/objects/z")).status).toBe(404);
        await platform.control({ table: { outage: "off" } });
        expect(JSON.parse((await send("GET", "/table/rows?prefix=")).text)).toEqual({ revision: 0, rows: [] });
    });

    test("guards against invalid control input that is silently ignored", async () => {
        await expect(platform.control({ tabel: { outage: "off" } } as never)).rejects.toThrow("400");
        await expect(platform.changeInstance({ name: "s1", state: "leaving" })).rejects.toThrow("400");
    });
});

test("guards against a platform program that prints no addresses or outlives its disposal", async () => {
    const programs = new Programs();
    const program = await programs.start("test/support/platformMain.js", []);
    program.signal("SIGSTOP");
    await programs.dispose();
    expect(await program.ended).toEqual({ code: null, signal: "SIGKILL" });
    await expect(programs.start("test/support/missing.js", [])).rejects.toThrow("ended before it listened");
});
