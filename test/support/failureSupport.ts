import { request as sendRequest, type IncomingMessage } from "node:http";
import { positionOf } from "../../src/request/position.js";
import { CALLER_HEADER, DEADLINE_HEADER, IDENTIFIER_HEADER, KEY_HEADER } from "../../src/request/outcome.js";
import { answerTag, taggedBody } from "./answerBody.js";
import { dispatcherOf as dispatcherAndOthers } from "./dispatcherOf.js";
import type { ExecutionEvent } from "./executionLog.js";
import type { TestReply } from "./requestClient.js";
import type { RouterCluster, RouterInstance } from "./routerCluster.js";

/** Service of the failure tests: divided by key, with lookups, long-running exports and orders. */
export const FAILURE_SERVICE = "stock";

/** Bundle of the failure tests. */
export const FAILURE_BUNDLE = `version = 1
name = failure
expires = 2099-12-31

[service stock]
path = /stock
divided-by = key
grants = checked
slots = 6
record = memory
deadline-ms = 5000

[kind stock.lookup]
methods = GET
pattern = /stock/:item
idempotent = true
priority = high

[kind stock.export]
methods = GET
pattern = /stock/exports/:item
idempotent = true
long = true

[kind stock.order]
methods = POST
pattern = /stock
idempotent = false
`;

/** The first keys of the sequence `k0`, `k1`, ... that a target currently owns. */
export const keysOf = async (router: RouterCluster, target: string, count: number): Promise<string[]> => {
    const map = (await router.rows()).sliceMap(FAILURE_SERVICE);
    const keys: string[] = [];
    for (let index = 0; keys.length < count && index < 10_000; index++) {
        const key = `k${index}`;
        if (map.ownerOf(positionOf(FAILURE_SERVICE, key))?.target === target) {
            keys.push(key);
        }
    }
    if (keys.length < count) {
        throw new Error(`Target ${target} owns only ${keys.length} of the tried keys.`);
    }
    return keys;
};

/** The current dispatcher of a target. */
export const dispatcherOf = async (router: RouterCluster, target: string): Promise<RouterInstance> =>
    (await dispatcherAndOthers(router, FAILURE_SERVICE, target)).dispatcher;

/** Targets whose current dispatcher is the given instance. */
export const targetsOf = async (router: RouterCluster, instance: RouterInstance): Promise<string[]> =>
    (await router.rows())
        .targets(FAILURE_SERVICE)
        .filter(({ value }) => value.dispatcher.startsWith(`${instance.name}.`))
        .map(({ value }) => value.target);

/** The execution starts that all targets have logged. */
export const startsOf = (router: RouterCluster): Extract<ExecutionEvent, { type: "start" }>[] =>
    router.cluster.events().filter(event => event.type === "start");

/** Result of reading a held answer to its end. */
export interface HeldResult {
    whole: boolean;
    /** Whether the received bytes belong to the answer to this request. */
    isOwn: boolean;
    bytes: number;
    error: string | undefined;
}

/**
 * A request whose caller reads the response head and then nothing until `finish`, which keeps the answer in flight. The
 * body must be larger than the socket buffers between target and caller.
 *
 * @example
 * const held = await HeldAnswer.open({ address, path: "/stock/exports/x?bytes=33554432", key: "k1", bytes: 33554432 });
 * (await held.finish()).whole; // true
 */
export class HeldAnswer {
    private readonly chunks: Buffer[] = [];
    private readonly unread: AsyncIterator<Buffer>;

    private constructor(
        private readonly response: IncomingMessage,
        private readonly expected: { path: string; bytes: number },
    ) {
        this.unread = (response as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
    }

    static open(request: {
        address: string;
        method?: string;
        path: string;
        key: string;
        bytes: number;
        identifier?: string;
    }): Promise<HeldAnswer> {
        return new Promise((resolve, reject) => {
            const sent = sendRequest(`http://${request.address}${request.path}`, {
                method: request.method ?? "GET",
                agent: false,
                headers: {
                    [KEY_HEADER]: request.key,
                    [DEADLINE_HEADER]: "600000",
                    [CALLER_HEADER]: "held",
                    ...(request.identifier === undefined ? {} : { [IDENTIFIER_HEADER]: request.identifier }),
                },
            });
            sent.once("error", reject);
            sent.once("response", response => {
                if (response.statusCode !== 200) {
                    reject(new Error(`${request.path} was answered ${response.statusCode}.`));
                    return;
                }
                response.pause();
                // The connection may fail while nothing is being read; `finish` reports it.
                response.on("error", () => undefined);
                sent.on("error", () => undefined);
                const tag = answerTag({ identifier: request.identifier, path: request.path });
                resolve(new HeldAnswer(response, { path: tag, bytes: request.bytes }));
            });
            sent.end();
        });
    }

    /** Whether the connection that carries the answer is open. */
    get isOpen(): boolean {
        return !this.response.destroyed;
    }

    /** Reads at least the given number of bytes, or to the end if there are fewer. */
    async read(bytes: number): Promise<void> {
        for (let received = 0; received < bytes;) {
            const next = await this.unread.next();
            if (next.done) {
                return;
            }
            this.chunks.push(next.value);
            received += next.value.byteLength;
        }
    }

    /** Reads the rest of the answer. */
    async finish(): Promise<HeldResult> {
        let error: string | undefined;
        try {
            await this.read(Infinity);
        } catch (caught) {
            error = caught instanceof Error ? caught.message : String(caught);
        }
        const body = Buffer.concat(this.chunks);
        const whole = error === undefined && this.response.complete && body.length === this.expected.bytes;
        const isOwn = body.equals(taggedBody(this.expected.path, this.expected.bytes).subarray(0, body.length));
        return { whole, isOwn, bytes: body.length, error };
    }
}

/** Short descriptions of replies, including the text of refusals, for readable test failures. */
export const outcomesOf = (replies: readonly TestReply[]): string[] =>
    replies.map(({ outcome, whole, error, problem, body }) =>
        outcome === "answered" && whole
            ? "answered"
            : `${outcome} ${problem ?? error ?? "interrupted"} ${problem === undefined ? "" : body.toString()}`,
    );
