import { afterAll, afterEach, beforeAll, expect, test } from "@jest/globals";
import { dispatcherOf } from "../support/dispatcherOf.js";
import { FaultMixHarness } from "../support/faultMixHarness.js";
import type { AtMostOnceCalls } from "../support/atMostOnceCalls.js";
import type { RouterCluster } from "../support/routerCluster.js";
import { pause } from "../support/waitFor.js";

/** Covers targets with and without grant checks, and the durable record. */
const SERVICES = ["orders", "labels", "payouts"] as const;
/** Three times the default duration of a promise, in milliseconds. */
const FREEZE_MS = 3_600;
/** Time for which a resumed instance still receives no rows from others, in milliseconds. */
const ISOLATED_AFTER_RESUME_MS = 700;

let harness: FaultMixHarness;
let router: RouterCluster;
let calls: AtMostOnceCalls;

beforeAll(async () => {
    harness = await FaultMixHarness.start(1);
    ({ router, calls } = harness);
    await harness.waitUntilRun(SERVICES);
}, 60_000);

afterEach(() => router.waitUntilOwned());

afterAll(() => harness.dispose());

/** Resumed with rows about its removal in its buffers, and without them, when only lease and target protect. */
const CASES = SERVICES.flatMap(service => [
    { service, isCut: false },
    { service, isCut: true },
]);

test.each(CASES)(
    "$service: a dispatcher resumed after a freeze (cut off: $isCut) doesn't run what another ran",
    async ({ service, isCut }) => {
        const { dispatcher, others, term } = await dispatcherOf(router, service, `${service}-d1-1`);
        const { program } = dispatcher.daemon;
        const isolate = (held: boolean) =>
            [dispatcher.peerProxy, dispatcher.platformProxy].forEach(proxy => {
                proxy.hold("toServer", held);
                proxy.hold("toClient", held);
            });
        // After an earlier takeover, new identifiers are refused for twice the clock skew.
        await calls.waitUntilServed(service, dispatcher);
        const ended = calls.requests(service, "ended");
        for (const request of ended) {
            expect((await calls.send(dispatcher.callers, request)).outcome).toBe("answered");
        }
        const running = calls.requests(service, "running", "serviceMs=600");
        const replies = running.map(request => calls.send(dispatcher.callers, request));
        await Promise.all(running.map(request => calls.started(request)));
        program.signal("SIGSTOP");
        const frozenAt = performance.now();
        isolate(isCut);
        try {
            // Buffered at the frozen instance, which still considers itself the dispatcher when it reads them.
            const buffered = calls.requests(service, "buffered");
            const early = buffered.map(request => calls.send(dispatcher.callers, request));
            await calls.waitUntilServed(service, others[0]);
            const taken = calls.requests(service, "taken");
            const late = taken.map(request => calls.send(dispatcher.callers, request));
            const again = await Promise.all(taken.map(request => calls.sendUntilSettled(others, request)));
            expect(again.map(({ outcome }) => outcome)).toEqual(taken.map(() => "answered"));
            await pause(Math.max(0, FREEZE_MS - (performance.now() - frozenAt)));
            program.signal("SIGCONT");
            if (isCut) {
                await pause(ISOLATED_AFTER_RESUME_MS);
                isolate(false);
            }
            const all = [...ended, ...running, ...buffered, ...taken];
            await Promise.all(all.map(request => calls.sendUntilSettled(others, request)));
            await Promise.all([...replies, ...early, ...late]);
            await Promise.all(all.map(request => calls.sendUntilSettled([dispatcher, ...others], request)));
            expect(ended.map(request => calls.commits(request))).toEqual(ended.map(() => 1));
            expect(taken.map(request => calls.commits(request))).toEqual(taken.map(() => 1));
            expect((await dispatcherOf(router, service, `${service}-d1-1`)).term).toBeGreaterThan(term);
            expect(calls.violations()).toEqual([]);
        } finally {
            isolate(false);
            program.signal("SIGCONT");
        }
    },
);
