import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { connect } from "node:net";
import { request } from "undici";
import { v7 as uuidv7 } from "uuid";
import { taggedBody } from "../answerBody.js";
import { executionsOf } from "../executionChecker.js";
import { FaultProxy } from "../faultProxy.js";
import { RequestClient, type TestRequest } from "../requestClient.js";
import { TestCluster, type ClusterTarget } from "../testCluster.js";

interface ProbeAnswer {
    boot: string;
    clock: number;
    load: number;
    state: string;
}

describe("target stand-in", () => {
    let cluster: TestCluster;
    let client: RequestClient;
    let checked: ClusterTarget;
    let unchecked: ClusterTarget;
    let sequence = 0;

    const probe = async (target: ClusterTarget): Promise<ProbeAnswer> => {
        const response = await request(`http://${target.address}/sassafrasloom/probe`);
        return (await response.body.json()) as ProbeAnswer;
    };
    const grant = async (term: number, validUntil: number, explicitSequence = ++sequence, end = 100) => {
        const response = await request(`http://${checked.address}/sassafrasloom/grant`, {
            method: "PUT",
            body: JSON.stringify({
                term,
                sequence: explicitSequence,
                slices: [[0, end]],
                validUntil,
                dispatcher: "a1",
            }),
        });
        return { status: response.statusCode, body: (await response.body.json()) as Record<string, unknown> };
    };
    const send = (target: ClusterTarget, sent: Partial<TestRequest> & { term?: number; position?: number } = {}) =>
        client.send({
            address: target.address,
            path: "/work",
            method: "POST",
            ...sent,
            headers: {
                "sassafrasloom-term": String(sent.term ?? 5),
                "sassafrasloom-position": String(sent.position ?? 7),
                ...sent.headers,
            },
        });
    const deadlineAt = (at: number) => ({ "sassafrasloom-deadline-at": String(at) });
    const endsOf = (target: ClusterTarget) =>
        cluster
            .events()
            .filter(event => event.target === target.name && ["commit", "abandon", "refuse"].includes(event.type))
            .map(event => ("reason" in event ? `${event.type} ${event.reason}` : event.type));
    const until = async (condition: () => boolean) => {
        const giveUpAt = performance.now() + 10_000;
        while (!condition()) {
            if (performance.now() > giveUpAt) {
                throw new Error("The condition did not come true within 10 s.");
            }
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    };

    beforeEach(async () => {
        sequence = 0;
        client = new RequestClient();
        cluster = await TestCluster.start({
            domains: ["d1"],
            proxied: true,
            services: [
                { name: "stock", targetsPerDomain: 1, options: { slots: 2, drainLingerMs: 0 } },
                { name: "orders", targetsPerDomain: 1, options: { checksGrants: false } },
            ],
        });
        [checked, unchecked] = cluster.targets;
    });

    afterEach(async () => {
        await client.dispose();
        await cluster.dispose();
    });

    test("guards against running outside the granted term, slices and time", async () => {
        const reasonOf = async (sent: Parameters<typeof send>[1]) =>
            (await send(checked, sent)).headers["sassafrasloom-not-run"];
        expect(await reasonOf({})).toBe("stale-term");
        const { clock, boot } = await probe(checked);
        expect(await grant(5, clock + 60_000)).toMatchObject({ status: 200, body: { boot, term: 5, sequence: 1 } });
        expect((await send(checked)).status).toBe(200);
        expect([await reasonOf({ term: 4 }), await reasonOf({ term: 6 })]).toEqual(["stale-term", "stale-term"]);
        expect(await reasonOf({ position: 100 })).toBe("not-owner");
        expect(await reasonOf({ headers: deadlineAt(clock) })).toBe("deadline-passed");
        expect(await grant(4, clock + 60_000)).toMatchObject({ status: 409, body: { reason: "stale", term: 5 } });
        expect(await grant(5, clock + 60_000, 1)).toMatchObject({ status: 409, body: { sequence: 1 } });
        expect(await grant(6, clock)).toMatchObject({ status: 200, body: { term: 6 } });
        expect([await reasonOf({ term: 5 }), await reasonOf({ term: 6 })]).toEqual(["stale-term", "grant-expired"]);
    });

    test("guards against a commit after a lost grant, its expiry, the deadline or a cancellation during execution", async () => {
        const { clock } = await probe(checked);
        await grant(5, clock + 60_000);
        const kept = send(checked, { path: "/work?serviceMs=1000", position: 3 });
        const lost = send(checked, { path: "/work?serviceMs=1000", position: 7 });
        await until(() => executionsOf(cluster.events()).length === 2);
        await grant(6, (await probe(checked)).clock + 60_000, 100, 5);
        expect((await kept).status).toBe(200);
        const answer = await lost;
        expect([answer.status, answer.headers["sassafrasloom-abandoned"]]).toEqual([503, "not-owner"]);
        expect(answer.headers["sassafrasloom-not-run"]).toBeUndefined();
        const committed = executionsOf(cluster.events()).filter(({ effect }) => effect === "committed");
        expect(committed).toMatchObject([{ position: 3, term: 6 }]);
        sequence = 100;

        await grant(6, (await probe(checked)).clock + 1_000);
        await send(checked, { term: 6, path: "/work?serviceMs=1500" });
        await grant(6, (await probe(checked)).clock + 60_000);
        const late = (await probe(checked)).clock + 1_000;
        await send(checked, { term: 6, path: "/work?serviceMs=5000", headers: deadlineAt(late) });
        const abort = new AbortController();
        const cancelled = send(checked, { term: 6, path: "/work?serviceMs=5000", signal: abort.signal });
        await until(() => executionsOf(cluster.events()).length === 5);
        abort.abort();
        await cancelled;
        await until(() => endsOf(checked).length === 5);
        expect(endsOf(checked)).toEqual([
            // The grant without the position aborts this request immediately, before the other request commits.
            "abandon not-owner",
            "commit",
            "abandon grant-expired",
            "abandon deadline-passed",
            "abandon cancelled",
        ]);
    });

    test("guards against a target that runs requests that were buffered while it was frozen", async () => {
        // The connections are opened before the freeze, like those of a dispatcher.
        await grant(5, (await probe(checked)).clock + 60_000);
        await Promise.all([send(checked), send(unchecked)]);
        const running = send(unchecked, { path: "/work?serviceMs=2200", headers: deadlineAt(1e12) });
        const runningLate = send(unchecked, {
            path: "/work?serviceMs=2200",
            headers: deadlineAt((await probe(unchecked)).clock + 2_300),
        });
        await until(() => executionsOf(cluster.events()).length === 4);
        const grantUntil = (await probe(checked)).clock + 2_000;
        await grant(5, grantUntil);
        const deadline = (await probe(unchecked)).clock + 2_000;
        cluster.targets.forEach(({ program }) => program.signal("SIGSTOP"));
        const buffered = [send(checked), send(unchecked, { headers: deadlineAt(deadline) })];
        const bufferedGrant = grant(5, grantUntil + 10, 50);
        await new Promise(resolve => setTimeout(resolve, 2_500));
        cluster.targets.forEach(({ program }) => program.signal("SIGCONT"));
        const reasons = (await Promise.all(buffered)).map(({ headers }) => headers["sassafrasloom-not-run"]);
        expect(reasons).toEqual(["grant-expired", "deadline-passed"]);
        expect((await bufferedGrant).status).toBe(200);
        expect((await send(checked)).headers["sassafrasloom-not-run"]).toBe("grant-expired");
        expect([(await running).status, (await runningLate).headers["sassafrasloom-abandoned"]]).toEqual([
            200,
            "deadline-passed",
        ]);
    });

    test("guards against more work than slots, new work during a drain, and a drain that aborts running work", async () => {
        await grant(5, (await probe(checked)).clock + 60_000);
        const path = "/work?serviceMs=1000&bytes=100000&chunkMs=5";
        const running = [1, 2].map(() => send(checked, { path, identifier: uuidv7() }));
        await until(() => executionsOf(cluster.events()).length === 2);
        expect((await send(checked)).headers["sassafrasloom-not-run"]).toBe("shed");
        await cluster.controlTarget(checked, { drain: true });
        expect((await send(checked)).headers["sassafrasloom-not-run"]).toBe("draining");
        for (const reply of await Promise.all(running)) {
            expect([reply.status, reply.whole]).toEqual([200, true]);
            expect(reply.body.equals(taggedBody(reply.identifier ?? "", 100_000))).toBe(true);
        }
        expect(await checked.program.ended).toEqual({ code: 0, signal: null });
    });

    test("guards against a crash that leaves no log, keeps accepting connections, or keeps its boot identifier", async () => {
        await cluster.controlTarget(unchecked, { crash: [{ body: "poison" }] });
        const before = await probe(unchecked);
        const reply = await send(unchecked, { body: "some poison", identifier: "new" });
        expect([reply.status, reply.whole]).toEqual([undefined, false]);
        expect(await unchecked.program.ended).toEqual({ code: 70, signal: null });
        expect(executionsOf(cluster.events())).toMatchObject([{ identifier: reply.identifier, effect: "none-yet" }]);
        await until(() => unchecked.proxy?.openConnections === 0);
        const [host, port] = unchecked.address.split(":");
        const refused = await new Promise<unknown>(resolve =>
            connect(Number(port), host).once("error", resolve).once("connect", resolve),
        );
        expect(refused).toMatchObject({ code: "ECONNREFUSED" });
        await cluster.restartTarget(unchecked);
        expect((await probe(unchecked)).boot).not.toBe(before.boot);
    });

    test("guards against overriding probe fields that must stay true, and against a truncated body that counts as complete", async () => {
        await cluster.controlTarget(unchecked, { lie: { load: 0.9, state: "cold" } });
        const [first, second] = [await probe(unchecked), await probe(unchecked)];
        expect(first).toMatchObject({ load: 0.9, state: "cold", boot: second.boot });
        expect(second.clock - first.clock).toBeGreaterThan(5);
        const proxy = unchecked.proxy as FaultProxy;
        for (const path of ["/work?bytes=100000", "/work?bytes=100000&chunked=1"]) {
            proxy.cutAfter("toClient", 50_000);
            const reply = await send(unchecked, { path });
            expect([reply.status, reply.whole]).toEqual([200, false]);
            expect(reply.body.byteLength).toBeGreaterThan(0);
        }
    });
});
