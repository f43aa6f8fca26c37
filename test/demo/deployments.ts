import type { ClusterService } from "../support/testCluster.js";

/** One of the two users whose services the demo routes. */
export interface Deployment {
    name: "steyrtal" | "kerala";
    title: string;
    bundleFile: string;
    services: readonly ClusterService[];
}

/** Failure domains of the demo. */
export const DOMAINS = ["north", "south"] as const;
/** Entry instances per failure domain. Three, so that after the loss of one the others are a majority. */
export const INSTANCES_PER_DOMAIN = 3;

const STEYRTAL_SLOTS = 6;
const KERALA_SLOTS = 3;

/** The deployments with the targets of each service. Slots and grant checks match the example bundles. */
export const DEPLOYMENTS: readonly Deployment[] = [
    {
        name: "steyrtal",
        title: "Steyrtal Order Gateway Service",
        bundleFile: "examples/steyrtal.bundle.ini",
        services: [
            { name: "stock", targetsPerDomain: 2, options: { slots: STEYRTAL_SLOTS, serviceMs: 2 } },
            { name: "orders", targetsPerDomain: 2, options: { slots: STEYRTAL_SLOTS, serviceMs: 4 } },
            { name: "drawings", targetsPerDomain: 1, options: { slots: STEYRTAL_SLOTS, serviceMs: 3 } },
            {
                name: "labelling",
                targetsPerDomain: 2,
                options: { slots: STEYRTAL_SLOTS, serviceMs: 4, checksGrants: false },
            },
        ],
    },
    {
        name: "kerala",
        title: "Shared Gateway for Bottle Deposit Returns",
        bundleFile: "examples/kerala.bundle.ini",
        services: [
            { name: "balance", targetsPerDomain: 2, options: { slots: KERALA_SLOTS, serviceMs: 2 } },
            { name: "refund", targetsPerDomain: 2, options: { slots: KERALA_SLOTS, serviceMs: 4 } },
            { name: "settlement", targetsPerDomain: 2, options: { slots: KERALA_SLOTS, serviceMs: 4 } },
            { name: "ledger", targetsPerDomain: 1, options: { slots: KERALA_SLOTS, serviceMs: 3 } },
        ],
    },
];

/** Services whose requests have no key. */
export const UNDIVIDED_SERVICES: ReadonlySet<string> = new Set(["drawings", "ledger"]);
