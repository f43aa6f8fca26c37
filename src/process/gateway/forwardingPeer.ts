import {
    TargetConnections,
    type SentRequest,
    type TargetAnswer,
    type TargetRequest,
} from "../../connection/targetConnections.js";
import { decodeForwardedHeaders, encodeForwardFields, type ForwardFields } from "../../request/forwardFields.js";
import { decodeProblem, outcomeOfRefusal, refuse } from "../../request/refusal.js";
import type { Clock } from "../runtime/clock.js";
import type { Peer } from "./peersMessage.js";

/** Maximum number of connections to one peer. */
const CONNECTIONS = 64;
/** Time within which a connection to a peer must be established, in milliseconds; several round trips. */
const CONNECT_TIMEOUT_MS = 250;
/** Maximum idle time of a connection to a peer, in milliseconds; below the time after which the peer closes it. */
const MAX_IDLE_MS = 8_000;
/** Time for which a peer that couldn't forward a request isn't used while there are others, in milliseconds. */
const SUSPICION_MS = 1_000;
/**
 * Time without a byte of a peer that has a request after which the peer isn't used while there are others, in milliseconds. It may
 * be frozen, which a new connection to it wouldn't show.
 */
const SILENCE_MS = 500;
/** Maximum size of a peer's refusal in bytes. */
const MAX_REFUSAL_BYTES = 65_536;

/** How a request through a peer ended: answered by its target, refused with nothing sent to it, or lost. */
export type ForwardingOutcome = "answered" | "not-sent" | "lost";

/** A request for a peer: headers are alternating names and values. */
export type ForwardableRequest = TargetRequest & { headers: string[] };

/** Another instance through which this one reaches targets to which its own path is cut. */
export class ForwardingPeer {
    private readonly connections: TargetConnections;
    /** Times at which the requests under way were begun, in their order; monotonic, in milliseconds. */
    private readonly running = new Set<{ since: number }>();
    private suspectUntil = -Infinity;
    private heardAt = -Infinity;
    private suspectedAt = -Infinity;

    constructor(
        readonly peer: Peer,
        private readonly clock: Clock,
        /** Called with the end of each request. */
        private readonly ended: (outcome: ForwardingOutcome) => void,
    ) {
        const { host, port } = peer.address;
        this.connections = new TargetConnections(`${host}:${port}`, clock, {
            limit: CONNECTIONS,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
        });
    }

    get name(): string {
        return `${this.peer.address.host}:${this.peer.address.port}`;
    }

    /** Requests of this instance that the peer has under way. */
    get inFlight(): number {
        return this.running.size;
    }

    get isSuspect(): boolean {
        const now = this.clock.monotonicMs();
        const [oldest] = this.running;
        const silentSince = Math.max(oldest?.since ?? now, this.heardAt);
        return now < this.suspectUntil || now - silentSince > SILENCE_MS;
    }

    /** Whether the peer hasn't answered anything since it was last suspected. */
    get isUnproven(): boolean {
        return this.suspectedAt > this.heardAt;
    }

    /** Whether a request can be sent now. */
    get hasConnection(): boolean {
        return this.connections.queue.hasFree();
    }

    /** Whether the peer has sent nothing since a monotonic time in milliseconds. */
    isSilentSince(time: number): boolean {
        return this.heardAt < time;
    }

    /** Avoids the peer for a while, since it didn't forward a request. */
    suspect(): void {
        this.suspectedAt = this.clock.monotonicMs();
        this.suspectUntil = this.suspectedAt + SUSPICION_MS;
    }

    /**
     * Sends a request to the peer. If the peer states that it has sent nothing of it, the answer fails with `not-forwarded`, also
     * after `sent` was called.
     */
    send(
        request: ForwardableRequest,
        fields: ForwardFields,
        answer: TargetAnswer,
        mayWrite?: () => boolean,
    ): SentRequest {
        const underWay = { since: this.clock.monotonicMs() };
        this.running.add(underWay);
        let refused: { chunks: Buffer[]; bytes: number; retryAfterSeconds: number | undefined } | undefined;
        let wasSent = false;
        const end = (outcome: ForwardingOutcome) => {
            this.running.delete(underWay);
            this.ended(outcome);
        };
        const headers = encodeForwardFields(request.headers, fields);
        const sent: SentRequest = this.connections.send(
            { ...request, headers },
            {
                sent: () => {
                    wasSent = true;
                    answer.sent();
                },
                head: (status, received, boot) => {
                    this.heardAt = this.clock.monotonicMs();
                    const forwarded = decodeForwardedHeaders(received);
                    if (forwarded === undefined) {
                        const delay = received.find(({ name }) => name.toLowerCase() === "retry-after");
                        const retryAfterSeconds = delay === undefined ? undefined : Number(delay.value) || undefined;
                        refused = { chunks: [], bytes: 0, retryAfterSeconds };
                        return;
                    }
                    answer.head(status, forwarded, boot);
                },
                data: chunk => {
                    this.heardAt = this.clock.monotonicMs();
                    if (refused === undefined) {
                        answer.data(chunk);
                        return;
                    }
                    refused.chunks.push(Buffer.from(chunk));
                    refused.bytes += chunk.length;
                    if (refused.bytes > MAX_REFUSAL_BYTES) {
                        sent.abort("the refusal of the other instance is too large");
                    }
                },
                end: () => {
                    if (refused === undefined) {
                        end("answered");
                        answer.end();
                        return;
                    }
                    const problem = decodeProblem(Buffer.concat(refused.chunks), refused.retryAfterSeconds);
                    const refusal = problem ?? refuse("internal", "The other instance's refusal can't be read.");
                    const isNotRun = outcomeOfRefusal(refusal) === "not-run";
                    end(isNotRun ? "not-sent" : "lost");
                    answer.failed({
                        type: isNotRun ? "not-forwarded" : "broken",
                        refused: false,
                        detail: `${refusal.type}: ${refusal.detail}`,
                        refusal,
                    });
                },
                failed: failure => {
                    end(wasSent ? "lost" : "not-sent");
                    answer.failed(failure);
                },
            },
            { fresh: false, maxIdleMs: MAX_IDLE_MS, mayWrite },
        );
        return sent;
    }

    dispose(): void {
        this.connections.dispose();
    }
}
