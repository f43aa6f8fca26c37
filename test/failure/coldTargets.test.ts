import { freePorts } from "../support/freePorts.js";
import { GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { MemoryRowStore } from "../support/memoryRowStore.js";
import { startScriptedTarget, type ScriptedTarget } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

const WARMUP_S = 6;
/** Requests that a cold target may get in any second: 4 x 1.5 + 8. */
const ALLOWED = 14;
const INSTANCES = 3;

const configWith = (warmupPerSecond: number | null) => ({
    ...(standInConfig(1) as object),
    services: {
        columns: ["name", "health_path", "max_conns", "sharded", "warmup_s", "warmup_per_s"],
        rows: [["stock", "/healthz", 130, null, WARMUP_S, warmupPerSecond]],
    },
});

const mostInSecond = (arrivals: readonly number[]): number =>
    Math.max(0, ...arrivals.map((from, index) => arrivals.slice(index).filter(at => at < from + 1_000).length));

describe("cold targets of instances that share them", () => {
    let store: MemoryRowStore;
    let instances: GatewayHarness[];
    let targets: ScriptedTarget[];
    let arrivals: number[][];

    const start = async (targetCount: number, warmupPerSecond: number | null): Promise<void> => {
        arrivals = Array.from({ length: targetCount }, () => []);
        targets = await Promise.all(
            arrivals.map(times =>
                startScriptedTarget(({ answer }) => {
                    times.push(performance.now());
                    setTimeout(() => answer(), 5);
                }),
            ),
        );
        store = new MemoryRowStore();
        store.put("op", "config", configWith(warmupPerSecond));
        instances = [];
        for (let index = 0; index < INSTANCES; index++) {
            const [port] = await freePorts(1);
            instances.push(await GatewayHarness.join(store, `a${index}`, port));
        }
    };
    const register = (index: number, warmupLeftMs: number, born = 1_700_000_000_000): void => {
        const entry = standInEntry(targets[index]) as { status: object };
        store.put("servers", `t${index}`, {
            ...entry,
            born,
            status: { ...entry.status, warmup_left_ms: warmupLeftMs },
        });
    };
    afterEach(async () => {
        instances.forEach(instance => instance.dispose());
        await Promise.all(targets.map(target => target.dispose()));
    });

    /** Sends about 90 requests a second, and returns the answers. */
    const press = async (durationMs: number): Promise<{ status: number; head: string }[]> => {
        const answers: Promise<{ status: number; head: string }>[] = [];
        const until = performance.now() + durationMs;
        while (performance.now() < until) {
            answers.push(...instances.map(instance => instance.request("GET", "/read/1")));
            await pause(33);
        }
        return Promise.all(answers);
    };
    const untilHeld = () =>
        waitFor(() => instances.some(({ log }) => log.some(line => line.includes("keys was gained"))), 20_000);

    // Guards against a target that crashes under the requests of all instances after its start.
    it("get requests within the bound, at least half of it, and callers their turns", async () => {
        await start(1, 4);
        await untilHeld();
        register(0, WARMUP_S * 1_000);
        await waitFor(() => instances.every(({ log }) => log.some(line => line.includes("Target t0 is cold"))));
        await press(1_500);
        const from = performance.now();
        const answers = await press(3_000);
        const counted = arrivals[0].filter(at => at >= from && at < from + 3_000);
        expect(mostInSecond(arrivals[0])).toBeLessThanOrEqual(ALLOWED);
        expect(counted.length / 3).toBeGreaterThanOrEqual(ALLOWED / 2);
        const refused = answers.filter(({ status }) => status === 503);
        expect(refused.length).toBeGreaterThan(0);
        expect(refused.every(({ head }) => /retry-after/i.test(head))).toBe(true);
        // Once it is warm, its requests aren't bounded.
        await pause(WARMUP_S * 1_000);
        const warmFrom = performance.now();
        await press(1_000);
        expect(arrivals[0].filter(at => at >= warmFrom).length).toBeGreaterThan(3 * ALLOWED);
    });

    // Guards against a target that restarts under its identifier before its new entry is read.
    it("get requests within the bound after a restart that only the connections show", async () => {
        await start(1, 4);
        await untilHeld();
        register(0, 0);
        await waitFor(async () => (await instances[0].request("GET", "/read/1")).status === 200);
        await press(500);
        const { address } = targets[0];
        targets[0].script = ({ socket }) => socket.resetAndDestroy();
        await press(100);
        const from = performance.now();
        targets[0].script = ({ answer }) => {
            arrivals[0].push(performance.now());
            answer({ headers: [`X-Warmup-Ms: ${WARMUP_S * 1_000}`] });
        };
        await press(3_000);
        expect(targets[0].address).toBe(address);
        const counted = arrivals[0].filter(at => at >= from);
        expect(mostInSecond(counted)).toBeLessThanOrEqual(ALLOWED);
        expect(counted.length).toBeGreaterThan(0);
    });

    // Guards against load on a target that has just started while a warm one can serve.
    it("get nothing while a warm target serves all callers", async () => {
        await start(2, 4);
        await untilHeld();
        register(0, 0);
        register(1, 60_000);
        await waitFor(() => instances.every(({ log }) => log.some(line => line.includes("Target t1 is cold"))));
        const answers = await press(1_500);
        expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
        expect(arrivals[1]).toEqual([]);
    });

    it("get any rate in a service without a warm-up rate", async () => {
        await start(1, null);
        register(0, 60_000);
        await waitFor(async () => (await instances[0].request("GET", "/read/1")).status === 200);
        const answers = await press(1_000);
        expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
        expect(mostInSecond(arrivals[0])).toBeGreaterThan(3 * ALLOWED);
    });
});
