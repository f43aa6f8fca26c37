import { randomUUID } from "node:crypto";
import type { RouteConfig } from "../../version/routeConfig.js";
import type { Logger } from "../observability/logger.js";
import type { Clock } from "../runtime/clock.js";
import { AssignerLease, type LeaseSuccessor } from "./assignerLease.js";
import type { EvacuatedKeys } from "./evacuationProgress.js";
import type { GatewayTargets } from "./gatewayTargets.js";
import { DEFAULT_HOLD_MS } from "./grantRecord.js";
import { KeyAssigner, type OwnerGrants } from "./keyAssigner.js";
import type { LimitAdmitter } from "./limitAdmitter.js";
import type { GrantReply, OwnershipCalls } from "./ownershipCalls.js";
import type { RowStore } from "./rowStore.js";
import type { SharedLoad } from "./sharedLoad.js";
import type { DirectoryTarget } from "./targetDirectory.js";

/**
 * Assigns the keys of all services while this instance holds the assigner lease.
 *
 * @example
 * assigners.start();
 * assigners.update(config.services);
 */
export class KeyAssigners {
    readonly lease: AssignerLease;
    private readonly assigners = new Map<string, KeyAssigner>();
    private services: RouteConfig["services"] = [];

    constructor(
        private readonly options: {
            instance: string;
            /** Address at which this instance receives load reports, as `HOST:PORT`. */
            peerAddress: string | undefined;
            store: RowStore;
            calls: OwnershipCalls;
            clock: Clock;
            logger: Logger;
            targets: GatewayTargets;
            load: Pick<SharedLoad, "weights">;
            /** Called when a target states in an answer to a grant or release that it leaves. */
            leavingStated: (target: DirectoryTarget) => void;
            /** Whether messages of the instance that assigns keys come. */
            isSourceHeard?: () => boolean;
            /** Whether this instance reaches targets. */
            isFit?: () => boolean;
            /** Whether the whole system starts for the first time. */
            isFirstStart?: boolean;
            /** Admits requests to targets with limits while this instance holds the lease. */
            admitter: LimitAdmitter;
            /** Maximum time for which targets may be granted keys, in milliseconds. */
            maxHoldMs: number;
            /** Called with the reply to each grant and renewal. */
            grantEnded?: (service: string, reply: GrantReply["type"]) => void;
        },
    ) {
        const { store, instance, peerAddress, clock, logger, isFirstStart } = options;
        this.lease = new AssignerLease({
            store,
            instance,
            incarnation: randomUUID(),
            peerAddress,
            clock,
            logger,
            isFirstStart,
            isHolderHeard: options.isSourceHeard,
            isFit: options.isFit,
            gained: isContinuous => {
                if (isContinuous) {
                    this.assigners.forEach(assigner => void assigner.resume());
                } else {
                    this.end();
                    this.options.admitter.clear();
                }
                this.update(this.services);
            },
        });
    }

    start(): void {
        this.lease.start();
    }

    /** Applies the services of a config. */
    update(services: RouteConfig["services"]): void {
        this.services = services;
        if (!this.lease.isHeld()) {
            return;
        }
        for (const { name, keyed } of services) {
            if (keyed && !this.assigners.has(name)) {
                const assigner = this.createAssigner(name);
                this.assigners.set(name, assigner);
                void assigner.start();
            }
        }
    }

    /** Records that another target has answered at the address of this one. */
    addressLost(listed: DirectoryTarget): void {
        this.assigners.get(listed.entry.service)?.targetEnded(listed);
        this.options.targets.directory.addressLost(listed);
    }

    /** The owners of keys by service, as far as this instance assigns them. */
    ownerGrants(): ReadonlyMap<string, OwnerGrants> {
        return new Map([...this.assigners].map(([service, assigner]) => [service, assigner.ownerGrants()]));
    }

    /** Keys whose owners are in evacuated failure domains, as far as this instance assigns them. */
    evacuatedKeys(): EvacuatedKeys[] {
        return [...this.assigners.values()].flatMap(assigner => assigner.evacuatedKeys());
    }

    /** Releases the lease once all calls made under it have ended. */
    async release(): Promise<void> {
        await this.lease.release(() => this.settled());
    }

    /** Passes the lease on once all calls made under it have ended. Resolves when that was tried. */
    async passOn(successor: LeaseSuccessor): Promise<void> {
        await this.lease.passOn(successor, () => this.settled());
    }

    dispose(): void {
        this.end();
        this.lease.dispose();
    }

    private async settled(): Promise<void> {
        await Promise.all([...this.assigners.values()].map(assigner => assigner.settled()));
    }

    private createAssigner(service: string): KeyAssigner {
        const { store, calls, clock, logger, targets, load, admitter, leavingStated, maxHoldMs } = this.options;
        return new KeyAssigner({
            service,
            store,
            calls,
            clock,
            logger,
            lease: this.lease,
            targets: () => [...targets.directory.all()].filter(({ entry }) => entry.service === service),
            allTargets: () => targets.directory.all(),
            measure: listed => {
                const target = targets.view(listed);
                return { ...target.measure(admitter.limitOf(listed.entry)), isCold: target.isCold };
            },
            weights: () => load.weights(service),
            evacuation: domain => targets.directory.evacuationOf(domain),
            leavingStated,
            addressLost: listed => this.addressLost(listed),
            grantEnded: reply => this.options.grantEnded?.(service, reply),
            holdMs: Math.min(DEFAULT_HOLD_MS, maxHoldMs),
        });
    }

    private end(): void {
        this.assigners.forEach(assigner => assigner.dispose());
        this.assigners.clear();
    }
}
