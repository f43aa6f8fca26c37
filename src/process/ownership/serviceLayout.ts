import type { BundleService } from "../../version/bundle.js";
import type { Clock } from "../runtime/clock.js";
import type { ListedInstance } from "../store/instanceList.js";
import type { Logger } from "../observability/logger.js";
import type { Membership, Transact } from "../membership/membership.js";
import type { Peers } from "../membership/peers.js";
import { rendezvousFirst } from "../membership/rendezvous.js";
import { serviceRowKey, serviceRowSchema, targetRowKey, targetRowSchema, type TargetRow } from "../store/rows.js";
import { initialLayout, MAX_SLICES_PER_TARGET } from "./sliceMap.js";
import type { TableReplica } from "../store/tableReplica.js";

/** Number of slices per target in the initial layout; enough to spread those of a lost target evenly. */
export const DEFAULT_INITIAL_SLICES = 16;
/** Time for which a service's list of targets must not change before its initial layout is created, in milliseconds. */
export const DEFAULT_LAYOUT_STABLE_MS = 1_000;
/** Additional delay for instances that aren't preferred for creating the initial layout, in milliseconds. */
const LAYOUT_FALLBACK_MS = 3_000;

/**
 * Creates the rows of services and targets that aren't in the table yet.
 *
 * @example
 * await layout.tick(bundle.services, listed);
 */
export class ServiceLayout {
    private readonly seen = new Map<string, { targets: string; since: number }>();

    constructor(
        private readonly options: {
            clock: Clock;
            log: Logger;
            replica: TableReplica;
            membership: Membership;
            peers: () => Peers;
            transact: Transact;
            stableMs: number;
        },
    ) {}

    async tick(services: readonly BundleService[], listed: readonly ListedInstance[]): Promise<void> {
        const { membership, replica } = this.options;
        if (!membership.isActive()) {
            return;
        }
        for (const service of services) {
            const targets = listed.filter(
                instance =>
                    instance.role === "target" && instance.service === service.name && instance.state === "live",
            );
            const laidOut = replica.get(serviceRowKey(service.name), serviceRowSchema) !== undefined;
            if (laidOut) {
                await this.addTargets(service, targets);
            } else if (this.isStable(service, targets)) {
                await this.layOut(service, targets);
            }
        }
    }

    private isStable(service: BundleService, targets: readonly ListedInstance[]): boolean {
        const { clock, stableMs, membership } = this.options;
        const now = clock.monotonicMs();
        const names = targets.map(({ name }) => name).sort();
        const key = names.join(" ");
        const seen = this.seen.get(service.name);
        if (names.length === 0 || seen?.targets !== key) {
            this.seen.set(service.name, { targets: key, since: now });
            return false;
        }
        const { domain } = membership.identity();
        const first = [...targets].sort((a, b) => (a.name < b.name ? -1 : 1))[0];
        const isFirst = first.domain === domain && membership.isFirstCandidate();
        return now - seen.since >= stableMs + (isFirst ? 0 : LAYOUT_FALLBACK_MS);
    }

    /** Creates the initial layout: divides the whole ring among the targets in one transaction. */
    private async layOut(service: BundleService, targets: readonly ListedInstance[]): Promise<void> {
        const own = this.options.membership.ownCondition();
        if (own === undefined) {
            return;
        }
        const perTarget = Math.min(DEFAULT_INITIAL_SLICES, MAX_SLICES_PER_TARGET);
        const layout = initialLayout(targets.map(({ name }) => name).sort(), perTarget);
        const rows = targets.map((target): { key: string; value: TargetRow } => ({
            key: targetRowKey(service.name, target.name),
            value: {
                service: service.name,
                target: target.name,
                domain: target.domain,
                address: target.address,
                slices: layout.get(target.name) ?? [],
                dispatcher: "",
                term: 1,
                state: "serving",
                handOver: "",
                attempt: "",
            },
        }));
        const key = serviceRowKey(service.name);
        const conditions = [own, { key, version: 0 }, ...rows.map(row => ({ key: row.key, version: 0 }))];
        if (await this.write(conditions, [{ key, value: { service: service.name } }, ...rows])) {
            this.options.log.info("Created a service layout.", { service: service.name, targets: targets.length });
        }
    }

    /**
     * Creates rows for new targets of this instance's domain, and re-adds targets that return at a new address after
     * all their slices have been moved away.
     */
    private async addTargets(service: BundleService, targets: readonly ListedInstance[]): Promise<void> {
        const { membership, replica, log } = this.options;
        const { domain, incarnation } = membership.identity();
        for (const target of targets.filter(listed => listed.domain === domain)) {
            const key = targetRowKey(service.name, target.name);
            const row = replica.get(key, targetRowSchema);
            if (row !== undefined && (row.value.address === target.address || row.value.slices.length > 0)) {
                continue;
            }
            const own = membership.ownCondition();
            const preferred = rendezvousFirst(`${service.name}/${target.name}`, membership.candidates());
            if (own === undefined || preferred !== incarnation) {
                continue;
            }
            const value: TargetRow = {
                service: service.name,
                target: target.name,
                domain,
                address: target.address,
                slices: [],
                dispatcher: incarnation,
                term: (row?.value.term ?? 0) + 1,
                state: "serving",
                handOver: "",
                attempt: "",
            };
            if (await this.write([own, { key, version: row?.version ?? 0 }], [{ key, value }])) {
                log.info("Added a target.", { service: service.name, target: target.name });
            }
        }
    }

    private async write(
        conditions: { key: string; version: number }[],
        writes: { key: string; value: Record<string, unknown> }[],
    ): Promise<boolean> {
        const { transact, replica, peers } = this.options;
        const result = await transact(conditions, writes);
        if (result.isErr()) {
            return false;
        }
        replica.apply(result.value.rows);
        if (result.value.type === "committed") {
            peers().pushRows(result.value.rows, false);
        }
        return result.value.type === "committed";
    }
}
