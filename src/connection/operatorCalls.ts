import { z } from "zod";

/** Maximum size of a bundle's text, in bytes. */
export const MAX_BUNDLE_BYTES = 1_048_576;
/** Maximum number of audit records in a page. */
export const MAX_AUDIT_PAGE = 500;

const count = z.number().int().min(0);
/** Text within a length range; any other value is refused with a message that says what to give. */
const text = (minimum: number, maximum: number, what: string) => {
    const message = `Give ${what} of ${minimum} to ${maximum} characters.`;
    return z.string(message).min(minimum, message).max(maximum, message);
};
const positiveInteger = (maximum: number) => {
    const message = `Give a whole number from 1 to ${maximum}.`;
    return z.number(message).int(message).min(1, message).max(maximum, message);
};
const name = text(1, 256, "a name");
const optionalName = name.optional();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, "Not a byte string.");
const noFields = z.object({});

/** Progress of one part (a domain, a target) of a long operation. `total` is 0 while the amount of work is unknown. */
export const progressSchema = z.object({
    scope: z.string(),
    state: z.string(),
    detail: z.string(),
    done: count,
    total: count,
});
export type Progress = z.infer<typeof progressSchema>;

const ownerSchema = z.object({
    service: z.string(),
    position: count,
    target: z.string(),
    domain: z.string(),
    address: z.string(),
    dispatcher: z.string(),
    term: count,
    state: z.string(),
    /** Committed and acknowledged; `undefined` if the queried instance doesn't know. */
    inPlace: z.boolean().optional(),
});

const targetSchema = z.object({
    service: z.string(),
    target: z.string(),
    domain: z.string(),
    address: z.string(),
    state: z.string(),
    dispatcher: z.string(),
    term: count,
    slices: count,
    /** Share of the service's positions, from 0 to 1. */
    share: z.number(),
    limit: z.number().optional(),
    inFlight: count.optional(),
    queued: count.optional(),
    load: z.number().optional(),
});

const instanceSchema = z.object({
    instance: z.string(),
    domain: z.string(),
    incarnation: z.string(),
    peerAddress: z.string(),
    state: z.string(),
    dispatches: count,
    bundleVersion: count.optional(),
    /** Milliseconds since the queried instance last received a heartbeat. */
    silenceMs: count.optional(),
});

const moveSchema = z.object({
    service: z.string(),
    start: count,
    end: count,
    from: z.string(),
    to: z.string(),
    state: z.string(),
    cause: z.string(),
    /** Milliseconds since the Unix epoch. */
    startedAt: count,
    unavailableMs: count.optional(),
});

const quarantineEntrySchema = z.object({
    fingerprint: z.string(),
    service: z.string(),
    state: z.enum(["suspect", "convicted"]),
    crashes: count,
    /** Milliseconds since the Unix epoch. */
    until: count.optional(),
    detail: z.string(),
});

const auditEntrySchema = z.object({
    key: z.string(),
    domain: z.string(),
    instance: z.string(),
    incarnation: z.string(),
    sequence: count,
    /** Milliseconds since the Unix epoch. */
    at: count,
    actor: z.string(),
    action: z.string(),
    subject: z.string(),
    cause: z.string(),
    /** JSON. */
    before: z.string().optional(),
    after: z.string().optional(),
    digest: z.string(),
});

const auditChainSchema = z.object({
    domain: z.string(),
    instance: z.string(),
    incarnation: z.string(),
    records: count,
    dropped: count,
    closed: z.boolean(),
    head: z.string(),
    findings: z.array(z.object({ type: z.string(), sequence: count, detail: z.string() })),
});

const bundleVersionSchema = z.object({
    version: count,
    digest: z.string(),
    state: z.string(),
    author: z.string(),
    /** Milliseconds since the Unix epoch. */
    at: count.optional(),
});

/** Proto messages that are absent arrive as `null`. */
const optionalBundleVersion = bundleVersionSchema.nullish().transform(value => value ?? undefined);

const bundleRollResultSchema = z.object({ version: count, digest: z.string() });
const drainResultSchema = z.object({ detail: z.string() });

const updateOf = <Schema extends z.ZodType>(result: Schema) =>
    z.union([z.object({ progress: progressSchema }), z.object({ result })]);

/**
 * The calls of `proto/operator.proto` with the schemas of their messages.
 *
 * `access` is the required authorization: `open` needs no signature, `read` needs one unless the settings allow
 * anonymous reads, and `change` always needs one.
 */
export const OPERATOR_CALLS = {
    identify: {
        rpc: "Identify",
        access: "open",
        stream: false,
        request: noFields,
        reply: z.object({ instance: z.string(), domain: z.string(), incarnation: z.string() }),
    },
    owner: {
        rpc: "Owner",
        access: "read",
        stream: false,
        request: z.object({ key: text(1, 512, "a key"), service: optionalName }),
        reply: z.object({ owners: z.array(ownerSchema) }),
    },
    targets: {
        rpc: "Targets",
        access: "read",
        stream: false,
        request: z.object({ service: optionalName, domain: optionalName }),
        reply: z.object({ targets: z.array(targetSchema) }),
    },
    instances: {
        rpc: "Instances",
        access: "read",
        stream: false,
        request: z.object({ domain: optionalName }),
        reply: z.object({ instances: z.array(instanceSchema) }),
    },
    moves: {
        rpc: "Moves",
        access: "read",
        stream: false,
        request: noFields,
        reply: z.object({ moves: z.array(moveSchema) }),
    },
    quarantineList: {
        rpc: "QuarantineList",
        access: "read",
        stream: false,
        request: noFields,
        reply: z.object({ entries: z.array(quarantineEntrySchema) }),
    },
    quarantineClear: {
        rpc: "QuarantineClear",
        access: "change",
        stream: false,
        request: z
            .object({
                fingerprint: z
                    .string()
                    .regex(
                        /^([0-9a-f]{64})?$/,
                        "Give the 64 hexadecimal digits (0-9, a-f) that `sassafrasloom quarantine list` shows.",
                    ),
                all: z.boolean(),
            })
            .refine(value => value.all !== value.fingerprint.length > 0, "Give either a fingerprint or `all`."),
        reply: z.object({ cleared: count }),
    },
    auditRead: {
        rpc: "AuditRead",
        access: "read",
        stream: false,
        request: z.object({
            domain: optionalName,
            instance: optionalName,
            after: text(1, 1024, "the row that the page before named").optional(),
            limit: positiveInteger(MAX_AUDIT_PAGE),
        }),
        reply: z.object({ entries: z.array(auditEntrySchema), next: z.string().optional() }),
    },
    auditVerify: {
        rpc: "AuditVerify",
        access: "read",
        stream: false,
        request: z.object({ domain: optionalName, instance: optionalName }),
        reply: z.object({ chains: z.array(auditChainSchema) }),
    },
    bundleStatus: {
        rpc: "BundleStatus",
        access: "read",
        stream: false,
        request: noFields,
        reply: z.object({
            current: optionalBundleVersion,
            offer: optionalBundleVersion,
            domains: z.array(
                z.object({ domain: z.string(), confirmed: count, inForce: count, reachable: z.boolean() }),
            ),
        }),
    },
    bundleHistory: {
        rpc: "BundleHistory",
        access: "read",
        stream: false,
        request: z.object({ limit: positiveInteger(1000) }),
        reply: z.object({ bundles: z.array(bundleVersionSchema) }),
    },
    bundleRoll: {
        rpc: "BundleRoll",
        access: "change",
        stream: true,
        request: z.object({
            content: bytes.refine(value => value.length > 0 && value.length <= MAX_BUNDLE_BYTES, {
                error: `The bundle must have 1 to ${MAX_BUNDLE_BYTES} bytes.`,
            }),
            author: name,
            signature: bytes.refine(value => value.length === 64, "An Ed25519 signature has 64 bytes."),
        }),
        reply: updateOf(bundleRollResultSchema),
    },
    drain: {
        rpc: "Drain",
        access: "change",
        stream: true,
        request: z.object({ subject: z.enum(["target", "instance"]), name, service: optionalName }),
        reply: updateOf(drainResultSchema),
    },
    domainEvacuate: {
        rpc: "DomainEvacuate",
        access: "change",
        stream: false,
        request: z.object({ domain: name, statement: text(10, 1000, "a statement") }),
        reply: z.object({ services: count, targets: count, slices: count }),
    },
    status: {
        rpc: "Status",
        access: "read",
        stream: false,
        request: noFields,
        reply: z.object({
            instance: z.string(),
            domain: z.string(),
            incarnation: z.string(),
            state: z.string(),
            uptimeMs: count,
            platform: z.enum(["up", "down", "unknown"]),
            platformSilenceMs: count.optional(),
            /** Remaining time of the domain lease in milliseconds; 0 if it has expired. */
            leaseMs: count,
            bundleVersion: count,
            members: count,
            reachableMembers: count,
            dispatches: count,
            warnings: z.array(z.string()),
        }),
    },
    metrics: {
        rpc: "Metrics",
        access: "read",
        stream: false,
        request: noFields,
        reply: z.object({
            samples: z.array(
                z.object({ name: z.string(), labels: z.record(z.string(), z.string()), value: z.number() }),
            ),
        }),
    },
} as const satisfies Record<
    string,
    { rpc: string; access: "open" | "read" | "change"; stream: boolean; request: z.ZodType; reply: z.ZodType }
>;

export type OperatorCalls = typeof OPERATOR_CALLS;
export type OperatorCallName = keyof OperatorCalls;
export type OperatorRequest<Name extends OperatorCallName> = z.infer<OperatorCalls[Name]["request"]>;
export type OperatorReply<Name extends OperatorCallName> = z.infer<OperatorCalls[Name]["reply"]>;
/** Calls that are answered by a stream of progress updates, which ends with the result. */
export type OperatorStreamName = {
    [Name in OperatorCallName]: OperatorCalls[Name]["stream"] extends true ? Name : never;
}[OperatorCallName];
export type OperatorUnaryName = Exclude<OperatorCallName, OperatorStreamName>;
