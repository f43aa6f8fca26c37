import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { fromNodeHandler, H3, toNodeHandler } from "h3";
import { Pool, type Dispatcher } from "undici";
import { KEY_HEADER, POSITION_HEADER, SERVICE_HEADER } from "../../src/request/outcome.js";
import { positionOf } from "../../src/request/position.js";
import { slicesContain } from "../../src/process/ownership/sliceMap.js";
import { listenOnLoopback, readRequestBody } from "../../test/support/httpSupport.js";
import type { BaselineOptions, BaselineTarget } from "./baselineOptions.js";
import { BaselineQueue } from "./baselineQueue.js";

interface Backend extends BaselineTarget {
    pool: Pool;
    queue: BaselineQueue;
}

const HOP_BY_HOP_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding", "host", "content-length"]);

const firstValue = (value: string | string[] | undefined): string => (Array.isArray(value) ? value[0] : (value ?? ""));

/**
 * Router that serves as the baseline of benchmarks. It has a fixed assignment of keys to targets and an unbounded FIFO
 * queue per target, without priorities, deadlines or rebalancing. It retries a request after any failure, three times by
 * default.
 *
 * @example
 * const address = await new BaselineRouter({ targets, slots: 6, retries: 3 }).listen();
 */
export class BaselineRouter {
    private readonly backends: Backend[];
    private readonly server: Server;

    constructor(private readonly options: BaselineOptions) {
        this.backends = options.targets.map(target => ({
            ...target,
            pool: new Pool(`http://${target.address}`, {
                connections: options.slots,
                pipelining: 1,
                headersTimeout: 0,
                bodyTimeout: 0,
            }),
            queue: new BaselineQueue(options.slots),
        }));
        const app = new H3();
        app.all(
            "/**",
            fromNodeHandler(async (request, response) => {
                const closed = new Promise<void>(resolve => response.once("close", resolve));
                await this.handle(request as IncomingMessage, response as ServerResponse);
                await closed;
            }),
        );
        this.server = createServer(toNodeHandler(app) as (request: IncomingMessage, response: ServerResponse) => void);
    }

    listen(): Promise<string> {
        return listenOnLoopback(this.server);
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readRequestBody(request);
        const service = firstValue(request.headers[SERVICE_HEADER]) || (request.url ?? "/").split(/[/?]/)[1];
        const position = positionOf(service, firstValue(request.headers[KEY_HEADER]));
        const backend = this.backends.find(
            candidate => candidate.service === service && slicesContain(candidate.slices, position),
        );
        if (backend === undefined || body === undefined) {
            response.writeHead(404).end();
            return;
        }
        const headers = Object.fromEntries(
            Object.entries(request.headers)
                .filter(([name]) => !HOP_BY_HOP_HEADERS.has(name))
                .map(([name, value]) => [name, firstValue(value)]),
        );
        const options: Dispatcher.DispatchOptions = {
            method: request.method as Dispatcher.HttpMethod,
            path: request.url ?? "/",
            headers: { ...headers, [POSITION_HEADER]: String(position) },
            body: body.length === 0 ? null : body,
        };
        this.attempt(backend, options, response, this.options.retries);
    }

    private attempt(
        backend: Backend,
        options: Dispatcher.DispatchOptions,
        response: ServerResponse,
        retries: number,
    ): void {
        backend.queue.add(release => {
            const onFailure = () => {
                release();
                if (response.headersSent) {
                    response.destroy();
                } else if (retries > 0) {
                    this.attempt(backend, options, response, retries - 1);
                } else {
                    response.writeHead(502).end();
                }
            };
            let isServerError = false;
            backend.pool.dispatch(options, {
                onRequestStart: () => undefined,
                onResponseStart: (_controller, status, headers) => {
                    isServerError = status >= 500;
                    if (!isServerError) {
                        response.statusCode = status;
                        Object.entries(headers)
                            .filter(([name]) => name === "content-length" || !HOP_BY_HOP_HEADERS.has(name))
                            .forEach(([name, value]) => response.setHeader(name, value ?? ""));
                    }
                },
                onResponseData: (controller, chunk) => {
                    if (!isServerError && !response.write(chunk)) {
                        controller.pause();
                        response.once("drain", () => controller.resume());
                    }
                },
                onResponseEnd: () => {
                    if (isServerError) {
                        onFailure();
                    } else {
                        release();
                        response.end();
                    }
                },
                onResponseError: onFailure,
            });
        });
    }
}
