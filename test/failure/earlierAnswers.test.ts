import { GatewayHarness } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { pause } from "../support/waitFor.js";

type Answer = Parameters<TargetArrival["answer"]>[0];

const NOT_RUN = "X-Not-Executed: 1";
const EARLIER = "earlier-1";
const LARGE_BODY = "x".repeat(90_000);

const refusal = (status: number, id: string | undefined, ...headers: string[]): string =>
    [
        `HTTP/1.1 ${status} Refused`,
        ...(id === undefined ? [] : [`X-Request-Id: ${id}`]),
        "X-Upstream-Signature: s",
        "Content-Length: 2",
        ...headers,
        "",
        "no",
    ].join("\r\n");

/** What a faulty target writes in place of the answer to a request that it runs. */
const WRONG: [string, string][] = [
    ...[503, 429, 421, 400, 408].flatMap((status): [string, string][] => [
        [`${status} with an earlier identifier`, refusal(status, EARLIER, NOT_RUN)],
        [`${status} without an identifier`, refusal(status, undefined, NOT_RUN)],
    ]),
    ["421 without an identifier and the statement", refusal(421, undefined)],
    ...[503, 429, 408].flatMap((status): [string, string][] => [
        [`${status} without the statement and an identifier`, refusal(status, undefined)],
    ]),
];

/** Statuses that promise the caller that its request hasn't run. */
const PROMISES = [408, 421, 429, 503];

describe("a target's answer to an earlier request", () => {
    let harness: GatewayHarness;
    let targets: ScriptedTarget[];

    const start = async (script: (arrival: TargetArrival) => void): Promise<void> => {
        // Both targets follow the same script, so that it doesn't matter which one is chosen.
        targets = await Promise.all([1, 2].map(() => startScriptedTarget(script)));
        harness = await GatewayHarness.start({ t0: targets[0], t1: targets[1] });
    };
    const order = (path: string, body = "12 trays") => harness.request("POST", path, { body });
    const runsOf = (url: string) => targets.flatMap(({ arrivals }) => arrivals).filter(arrival => arrival.url === url);

    afterEach(async () => {
        harness.dispose();
        await Promise.all(targets.map(target => target.dispose()));
    });

    it.each(WRONG)("guards against a second run or a promise because of %s", async (_, bytes) => {
        await start(arrival => {
            if (arrival.url === "/order/wrong") {
                arrival.socket.write(bytes);
            } else {
                arrival.answer();
            }
        });
        for (const round of [1, 2, 3, 4]) {
            expect((await order(`/order/${round}`)).status).toBe(200);
        }
        expect((await order("/order/wrong")).status).toBe(502);
        const [run, ...others] = runsOf("/order/wrong");
        expect(others).toEqual([]);
        await pause(50);
        expect(run.socket.destroyed).toBe(true);
        expect((await order("/order/after")).status).toBe(200);
    });

    it.each<[string, Answer]>([
        ["503", { status: 503, body: "ran" }],
        ["429", { status: 429, body: "ran" }],
        ["408", { status: 408, body: "ran" }],
    ])("guards against a promise by %s of a target that doesn't state that it didn't run", async (_, answer) => {
        await start(arrival => arrival.answer(answer));
        expect(PROMISES).not.toContain((await order("/order/1")).status);
        expect(runsOf("/order/1")).toHaveLength(1);
    });

    it.each([503, 429, 421, 400])("goes on to another target after a true refusal with status %d", async status => {
        let isFirst = true;
        await start(arrival => {
            arrival.answer(isFirst ? { status, body: "no", headers: [NOT_RUN] } : undefined);
            isFirst = false;
        });
        const got = await order("/order/1");
        // The retry budget of a new process may be empty.
        expect([200, 503]).toContain(got.status);
    });

    it.each([
        ["in the middle of a body", (arrival: TargetArrival) => arrival.socket.write(refusal(503, undefined, NOT_RUN))],
        [
            "with an earlier identifier in the middle of a body",
            (arrival: TargetArrival) => arrival.socket.write(refusal(503, EARLIER, NOT_RUN)),
        ],
    ])("guards against a promise by a refusal %s", async (_, write) => {
        await start(arrival => void write(arrival));
        targets.forEach(target => (target.answerBeforeBody = true));
        expect((await order("/order/large", LARGE_BODY)).status).toBe(502);
        expect(runsOf("/order/large")).toHaveLength(1);
    });

    it.each([0, 1, 5, 30])(
        "guards against a refusal that is repeated %d ms after an answer and taken for the next one",
        async delayMs => {
            const statuses: number[] = [];
            await start(arrival => {
                arrival.answer();
                const repeat = () => arrival.socket.write(refusal(503, EARLIER, NOT_RUN));
                if (delayMs === 0) {
                    repeat();
                } else {
                    setTimeout(repeat, delayMs);
                }
            });
            for (let round = 0; round < 30; round++) {
                statuses.push((await order(`/order/${round}`)).status);
                await pause(round % 5);
            }
            expect(statuses.filter(status => PROMISES.includes(status))).toEqual([]);
            for (let round = 0; round < 30; round++) {
                expect(runsOf(`/order/${round}`).length).toBeLessThanOrEqual(1);
            }
        },
    );
});
