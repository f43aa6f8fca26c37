import { Pool, type Dispatcher } from "undici";
import { v7 as uuidv7 } from "uuid";
import {
    CALLER_HEADER,
    DEADLINE_HEADER,
    IDENTIFIER_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    SERVICE_HEADER,
} from "../../src/request/outcome.js";
import type { LatencyRecorder, LoadOutcome } from "./latencyRecorder.js";
import type { LoadStream } from "./loadPlan.js";

/** Interval at which due requests of an open-loop stream are sent, in milliseconds. */
const ARRIVAL_TICK_MS = 1;

/** Times of the load as values of `performance.now()`. */
export interface LoadTimes {
    startAt: number;
    recordFrom: number;
    endAt: number;
}

const outcomeOf = (stream: LoadStream, header: unknown, status: number, elapsedMs: number): LoadOutcome => {
    if (header === "not-run" || header === "unknown" || header === "invalid") {
        return header;
    }
    if (status >= 400) {
        return "failed";
    }
    return stream.deadlineMs !== undefined && elapsedMs > stream.deadlineMs ? "late" : "answered";
};

/**
 * Sends the requests of a stream and records their outcomes. In an open-loop stream, latency counts from the time at
 * which the request was due, so that it includes the delay of a generator or router that falls behind.
 *
 * @example
 * await new StreamSender(stream, recorder, seededRandom(1), times).run();
 */
export class StreamSender {
    private readonly pools: Pool[];
    private readonly endAt: number;
    private poolIndex = 0;
    private pendingRequests = 0;
    private onIdle: () => void = () => undefined;

    constructor(
        private readonly stream: LoadStream,
        private readonly recorder: LatencyRecorder,
        private readonly random: () => number,
        private readonly times: LoadTimes,
    ) {
        const connections = stream.mode.type === "closed" ? stream.mode.callers : stream.connections;
        this.pools = stream.addresses.map(
            address => new Pool(`http://${address}`, { connections, pipelining: 1, headersTimeout: 60_000 }),
        );
        this.endAt = Math.min(times.endAt, times.startAt + (stream.untilMs ?? Infinity));
    }

    /** Runs the stream. Resolves when all its requests have ended. */
    async run(): Promise<void> {
        const { mode, fromMs } = this.stream;
        await pauseUntil(this.times.startAt + fromMs);
        if (mode.type === "closed") {
            await Promise.all(Array.from({ length: mode.callers }, () => this.runCaller()));
        } else {
            await this.runArrivals(mode.perSecond);
        }
        await Promise.all(this.pools.map(pool => pool.destroy()));
    }

    private async runCaller(): Promise<void> {
        for (let now = performance.now(); now < this.endAt; now = performance.now()) {
            const dueAt = now;
            await new Promise<void>(resolve => this.send(dueAt, resolve));
        }
    }

    private async runArrivals(perSecond: number): Promise<void> {
        let dueAt = this.times.startAt + this.stream.fromMs + this.interarrivalMs(perSecond);
        while (dueAt < this.endAt) {
            const now = performance.now();
            while (dueAt <= now && dueAt < this.endAt) {
                this.pendingRequests++;
                this.send(dueAt, () => this.requestEnded());
                dueAt += this.interarrivalMs(perSecond);
            }
            await new Promise<void>(resolve => setTimeout(resolve, ARRIVAL_TICK_MS));
        }
        if (this.pendingRequests > 0) {
            await new Promise<void>(resolve => {
                this.onIdle = resolve;
            });
        }
    }

    private requestEnded(): void {
        this.pendingRequests--;
        if (this.pendingRequests === 0) {
            this.onIdle();
        }
    }

    private interarrivalMs(perSecond: number): number {
        return (-Math.log(1 - this.random()) * 1_000) / perSecond;
    }

    private nextKey(): string {
        const { hot, keys } = this.stream;
        const from = hot !== undefined && this.random() < hot.share ? hot.keys : keys;
        return from[Math.floor(this.random() * from.length)];
    }

    private send(dueAt: number, done: () => void): void {
        const { stream, recorder } = this;
        const recorded = dueAt >= this.times.recordFrom;
        const arrivedAt = dueAt - this.times.startAt;
        if (recorded) {
            recorder.recordArrival(arrivedAt);
        }
        let status = 0;
        let outcome: unknown;
        let settled = false;
        let abort: () => void = () => undefined;
        const end = (failed: boolean, timedOut = false) => {
            if (settled) {
                return;
            }
            settled = true;
            clearTimeout(timer);
            if (recorded) {
                const elapsedMs = performance.now() - dueAt;
                const result = timedOut ? "late" : failed ? "failed" : outcomeOf(stream, outcome, status, elapsedMs);
                recorder.recordEnd(arrivedAt, result, elapsedMs);
            }
            done();
        };
        const onTimeout = () => {
            end(false, true);
            abort();
        };
        const timer = stream.giveUpMs === undefined ? undefined : setTimeout(onTimeout, stream.giveUpMs);
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: controller => {
                abort = () => controller.abort(new Error("The caller timed out."));
                if (settled) {
                    abort();
                }
            },
            onResponseStart: (_controller, code, headers) => {
                status = code;
                outcome = headers[OUTCOME_HEADER];
            },
            onResponseData: () => undefined,
            onResponseEnd: () => end(false),
            onResponseError: () => end(true),
        };
        const key = this.nextKey();
        this.poolIndex = (this.poolIndex + 1) % this.pools.length;
        this.pools[this.poolIndex].dispatch(
            {
                method: stream.method,
                path: stream.path.replace(":key", key),
                headers: this.headersOf(key),
                body: stream.body ?? null,
            },
            handler,
        );
    }

    private headersOf(key: string): Record<string, string> {
        const { service, identified, deadlineMs, caller } = this.stream;
        return {
            [KEY_HEADER]: key,
            ...(service === undefined ? {} : { [SERVICE_HEADER]: service }),
            ...(identified ? { [IDENTIFIER_HEADER]: uuidv7() } : {}),
            ...(deadlineMs === undefined ? {} : { [DEADLINE_HEADER]: String(deadlineMs) }),
            ...(caller === undefined ? {} : { [CALLER_HEADER]: caller }),
        };
    }
}

const pauseUntil = (at: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, Math.max(0, at - performance.now())));
