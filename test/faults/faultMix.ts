/** Services of fault runs, which differ in the grant checks of their targets and in their records of identifiers. */
export const FAULT_MIX_SERVICES = [
    { name: "stock", checked: true, nonIdempotent: false },
    { name: "orders", checked: true, nonIdempotent: true },
    { name: "labels", checked: false, nonIdempotent: true },
    { name: "payouts", checked: true, nonIdempotent: true },
] as const;

const BUNDLE_HEAD = `version = 1
name = faults
expires = 2099-12-31
`;

const serviceText = ({ name, checked }: (typeof FAULT_MIX_SERVICES)[number]): string => `
[service ${name}]
path = /${name}
divided-by = key
grants = ${checked ? "checked" : "unchecked"}
slots = 6
record = ${name === "payouts" ? "durable" : "memory"}
deadline-ms = 1000
deadline-cap-ms = 1000
`;

const kindText = ({ name, nonIdempotent }: (typeof FAULT_MIX_SERVICES)[number]): string =>
    `
[kind ${name}.lookup]
methods = GET
pattern = /${name}/:item
idempotent = true
priority = high
` +
    (nonIdempotent
        ? `
[kind ${name}.place]
methods = POST
pattern = /${name}
idempotent = false
`
        : "");

/** Bundle of fault runs. */
export const FAULT_MIX_BUNDLE =
    BUNDLE_HEAD + FAULT_MIX_SERVICES.map(serviceText).join("") + FAULT_MIX_SERVICES.map(kindText).join("");

/** Targets of fault runs. */
export const faultMixTargets = (targetsPerDomain: number) =>
    FAULT_MIX_SERVICES.map(({ name, checked }) => ({
        name,
        targetsPerDomain,
        options: { slots: 6, checksGrants: checked, serviceMs: 3, keepLog: false },
    }));
