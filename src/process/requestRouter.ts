import type { NormalizedRequest } from "../request/normalizeRequest.js";
import { refuse } from "../request/refusal.js";
import type { Route, RoutingServices } from "../request/routedRequest.js";
import type { BundleService } from "../version/bundle.js";
import type { Clock } from "./runtime/clock.js";
import type { Dispatchers } from "./dispatch/dispatchers.js";
import type { Membership } from "./membership/membership.js";
import type { Peers } from "./membership/peers.js";
import type { RetryBudget } from "./dispatch/retryBudget.js";
import { targetRowKey, type TargetRow, type VersionedRow } from "./store/rows.js";
import type { TableReplica } from "./store/tableReplica.js";
import { chooseTarget, type TargetCandidate } from "./dispatch/targetSelection.js";

/** Maximum number of requests that wait at this instance for a dispatcher. */
export const DEFAULT_WAITING_LIMIT = 5_000;

/**
 * Selects the target for a request and the route to its dispatcher.
 *
 * @example
 * const row = router.ownerOf(request);
 * const route = row === undefined ? undefined : router.routeTo(row);
 */
export class RequestRouter implements RoutingServices {
    readonly clock: Clock;
    private waitingRequests = 0;
    /** Number of this instance's requests in flight, by target. */
    private readonly outgoing = new Map<string, number>();

    constructor(
        private readonly options: {
            clock: Clock;
            domain: string;
            replica: TableReplica;
            membership: Membership;
            peers: () => Peers;
            dispatchers: () => Dispatchers;
            serviceOf: (name: string) => BundleService | undefined;
            isDomainReachable: (domain: string) => boolean;
            retryBudget: (service: string) => RetryBudget;
            /** Random numbers in [0, 1). */
            random: () => number;
        },
    ) {
        this.clock = options.clock;
    }

    ownerOf(request: NormalizedRequest): TargetRow | undefined {
        return request.anyOwner
            ? this.selectOwner(request.service.name)
            : this.options.replica.sliceMap(request.service.name).ownerOf(request.position);
    }

    routeTo(row: TargetRow): Route {
        const { membership, domain, isDomainReachable, peers, dispatchers } = this.options;
        if (row.dispatcher === membership.identity().incarnation) {
            return { type: "local", dispatch: (open, sink) => dispatchers().dispatch(open, sink) };
        }
        // Created lazily: this runs for every request, and once per target of the service for a request without a key.
        const unreachable = () =>
            refuse("owner-unreachable", `The dispatcher of ${row.target} in ${row.domain} is not known.`);
        if (row.domain !== domain && !isDomainReachable(row.domain)) {
            return { type: "refuse", refusal: unreachable() };
        }
        const link = row.dispatcher === "" ? undefined : peers().forwardLink(row.dispatcher);
        if (link === undefined || membership.isSuspected(row.dispatcher)) {
            return { type: "wait", refusal: unreachable() };
        }
        return { type: "link", link };
    }

    applyRows(rows: readonly VersionedRow[]): void {
        this.options.replica.apply(rows);
    }

    retryBudget(service: string): RetryBudget {
        return this.options.retryBudget(service);
    }

    mayWait(): boolean {
        return this.waitingRequests < DEFAULT_WAITING_LIMIT;
    }

    waiting(change: 1 | -1): void {
        this.waitingRequests += change;
    }

    sending(row: TargetRow, change: 1 | -1): void {
        const key = targetRowKey(row.service, row.target);
        this.outgoing.set(key, (this.outgoing.get(key) ?? 0) + change);
    }

    /** Chooses a target for a request that any target of its service may run. Prefers targets in this domain. */
    private selectOwner(service: string): TargetRow | undefined {
        const { replica, domain, random } = this.options;
        const usable = replica
            .targets(service)
            .map(({ value }) => value)
            .filter(row => row.state === "serving" && this.routeTo(row).type !== "refuse");
        const local = usable.filter(row => row.domain === domain);
        const candidates = (local.length > 0 ? local : usable).map(row => this.candidateOf(row));
        return chooseTarget(candidates, random)?.row;
    }

    private candidateOf(row: TargetRow): TargetCandidate & { row: TargetRow } {
        const key = targetRowKey(row.service, row.target);
        return {
            row,
            target: row.target,
            draining: false,
            reachable: true,
            inFlight: this.outgoing.get(key) ?? 0,
            queued: 0,
            limit: this.options.serviceOf(row.service)?.slots ?? 1,
            used: this.outgoing.has(key),
            reportedLoad: this.options.dispatchers().get(key)?.report?.inFlight,
        };
    }
}
