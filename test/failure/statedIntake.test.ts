import { CALLER_WAYS, type CallerWay, type TimedAnswer } from "../support/callerWays.js";
import { freePorts } from "../support/freePorts.js";
import { GatewayHarness, standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { MemoryRowStore } from "../support/memoryRowStore.js";
import { startScriptedTarget, type ScriptedTarget } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Time for which a leaving target may get requests, in milliseconds. */
const DRAIN_MS = 2_000;
/** Time after a refusal from which a target's rest is in force, and requests that may reach it then. */
const REST_FROM_MS = 500;
const REST_REQUESTS = 2;
/** Time after a statement from which other targets serve all callers, in milliseconds. */
const TOLD_MS = 500;
/** Median time of refusals of requests that can't be served, in milliseconds. */
const AT_ONCE_MS = 60;
/** Requests that are sent together, and the pause between such groups, in milliseconds. */
const GROUP = 4;
const GAP_MS = 80;
/** Requests for each target that are sent at once; more than an instance has connections to a target. */
const BURST = 9;
/** Time that a target takes for a request, in milliseconds. */
const WORK_MS = 10;

/** What a target states in its answers. */
interface Statement {
    status?: number;
    headers: string[];
}

/** A request at a target. Times are monotonic, in milliseconds. */
interface Arrival {
    at: number;
    target: number;
    /** Name of the sending instance. */
    instance: string;
    /** Time at which the caller sent it. */
    sentAt: number;
    statement?: Statement;
    answeredAt: number;
}

const LEAVING: Statement = { headers: ["Server-Leaving: 1"] };
const resting = (notRun: boolean, ...values: string[]): Statement => ({
    status: 503,
    headers: [...(notRun ? ["X-Not-Executed: 1"] : []), ...values.map(value => `Retry-After: ${value}`)],
});

const medianOf = (values: readonly number[]): number =>
    [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];

describe("what a target states about the requests that it takes", () => {
    let store: MemoryRowStore;
    let instances: GatewayHarness[];
    let targets: ScriptedTarget[];
    let arrivals: Arrival[];
    /** Releases of keys, by target. */
    let releases: number[];
    let stated: (Statement | undefined)[];
    /** Entries written by `applied`. */
    let marks: number;

    const join = async (name: string): Promise<GatewayHarness> => {
        const [port] = await freePorts(1);
        const instance = await GatewayHarness.join(store, name, port);
        instances.push(instance);
        return instance;
    };
    const startTarget = (index: number): Promise<ScriptedTarget> =>
        startScriptedTarget(arrival => {
            const [, , instance, sentAt] = arrival.url.split("/");
            if (arrival.url === "/release") {
                releases.push(index);
                arrival.answer({ headers: [`X-Handover: state-${releases.length}`] });
                return;
            }
            if (arrival.url === "/grant" || instance === "ready") {
                arrival.answer();
                return;
            }
            const record: Arrival = {
                at: performance.now(),
                target: index,
                instance,
                sentAt: Number(sentAt),
                answeredAt: Infinity,
            };
            arrivals.push(record);
            setTimeout(() => {
                record.statement = stated[index];
                record.answeredAt = performance.now();
                arrival.answer(record.statement);
            }, WORK_MS);
        });
    /**
     * Starts instances and targets of one service. `alone` gives each target but the first a service and a route of its own;
     * `distant` puts the last one in another failure domain, so that the others are preferred to it.
     */
    const start = async (
        instanceCount: number,
        targetCount: number,
        { keyed = false, alone = false, distant = false } = {},
    ): Promise<void> => {
        arrivals = [];
        releases = [];
        marks = 0;
        instances = [];
        stated = Array.from({ length: targetCount }, () => undefined);
        targets = await Promise.all(stated.map((_, index) => startTarget(index)));
        store = new MemoryRowStore();
        const services = targets.map((_, index) => (alone && index > 0 ? `s${index}` : "stock"));
        const routeTo = (name: string, service: string, maxAttempts: number) => [
            ...[name, "shop.example", `/${name}/`, "idempotent", 1_500, 400, 2, service, maxAttempts, null],
        ];
        const config = standInConfig(1, [
            routeTo("once", "stock", 1),
            ...services.slice(1).map(name => routeTo(name, name, 3)),
        ]) as { services: { rows: unknown[][] } };
        config.services.rows = [...new Set(services)].map(name => [name, "/healthz", 130, keyed ? true : null]);
        store.put("op", "config", config);
        targets.forEach((target, index) => {
            const entry = standInEntry(target, { service: services[index] }) as { info: object };
            const isDistant = distant && index === targetCount - 1;
            store.put("servers", `t${index}`, isDistant ? { ...entry, info: { ...entry.info, zone: "graz" } } : entry);
        });
        for (let index = 0; index < instanceCount; index++) {
            await join(`a${index}`);
        }
        await waitFor(async () => (await instances[0].request("GET", "/read/ready")).status === 200);
    };
    afterEach(async () => {
        instances.forEach(instance => instance.dispose());
        await Promise.all(targets.map(target => target.dispose()));
    });

    /** Sends groups of requests at each instance for a time, and returns the answers. */
    const press = async (durationMs: number, way: CallerWay = CALLER_WAYS.kept): Promise<TimedAnswer[]> => {
        const groups: Promise<TimedAnswer[]>[] = [];
        const until = performance.now() + durationMs;
        while (performance.now() < until) {
            instances.forEach((instance, index) =>
                groups.push(way(instance, sentAt => `/read/a${index}/${sentAt}`, GROUP)),
            );
            await pause(GAP_MS);
        }
        return (await Promise.all(groups)).flat();
    };
    /** Sends so many requests at once at each instance that it uses all targets. */
    const burst = async (): Promise<void> => {
        await Promise.all(
            instances.map((instance, index) =>
                CALLER_WAYS.new(instance, sentAt => `/read/a${index}/${sentAt}`, BURST * targets.length),
            ),
        );
    };
    const told = (): Arrival[] => arrivals.filter(({ statement }) => statement !== undefined);
    /** Requests that callers sent more than a time after their instance was told by the target that it leaves. */
    const sentAfter = (delayMs: number): Arrival[] =>
        arrivals.filter(({ target, instance, sentAt }) =>
            told().some(
                other =>
                    other.statement === LEAVING &&
                    other.target === target &&
                    other.instance === instance &&
                    sentAt > other.answeredAt + delayMs,
            ),
        );
    /** Most requests of an instance that reach a target between half a second after a refusal and the end of the rest. */
    const mostInRest = (restMs: number): number =>
        Math.max(
            0,
            ...told()
                .filter(({ statement }) => statement?.status === 503)
                .map(
                    ({ target, instance, answeredAt }) =>
                        arrivals.filter(
                            other =>
                                other.target === target &&
                                other.instance === instance &&
                                other.at > answeredAt + REST_FROM_MS &&
                                other.at < answeredAt + restMs,
                        ).length,
                ),
        );
    const lastTold = (): number => Math.max(...told().map(({ answeredAt }) => answeredAt));
    /** Time from which all instances have been told. */
    const allTold = (): number =>
        Math.max(
            ...instances.map(
                (_, index) => told().find(({ instance }) => instance === `a${index}`)?.answeredAt ?? Infinity,
            ),
        );
    /** Waits until all instances have read what was written to the store. */
    const applied = async (): Promise<void> => {
        const id = `mark${++marks}`;
        const entry = { ...(standInEntry(targets[0], { service: "other" }) as object), address: `127.0.0.1:${marks}` };
        store.put("servers", id, entry);
        await waitFor(() => instances.every(({ log }) => log.some(line => line.includes(`Target ${id} is usable`))));
    };

    describe("that it leaves", () => {
        it.each([
            ["the last target", "new", 1, false],
            ["the last target", "kept", 3, false],
            ["the last target", "pipelined", 1, false],
            ["the only owner", "kept", 2, true],
            ["the only owner with the store away", "pipelined", 1, true],
        ] as const)(
            "guards against late requests to %s (%s connections, %i instances, keyed: %s)",
            async (which, way, instanceCount, keyed) => {
                await start(instanceCount, 1, { keyed });
                store.fault = which.includes("away") ? "down" : undefined;
                stated[0] = LEAVING;
                const answers = await press(DRAIN_MS + 1_500, CALLER_WAYS[way]);
                expect(sentAfter(DRAIN_MS)).toEqual([]);
                // No other target serves them, so it gets requests meanwhile.
                expect(sentAfter(DRAIN_MS / 2).length).toBeGreaterThan(0);
                const refused = answers.filter(({ sentAt }) => sentAt > allTold() + DRAIN_MS);
                expect(refused.length).toBeGreaterThan(0);
                expect(refused.filter(({ status, retryAfterMs = 0 }) => status !== 503 || retryAfterMs <= 0)).toEqual(
                    [],
                );
                expect(medianOf(refused.map(({ sentAt, receivedAt }) => receivedAt - sentAt))).toBeLessThan(AT_ONCE_MS);
            },
        );

        it("guards against callers who wait for a leaving owner although another target could have its keys", async () => {
            await start(1, 2, { keyed: true });
            await press(200);
            const owner = arrivals[0].target;
            stated[owner] = LEAVING;
            const answers = await press(DRAIN_MS + 1_000);
            expect(sentAfter(DRAIN_MS)).toEqual([]);
            expect(releases).toEqual([owner]);
            const later = answers.filter(({ sentAt }) => sentAt > allTold() + TOLD_MS);
            expect(later.length).toBeGreaterThan(0);
            expect(later.filter(({ status }) => status !== 200)).toEqual([]);
        });
    });

    it("guards against sends to a leaving or resting target while others serve and the store is away", async () => {
        const restMs = 20_000;
        await start(2, 4, { distant: true });
        await burst();
        store.fault = "down";
        stated = [LEAVING, resting(true, "20"), resting(false, "20"), undefined];
        const tellers = () => new Set(told().map(({ instance, target }) => `${instance} ${target}`)).size;
        await waitFor(async () => {
            await burst();
            return tellers() === 3 * instances.length;
        });
        const from = performance.now() + TOLD_MS;
        const to = told()[0].answeredAt + restMs;
        const answers = await press(3_000);
        expect(sentAfter(TOLD_MS)).toEqual([]);
        expect(mostInRest(restMs)).toBeLessThanOrEqual(REST_REQUESTS);
        const served = answers.filter(({ sentAt }) => sentAt > from && sentAt < to);
        expect(served.length).toBeGreaterThan(0);
        expect(served.filter(({ status }) => status !== 200)).toEqual([]);
    });

    describe("that it rests", () => {
        const REST_MS = 2_500;

        it.each([
            ["new", true, 1, false],
            ["kept", false, 3, false],
            ["pipelined", true, 1, false],
            ["kept", true, 2, true],
        ] as const)(
            "guards against pressure on the last target (%s connections, not run: %s, %i instances, keyed: %s)",
            async (way, notRun, instanceCount, keyed) => {
                await start(instanceCount, keyed ? 2 : 1, { keyed });
                await press(300, CALLER_WAYS[way]);
                const { target } = arrivals[0];
                stated[target] = resting(notRun, String(REST_MS / 1_000));
                const [answers] = await Promise.all([
                    press(REST_MS + 1_500, CALLER_WAYS[way]),
                    pause(REST_MS - 500).then(() => (stated[target] = undefined)),
                ]);
                expect(mostInRest(REST_MS)).toBeLessThanOrEqual(REST_REQUESTS);
                const [from, to] = [told()[0].answeredAt, lastTold()];
                const refused = answers.filter(
                    ({ sentAt }) => sentAt > from + TOLD_MS && sentAt < from + REST_MS - 100,
                );
                expect(refused.length).toBeGreaterThan(0);
                // Callers who return earlier are refused again, and callers who return together bring it down again.
                expect(
                    refused.filter(
                        ({ status, receivedAt, retryAfterMs = 0 }) =>
                            status !== 503 || receivedAt + retryAfterMs < from + REST_MS,
                    ),
                ).toEqual([]);
                expect(new Set(refused.map(({ retryAfterMs }) => retryAfterMs)).size).toBeGreaterThan(
                    refused.length / 10,
                );
                expect(medianOf(refused.map(({ sentAt, receivedAt }) => receivedAt - sentAt))).toBeLessThan(AT_ONCE_MS);
                // It is used again after its rest, and its keys have stayed with it.
                expect(answers.filter(({ sentAt }) => sentAt > to + REST_MS + 200).at(-1)?.status).toBe(200);
                expect(new Set(arrivals.map(arrival => arrival.target))).toEqual(new Set([target]));
                expect(releases).toEqual([]);
            },
        );

        it.each([[true], [false]])(
            "guards against its number being handed to the callers that it refuses (not run: %s)",
            async notRun => {
                await start(1, 1);
                stated[0] = resting(notRun, "2");
                const answers = await CALLER_WAYS.new(instances[0], sentAt => `/read/a0/${sentAt}`, GROUP);
                expect(answers.map(({ status }) => status)).toEqual(Array(GROUP).fill(503));
                const toldAt = Math.min(...told().map(({ answeredAt }) => answeredAt));
                const early = answers.filter(
                    ({ receivedAt, retryAfterMs = 0 }) => receivedAt + retryAfterMs < toldAt + 2_000,
                );
                expect(early).toEqual([]);
                expect(new Set(answers.map(({ retryAfterMs }) => retryAfterMs)).size).toBeGreaterThan(1);
            },
        );

        it.each([["60"], ["1e9"]])(
            "guards against %s seconds being handed to a caller whom another target serves",
            async value => {
                await start(1, 2);
                stated[0] = resting(false, value);
                const answers = await CALLER_WAYS.new(instances[0], sentAt => `/once/a0/${sentAt}`, BURST * 2);
                const refused = answers.filter(({ status }) => status === 503);
                expect(told().length).toBeGreaterThan(0);
                expect(refused.length).toBeGreaterThanOrEqual(told().length);
                expect(refused.filter(({ retryAfterMs = Infinity }) => retryAfterMs > 1_000)).toEqual([]);
            },
        );

        it("guards against odd values that take a target out for hours or that are misread as a rest", async () => {
            const date = new Date(Date.now() + 60_000).toUTCString();
            const none = [[], [""], ["0"], ["-1"], ["abc"], ["1e9"], [date], ["1, 2"]];
            const rests = [["3600"], ["0.5", "30.5"], ["30.5", "abc"]];
            const values = [...none, ...rests];
            await start(1, values.length, { alone: true });
            stated = values.map(fields => resting(true, ...fields));
            const results = await Promise.all(
                values.map(async (_, index) => {
                    const path = `/${index === 0 ? "read" : `s${index}`}/a0/0`;
                    await instances[0].request("GET", path);
                    const { head } = await instances[0].request("GET", path);
                    const reached = arrivals.filter(({ target }) => target === index).length;
                    return { reached, seconds: Number(/retry-after: (\S+)/i.exec(head)?.[1]) };
                }),
            );
            expect(results.map(({ reached }) => reached)).toEqual([...none.map(() => 2), ...rests.map(() => 1)]);
            const seconds = results.map(result => result.seconds);
            expect(Math.max(...seconds.slice(0, none.length))).toBeLessThan(1);
            const [longest, ...others] = seconds.slice(none.length);
            expect(longest).toBeGreaterThan(299);
            expect(longest).toBeLessThanOrEqual(302);
            expect(others.filter(stated => stated < 30 || stated > 32.5)).toEqual([]);
        });
    });

    it.each([
        ["leaving", LEAVING],
        ["a rest", resting(true, "60")],
    ])("guards against %s that a rewritten entry ends or that a later start keeps", async (_, statement) => {
        await start(1, 2);
        const entry = standInEntry(targets[0]);
        stated[0] = statement;
        await burst();
        // Until then a leaving target may get what no other serves.
        await pause(DRAIN_MS);
        expect(told().length).toBeGreaterThan(0);
        const pressed = async (): Promise<Set<string>> => {
            arrivals.length = 0;
            await burst();
            return new Set(arrivals.filter(({ target }) => target === 0).map(({ instance }) => instance));
        };
        store.put("servers", "t0", { ...(entry as object), status: { state: "ready", seq: 2, warmup_left_ms: 0 } });
        await applied();
        expect(await pressed()).toEqual(new Set());
        store.drop("servers", "t0");
        await applied();
        store.put("servers", "t0", entry);
        await applied();
        expect(await pressed()).toEqual(new Set());
        // A restarted instance knows nothing of it.
        await join("a1");
        expect(await pressed()).toEqual(new Set(["a1"]));
        stated[0] = undefined;
        store.put("servers", "t0", { ...(entry as object), born: 1_700_000_000_001 });
        // A target that is known to be fast would be preferred to a new start.
        store.drop("servers", "t1");
        await applied();
        expect(await pressed()).toEqual(new Set(["a0", "a1"]));
    });
});
