import { freePorts } from "../support/freePorts.js";
import { GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { MemoryRowStore } from "../support/memoryRowStore.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Limit that targets of these tests state, in requests per second. */
const LIMIT = 2;
const WINDOW_MS = 4_000;
/** Requests that the limit allows in a window. */
const ALLOWED = 1.5 * (WINDOW_MS / 1_000) * LIMIT + 5;
/** Time for which requests are sent, in milliseconds, and the pause between them at each instance. */
const DURATION_MS = 6_000;
const GAP_MS = 100;

/** An arrival with its time. */
interface TimedArrival {
    at: number;
    arrival: TargetArrival;
}

const mostInWindow = (times: readonly number[]): number =>
    Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + WINDOW_MS).length));

describe("a target that states a limit on its requests", () => {
    let store: MemoryRowStore;
    let instances: GatewayHarness[];
    let targets: ScriptedTarget[];
    let arrivals: TimedArrival[];
    /** Value of the header by target; `undefined` while the target states none. */
    let stated: (string | undefined)[];

    const start = async (instanceCount: number, targetCount: number, keyed = false): Promise<void> => {
        arrivals = [];
        stated = Array.from({ length: targetCount }, () => undefined);
        targets = await Promise.all(
            stated.map((_, index) =>
                startScriptedTarget(arrival => {
                    if (arrival.url === "/grant" || arrival.url === "/release") {
                        arrival.answer();
                        return;
                    }
                    arrivals.push({ at: performance.now(), arrival });
                    const limit = stated[index];
                    arrival.answer({
                        body: `t${index}`,
                        headers: limit === undefined ? [] : [`Server-Limit: ${limit}`],
                    });
                }),
            ),
        );
        store = new MemoryRowStore();
        const config = standInConfig(1) as { services: { rows: unknown[][] } };
        config.services.rows = [["stock", "/healthz", 130, keyed ? true : null]];
        store.put("op", "config", config);
        targets.forEach((target, index) => store.put("servers", `t${index}`, standInEntry(target)));
        const ports = await freePorts(instanceCount);
        instances = await Promise.all(ports.map((port, index) => GatewayHarness.join(store, `a${index}`, port)));
        await waitFor(async () => (await instances[0].request("GET", "/read/ready")).status === 200);
    };

    /** Sends requests at each instance for a time, and returns the answers. */
    const press = async (durationMs: number): Promise<Awaited<ReturnType<GatewayHarness["request"]>>[]> => {
        const answers: Promise<Awaited<ReturnType<GatewayHarness["request"]>>>[] = [];
        const until = performance.now() + durationMs;
        while (performance.now() < until) {
            instances.forEach(instance => answers.push(instance.request("GET", "/read/pressed")));
            await pause(GAP_MS);
        }
        return Promise.all(answers);
    };
    const statedTimes = (): number[] =>
        arrivals.filter(({ arrival }) => arrival.url === "/read/pressed").map(({ at }) => at);

    /** Lets each instance learn the limits, and ignores what arrived until then. */
    const teach = async (): Promise<void> => {
        for (const instance of instances) {
            for (let count = 0; count < 2 * targets.length; count++) {
                await instance.request("GET", "/read/told");
            }
        }
        await pause(1_000);
        arrivals.length = 0;
    };

    afterEach(async () => {
        instances.forEach(instance => instance.dispose());
        await Promise.all(targets.map(target => target.dispose()));
    });

    it.each([
        [1, false],
        [3, false],
        [3, true],
    ])("gets no more than it allows from %i instances together (keyed: %s)", async (instanceCount, keyed) => {
        await start(instanceCount, 1, keyed);
        stated[0] = String(LIMIT);
        await teach();
        const answers = await press(DURATION_MS);
        expect(mostInWindow(statedTimes())).toBeLessThanOrEqual(ALLOWED);
        // It gets most of what it allows, too.
        expect(statedTimes().length).toBeGreaterThanOrEqual((LIMIT * DURATION_MS) / 1_000 / 2);
        const refused = answers.filter(({ status }) => status !== 200);
        expect(refused.map(({ status }) => status).filter(status => status !== 503)).toEqual([]);
        expect(refused.every(({ head }) => /retry-after: [\d.]+/i.test(head))).toBe(true);
    });

    it("gets what it allows when it sheds each request, repeats included", async () => {
        await start(1, 1);
        stated[0] = String(LIMIT);
        await teach();
        targets[0].script = arrival => {
            arrivals.push({ at: performance.now(), arrival });
            arrival.answer({ status: 503, headers: ["X-Not-Executed: 1", `Server-Limit: ${LIMIT}`] });
        };
        await press(DURATION_MS);
        expect(mostInWindow(statedTimes())).toBeLessThanOrEqual(ALLOWED);
    });

    it("leaves the requests beyond its limit to targets without one", async () => {
        await start(1, 2);
        stated[0] = String(LIMIT);
        await teach();
        const answers = await press(DURATION_MS);
        expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
        const limited = arrivals.filter(({ arrival }) => arrival.socket.localPort === portOf(targets[0]));
        expect(mostInWindow(limited.map(({ at }) => at))).toBeLessThanOrEqual(ALLOWED);
    });

    it("gets requests as before once it states no limit", async () => {
        await start(2, 1);
        stated[0] = String(LIMIT);
        await teach();
        await press(1_000);
        stated[0] = undefined;
        await waitFor(async () => {
            const answers = await press(1_000);
            return answers.every(({ status }) => status === 200);
        });
    });
});

const portOf = ({ address }: ScriptedTarget): number => Number(address.split(":")[1]);
