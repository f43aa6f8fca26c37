import { createGatewayServer, type CallFields, type GatewayServer } from "../../connection/gatewayServer.js";
import type { TargetFailure } from "../../connection/targetConnections.js";
import { decodeForwardFields, FORWARD_HEADER } from "../../request/forwardFields.js";
import { ForwardedRequest, type ForwardedServices } from "../../request/forwardedRequest.js";
import type { CallerEnd, GatewayCall, GatewayReply } from "../../request/gatewayCall.js";
import { refuse, type Refusal } from "../../request/refusal.js";
import { refuseStopping } from "../../request/refuseStopping.js";
import type { ClientLimits } from "../../version/routeConfig.js";
import type { Metrics } from "../observability/metrics.js";
import type { Logger } from "../observability/logger.js";
import type { Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import { decideNotForwarded } from "./decideNotForwarded.js";
import type { ForwardingPeer } from "./forwardingPeer.js";
import { ForwardingPeers } from "./forwardingPeers.js";
import type { GatewayPlatform } from "./gatewayPlatform.js";
import type { GatewayTarget } from "./gatewayTarget.js";
import type { PeerAddress, PeerPort } from "./peerPort.js";
import { PeersExchange } from "./peersExchange.js";
import type { Peer } from "./peersMessage.js";
import type { ReachWatch } from "./reachWatch.js";

/** Maximum number of requests that are under way for other instances; further ones are refused, so that own callers are served. */
const MAX_FORWARDED = 128;
/** Maximum number of connections from other instances. */
const MAX_CONNECTIONS = 600;
/** Maximum size of the bodies that are held for other instances, in bytes. */
const MAX_BODY_BYTES = 16_777_216;
/** Number of other instances that are tried for one request. */
const PEERS_TRIED = 2;

/**
 * Sends requests through other instances where the path to a target is cut, and takes requests of others that are in this
 * situation. The instances learn of each other from the one that assigns keys.
 *
 * @example
 * const forwarding = new PeerForwarding(options);
 * await forwarding.start();
 * forwarding.peerTo(target, new Set(), true)?.send(request, fields, answer);
 */
export class PeerForwarding {
    private readonly peers: ForwardingPeers;
    private readonly exchange: PeersExchange;
    private readonly server: GatewayServer;
    private readonly requests = new Set<ForwardedRequest>();
    private readonly disposables = new DisposableStore();
    private isStopping = false;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            metrics: Metrics;
            /** Failure domain of this instance. */
            domain: string;
            /** Address at which the others reach this one; without it, nothing is forwarded. */
            address: PeerAddress | undefined;
            port: PeerPort;
            platform: Pick<GatewayPlatform, "fieldsOf" | "isReserved">;
            isAssigning: () => boolean;
            /** Address of the instance that assigns keys; `undefined` while it is unknown or is this one. */
            assigner: () => PeerAddress | undefined;
            /** The other instances that reach targets; known while this instance assigns keys. */
            others: () => Peer[];
            reach: Pick<ReachWatch, "isCutOff" | "hasCutPaths">;
            unreadSince: () => number;
            services: Omit<ForwardedServices, "clock" | "closed" | "ended">;
        },
    ) {
        const { clock, domain, address, port, isAssigning, assigner, others, reach, platform, unreadSince } = options;
        this.peers = new ForwardingPeers({
            clock,
            domain,
            random: Math.random,
            ended: outcome => this.count("sent", outcome),
        });
        this.exchange = new PeersExchange({
            clock,
            domain,
            isAssigning,
            assigner,
            others,
            isNeeded: () => reach.hasCutPaths,
            self: () => (address === undefined || reach.isCutOff ? undefined : { address, domain }),
            told: peers => this.peers.told(peers),
            send: (to, content) => port.send(to, content),
            random: Math.random,
        });
        port.handle(this.exchange.receive);
        const fieldsOf = (headers: Parameters<GatewayPlatform["fieldsOf"]>[0]): CallFields => ({
            ...platform.fieldsOf(headers),
            forwarded: decodeForwardFields(headers),
        });
        this.server = createGatewayServer({
            handle: (call, reply) => this.handle(call, reply),
            fieldsOf,
            isReserved: name => name === FORWARD_HEADER || platform.isReserved(name),
            monotonicMs: () => clock.monotonicMs(),
            unreadSince,
            abandoned: () => this.count("taken", "caller-gone"),
            connectionLimit: MAX_CONNECTIONS,
            maxBufferedBytes: MAX_BODY_BYTES,
        });
    }

    /** Starts to take requests of other instances. If the port can't be opened, this instance only sends. */
    async start(): Promise<void> {
        const { address, logger } = this.options;
        if (address === undefined) {
            return;
        }
        this.exchange.start();
        this.disposables.add(this.exchange);
        try {
            await this.server.listen(address.port, address.host);
        } catch (error) {
            logger.error("No requests of other instances are taken: the port can't be opened.", {
                address: `${address.host}:${address.port}`,
                detail: error instanceof Error ? error.message : String(error),
            });
        }
    }

    /**
     * The instance through which a request reaches a target to which the path is cut; `undefined` if the path isn't cut, or there is
     * no further instance.
     */
    peerTo(
        target: GatewayTarget,
        tried: ReadonlySet<ForwardingPeer>,
        isIdempotent: boolean,
    ): ForwardingPeer | undefined {
        if (!target.reach.isCut || tried.size >= PEERS_TRIED) {
            return undefined;
        }
        const peer = this.peers.choose(target.listed.entry.domain, tried, isIdempotent);
        if (peer === undefined) {
            this.exchange.ask();
        }
        return peer;
    }

    /** Asks for the instances that reach targets now, because a path was found to be cut. */
    needed(): void {
        this.exchange.ask();
    }

    /** Least number of times that an answer passes between failure domains on its way from a target through another instance. */
    crossings(target: GatewayTarget): number {
        return this.peers.crossings(target.listed.entry.domain);
    }

    /** Whether there are other instances to which requests could be sent. */
    get hasPeers(): boolean {
        return this.peers.size > 0;
    }

    /** Handles a request that another instance hasn't sent to its target; `isLast` if no further instance is tried. */
    notForwarded(target: GatewayTarget, peer: ForwardingPeer, { refusal }: TargetFailure, isLast: boolean): void {
        switch (decideNotForwarded(refusal?.type, isLast)) {
            case "suspect-instance":
                peer.suspect();
                return;
            case "doubt-target":
                target.unansweredCall(this.options.clock.monotonicMs());
                return;
        }
    }

    setLimits(limits: ClientLimits): void {
        this.server.setLimits(limits);
    }

    /** Refuses further requests of others, whose instances then choose another one. */
    stop(): void {
        this.isStopping = true;
    }

    startDraining(): void {
        this.server.startDraining();
    }

    closeAll(): void {
        this.server.closeAll();
    }

    /** Number of requests of others without a complete answer. */
    unfinished(): number {
        return this.server.unfinished();
    }

    /** Number of closed connections whose other ends may not have received their last answers. */
    closing(): number {
        return this.server.closing();
    }

    dispose(): void {
        void this.disposables.dispose();
        this.server.dispose();
        this.peers.dispose();
    }

    private handle(call: GatewayCall, reply: GatewayReply): (end: CallerEnd) => void {
        const { clock, services } = this.options;
        const { forwarded } = call;
        if (forwarded === undefined) {
            reply.refuse(refuse("malformed-request", "It wasn't forwarded by an instance."));
            return () => undefined;
        }
        const request: ForwardedRequest = new ForwardedRequest(call, forwarded, reply, {
            ...services,
            clock,
            closed: () => this.closed(),
            ended: (ended, outcome) => {
                this.requests.delete(ended);
                this.count("taken", outcome);
            },
        });
        this.requests.add(request);
        request.start();
        return end => request.callerGone(end);
    }

    private closed(): Refusal | undefined {
        if (this.isStopping) {
            return refuseStopping();
        }
        return this.requests.size > MAX_FORWARDED
            ? refuse("overloaded", "This instance takes no further requests of others.")
            : undefined;
    }

    private count(direction: "sent" | "taken", outcome: string): void {
        this.options.metrics.counter("forwarded_requests_total", { direction, outcome }).add();
    }
}
