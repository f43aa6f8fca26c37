import { z } from "zod";
import { described } from "../process/settings/fieldText.js";

export const DEFAULT_DEADLINE_MS = 1_000;
export const DEFAULT_DEADLINE_CAP_MS = 1_000;
export const DEFAULT_CLOCK_SKEW_MS = 500;
export const DEFAULT_IDENTIFIER_WINDOW_MS = 120_000;

const enumChoice = <const Values extends readonly [string, ...string[]]>(values: Values) => ({
    schema: z.enum(values),
    form: values.map(value => `\`${value}\``).join(" or "),
});
const milliseconds = (minimum: number, maximum: number) => ({
    schema: z.number().int().min(minimum).max(maximum),
    form: `whole milliseconds from ${minimum} to ${maximum}`,
});

const methods = z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]);
const divisionModes = enumChoice(["key", "none"]);
const grantModes = enumChoice(["checked", "unchecked"]);
const recordModes = enumChoice(["memory", "durable"]);
const lossPolicies = enumChoice(["hold", "evacuate-by-command"]);
const priorities = enumChoice(["high", "normal", "bulk"]);
const deadline = milliseconds(1, 3_600_000);
const clockSkew = milliseconds(0, 60_000);
const identifierWindow = milliseconds(1_000, 86_400_000);
const booleanForm = "`true` or `false`";

export const SERVICE_NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
/** A kind is named by its service, a dot and a name of its own. */
export const KIND_NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}\.[a-z][a-z0-9-]{0,62}$/;

/** A service of the bundle: how its keys are distributed and how requests are sent to its targets. */
export const bundleServiceSchema = z.strictObject({
    name: z.string().regex(SERVICE_NAME_PATTERN),
    path: described(z.string().startsWith("/"), {
        form: "a path that starts with `/`",
        text: "Path prefix of the requests that are routed to the service.",
    }),
    dividedBy: described(divisionModes.schema, {
        form: divisionModes.form,
        text: "Whether each key is owned by one target, or any target may serve any request.",
    }),
    grants: described(grantModes.schema, {
        form: grantModes.form,
        text: "Whether the targets check grants. Those that don't are protected by the domain lease and deadlines.",
    }),
    slots: described(z.number().int().min(1).max(1024), {
        form: "a whole number from 1 to 1024",
        text: "Number of requests that a target runs concurrently.",
    }),
    record: described(recordModes.schema.default("memory"), {
        form: recordModes.form,
        text: "Where the identifiers of non-idempotent requests are recorded.",
    }),
    onDomainLoss: described(lossPolicies.schema.default("hold"), {
        form: lossPolicies.form,
        text: "What happens to the keys of a domain that no longer responds.",
    }),
    deadlineMs: described(deadline.schema.default(DEFAULT_DEADLINE_MS), {
        form: deadline.form,
        text: "Deadline of a request whose caller sets none.",
    }),
    deadlineCapMs: described(deadline.schema.default(DEFAULT_DEADLINE_CAP_MS), {
        form: deadline.form,
        text: "Maximum deadline of requests to a target that doesn't check grants.",
    }),
    clockSkewMs: described(clockSkew.schema.default(DEFAULT_CLOCK_SKEW_MS), {
        form: clockSkew.form,
        text: "Maximum difference between the clocks of callers and instances.",
    }),
    identifierWindowMs: described(identifierWindow.schema.default(DEFAULT_IDENTIFIER_WINDOW_MS), {
        form: identifierWindow.form,
        text: "Maximum age at which the identifier of a non-idempotent request is accepted.",
    }),
});
export type BundleService = z.infer<typeof bundleServiceSchema>;

/** A kind of request: its methods and paths, and how its requests are handled. */
export const requestKindSchema = z.strictObject({
    name: z.string().regex(KIND_NAME_PATTERN),
    service: z.string(),
    methods: described(z.array(methods).min(1), {
        form: `one or more of ${methods.options.join(", ")}`,
        text: "Methods of the requests, separated by commas or spaces.",
    }),
    pattern: described(z.string().startsWith("/"), {
        form: "a path pattern that starts with `/`",
        text: "Path pattern; a segment that starts with `:` matches any one segment, a last segment `*` the rest.",
    }),
    idempotent: described(z.boolean(), {
        form: booleanForm,
        text: "False for requests that must not run more than once.",
    }),
    long: described(z.boolean().default(false), {
        form: booleanForm,
        text: "True for requests that run many times longer than others; they get at most half of the slots.",
    }),
    priority: described(priorities.schema.default("normal"), {
        form: priorities.form,
        text: "Priority in the queue of a target.",
    }),
    deadlineMs: described(deadline.schema.optional(), {
        form: deadline.form,
        text: "Deadline of a request whose caller sets none; defaults to the deadline of the service.",
    }),
});
export type RequestKind = z.infer<typeof requestKindSchema>;

/** The versioned declaration that operators write, sign and roll out. */
export const bundleSchema = z.strictObject({
    version: described(z.number().int().min(1), {
        form: "a whole number from 1",
        text: "Version number, which must increase with each bundle that is rolled out.",
    }),
    name: described(z.string().min(1).max(128), { form: "1 to 128 characters", text: "Descriptive name." }),
    expires: described(z.iso.date(), {
        form: "a date as `YYYY-MM-DD`",
        text: "Last day (UTC) on which the bundle may be accepted. An accepted bundle stays in force.",
    }),
    services: z.array(bundleServiceSchema).min(1),
    kinds: z.array(requestKindSchema).min(1),
});
export type Bundle = z.infer<typeof bundleSchema>;
