import { Agent, request } from "node:http";
import { isWhole, type GatewayHarness } from "./gatewayHarness.js";

/** An answer to a caller. Times are monotonic, in milliseconds. */
export interface TimedAnswer {
    sentAt: number;
    receivedAt: number;
    status: number;
    /** Stated delay in milliseconds; `undefined` if there is none. */
    retryAfterMs: number | undefined;
}

/** Sends some requests at a time to an instance. `path` creates the path of a request from the time at which it is sent. */
export type CallerWay = (
    instance: GatewayHarness,
    path: (sentAt: number) => string,
    count: number,
) => Promise<TimedAnswer[]>;

const HEADERS = { Host: "shop.example", "X-Deadline-Ms": "3000", "X-Shard-Key": "7" };
const START = "HTTP/1.1 ";

let ids = 0;

const timed = (sentAt: number, status: number, retryAfterS: string | undefined): TimedAnswer => ({
    sentAt,
    receivedAt: performance.now(),
    status,
    retryAfterMs: retryAfterS === undefined ? undefined : 1_000 * Number(retryAfterS),
});

/** Status 0 means that the connection ended without a complete answer. */
const requestBy = (agent: Agent, { port }: GatewayHarness, path: (sentAt: number) => string): Promise<TimedAnswer> =>
    new Promise(resolve => {
        const sentAt = performance.now();
        const headers = { ...HEADERS, "X-Request-Id": `id-${ids++}` };
        request({ agent, host: "127.0.0.1", port, path: path(sentAt), headers }, answer => {
            const { statusCode = 0, headers: stated } = answer;
            answer
                .on("error", () => resolve(timed(sentAt, 0, undefined)))
                .on("end", () => resolve(timed(sentAt, statusCode, stated["retry-after"])))
                .resume();
        })
            .on("error", () => resolve(timed(sentAt, 0, undefined)))
            .end();
    });

const pipelined: CallerWay = async (instance, path, count) => {
    const sentAt = performance.now();
    const fields = Object.entries(HEADERS).map(([name, value]) => `${name}: ${value}\r\n`);
    const heads = Array.from(
        { length: count },
        () => `GET ${path(sentAt)} HTTP/1.1\r\n${fields.join("")}X-Request-Id: id-${ids++}\r\n\r\n`,
    );
    const answersIn = (text: string) => text.split(START).slice(1);
    const text = await instance.exchange(heads.join(""), received => {
        const answers = answersIn(received);
        return answers.length === count && isWhole(answers[count - 1]);
    });
    return answersIn(text).map(answer =>
        timed(sentAt, Number(answer.slice(0, 3)), /retry-after: (\S+)/i.exec(answer)?.[1]),
    );
};

const through = (agent: Agent): CallerWay => {
    return (instance, path, count) =>
        Promise.all(Array.from({ length: count }, () => requestBy(agent, instance, path)));
};

/** Ways in which callers use their connections. */
export const CALLER_WAYS: Record<"new" | "kept" | "pipelined", CallerWay> = {
    new: through(new Agent({ keepAlive: false })),
    kept: through(new Agent({ keepAlive: true, maxSockets: 8 })),
    pipelined,
};
