import { GatewayFleet, type FleetMember } from "../support/gatewayFleet.js";
import { GatewayHarness, standInConfig } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Time within which an invalid status must have ended its attempt, in milliseconds; below that of an attempt without an answer. */
const ENDED_MS = 500;
/** Requests that are answered before each case, which earn its retry. */
const EARNING_REQUESTS = 25;
/** Requests that are under way at the target while it answers with an invalid status. */
const NEIGHBOURS = 4;

/** Statuses that are no answer. An informational response (199) has no content, so one that states any isn't valid. */
const STATUSES = ["000", "001", "099", "199", "600", "700", "999", "1000", "2 0", "20", "2"];

/** Metric of the requests that an instance has taken from others and that were answered. */
const TAKEN = 'forwarded_requests_total{direction="taken",outcome="answered"}';

const FRAMINGS: Record<string, [fields: string[], content: string]> = {
    "a length of 0": [["Content-Length: 0"], ""],
    "a length": [["Content-Length: 3"], "odd"],
    chunks: [["Transfer-Encoding: chunked"], "3\r\nodd\r\n0\r\n\r\n"],
    "no length": [[], "odd"],
};

const CASES = STATUSES.flatMap(status => Object.keys(FRAMINGS).map(framing => [status, framing] as const));

const oddAnswer = (arrival: TargetArrival, status: string, framing: string): string => {
    const [fields, content] = FRAMINGS[framing];
    const id = arrival.headers.get("x-request-id") ?? "";
    const head = [`HTTP/1.1 ${status} Odd`, `X-Request-Id: ${id}`, "X-Upstream-Signature: signature", ...fields];
    return `${head.join("\r\n")}\r\n\r\n${content}`;
};

/** Whether the connection of an arrival was closed in time. */
const isClosed = (arrival: TargetArrival): Promise<boolean> => {
    const { socket } = arrival;
    return socket.destroyed
        ? Promise.resolve(true)
        : Promise.race([
              new Promise<boolean>(resolve => socket.once("close", () => resolve(true))),
              pause(ENDED_MS).then(() => false),
          ]);
};

// A status above 599 was passed on to callers, and one of 1xx with a content was waited for until the timeout.
describe("a response with an invalid status", () => {
    let harness: GatewayHarness;
    let targets: ScriptedTarget[];
    /** What a target writes for the first request of a case; further ones get a whole answer. */
    let odd: ((arrival: TargetArrival) => string) | undefined;
    let oddArrivals: TargetArrival[];

    beforeAll(async () => {
        const script = (arrival: TargetArrival) => {
            if (arrival.url.includes("/slow-")) {
                setTimeout(() => arrival.answer(), 150);
            } else if (arrival.url.includes("/odd-") && odd !== undefined) {
                oddArrivals.push(arrival);
                arrival.socket.write(odd(arrival), "latin1");
                odd = undefined;
            } else {
                if (arrival.url.includes("/odd-")) {
                    oddArrivals.push(arrival);
                }
                arrival.answer();
            }
        };
        targets = await Promise.all([startScriptedTarget(script), startScriptedTarget(script)]);
        harness = await GatewayHarness.start({ t1: targets[0], t2: targets[1] }, standInConfig(1));
        await waitFor(async () => (await harness.request("GET", "/read/1")).status === 200);
    });
    afterAll(async () => {
        harness.dispose();
        await Promise.all(targets.map(target => target.dispose()));
    });
    beforeEach(async () => {
        oddArrivals = [];
        for (let count = 0; count < EARNING_REQUESTS; count++) {
            expect((await harness.request("GET", "/read/1")).status).toBe(200);
        }
    });

    const ask = async (method: string, path: string) => {
        const from = performance.now();
        const neighbours = Array.from({ length: NEIGHBOURS }, (_, index) =>
            harness.request(index % 2 === 0 ? "GET" : "POST", `/${index % 2 === 0 ? "read" : "order"}/slow-${index}`),
        );
        const answer = await harness.request(method, path);
        const tookMs = performance.now() - from;
        const statuses = (await Promise.all(neighbours)).map(({ status }) => status);
        return { answer, tookMs, neighbours: statuses };
    };

    it.each(CASES)(
        "isn't an answer: a request that can be repeated is sent again (%s, %s)",
        async (status, framing) => {
            odd = arrival => oddAnswer(arrival, status, framing);
            const { answer, tookMs, neighbours } = await ask("GET", "/read/odd-1");
            expect([answer.status, answer.body]).toEqual([200, "whole"]);
            expect(oddArrivals).toHaveLength(2);
            expect(tookMs).toBeLessThan(ENDED_MS);
            expect(await isClosed(oddArrivals[0])).toBe(true);
            expect(neighbours).toEqual(Array(NEIGHBOURS).fill(200));
        },
    );

    it.each(CASES)("isn't an answer: another request counts as possibly run (%s, %s)", async (status, framing) => {
        odd = arrival => oddAnswer(arrival, status, framing);
        const { answer, tookMs, neighbours } = await ask("POST", "/order/odd-1");
        expect(answer.status).toBe(502);
        expect(answer.head).not.toMatch(/retry-after/i);
        expect(oddArrivals).toHaveLength(1);
        expect(tookMs).toBeLessThan(ENDED_MS);
        expect(await isClosed(oddArrivals[0])).toBe(true);
        expect(neighbours).toEqual(Array(NEIGHBOURS).fill(200));
    });

    // An informational response is no fault: a target may send any number of them before its answer.
    it.each(["102", "103", "199"])(
        "isn't a proper informational one (%s), after which the answer counts",
        async status => {
            odd = arrival => {
                setTimeout(() => arrival.answer(), 20);
                return `HTTP/1.1 ${status} Early\r\nLink: </a>\r\n\r\n`;
            };
            const { answer } = await ask("POST", "/order/odd-1");
            expect([answer.status, answer.body, oddArrivals.length]).toEqual([200, "whole", 1]);
        },
    );
});

describe("a response with an invalid status through another instance", () => {
    let fleet: GatewayFleet;
    let cutOff: FleetMember;

    beforeAll(async () => {
        fleet = await GatewayFleet.start({
            gateways: ["linz", "linz", "linz"],
            targets: { drawings: ["linz", "wels"], orders: ["linz"] },
        });
        cutOff = fleet.members.find(({ name }) => name !== fleet.holder()) as FleetMember;
        await fleet.cutOff(cutOff);
        // An instance through which a request was lost isn't tried again for it, so the request needs a second one.
        const others = fleet.members.filter(member => member !== cutOff);
        await fleet.until("both other instances are known to the one that is cut off", async () => {
            await fleet.request(cutOff, "drawing");
            const taken = await Promise.all(others.map(member => fleet.metric(member, TAKEN)));
            return taken.every(count => count > 0);
        });
    });
    afterAll(() => fleet.dispose());

    it.each(STATUSES)("isn't an answer (%s)", async status => {
        const name = `odd-${STATUSES.indexOf(status)}`;
        const seen = new Map<string, number>();
        for (const target of fleet.targets.targets) {
            target.intercept = arrival => {
                if (!arrival.url.includes("odd-")) {
                    return false;
                }
                const count = (seen.get(arrival.url) ?? 0) + 1;
                seen.set(arrival.url, count);
                if (count === 1) {
                    arrival.socket.write(oddAnswer(arrival, status, "a length"), "latin1");
                }
                return count === 1;
            };
        }
        for (let count = 0; count < EARNING_REQUESTS; count++) {
            expect((await fleet.request(cutOff, "drawing")).status).toBe(200);
        }
        const drawing = await fleet.request(cutOff, "drawing", { name });
        const order = await fleet.request(cutOff, "order", { name });
        expect([drawing.status, order.status]).toEqual([200, 502]);
        expect(seen.get(`/order/${name}`)).toBe(1);
    });
});
