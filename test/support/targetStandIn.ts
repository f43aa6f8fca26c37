import { randomUUID } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import {
    DEADLINE_AT_HEADER,
    IDENTIFIER_HEADER,
    KEY_HEADER,
    NOT_RUN_HEADER,
    POSITION_HEADER,
    TERM_HEADER,
} from "../../src/request/outcome.js";
import { answerTag, slowChunks, taggedBody } from "./answerBody.js";
import { machineMonotonicMs, type ExecutionLog } from "./executionLog.js";
import { GrantState, grantSchema } from "./grantState.js";
import {
    closeServer,
    createLongLivedServer,
    headerOf,
    listenOnLoopback,
    parseJson,
    readRequestBody,
    sendJson,
} from "./httpSupport.js";
import type { TargetControl, TargetOptions } from "./targetOptions.js";

export const BOOT_HEADER = "sassafrasloom-boot";
/** Header with the reason why a started request was aborted without effect. */
export const ABANDONED_HEADER = "sassafrasloom-abandoned";
/** Exit code of a target that was crashed by a request. */
export const CRASH_EXIT_CODE = 70;

/** The fields of a request that are logged. */
interface RequestFacts {
    key: string | undefined;
    position: number | undefined;
    identifier: string | undefined;
    term: number | undefined;
    method: string;
    path: string;
}

interface TargetRequest {
    facts: RequestFacts;
    deadlineAt: number | undefined;
    url: URL;
}

const numberOf = (text: string | null | undefined): number | undefined => {
    const value = text === null || text === undefined || text === "" ? NaN : Number(text);
    return Number.isFinite(value) ? value : undefined;
};

const describeRequest = (request: IncomingMessage, url: URL): TargetRequest => ({
    facts: {
        key: headerOf(request, KEY_HEADER),
        position: numberOf(headerOf(request, POSITION_HEADER)),
        identifier: headerOf(request, IDENTIFIER_HEADER),
        term: numberOf(headerOf(request, TERM_HEADER)),
        method: request.method ?? "GET",
        path: `${url.pathname}${url.search}`,
    },
    deadlineAt: numberOf(headerOf(request, DEADLINE_AT_HEADER)),
    url,
});

/**
 * Stand-in for a target as specified in `docs/protocols.md`. A request can set `?serviceMs=` (service time), `?bytes=`
 * (size of the answer), `?chunkMs=` (delay between chunks of 16 KiB) and `?chunked=1` (no content length). A slot is
 * occupied until the answer has been sent.
 *
 * @example
 * const target = new TargetStandIn(targetOptionsSchema.parse({ service: "stock", target: "s1" }), log, process.exit);
 * const address = await target.listen();
 */
export class TargetStandIn {
    readonly boot = randomUUID();
    private readonly grant = new GrantState();
    private readonly startedAt = performance.now();
    private readonly server: Server;
    private readonly acceptedAt = new WeakMap<Socket, number>();
    private readonly idleListeners = new Set<() => void>();
    /** Requests that have started and haven't ended. */
    private readonly running = new Set<{ checkKept(): void }>();
    private executions = 0;
    private inFlight = 0;
    private draining = false;
    private report: { at: number; slots: number; inFlight: number } | undefined;

    constructor(
        private options: TargetOptions,
        private readonly log: ExecutionLog,
        private readonly exit: (code: number) => void,
    ) {
        this.server = createLongLivedServer((request, response) => void this.handle(request, response));
        this.server.on("connection", socket => this.acceptedAt.set(socket, performance.now()));
    }

    /** Starts listening and returns `host:port`. */
    async listen(): Promise<string> {
        const { service, target } = this.options;
        this.log.append({ type: "boot", service, target, boot: this.boot, at: machineMonotonicMs() });
        return listenOnLoopback(this.server);
    }

    dispose(): Promise<void> {
        return closeServer(this.server);
    }

    /** Changes options and faults; called by `POST /control`. */
    control(control: TargetControl): void {
        const { drain, ...changes } = control;
        this.options = { ...this.options, ...changes };
        if (drain) {
            this.drain();
        }
    }

    /** Refuses new work from now on and exits when all running work is done. */
    drain(): void {
        if (this.draining) {
            return;
        }
        this.draining = true;
        setTimeout(() => {
            const endIfIdle = () => {
                if (this.inFlight === 0) {
                    this.exit(0);
                }
            };
            this.idleListeners.add(endIfIdle);
            endIfIdle();
        }, this.options.drainLingerMs);
    }

    state(): "serving" | "cold" | "draining" {
        if (this.draining) {
            return "draining";
        }
        return performance.now() - this.startedAt < this.options.coldMs ? "cold" : "serving";
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.setHeader(BOOT_HEADER, this.boot);
        const url = new URL(request.url ?? "/", "http://target");
        await this.delayFirstRequest(request.socket);
        const body = await readRequestBody(request);
        if (body === undefined) {
            return;
        }
        const route = `${request.method} ${url.pathname}`;
        if (route === "GET /sassafrasloom/probe") {
            setTimeout(() => sendJson(response, 200, this.probe()), this.options.probeMs);
        } else if (route === "PUT /sassafrasloom/grant" && this.options.checksGrants) {
            this.acceptGrant(body, response);
        } else if (url.pathname.startsWith("/sassafrasloom/")) {
            sendJson(response, 404, {});
        } else {
            this.serve(describeRequest(request, url), body, response);
        }
    }

    private async delayFirstRequest(socket: Socket): Promise<void> {
        const acceptedAt = this.acceptedAt.get(socket);
        this.acceptedAt.delete(socket);
        const rest = acceptedAt === undefined ? 0 : acceptedAt + this.options.connectMs - performance.now();
        if (rest > 0) {
            await new Promise<void>(resolve => setTimeout(resolve, Math.ceil(rest)));
        }
    }

    private probe(): unknown {
        const now = performance.now();
        if (this.report === undefined || now - this.report.at >= this.options.reportLagMs) {
            this.report = { at: now, slots: this.options.slots, inFlight: this.inFlight };
        }
        const { slots, inFlight } = this.report;
        const load = inFlight / Math.max(1, slots);
        return { slots, inFlight, load, state: this.state(), ...this.options.lie, boot: this.boot, clock: now };
    }

    private acceptGrant(body: Buffer, response: ServerResponse): void {
        const grant = grantSchema.safeParse(parseJson(body.toString()));
        if (!grant.success) {
            sendJson(response, 400, { error: grant.error.message });
            return;
        }
        const accepted = this.grant.accept(grant.data, performance.now());
        if (accepted) {
            this.running.forEach(execution => execution.checkKept());
        }
        const answer = { boot: this.boot, clock: performance.now(), ...this.grant.position };
        sendJson(response, accepted ? 200 : 409, accepted ? answer : { ...answer, reason: "stale" });
    }

    /** Checks and starts a request in one synchronous step. */
    private serve(request: TargetRequest, body: Buffer, response: ServerResponse): void {
        const { service, target } = this.options;
        const common = { service, target, boot: this.boot };
        if (response.destroyed) {
            this.log.append({
                type: "refuse",
                ...common,
                at: machineMonotonicMs(),
                reason: "cancelled",
                ...request.facts,
            });
            return;
        }
        const reason = this.refusalReason(request);
        if (reason !== undefined) {
            this.log.append({ type: "refuse", ...common, at: machineMonotonicMs(), reason, ...request.facts });
            sendJson(response, 503, { reason }, { [NOT_RUN_HEADER]: reason });
            return;
        }
        const execution = ++this.executions;
        this.log.append({ type: "start", ...common, at: machineMonotonicMs(), execution, ...request.facts });
        if (this.crashes(request, body)) {
            this.exit(CRASH_EXIT_CODE);
            return;
        }
        this.run(execution, request, response);
    }

    private run(execution: number, request: TargetRequest, response: ServerResponse): void {
        const { service, target } = this.options;
        const common = { service, target, boot: this.boot, execution };
        const serviceMs = this.serviceMs(request);
        const leftMs = (request.deadlineAt ?? Infinity) - performance.now();
        let running = true;
        const end = (reason: string | undefined) => {
            running = false;
            clearTimeout(timer);
            const at = machineMonotonicMs();
            const term = this.options.checksGrants ? this.grant.position.term : request.facts.term;
            this.log.append(
                reason ? { type: "abandon", ...common, at, reason } : { type: "commit", ...common, at, term },
            );
        };
        const abandon = (reason: string) => {
            end(reason);
            // The request has started, so this answer must not state that it has not run.
            sendJson(response, 503, { reason }, { [ABANDONED_HEADER]: reason });
        };
        const timer = setTimeout(
            () => {
                const reason = leftMs < serviceMs ? "deadline-passed" : this.commitObjection(request);
                if (reason !== undefined) {
                    abandon(reason);
                } else {
                    end(undefined);
                    void this.answer(execution, request, response);
                }
            },
            // Rounded up because a timer may fire a fraction of a millisecond early.
            Math.ceil(Math.min(serviceMs, leftMs)),
        );
        const started = {
            checkKept: () => {
                const { position } = request.facts;
                if (running && position !== undefined && !this.grant.wasKept(position)) {
                    abandon("not-owner");
                }
            },
        };
        this.running.add(started);
        this.inFlight++;
        response.once("close", () => {
            this.running.delete(started);
            if (running) {
                end("cancelled");
            }
            this.inFlight--;
            if (this.inFlight === 0) {
                this.idleListeners.forEach(listener => listener());
            }
        });
    }

    private async answer(execution: number, request: TargetRequest, response: ServerResponse): Promise<void> {
        const query = request.url.searchParams;
        const bytes = numberOf(query.get("bytes"));
        if (bytes === undefined) {
            const { service, target } = this.options;
            sendJson(response, 200, { service, target, execution, ...request.facts });
            return;
        }
        const content = taggedBody(answerTag(request.facts), bytes);
        const length = query.has("chunked") ? {} : { "content-length": bytes };
        response.writeHead(200, { "content-type": "application/octet-stream", ...length });
        const chunks = slowChunks(content, numberOf(query.get("chunkMs")) ?? 0);
        // A failure means that the connection ended; the effect is committed nevertheless.
        await pipeline(Readable.from(chunks, { objectMode: false }), response).catch(() => undefined);
    }

    private refusalReason(request: TargetRequest): string | undefined {
        if (this.draining) {
            return "draining";
        }
        const now = performance.now();
        if (request.deadlineAt !== undefined && now >= request.deadlineAt) {
            return "deadline-passed";
        }
        const objection = this.options.checksGrants ? this.grant.startObjection(request.facts, now) : undefined;
        if (objection !== undefined) {
            return objection;
        }
        return this.inFlight >= this.options.slots ? "shed" : undefined;
    }

    private commitObjection(request: TargetRequest): string | undefined {
        const now = performance.now();
        if (request.deadlineAt !== undefined && now >= request.deadlineAt) {
            return "deadline-passed";
        }
        return this.options.checksGrants ? this.grant.commitObjection(request.facts, now) : undefined;
    }

    private crashes(request: TargetRequest, body: Buffer): boolean {
        return this.options.crash.some(
            rule =>
                (rule.path !== undefined && request.facts.path.startsWith(rule.path)) ||
                (rule.body !== undefined && body.includes(rule.body)),
        );
    }

    private serviceMs(request: TargetRequest): number {
        const byPath = this.options.servicePaths.find(({ prefix }) => request.facts.path.startsWith(prefix));
        const stated = numberOf(request.url.searchParams.get("serviceMs"));
        const warm = stated ?? byPath?.serviceMs ?? this.options.serviceMs;
        return this.state() === "cold" ? warm * this.options.coldFactor : warm;
    }
}
