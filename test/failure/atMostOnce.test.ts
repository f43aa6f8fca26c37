import { afterAll, beforeAll, expect, test } from "@jest/globals";
import { taggedBody } from "../support/answerBody.js";
import { FaultMixHarness } from "../support/faultMixHarness.js";
import { FaultProxy } from "../support/faultProxy.js";
import { identifierAhead, type AtMostOnceCalls } from "../support/atMostOnceCalls.js";
import type { RouterCluster } from "../support/routerCluster.js";

const SERVICES = ["orders", "labels", "payouts"] as const;
/** Size of an answer that fits into the record and arrives in several chunks. */
const ANSWER_BYTES = 12_000;

let harness: FaultMixHarness;
let router: RouterCluster;
let calls: AtMostOnceCalls;

beforeAll(async () => {
    harness = await FaultMixHarness.start(1);
    ({ router, calls } = harness);
    await harness.waitUntilRun(SERVICES);
}, 60_000);

afterAll(() => harness.dispose());

test.each(SERVICES)(
    "%s: one identifier sent through all instances at once doesn't run several times",
    async service => {
        const requests = Array.from({ length: 20 }, (_, index) =>
            calls.request(service, `k${index}`, { query: "serviceMs=20" }),
        );
        const replies = await Promise.all(
            requests.map(request => Promise.all(router.instances.map(({ callers }) => calls.send(callers, request)))),
        );
        replies.forEach(sends => {
            expect(sends.map(({ outcome }) => outcome)).toEqual(["answered", "answered", "answered"]);
            expect(new Set(sends.map(({ body }) => body.toString())).size).toBe(1);
        });
        expect(requests.map(request => calls.commits(request))).toEqual(requests.map(() => 1));
        expect(calls.violations()).toEqual([]);
    },
);

test.each(SERVICES)(
    "%s: a request whose answer was truncated on the way to the caller doesn't run again or get a partial answer",
    async service => {
        for (const [index, first] of router.instances.entries()) {
            const proxy = await FaultProxy.listen(first.callers);
            try {
                proxy.cutAfter("toClient", 4_000);
                const request = calls.request(service, `cut${index}`, { query: `bytes=${ANSWER_BYTES}` });
                const cut = await calls.send(proxy.address, request);
                expect(cut.whole).toBe(false);
                const second = router.instances[(index + 1) % router.instances.length];
                const again = await calls.send(second.callers, request);
                expect(again.outcome).toBe("answered");
                expect(again.body.equals(taggedBody(request.identifier, ANSWER_BYTES))).toBe(true);
                expect(calls.commits(request)).toBe(1);
            } finally {
                await proxy.dispose();
            }
        }
        expect(calls.violations()).toEqual([]);
    },
);

test.each(SERVICES)(
    "%s: an answer truncated on the way from the target isn't forwarded as complete, and doesn't run again",
    async service => {
        const target = router.cluster.targets.find(candidate => candidate.service === service);
        target?.proxy?.cutAfter("toClient", 4_000);
        const request = calls.request(service, "cut", { query: `bytes=${ANSWER_BYTES}` });
        const [first, second] = router.instances;
        const cut = await calls.send(first.callers, request);
        expect(cut.whole && cut.outcome === "answered").toBe(false);
        expect(cut.outcome).not.toBe("not-run");
        const again = await calls.send(second.callers, request);
        expect(again.outcome).toBe("unknown");
        expect(calls.commits(request)).toBe(1);
        expect(calls.violations()).toEqual([]);
    },
);

test("a lost reply to the write of the durable record doesn't make a request run twice or be lost", async () => {
    const before = (await router.cluster.platform.statistics()).table.lostReplies;
    const requests = Array.from({ length: 6 }, (_, index) => calls.request("payouts", `lost${index}`));
    for (const [index, request] of requests.entries()) {
        await router.cluster.platform.control({ table: { loseReplies: 1 } });
        const first = router.instances[index % router.instances.length];
        // The second send arrives while the result of the write is unknown.
        const [reply] = await Promise.all([
            calls.send(first.callers, request),
            index % 2 === 0
                ? calls.send(router.instances[(index + 1) % router.instances.length].callers, request)
                : undefined,
        ]);
        expect(["answered", "not-run", "unknown"]).toContain(reply.outcome);
        await router.cluster.platform.control({ table: { loseReplies: 0 } });
        const settled = await calls.sendUntilSettled(router.instances, request);
        expect(settled.outcome).toBe("answered");
    }
    expect((await router.cluster.platform.statistics()).table.lostReplies - before).toBeGreaterThanOrEqual(6);
    expect(requests.map(request => calls.commits(request))).toEqual(requests.map(() => 1));
    expect(calls.violations()).toEqual([]);
});

test.each(SERVICES)("%s: an identifier of a caller whose clock is wrong doesn't run", async service => {
    const future = calls.request(service, "clock", { identifier: identifierAhead(3_600_000) });
    const old = calls.request(service, "clock", { identifier: identifierAhead(-3_600_000) });
    for (const { callers } of router.instances) {
        const early = await calls.send(callers, future);
        expect([early.outcome, early.problem]).toEqual(["invalid", "identifier-from-future"]);
        const late = await calls.send(callers, old);
        expect([late.outcome, late.problem]).toEqual(["unknown", "identifier-too-old"]);
    }
    expect([...calls.executions(future), ...calls.executions(old)]).toEqual([]);
});

test.each(SERVICES)("%s: an identifier slightly ahead of the clock runs once at any instance", async service => {
    const request = calls.request(service, "ahead", { identifier: identifierAhead(400) });
    for (const { callers } of router.instances) {
        expect((await calls.send(callers, request)).outcome).toBe("answered");
    }
    expect(calls.commits(request)).toBe(1);
    expect(calls.violations()).toEqual([]);
});
