import { connect, type Socket } from "node:net";
import { GatewayBundle } from "../support/gatewayBundle.js";
import { standInConfig, standInEntry } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget, type TargetArrival } from "../support/scriptedTarget.js";
import { seededRandom } from "../support/seededRandom.js";
import { pause, waitFor } from "../support/waitFor.js";

const SEED = Number(process.env.SEED ?? 1);
const SECONDS = Number(process.env.SECONDS ?? 10);
const CALLERS = 24;
/** Number of targets that answer, and of those whose answers don't end. */
const TARGETS = 4;
const ENDLESS_TARGETS = 4;
/** Requests a second to those whose answers don't end. */
const ENDLESS_PER_SECOND = 40;
/** Pause of a caller that reads slowly after each part that it has read, in milliseconds. */
const SLOW_MS = 4;

const FRAMINGS = ["length", "chunks", "connection"] as const;
const ENDS = ["whole", "whole", "whole", "repeated", "further bytes", "closed", "reset", "reset at once"] as const;
const SIZES = [0, 20, 3_000, 90_000, 540_000, 1_500_000] as const;

/** How a target answers one request. */
interface Variant {
    framing: (typeof FRAMINGS)[number];
    end: (typeof ENDS)[number];
    size: number;
}

/** What a caller has received as the answer to one request. */
interface Received {
    id: string;
    status: number;
    answeredId: string | undefined;
    body: string;
    isFramed: boolean;
}

const wholeBody = (id: string, size: number): string =>
    `${id};`.repeat(Math.ceil(size / (id.length + 1))).slice(0, size);

/** Takes complete answers off the beginning of the bytes of a connection; what is left is returned. */
const takeAnswers = (text: string, hasEnded: boolean, received: (answer: Omit<Received, "id">) => void): string => {
    for (;;) {
        const headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return text;
        }
        const head = text.slice(0, headEnd);
        const rest = text.slice(headEnd + 4);
        const fieldOf = (name: string) => new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1];
        const length = fieldOf("content-length");
        let body = "";
        let end = 0;
        if (fieldOf("transfer-encoding") !== undefined) {
            for (let size = -1; size !== 0;) {
                const lineEnd = rest.indexOf("\r\n", end);
                size = lineEnd < 0 ? NaN : parseInt(rest.slice(end, lineEnd), 16);
                if (Number.isNaN(size) || rest.length < lineEnd + 4 + size) {
                    return text;
                }
                body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
                end = lineEnd + 4 + size;
            }
        } else if (length !== undefined) {
            end = Number(length);
            if (rest.length < end) {
                return text;
            }
            body = rest.slice(0, end);
        } else if (hasEnded) {
            body = rest;
            end = rest.length;
        } else {
            return text;
        }
        received({
            status: Number(head.split(" ")[1]),
            answeredId: fieldOf("x-request-id"),
            body,
            isFramed: fieldOf("transfer-encoding") !== undefined || length !== undefined,
        });
        text = rest.slice(end);
    }
};

// Guards against answers of another request, and against parts of answers that look whole, beside answers without end.
it(
    "answers of faulty targets reach their callers whole, or not looking whole",
    async () => {
        const random = seededRandom(SEED);
        const pick = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)];
        const variants = new Map<string, Variant[]>();
        /** Connections on which an answer was cut. Nothing follows it: an answer is repeated where the next one is expected. */
        const cut = new WeakSet<Socket>();
        const answer = ({ headers, socket }: TargetArrival) => {
            const id = headers.get("x-request-id") ?? "";
            const variant = { framing: pick(FRAMINGS), end: pick(ENDS), size: pick(SIZES) };
            variants.set(id, [...(variants.get(id) ?? []), variant]);
            const { framing, end, size } = variant;
            const whole = wholeBody(id, size);
            const isCut = end === "closed" || end === "reset" || end === "reset at once";
            if (isCut) {
                cut.add(socket);
            }
            const body = isCut ? whole.slice(0, Math.floor(size / 2)) : whole;
            const head = [`HTTP/1.1 200 OK`, `X-Request-Id: ${id}`, "X-Upstream-Signature: s"];
            head.push(...(framing === "length" ? [`Content-Length: ${size}`] : []));
            head.push(...(framing === "chunks" ? ["Transfer-Encoding: chunked"] : []));
            const chunks = body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`;
            const content = framing === "chunks" ? `${chunks}${isCut ? "" : "0\r\n\r\n"}` : body;
            const bytes = `${head.join("\r\n")}\r\n\r\n${content}`;
            const written = () => {
                if (end === "reset") {
                    setTimeout(() => socket.resetAndDestroy(), 5);
                } else if (end === "reset at once") {
                    socket.resetAndDestroy();
                } else if (end === "closed" || framing === "connection") {
                    socket.end();
                } else if (end === "repeated") {
                    setTimeout(() => cut.has(socket) || socket.write(bytes), random() * 40);
                }
            };
            socket.write(end === "further bytes" && framing !== "connection" ? `${bytes}further` : bytes, written);
        };
        const flood = ({ headers, socket }: TargetArrival) => {
            const head = ["HTTP/1.1 200 OK", `X-Request-Id: ${headers.get("x-request-id")}`, "X-Upstream-Signature: s"];
            socket.write(`${head.join("\r\n")}\r\n\r\n`);
            const block = "e".repeat(16_384);
            const timer = setInterval(() => (socket.destroyed ? clearInterval(timer) : socket.write(block)), 20);
        };
        const targets: ScriptedTarget[] = [];
        const entries: Record<string, unknown> = {};
        for (let index = 0; index < TARGETS + ENDLESS_TARGETS; index++) {
            const isEndless = index >= TARGETS;
            const target = await startScriptedTarget(isEndless ? flood : answer);
            targets.push(target);
            const entry = standInEntry(target, { service: isEndless ? "other" : "stock" }) as { info: object };
            entries[`t${index}`] = { ...entry, info: { ...entry.info, slots: 100 } };
        }
        const route = ["endless", "shop.example", "/endless/", "non_idempotent", 3_000, 400, 2, "other", 1, null];
        const gateway = await GatewayBundle.start(standInConfig(1, [route]), entries);

        const answers: Received[] = [];
        let nextId = 0;
        let isAsking = true;
        /** Sends one to three requests on a new connection and records the complete answers to them. */
        const ask = (): Promise<void> =>
            new Promise(resolve => {
                const isOrder = random() < 0.3;
                const ids = Array.from({ length: isOrder || random() < 0.5 ? 1 : 3 }, () => `q${nextId++}`);
                const isSlow = random() < 0.3;
                const pending = [...ids];
                const socket = connect(gateway.port, "127.0.0.1");
                let text = "";
                const take = (hasEnded: boolean) => {
                    text = takeAnswers(text, hasEnded, received => {
                        answers.push({ id: pending.shift() ?? "none", ...received });
                        if (pending.length === 0) {
                            socket.destroy();
                        }
                    });
                };
                const timer = setTimeout(() => socket.destroy(), 5_000);
                socket.on("data", chunk => {
                    text += chunk.toString("latin1");
                    take(false);
                    if (isSlow) {
                        socket.pause();
                        setTimeout(() => socket.resume(), SLOW_MS);
                    }
                });
                // A reset that is read with the last bytes is reported as an end, too; there is no peer then.
                socket.on("end", () => take(socket.remoteAddress !== undefined));
                socket.on("error", () => undefined);
                socket.on("close", () => {
                    clearTimeout(timer);
                    resolve();
                });
                for (const id of ids) {
                    const line = isOrder ? "POST /order/x" : "GET /read/x";
                    socket.write(
                        `${line} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 3000\r\n` +
                            `Content-Length: 0\r\n\r\n`,
                    );
                }
            });
        const askEndless = () => {
            const socket = connect(gateway.port, "127.0.0.1").on("error", () => undefined);
            socket.on("data", () => socket.pause());
            socket.write(
                "POST /endless/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: e\r\nContent-Length: 0\r\n\r\n",
            );
            setTimeout(() => socket.destroy(), 3_000);
        };
        await waitFor(async () => (await fetch(`http://127.0.0.1:${gateway.readinessPort}/readyz`)).status === 200);
        const endless = setInterval(askEndless, 1_000 / ENDLESS_PER_SECOND);
        const callers = Array.from({ length: CALLERS }, async () => {
            while (isAsking) {
                await ask();
            }
        });
        await pause(SECONDS * 1_000);
        isAsking = false;
        clearInterval(endless);
        await Promise.all(callers);

        const isWrong = ({ id, status, answeredId, body, isFramed }: Received): boolean => {
            if (status !== 200) {
                return status < 400;
            }
            const possible = variants.get(id) ?? [];
            const isWhole = possible.some(({ size }) => body === wholeBody(id, size));
            // An answer without a length can't be told from a whole one if its target closes the connection early.
            const isClosed =
                !isFramed &&
                possible.some(
                    ({ framing, end, size }) =>
                        framing === "connection" &&
                        end === "closed" &&
                        body === wholeBody(id, size).slice(0, Math.floor(size / 2)),
                );
            return answeredId !== id || !(isWhole || isClosed);
        };
        const wrong = answers
            .filter(isWrong)
            .map(({ body, ...rest }) => ({ ...rest, bytes: body.length, variants: variants.get(rest.id) }));
        const ended = gateway.ended;
        gateway.dispose();
        await Promise.all(targets.map(target => target.dispose()));
        expect(wrong).toEqual([]);
        expect(ended).toBeUndefined();
        expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(SECONDS);
        if (process.env.SECONDS !== undefined) {
            console.log(
                `seed ${SEED}: ${answers.length} answers, ${answers.filter(a => a.status === 200).length} of them 200`,
            );
        }
    },
    (SECONDS + 60) * 1_000,
);
