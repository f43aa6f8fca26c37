import {
    FLEET_KINDS,
    GatewayFleet,
    type FleetAnswer,
    type FleetKind,
    type FleetMember,
} from "../support/gatewayFleet.js";
import { sendFirstTries } from "../support/firstTries.js";
import type { OwningTarget } from "../support/owningTargets.js";
import type { TargetArrival } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

const DRAIN_MS = 2_000;
const REST_MS = 2_000;
/** Time after a rest was stated from which requests count, in milliseconds. */
const REST_SLACK_MS = 500;
/** Statuses that promise that a request hasn't run. */
const PROMISES = [408, 421, 429, 503];

describe("instances through which requests of one that is cut off reach targets", () => {
    let fleet: GatewayFleet;
    let cutOff: FleetMember;
    /** An instance that doesn't assign keys. */
    let passing: FleetMember;

    beforeEach(async () => {
        fleet = await GatewayFleet.start({ gateways: ["linz", "linz", "linz"] });
        const others = fleet.members.filter(({ name }) => name !== fleet.holder());
        [cutOff, passing] = others;
    });
    afterEach(() => fleet.dispose());

    const targetsOf = (service: string): OwningTarget[] =>
        fleet.targets.targets.filter(target => target.service === service);

    const ask = (kind: FleetKind, count: number): Promise<FleetAnswer[]> =>
        Promise.all(Array.from({ length: count }, () => fleet.request(cutOff, kind)));

    /** Cuts an instance off and waits until the other one forwards requests of it. */
    const cutOffBehindPassing = async (): Promise<void> => {
        await fleet.cutOff(cutOff);
        await fleet.until(`${passing.name} forwards requests`, async () => {
            await ask("order", 4);
            return (await fleet.metric(passing, 'forwarded_requests_total{direction="taken",outcome="answered"}')) > 0;
        });
    };

    /** Refusals that promise that a request hasn't run, although it has. */
    const falsePromises = (answers: readonly FleetAnswer[]): string[] =>
        answers.filter(({ id, status }) => PROMISES.includes(status) && fleet.targets.hasRun(id)).map(({ id }) => id);

    const repeated = (answers: readonly FleetAnswer[]): string[] => {
        const ids = new Set(answers.map(({ id }) => id));
        return fleet.targets.repeated().filter(id => ids.has(id));
    };

    // Guards against requests that wait for an instance that is frozen although others would forward them.
    it("are left when they are frozen", async () => {
        await fleet.cutOff(cutOff, "hang");
        passing.signal("SIGSTOP");
        const tries = await sendFirstTries(fleet, { forMs: 5_000, perSecond: 20 });
        passing.signal("SIGCONT");
        const late = tries.filter(({ member, sentAt }) => member === cutOff.name && sentAt > 2_000);
        expect(late.filter(({ status }) => status !== 200).map(({ kind, status }) => [kind, status])).toEqual([]);
        const orders = tries.filter(({ kind }) => kind === "order" || kind === "move");
        expect(repeated(orders)).toEqual([]);
        expect(falsePromises(orders)).toEqual([]);
    });

    // Guards against a promise that a request hasn't run, or a second run, when the hop to the target is lost.
    it("leave no doubt about what ran when they are killed", async () => {
        await cutOffBehindPassing();
        fleet.targets.targets.forEach(target => (target.workMs = 400));
        const orders = ask("order", 30);
        const moves = ask("move", 30);
        const drawings = ask("drawing", 10);
        await pause(200);
        passing.signal("SIGKILL");
        const answers = [...(await orders), ...(await moves)];
        expect(repeated(answers)).toEqual([]);
        expect(falsePromises(answers)).toEqual([]);
        expect(answers.filter(({ status }) => ![200, 502, 503, 504].includes(status))).toEqual([]);
        // Some were lost with the instance, and nobody may say that they haven't run.
        expect(answers.some(({ status }) => status === 502 || status === 504)).toBe(true);
        expect((await drawings).some(({ status }) => status === 200)).toBe(true);
        fleet.targets.targets.forEach(target => (target.workMs = 20));
        await fleet.until("orders are answered through the instance that is left", async () =>
            (await ask("order", 10)).every(({ status }) => status === 200),
        );
    });

    // Guards against refusals of a burst that the targets could take, when one of the other instances has ended.
    it("pass on a burst when only one of them is left", async () => {
        await cutOffBehindPassing();
        passing.signal("SIGKILL");
        await waitFor(() => passing.hasEnded());
        // The others read the ends of its connections.
        await pause(200);
        for (let burst = 0; burst < 5; burst++) {
            const answers = await ask("order", 20);
            expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
        }
    });

    it("answer what they have taken when they stop", async () => {
        await cutOffBehindPassing();
        fleet.targets.targets.forEach(target => (target.workMs = 400));
        const orders = ask("order", 12);
        await pause(150);
        passing.signal("SIGTERM");
        const answers = await orders;
        expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
        const later = await ask("order", 12);
        expect(later.filter(({ status }) => status !== 200)).toEqual([]);
    });

    // Guards against requests that go from one instance to the next.
    it("refuse requests at once when they are cut off, too", async () => {
        for (const member of fleet.members) {
            await fleet.cutOff(member);
        }
        const taken = () =>
            Promise.all(
                fleet.members.map(member =>
                    fleet.metric(member, 'forwarded_requests_total{direction="taken",outcome="answered"}'),
                ),
            );
        const before = await taken();
        const began = performance.now();
        const answers = (await Promise.all(FLEET_KINDS.map(kind => ask(kind, 10)))).flat();
        expect(performance.now() - began).toBeLessThan(1_000);
        expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([503]));
        expect(answers.every(({ headers }) => Number(headers["retry-after"]) > 0)).toBe(true);
        expect(await taken()).toEqual(before);
        await Promise.all(fleet.members.map(({ links }) => links.heal()));
        await fleet.until("orders are answered after the cut", async () =>
            (await ask("order", 4)).every(({ status }) => status === 200),
        );
    });

    it("don't ask a target that wants a rest from them", async () => {
        await fleet.cutOff(cutOff);
        const [resting, ...others] = targetsOf("orders");
        let restedAt: number | undefined;
        const during: TargetArrival[] = [];
        for (const target of others) {
            target.intercept = arrival => {
                arrival.answer({ status: 503, headers: ["X-Not-Executed: 1", `Retry-After: ${REST_MS / 1_000}`] });
                return true;
            };
        }
        resting.intercept = arrival => {
            const now = performance.now();
            restedAt ??= now;
            if (now > restedAt + REST_SLACK_MS && now < restedAt + REST_MS) {
                during.push(arrival);
            }
            arrival.answer({ status: 503, headers: ["X-Not-Executed: 1", `Retry-After: ${REST_MS / 1_000}`] });
            return true;
        };
        await waitFor(async () => {
            await ask("order", 4);
            return restedAt !== undefined;
        });
        const until = (restedAt ?? 0) + REST_MS - 100;
        while (performance.now() < until) {
            const answers = await ask("order", 4);
            expect(answers.every(({ status }) => status === 503)).toBe(true);
            await pause(50);
        }
        // Two from each of the two machines that reach it.
        expect(during.length).toBeLessThanOrEqual(4);
    });

    it("don't ask a target that leaves after its drain time", async () => {
        await fleet.cutOff(cutOff);
        const [leaving] = targetsOf("drawings");
        leaving.headers = ["Server-Leaving: 1"];
        const before = leaving.runs.size;
        await waitFor(async () => {
            await ask("drawing", 4);
            return leaving.runs.size > before;
        });
        await pause(DRAIN_MS);
        const left = leaving.runs.size;
        const answers = await ask("drawing", 20);
        expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
        expect(leaving.runs.size).toBe(left);
    });

    it("admit no more to a target with a limit than its limit", async () => {
        await fleet.cutOff(cutOff);
        const perSecond = 2;
        const arrivals: number[] = [];
        for (const target of targetsOf("orders")) {
            target.headers = [`Server-Limit: ${perSecond}`];
            target.intercept = () => {
                arrivals.push(performance.now());
                return false;
            };
        }
        await ask("order", 8);
        await pause(500);
        const began = performance.now();
        while (performance.now() < began + 4_500) {
            await ask("order", 4);
            await pause(100);
        }
        const counted = arrivals.filter(at => at >= began && at < began + 4_000).length;
        const targets = targetsOf("orders").length;
        expect(counted).toBeLessThanOrEqual(targets * (1.5 * 4 * perSecond + 5));
        expect(counted).toBeGreaterThan(0);
    });
});
