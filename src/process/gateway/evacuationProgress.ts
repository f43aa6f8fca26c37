import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import type { Evacuation } from "./evacuation.js";
import type { KeyRange } from "./keyMap.js";
import type { DirectoryTarget } from "./targetDirectory.js";

/** Keys of a service whose owners are in an evacuated failure domain. */
export interface EvacuatedKeys {
    service: string;
    domain: string;
    keys: number;
}

/**
 * Follows how many keys of a service the targets of evacuated failure domains still own, and logs when the last one has another
 * owner.
 *
 * @example
 * const progress = new EvacuationProgress({ service: "stock", clock, logger, evacuation });
 * progress.update(owners);
 * progress.keys(); // [{ service: "stock", domain: "wels", keys: 9_102 }]
 */
export class EvacuationProgress {
    /** Keys that are still owned, by domain. */
    private owned = new Map<string, number>();

    constructor(
        private readonly options: {
            service: string;
            clock: Clock;
            logger: Logger;
            /** The evacuation of a failure domain, while one is in force. */
            evacuation: (domain: string) => Evacuation | undefined;
        },
    ) {}

    keys(): EvacuatedKeys[] {
        const { service } = this.options;
        return [...this.owned].map(([domain, keys]) => ({ service, domain, keys }));
    }

    /** Takes the owners of keys with their ranges. */
    update(owners: Iterable<readonly [Pick<DirectoryTarget, "entry">, readonly KeyRange[]]>): void {
        const { service, clock, logger, evacuation } = this.options;
        const owned: typeof this.owned = new Map();
        for (const [{ entry }, ranges] of owners) {
            const { domain } = entry;
            if (evacuation(domain) !== undefined) {
                owned.set(
                    domain,
                    ranges.reduce((sum, { from, to }) => sum + to - from + 1, owned.get(domain) ?? 0),
                );
            }
        }
        for (const domain of this.owned.keys()) {
            const since = evacuation(domain)?.since;
            if (!owned.has(domain) && since !== undefined) {
                logger.info(`Failure domain ${domain} owns no keys of service ${service} any more.`, {
                    ms: Math.round(clock.monotonicMs() - since),
                });
            }
        }
        this.owned = owned;
    }
}
