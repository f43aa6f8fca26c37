import { checkPath } from "../../connection/checkPath.js";
import type { TargetFailure } from "../../connection/targetConnections.js";
import type { ForwardedServices } from "../../request/forwardedRequest.js";
import type { ClientLimits } from "../../version/routeConfig.js";
import type { Logger, LogPart } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { CrashSuspects } from "./crashSuspects.js";
import type { ForwardingPeer } from "./forwardingPeer.js";
import type { GatewayPlatform } from "./gatewayPlatform.js";
import type { GatewayTarget } from "./gatewayTarget.js";
import type { GatewayTargets } from "./gatewayTargets.js";
import type { KeyAssigners } from "./keyAssigners.js";
import { LeaseHandover } from "./leaseHandover.js";
import { PeerForwarding } from "./peerForwarding.js";
import { parsePeerAddress, type PeerAddress, type PeerPort } from "./peerPort.js";
import { ReachWatch } from "./reachWatch.js";
import type { StoreRelay } from "./storeRelay.js";

/**
 * What an instance does about paths to targets that are cut: it notices them, sends requests through other instances, and passes
 * the lease for assigning keys on.
 *
 * @example
 * const paths = new GatewayPaths(options);
 * await paths.start();
 * paths.peerTo(target, new Set(), true);
 */
export class GatewayPaths {
    private readonly reach: ReachWatch;
    private readonly forwarding: PeerForwarding;
    private readonly handover: LeaseHandover;
    private readonly disposables = new DisposableStore();

    constructor(
        private readonly options: {
            clock: Clock;
            loggers: (part: LogPart) => Logger;
            metrics: Metrics;
            instance: string;
            /** Failure domain of this instance. */
            domain: string;
            /** Address at which the others reach this one; without it, nothing is forwarded. */
            address: PeerAddress | undefined;
            port: PeerPort;
            platform: Pick<GatewayPlatform, "fieldsOf" | "isReserved">;
            targets: GatewayTargets;
            assigners: () => KeyAssigners;
            relay: () => StoreRelay;
            suspects: () => CrashSuspects;
            unreadSince: () => number;
            /** Called when no connection to a target could be established. */
            connectionFailed?: (target: GatewayTarget, failure: TargetFailure) => void;
            /** Called when a path that was cut is open again; see `ReachWatch`. */
            pathOpened?: (target: GatewayTarget, heardAt: number) => void;
            services: Omit<
                ForwardedServices,
                "clock" | "closed" | "ended" | "target" | "isQuarantined" | "connectionFailed"
            >;
        },
    ) {
        const { clock, loggers, metrics, instance, domain, address, port, platform, targets } = options;
        const { assigners, relay, suspects, unreadSince, services } = options;
        const send = (to: PeerAddress, content: Buffer) => port.send(to, content);
        this.reach = new ReachWatch({
            clock,
            logger: loggers("dispatch"),
            targets: () => targets.all(),
            check: (checked, timeoutMs) => checkPath(checked, timeoutMs, clock),
            pathCut: target => {
                target.pathCut();
                this.forwarding.needed();
            },
            pathOpened: (...opened) => options.pathOpened?.(...opened),
        });
        this.forwarding = new PeerForwarding({
            clock,
            logger: loggers("peers"),
            metrics,
            domain,
            address,
            port,
            platform,
            isAssigning: () => assigners().lease.isHeld(),
            assigner: () => parsePeerAddress(assigners().lease.assignerAddress),
            others: () => relay().peers(),
            reach: this.reach,
            unreadSince,
            services: {
                ...services,
                target: (id, startedAtMs) => targets.get(id, startedAtMs),
                isQuarantined: call => suspects().isQuarantined(call),
                connectionFailed: (target, failure) => this.connectionFailed(target, failure),
            },
        });
        this.handover = new LeaseHandover({
            clock,
            logger: loggers("ownership"),
            instance,
            isHeld: () => assigners().lease.isHeld(),
            owners: () => this.owners(),
            reaches: async ({ id, startedAtMs }) => {
                const target = targets.get(id, startedAtMs);
                return target !== undefined && this.reach.reaches(target);
            },
            peers: () =>
                relay()
                    .peers()
                    .map(peer => peer.address),
            passOn: successor => assigners().passOn(successor),
            wasPassedOn: () => assigners().lease.wasPassedOn(),
            hasMoved: () => assigners().lease.lookAgain(),
            send,
            random: Math.random,
        });
        port.handle(this.handover.receive);
    }

    /** Whether this instance reaches no target. */
    get isCutOff(): boolean {
        return this.reach.isCutOff;
    }

    /** Starts watching, and taking requests of other instances. */
    async start(): Promise<void> {
        this.disposables.add(this.forwarding);
        await this.forwarding.start();
        this.disposables.add(this.reach);
        this.reach.start();
        this.disposables.add(this.handover);
        this.handover.start();
    }

    dispose(): void {
        void this.disposables.dispose();
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
        return this.forwarding.peerTo(target, tried, isIdempotent);
    }

    /** Handles a request that another instance hasn't sent to its target; `isLast` if no further instance is tried. */
    notForwarded(target: GatewayTarget, peer: ForwardingPeer, failure: TargetFailure, isLast: boolean): void {
        this.forwarding.notForwarded(target, peer, failure, isLast);
    }

    /** Whether neither this instance nor another one that it knows reaches a target. */
    isOutOfReach({ reach }: GatewayTarget): boolean {
        return reach.isCut && this.reach.isCutOff && !this.forwarding.hasPeers;
    }

    /**
     * Number of times that answers of a target pass from one failure domain to another through other instances; `undefined` if they
     * come directly.
     */
    crossings(target: GatewayTarget): number | undefined {
        return target.reach.isCut ? this.forwarding.crossings(target) : undefined;
    }

    /** Handles an attempt for which no connection to the target could be established. */
    connectionFailed(target: GatewayTarget, failure: TargetFailure): void {
        const { refused } = failure;
        this.options.connectionFailed?.(target, failure);
        this.reach.connectionFailed(target);
        const suspects = this.options.suspects();
        if (refused && suspects.isConcerned(target.id)) {
            // Behind a cut, all connections may be refused.
            void this.reach.reachesOthers(target).then(reachesOthers => {
                if (reachesOthers) {
                    suspects.targetEnded(target.id);
                }
            });
        }
    }

    setLimits(limits: ClientLimits): void {
        this.forwarding.setLimits(limits);
    }

    /** Refuses further requests of other instances, which then choose another one. */
    stop(): void {
        this.forwarding.stop();
    }

    startDraining(): void {
        this.forwarding.startDraining();
    }

    closeAll(): void {
        this.forwarding.closeAll();
    }

    /** Number of requests of other instances without a complete answer. */
    unfinished(): number {
        return this.forwarding.unfinished();
    }

    /** Number of closed connections whose other ends may not have received their last answers. */
    closing(): number {
        return this.forwarding.closing();
    }

    /** The owners of keys that this instance assigns, and whether it reaches them. */
    private owners(): { id: string; startedAtMs: number; isReached: boolean }[] {
        const { assigners, targets } = this.options;
        return [...assigners().ownerGrants().values()].flatMap(({ owners, failing }) =>
            owners.map(owner => {
                const { id, startedAtMs } = owner.entry;
                const isCut = targets.get(id, startedAtMs)?.reach.isCut === true;
                return { id, startedAtMs, isReached: !isCut && !failing.includes(owner) };
            }),
        );
    }
}
