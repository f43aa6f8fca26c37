import { GatewayHarness, standInConfig } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { waitFor } from "../support/waitFor.js";

/** Time allowed for requests of the test routes, in milliseconds. */
const TIMEOUT_MS = 4_000;
/** Number of requests that fill the retry budget of the instance. */
const FILLING_REQUESTS = 80;
/** Number of requests after the one whose answer is missing. */
const LATER_REQUESTS = 30;

const ROUTES = [
    ["fetch", "shop.example", "/fetch/", "idempotent", TIMEOUT_MS, 400, 2, "stock", 2, null],
    ["write", "shop.example", "/write/", "non_idempotent", TIMEOUT_MS, 400, 2, "stock", 2, null],
];

describe("a target that answers nothing on one connection and answers on others", () => {
    let harness: GatewayHarness;
    let targets: ScriptedTarget[];
    /** The request that its target keeps. */
    let kept: TargetArrival | undefined;

    beforeEach(async () => {
        kept = undefined;
        const answer = (arrival: TargetArrival) => {
            if (kept === undefined && arrival.url.endsWith("/hung")) {
                kept = arrival;
            } else {
                arrival.answer({ headers: ["X-Upstream-Load: 0,0,3"] });
            }
        };
        targets = await Promise.all([1, 2].map(() => startScriptedTarget(answer)));
        harness = await GatewayHarness.start(
            Object.fromEntries(targets.map((target, index) => [`t${index}`, target])),
            standInConfig(1, ROUTES),
        );
        for (let count = 0; count < FILLING_REQUESTS; count++) {
            await harness.request("GET", "/fetch/filling");
        }
    });

    afterEach(async () => {
        harness.dispose();
        await Promise.all(targets.map(target => target.dispose()));
    });

    const hung = (): TargetArrival[] =>
        targets.flatMap(({ arrivals }) => arrivals).filter(({ url }) => url.endsWith("/hung"));
    const sendLater = async () => {
        await waitFor(() => kept !== undefined);
        for (let count = 0; count < LATER_REQUESTS; count++) {
            await harness.request("GET", "/fetch/later");
        }
    };
    /** Requests that arrived on the connection of the one that is kept. */
    const onItsConnection = (): string[] =>
        targets
            .flatMap(({ arrivals }) => arrivals)
            .filter(({ socket }) => socket === kept?.socket)
            .map(({ url }) => url);

    it("gets an idempotent request again long before its time has passed, and nothing more on that connection", async () => {
        const startedAt = performance.now();
        const asked = harness.request("GET", "/fetch/hung");
        await sendLater();
        expect((await asked).status).toBe(200);
        expect(performance.now() - startedAt).toBeLessThan(TIMEOUT_MS / 4);
        expect(hung().length).toBe(2);
        expect(onItsConnection().slice(-1)).toEqual(["/fetch/hung"]);
    });

    it("gets a request that isn't idempotent once, and nothing more on that connection", async () => {
        const asked = harness.request("POST", "/write/hung");
        await sendLater();
        expect(onItsConnection().slice(-1)).toEqual(["/write/hung"]);
        expect((await asked).status).toBe(504);
        expect(hung().length).toBe(1);
    });
});
