import { v7 as uuidv7 } from "uuid";
import {
    doubleCommits,
    executionsOf,
    falseNotRuns,
    ownershipViolations,
    type Execution,
    type NotRunReport,
    type Violation,
} from "./executionChecker.js";
import { machineMonotonicMs } from "./executionLog.js";
import { RequestClient, type TestReply } from "./requestClient.js";
import { type RouterCluster, type RouterInstance } from "./routerCluster.js";
import { pause, waitFor } from "./waitFor.js";

/** A non-idempotent request of a test; all sends of it have the same method, path, body and identifier. */
export interface AtMostOnceRequest {
    service: string;
    key: string;
    identifier: string;
    /** Query of the target stand-in, such as `serviceMs=200`. */
    query: string;
}

interface Send {
    request: AtMostOnceRequest;
    startedAt: number;
    endedAt: number;
    outcome: string | undefined;
}

/** Deadline of the requests, in milliseconds. */
const CALLER_DEADLINE_MS = 5_000;
/** Delay before a request that has not run is resent, in milliseconds. */
const RESEND_DELAY_MS = 100;
/** Maximum number of sends of one request. */
const MAX_SENDS = 150;

/** An identifier whose timestamp is `aheadMs` milliseconds ahead of the clock (behind it if negative). */
export const identifierAhead = (aheadMs: number): string => uuidv7({ msecs: Date.now() + aheadMs });

/**
 * Sends non-idempotent requests, some of them several times, and checks the targets' logs for violations.
 *
 * @example
 * const calls = new OnceCalls(router);
 * const request = calls.request("orders", "k1");
 * await Promise.all(router.instances.map(instance => calls.send(instance.callers, request)));
 * calls.violations(); // []
 */
export class AtMostOnceCalls {
    private readonly client = new RequestClient();
    private readonly sends: Send[] = [];

    constructor(private readonly router: RouterCluster) {}

    dispose(): Promise<void> {
        return this.client.dispose();
    }

    request(service: string, key: string, options: { query?: string; identifier?: string } = {}): AtMostOnceRequest {
        return { service, key, identifier: options.identifier ?? uuidv7(), query: options.query ?? "" };
    }

    /** Four requests for different keys, whose identifiers are ahead of the clock by `aheadMs`. */
    requests(service: string, name: string, query = "", aheadMs = 0): AtMostOnceRequest[] {
        return Array.from({ length: 4 }, (_, index) =>
            this.request(service, `${name}${index}`, { query, identifier: identifierAhead(aheadMs) }),
        );
    }

    async send(address: string, request: AtMostOnceRequest, options: { timeoutMs?: number } = {}): Promise<TestReply> {
        const send: Send = { request, startedAt: machineMonotonicMs(), endedAt: Infinity, outcome: undefined };
        this.sends.push(send);
        const reply = await this.client.send({
            address,
            method: "POST",
            path: `/${request.service}?${request.query}`,
            key: request.key,
            identifier: request.identifier,
            deadlineMs: CALLER_DEADLINE_MS,
            timeoutMs: options.timeoutMs,
            body: `body of ${request.identifier}`,
        });
        send.endedAt = machineMonotonicMs();
        send.outcome = reply.outcome;
        return reply;
    }

    /** Sends a request through the instances in turn until it gets a final outcome, that is, any except `not-run`. */
    async sendUntilSettled(instances: readonly RouterInstance[], request: AtMostOnceRequest): Promise<TestReply> {
        for (let send = 0; send < MAX_SENDS; send++) {
            const reply = await this.send(instances[send % instances.length].callers, request);
            if (reply.outcome !== undefined && reply.outcome !== "not-run" && reply.whole) {
                return reply;
            }
            await pause(RESEND_DELAY_MS);
        }
        throw new Error(`${request.service} ${request.identifier} had no final outcome after ${MAX_SENDS} sends.`);
    }

    /** Waits until an instance accepts requests with new identifiers. */
    async waitUntilServed(service: string, { callers }: RouterInstance): Promise<void> {
        await waitFor(async () => {
            const reply = await this.send(callers, this.request(service, "probe"));
            await pause(RESEND_DELAY_MS);
            return reply.outcome === "answered";
        }, 30_000);
    }

    /** Waits until a target has started a request. */
    async started(request: AtMostOnceRequest): Promise<void> {
        await waitFor(() => this.executions(request).length > 0);
    }

    /** Executions of a request, including those without effect. */
    executions({ service, identifier }: AtMostOnceRequest): Execution[] {
        return executionsOf(this.router.cluster.events()).filter(
            execution => execution.service === service && execution.identifier === identifier,
        );
    }

    commits(request: AtMostOnceRequest): number {
        return this.executions(request).filter(({ effect }) => effect === "committed").length;
    }

    /** Violations of at-most-once execution, of `not-run` reports and of ownership by all requests so far. */
    violations(): Violation[] {
        const executions = executionsOf(this.router.cluster.events());
        return [
            ...doubleCommits(executions, ({ method }) => method === "POST"),
            ...falseNotRuns(executions, this.notRunReports()),
            ...ownershipViolations(executions),
        ];
    }

    /**
     * A `not-run` report is true if no execution of the identifier started before the first other send that overlaps or
     * follows. If all sends of an identifier were refused as not run, there must be no execution at all.
     */
    private notRunReports(): NotRunReport[] {
        return this.sends.flatMap((send): NotRunReport[] => {
            if (send.outcome !== "not-run") {
                return [];
            }
            const { service, identifier } = send.request;
            const others = this.sends.filter(
                other => other !== send && other.request.identifier === identifier && other.endedAt > send.startedAt,
            );
            const sentAgainAt = others.every(({ outcome }) => outcome === "not-run")
                ? undefined
                : Math.min(...others.map(({ startedAt }) => startedAt));
            return [{ service, identifier, sentAgainAt }];
        });
    }
}
