import { err, ok, type Result } from "neverthrow";
import type { BundleService } from "../../version/bundle.js";
import type { Membership, Transact } from "../membership/membership.js";
import { targetRowKey, type TargetRow } from "../store/rows.js";
import { subtractSlices } from "./sliceMap.js";
import { spreadLostTarget } from "./spreadLostTarget.js";
import type { TableReplica } from "../store/tableReplica.js";

/** Why the keys of a domain were not moved. */
export type EvacuationError =
    | { type: "unknown-domain" }
    /** Members of the domain still answer, so its instances are not gone. */
    | { type: "domain-answers"; instances: string[] }
    /** Every service of the bundle is configured to hold its keys until their domain is back. */
    | { type: "all-hold" }
    | { type: "not-a-member" }
    | { type: "no-receiver"; service: string; target: string }
    | { type: "conflict" }
    | { type: "platform-unavailable"; detail: string }
    /**
     * The reply to a write was lost. Repeating the command determines the result and moves what has not been moved yet.
     */
    | { type: "result-unknown"; detail: string };

/** Numbers of lost targets and of slices that an evacuation moved for one service. */
export interface ServiceEvacuation {
    targets: number;
    slices: number;
}

/** Totals of an evacuation over all services. */
export interface Evacuation extends ServiceEvacuation {
    services: number;
}

/** Key of the row `evacuated/<domain>`, which records who stated that the domain's instances are gone. */
export const evacuationRowKey = (domain: string) => `evacuated/${domain}`;

/**
 * Moves the keys of a lost domain to targets of other domains, in one transaction per service, for the services whose
 * bundle allows it. It relies on the operator's statement that the domain's instances and targets are gone: nothing
 * else can distinguish a lost domain from a partitioned one that is still serving.
 *
 * To be called only when every grant and every deadline that the domain could have given has passed since the
 * statement.
 *
 * @example
 * const moved = await evacuateDomain({ domain: "linz", by: "anna", statement, ...services });
 */
export const evacuateDomain = async (options: {
    domain: string;
    by: string;
    statement: string;
    services: readonly BundleService[];
    replica: TableReplica;
    membership: Membership;
    transact: Transact;
    isReachable: (incarnation: string) => boolean;
    /** Whether any instance of a domain answers; keys are moved only to such domains. */
    isDomainReachable: (domain: string) => boolean;
    committed: (rows: Parameters<TableReplica["apply"]>[0]) => void;
    /** Called for each service whose keys have been moved, even if a later service fails. */
    serviceMoved: (service: string, moved: ServiceEvacuation) => void;
}): Promise<Result<Evacuation, EvacuationError>> => {
    const { domain, by, statement, services, replica, membership, isReachable } = options;
    const members = replica.members(domain).map(({ value }) => value);
    const rows = replica.allTargets().filter(({ value }) => value.domain === domain);
    if (members.length === 0 && rows.length === 0) {
        return err({ type: "unknown-domain" });
    }
    const reachable = members.filter(({ incarnation }) => isReachable(incarnation));
    if (reachable.length > 0) {
        return err({ type: "domain-answers", instances: reachable.map(({ instance }) => instance) });
    }
    const movable = services.filter(({ onDomainLoss }) => onDomainLoss === "evacuate-by-command");
    if (movable.length === 0) {
        return err({ type: "all-hold" });
    }
    const { domain: ownDomain } = membership.identity();
    const isReceiving = (other: string) =>
        other !== domain && (other === ownDomain || options.isDomainReachable(other));
    const moved: Evacuation = { services: 0, targets: 0, slices: 0 };
    for (const service of movable) {
        const own = membership.ownCondition();
        if (own === undefined) {
            return err({ type: "not-a-member" });
        }
        const planned = planEvacuation(service, domain, replica, isReceiving);
        if (planned.isErr()) {
            return err(planned.error);
        }
        if (planned.value.lost.length === 0) {
            continue;
        }
        const marker = evacuationRowKey(domain);
        const conditions = [own, ...planned.value.versions];
        const writes = planned.value.rows.map(value => ({ key: targetRowKey(value.service, value.target), value }));
        const result = await options.transact(conditions, [{ key: marker, value: { by, statement } }, ...writes]);
        if (result.isErr()) {
            const { type, detail } = result.error;
            return err({ type: type === "platform-unavailable" ? type : "result-unknown", detail });
        }
        options.committed(result.value.rows);
        if (result.value.type === "conflict") {
            return err({ type: "conflict" });
        }
        const targets = planned.value.lost.length;
        const slices = planned.value.lost.reduce((sum, row) => sum + row.slices.length, 0);
        options.serviceMoved(service.name, { targets, slices });
        moved.services++;
        moved.targets += targets;
        moved.slices += slices;
    }
    return ok(moved);
};

interface EvacuationPlan {
    lost: TargetRow[];
    rows: TargetRow[];
    versions: { key: string; version: number }[];
}

/** Plans the rows of a service after the loss of its targets in a domain. */
const planEvacuation = (
    service: BundleService,
    domain: string,
    replica: TableReplica,
    isReceiving: (domain: string) => boolean,
): Result<EvacuationPlan, EvacuationError> => {
    const all = replica.targets(service.name);
    const lost = all.map(({ value }) => value).filter(row => row.domain === domain && row.slices.length > 0);
    let receivers = all.map(({ value }) => value).filter(row => isReceiving(row.domain) && row.state === "serving");
    for (const row of lost) {
        const capacity = service.slots;
        const candidates = receivers.map(receiver => ({ row: receiver, work: 0, capacity }));
        const spread = spreadLostTarget(row, candidates);
        if (spread.isErr()) {
            return err(spread.error);
        }
        receivers = receivers.map(receiver => ({
            ...receiver,
            slices: spread.value.get(receiver.target) ?? receiver.slices,
        }));
    }
    const before = new Map(all.map(({ value }) => [value.target, value]));
    const gained = receivers.filter(
        receiver => subtractSlices(receiver.slices, before.get(receiver.target)?.slices ?? []).length > 0,
    );
    const term = Math.max(0, ...[...lost, ...gained].map(row => row.term)) + 1;
    const rows = [
        ...lost.map((row): TargetRow => ({ ...row, slices: [], state: "lost", dispatcher: "", term })),
        ...gained.map((row): TargetRow => ({ ...row, term, handOver: "" })),
    ];
    const changedTargets = new Set(rows.map(({ target }) => target));
    const versions = all
        .filter(({ value }) => changedTargets.has(value.target))
        .map(({ value, version }) => ({ key: targetRowKey(value.service, value.target), version }));
    return ok({ lost, rows, versions });
};
