import { z } from "zod";
import { bundleSignatureSchema } from "../../version/signature.js";
import type { PlatformObjects } from "../store/platformObjects.js";
import type { PlatformTable } from "../store/platformTable.js";
import type { TableReplica } from "../store/tableReplica.js";

/** Operations of the table service that rollouts need. */
export type BundleTable = Pick<PlatformTable, "scan" | "changes" | "transact">;
/** Operations of the object store that rollouts need. */
export type BundleObjects = Pick<PlatformObjects, "get" | "put">;

export const BUNDLE_OFFER_KEY = "bundle/offer";
export const BUNDLE_CURRENT_KEY = "bundle/current";
/** Key prefix of the most recently accepted versions. These rows are not replicated, so instances don't hold them. */
export const BUNDLE_HISTORY_PREFIX = "history/bundle/";
/** Number of accepted versions that the table keeps. */
export const BUNDLE_HISTORY_LENGTH = 512;

/** Row `bundle/offer`: the bundle that awaits confirmation by the domains. */
export const bundleOfferRowSchema = bundleSignatureSchema.extend({
    /** `withdrawn` if the rollout ended without acceptance. */
    state: z.enum(["offered", "withdrawn"]),
    attempt: z.string(),
});
export type BundleOfferRow = z.infer<typeof bundleOfferRowSchema>;

/** Row `bundle/confirmed/<domain>`: the decision of a domain on an offer. */
export const bundleConfirmedRowSchema = z.object({
    domain: z.string(),
    version: z.number().int(),
    digest: z.string(),
    /** Version of the offer's row. A decision on an earlier offer of the same bundle doesn't count. */
    offer: z.number().int(),
    decision: z.enum(["confirmed", "refused"]),
    reason: z.string().optional(),
    /** Instance that decided for its domain. */
    instance: z.string(),
    attempt: z.string(),
});
export type BundleConfirmedRow = z.infer<typeof bundleConfirmedRowSchema>;

/** Row `bundle/current`: the accepted bundle. */
export const bundleCurrentRowSchema = bundleSignatureSchema.extend({
    state: z.literal("accepted"),
    /** Wall time of the acceptance in milliseconds since the Unix epoch. */
    acceptedAtMs: z.number(),
    attempt: z.string(),
});
export type BundleCurrentRow = z.infer<typeof bundleCurrentRowSchema>;

/** Row of the history of accepted bundles. */
export const bundleHistoryRowSchema = z.object({
    version: z.number().int(),
    digest: z.string(),
    author: z.string(),
    acceptedAtMs: z.number(),
});
export type BundleHistoryRow = z.infer<typeof bundleHistoryRowSchema>;

/** Key of the row that holds a domain's decision. */
export const bundleConfirmedKey = (domain: string): string => `bundle/confirmed/${domain}`;

/** Key of the history row of a version. Rows are overwritten in rotation, which bounds their number. */
export const bundleHistoryKey = (version: number): string =>
    `${BUNDLE_HISTORY_PREFIX}${String(version % BUNDLE_HISTORY_LENGTH).padStart(4, "0")}`;

/** Decision of a domain on an offer. */
export type DomainDecision = "waiting" | "confirmed" | "refused";

/** State of a rollout, derived from the rows. */
export interface BundleStatus {
    current: BundleCurrentRow | undefined;
    /** The pending offer; `undefined` if there is none or it has been accepted or withdrawn. */
    offer: BundleOfferRow | undefined;
    /** Decision on the offer by each domain with registered members. */
    domains: Record<string, { decision: DomainDecision; reason: string | undefined }>;
}

/**
 * Reads the state of the rollout from a replica of the table.
 *
 * @example
 * Object.entries(bundleStatus(replica).domains).filter(([, { decision }]) => decision === "waiting");
 */
export const bundleStatus = (replica: TableReplica): BundleStatus => {
    const current = replica.get(BUNDLE_CURRENT_KEY, bundleCurrentRowSchema);
    const offer = replica.get(BUNDLE_OFFER_KEY, bundleOfferRowSchema);
    const pending =
        offer !== undefined && offer.value.state === "offered" && offer.value.version > (current?.value.version ?? 0)
            ? offer
            : undefined;
    const names = [...new Set(replica.allMembers().map(({ value }) => value.domain))].sort();
    const domains = names.map((domain): [string, BundleStatus["domains"][string]] => {
        const row = replica.get(bundleConfirmedKey(domain), bundleConfirmedRowSchema)?.value;
        return pending !== undefined && row?.offer === pending.version && row.digest === pending.value.digest
            ? [domain, { decision: row.decision, reason: row.reason }]
            : [domain, { decision: "waiting", reason: undefined }];
    });
    return { current: current?.value, offer: pending?.value, domains: Object.fromEntries(domains) };
};
