import { isIP } from "node:net";
import { z } from "zod";
import { DEFAULT_ANSWER_WINDOW_BYTES } from "../../connection/answerSink.js";
import { DEFAULT_PING_MS, DEFAULT_PING_TIMEOUT_MS } from "../../connection/peerProtocol.js";
import { DEFAULT_CONNECTION_LIMIT } from "../../connection/targetConnections.js";
import { DEFAULT_MAX_WAITING } from "../dispatch/admissionQueue.js";
import { described } from "./fieldText.js";
import {
    DEFAULT_GRANT_MARGIN_MS,
    DEFAULT_GRANT_PERIOD_MS,
    DEFAULT_GRANT_TTL_MS,
    DEFAULT_LOSS_SILENCE_MS,
    DEFAULT_PROBE_PERIOD_MS,
    DEFAULT_REFUSED_RETRY_MS,
} from "../ownership/grantKeeper.js";
import { DEFAULT_INSTANCE_LIST_TIMEOUT_MS } from "../store/instanceList.js";
import { DEFAULT_LATE_ANSWER_MS } from "../dispatch/lateAnswer.js";
import { DEFAULT_OBJECT_TIMEOUT_MS } from "../store/platformObjects.js";
import { DEFAULT_TABLE_TIMEOUT_MS } from "../store/platformTable.js";
import { DEFAULT_CONVICTION_MS } from "../dispatch/quarantine.js";
import { durationSchema, formatDuration, formatSize, sizeSchema } from "./units.js";

export const DEFAULT_OPERATORS_ADDRESS = "127.0.0.1:7403";
export const DEFAULT_METRICS_ADDRESS = "127.0.0.1:7404";

export const DEFAULT_HEARTBEAT_MS = 200;
export const DEFAULT_SUSPICION_MS = 800;
export const DEFAULT_MINORITY_DELAY_MS = 1_000;
export const DEFAULT_PROMISE_MS = 1_200;
export const DEFAULT_POLL_MS = 500;
export const DEFAULT_FALLBACK_POLL_MS = 5_000;
export const DEFAULT_INSTANCE_LIST_POLL_MS = 1_000;
export const DEFAULT_PROBE_TIMEOUT_MS = 250;
/**
 * At 2,600 changes a day, 90 days amount to about 234,000 records. Verifying them takes 470 reads, and the table serves
 * two thousand reads a second.
 */
export const DEFAULT_AUDIT_RETENTION_MS = 90 * 86_400_000;

export const DEFAULT_MAX_BODY_BYTES = 8 * 1_048_576;
export const DEFAULT_MAX_HEADER_BYTES = 16 * 1_024;
export const DEFAULT_CALLER_CONNECTIONS = 10_000;
export const DEFAULT_MOVES_IN_PARALLEL = 4;
export const DEFAULT_MOVES_PER_MINUTE = 120;
export const DEFAULT_RETRY_PERCENT = 10;
export const DEFAULT_AUDIT_BUFFER_LENGTH = 10_000;

/** Names of instances, domains and persons, which are used in table keys and, upper case, in environment variables. */
export const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const NAME_FORM = "1 to 63 lower-case letters, digits and hyphens";

/** Length of a raw Ed25519 public key in bytes. */
const PUBLIC_KEY_LENGTH = 32;

/**
 * Splits `host:port` with an IPv4 address or a bracketed IPv6 address.
 *
 * @example
 * parseAddress("[::1]:7402"); // { host: "::1", port: 7402 }
 */
export const parseAddress = (text: string): { host: string; port: number } | undefined => {
    const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
    if (match === null) {
        return undefined;
    }
    const host = match[1] ?? match[2];
    const port = Number(match[3]);
    const version = match[1] === undefined ? 4 : 6;
    return isIP(host) === version && port <= 65_535 ? { host, port } : undefined;
};

const nameSchema = z.string().regex(NAME_PATTERN);
const addressSchema = z.string().refine(text => parseAddress(text) !== undefined, {
    message: "Write an IP address and a port, such as 10.1.0.5:7402 or [::1]:7402; port 0 selects a free one.",
});
const urlSchema = z.string().refine(
    text => {
        const url = URL.canParse(text) ? new URL(text) : undefined;
        return (
            (url?.protocol === "http:" || url?.protocol === "https:") && isIP(url.hostname.replace(/^\[|\]$/g, "")) > 0
        );
    },
    { message: "Write an http or https URL with an IP address, such as http://10.1.0.9:7000." },
);
const publicKeySchema = z.string().refine(
    text => {
        const bytes = Buffer.from(text, "base64");
        return bytes.length === PUBLIC_KEY_LENGTH && bytes.toString("base64") === text;
    },
    { message: "Write the 32 bytes of an Ed25519 public key in base64, as `sassafrasloom keygen` prints them." },
);

const name = (text: string) => described(nameSchema, { form: NAME_FORM, text });
const address = (text: string) => described(addressSchema, { form: "IP address and port", text });
const addressWithDefault = (fallback: string, text: string) =>
    described(addressSchema.default(fallback), { form: "IP address and port", text });
const url = (text: string) => described(urlSchema, { form: "URL with an IP address", text });
const optionalAddress = (text: string) => described(addressSchema.optional(), { form: "IP address and port", text });
const duration = (fallbackMs: number, minimumMs: number, maximumMs: number, text: string) =>
    described(durationSchema(minimumMs, maximumMs).default(fallbackMs), {
        form: `a duration from ${formatDuration(minimumMs)} to ${formatDuration(maximumMs)}`,
        text,
        format: formatDuration,
    });
const size = (fallbackBytes: number, minimumBytes: number, maximumBytes: number, text: string) =>
    described(sizeSchema(minimumBytes, maximumBytes).default(fallbackBytes), {
        form: `a size from ${formatSize(minimumBytes)} to ${formatSize(maximumBytes)}`,
        text,
        format: formatSize,
    });
const count = (fallback: number, minimum: number, maximum: number, text: string) =>
    described(z.number().int().min(minimum).max(maximum).default(fallback), {
        form: `a whole number from ${minimum} to ${maximum}`,
        text,
    });
const choice = <const Values extends readonly [string, ...string[]]>(
    values: Values,
    fallback: Values[number],
    text: string,
) =>
    described(z.enum(values).default(fallback as never), {
        form: values.map(value => `\`${value}\``).join(" or "),
        text,
    });
const filePath = (text: string) =>
    described(z.string().min(1).optional(), { form: "path, relative to the settings file", text });

const instanceSection = z.strictObject({
    name: name("Name of this instance, unique in its domain."),
    domain: name("Failure domain in which this instance runs."),
});
const listenSection = z.strictObject({
    callers: address("Address on which requests from callers are accepted."),
    peers: address("Address for other instances. It is registered in the table, so it must be reachable by them."),
    peersAdvertised: optionalAddress(
        "Address at which other instances reach this one, if it differs from `peers`; defaults to `peers`.",
    ),
    operators: addressWithDefault(DEFAULT_OPERATORS_ADDRESS, "Address of the operator interface."),
    metrics: addressWithDefault(DEFAULT_METRICS_ADDRESS, "Address of the metrics endpoint."),
});
const platformSection = z.strictObject({
    table: url("Table service."),
    objects: url("Object store."),
    instances: url("Instance list."),
    tableTimeoutMs: duration(DEFAULT_TABLE_TIMEOUT_MS, 50, 60_000, "Timeout of requests to the table service."),
    objectTimeoutMs: duration(DEFAULT_OBJECT_TIMEOUT_MS, 50, 60_000, "Timeout of requests to the object store."),
    instanceListTimeoutMs: duration(
        DEFAULT_INSTANCE_LIST_TIMEOUT_MS,
        50,
        60_000,
        "Timeout of requests to the instance list.",
    ),
});
const timingSection = z.strictObject({
    heartbeatMs: duration(DEFAULT_HEARTBEAT_MS, 10, 10_000, "Period of heartbeats between instances of a domain."),
    suspicionMs: duration(DEFAULT_SUSPICION_MS, 50, 60_000, "Silence after which a member is suspected."),
    minorityDelayMs: duration(
        DEFAULT_MINORITY_DELAY_MS,
        0,
        60_000,
        "Additional delay before an instance that hears from no majority of its domain acts on a suspicion.",
    ),
    promiseMs: duration(DEFAULT_PROMISE_MS, 50, 60_000, "Time for which a heartbeat's answer rules out a takeover."),
    grantTtlMs: duration(DEFAULT_GRANT_TTL_MS, 50, 60_000, "Time for which a grant to a target is valid."),
    grantPeriodMs: duration(DEFAULT_GRANT_PERIOD_MS, 10, 30_000, "Interval at which grants are renewed."),
    grantMarginMs: duration(
        DEFAULT_GRANT_MARGIN_MS,
        0,
        10_000,
        "Fixed part of the margin after a grant's expiry; 1% of the grant's duration is added.",
    ),
    pollMs: duration(DEFAULT_POLL_MS, 50, 60_000, "Interval at which one instance of a domain polls the table."),
    fallbackPollMs: duration(DEFAULT_FALLBACK_POLL_MS, 50, 600_000, "Interval at which the other instances poll it."),
    instanceListPollMs: duration(
        DEFAULT_INSTANCE_LIST_POLL_MS,
        50,
        60_000,
        "Interval at which one instance of a domain reads the instance list; the others use `fallback-poll`.",
    ),
    probePeriodMs: duration(
        DEFAULT_PROBE_PERIOD_MS,
        50,
        60_000,
        "Interval at which the load of a target that checks grants is read, in addition to the grants.",
    ),
    probeTimeoutMs: duration(DEFAULT_PROBE_TIMEOUT_MS, 10, 10_000, "Timeout of a probe."),
    targetSilenceMs: duration(
        DEFAULT_LOSS_SILENCE_MS,
        50,
        60_000,
        "Silence on fresh connections after which a target is considered lost.",
    ),
    refusalGapMs: duration(
        DEFAULT_REFUSED_RETRY_MS,
        10,
        10_000,
        "Time between the two refused connections after which a target is considered lost; capped at `grant-period`.",
    ),
    lateAnswerMs: duration(
        DEFAULT_LATE_ANSWER_MS,
        10,
        60_000,
        "Minimum silence of a connection with a request before the target is probed.",
    ),
    pingMs: duration(DEFAULT_PING_MS, 50, 60_000, "Period of keep-alive pings between instances."),
    pingTimeoutMs: duration(DEFAULT_PING_TIMEOUT_MS, 50, 60_000, "Timeout of a keep-alive ping."),
    quarantineMs: duration(DEFAULT_CONVICTION_MS, 1_000, 86_400_000, "Time for which a quarantine refuses a request."),
    auditRetentionMs: duration(
        DEFAULT_AUDIT_RETENTION_MS,
        86_400_000,
        3_650 * 86_400_000,
        "Age at which audit records are removed from the table, in steps of a tenth of this age.",
    ),
});
const limitsSection = z.strictObject({
    maxBodyBytes: size(DEFAULT_MAX_BODY_BYTES, 1_024, 1_073_741_824, "Maximum size of a request body."),
    maxHeaderBytes: size(DEFAULT_MAX_HEADER_BYTES, 1_024, 1_048_576, "Maximum size of a request head."),
    streamWindowBytes: size(
        DEFAULT_ANSWER_WINDOW_BYTES,
        4_096,
        16_777_216,
        "Maximum number of bytes of one answer in transit to the instance that received the request.",
    ),
    queueLength: count(
        DEFAULT_MAX_WAITING,
        1,
        1_000_000,
        "Maximum number of requests of one priority and class (short, long, suspect) that wait for one target.",
    ),
    callerConnections: count(DEFAULT_CALLER_CONNECTIONS, 1, 1_000_000, "Maximum number of open caller connections."),
    connectionsPerTarget: count(
        DEFAULT_CONNECTION_LIMIT,
        1,
        10_000,
        "Maximum number of connections to one target for requests; grants and probes use separate ones.",
    ),
    movesInParallel: count(DEFAULT_MOVES_IN_PARALLEL, 1, 1_000, "Maximum number of concurrent moves per instance."),
    movesPerMinute: count(DEFAULT_MOVES_PER_MINUTE, 0, 100_000, "Most planned moves per service and minute."),
    retryPercent: count(DEFAULT_RETRY_PERCENT, 0, 100, "Retries allowed, in percent of recent requests."),
    auditBufferLength: count(
        DEFAULT_AUDIT_BUFFER_LENGTH,
        1,
        1_000_000,
        "Maximum number of audit records buffered while the platform is unavailable.",
    ),
});
const tlsSection = z.strictObject({
    mode: choice(
        ["mutual", "plain"],
        "mutual",
        "Whether instances and operators use mutual TLS or, with a warning in the log, plain text.",
    ),
    certificate: filePath("PEM file of this instance's certificate; required with `mutual`."),
    key: filePath("PEM file of the certificate's private key; required with `mutual`."),
    authority: filePath("PEM file of the authority that signs the peers' certificates; required with `mutual`."),
});
const signersSection = z.record(nameSchema, described(publicKeySchema, {
    form: "Ed25519 public key in base64",
    text: "One field per person who may sign bundles and operator calls; the field's name is the person's.",
})); // prettier-ignore
const logSection = z.strictObject({
    level: choice(["debug", "info", "warn", "error"], "info", "Minimum level of the lines that are written."),
    format: choice(["json", "pretty"], "json", "Format of the lines."),
});

/** Settings of a daemon. Keys with the suffix `Ms` are in milliseconds, those with `Bytes` in bytes. */
export const settingsSchema = z.strictObject({
    instance: instanceSection.meta({ description: "Identity of this instance." }),
    listen: listenSection.meta({ description: "Addresses on which this instance listens." }),
    platform: platformSection.meta({ description: "The platform's services." }),
    timing: timingSection.meta({ description: "Intervals and timeouts." }),
    limits: limitsSection.meta({ description: "Limits on sizes, queues, connections and concurrent work." }),
    tls: tlsSection.meta({ description: "Transport security of the peer and operator addresses." }),
    signers: signersSection.meta({ description: "Persons who may sign bundles and operator calls." }),
    log: logSection.meta({ description: "Log output." }),
});
export type Settings = z.infer<typeof settingsSchema>;

/** Suffixes of schema keys that are omitted from the field names, because the values include their unit. */
export const UNIT_SUFFIXES = ["Ms", "Bytes"] as const;

/** Prefix of the environment variables that override fields. */
export const ENVIRONMENT_PREFIX = "SASSAFRASLOOM_";
/** Prefix of the command-line tool's variables, which a daemon ignores because its shell may also set them. */
export const CLI_ENVIRONMENT_PREFIX = "SASSAFRASLOOM_CLI_";

/**
 * Name of the environment variable that overrides a field.
 *
 * @example
 * environmentName("timing", "grant-ttl"); // "SASSAFRASLOOM_TIMING_GRANT_TTL"
 */
export const environmentName = (section: string, field: string): string =>
    `${ENVIRONMENT_PREFIX}${section}_${field}`.toUpperCase().replaceAll("-", "_");
