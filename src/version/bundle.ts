import { z } from "zod";
import { described } from "../process/settings/fieldText.js";

export const DEFAULT_DEADLINE_MS = 1_000;
export const DEFAULT_DEADLINE_CAP_MS = 1_000;
export const DEFAULT_CLOCK_SKEW_MS = 500;
export const DEFAULT_IDENTIFIER_WINDOW_MS = 120_000;

const choice = <const Values extends readonly [string, ...string[]]>(values: Values) => ({
    schema: z.enum(values),
    form: values.map(value => `\`${value}\``).join(" or "),
});
const milliseconds = (minimum: number, maximum: number) => ({
    schema: z.number().int().min(minimum).max(maximum),
    form: `whole milliseconds from ${minimum} to ${maximum}`,
});

const methods = z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]);
const divisions = choice(["key", "none"]);
const grantForms = choice(["checked", "unchecked"]);
const recordForms = choice(["memory", "durable"]);
const lossReactions = choice(["hold", "evacuate-by-command"]);
const priorities = choice(["high", "normal", "bulk"]);
const deadline = milliseconds(1, 3_600_000);
const skew = milliseconds(0, 60_000);
const identifierWindow = milliseconds(1_000, 86_400_000);
const truth = "`true` or `false`";

/** Names of services and, joined by a dot, of kinds. */
export const SERVICE_NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
export const KIND_NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}\.[a-z][a-z0-9-]{0,62}$/;

/** A service of the bundle: how its keys are divided and how its targets are treated. */
export const bundleServiceSchema = z.strictObject({
    name: z.string().regex(SERVICE_NAME_PATTERN),
    path: described(z.string().startsWith("/"), {
        form: "a path that starts with `/`",
        text: "Path prefix by which requests choose the service.",
    }),
    dividedBy: described(divisions.schema, {
        form: divisions.form,
        text: "Whether each key has one owning target, or any target may serve any request.",
    }),
    grants: described(grantForms.schema, {
        form: grantForms.form,
        text: "Whether the targets check grants. Targets that don't are protected by the domain lease and deadlines.",
    }),
    slots: described(z.number().int().min(1).max(1024), {
        form: "a whole number from 1 to 1024",
        text: "Requests that a target runs at a time.",
    }),
    record: described(recordForms.schema.default("memory"), {
        form: recordForms.form,
        text: "Where the identifiers of non-idempotent requests are recorded.",
    }),
    onDomainLoss: described(lossReactions.schema.default("hold"), {
        form: lossReactions.form,
        text: "What happens to the keys of a domain that has gone silent.",
    }),
    deadlineMs: described(deadline.schema.default(DEFAULT_DEADLINE_MS), {
        form: deadline.form,
        text: "Time left for a request whose caller states none.",
    }),
    deadlineCapMs: described(deadline.schema.default(DEFAULT_DEADLINE_CAP_MS), {
        form: deadline.form,
        text: "Longest deadline given to a target that doesn't check grants.",
    }),
    clockSkewMs: described(skew.schema.default(DEFAULT_CLOCK_SKEW_MS), {
        form: skew.form,
        text: "Most by which clocks of callers and instances differ.",
    }),
    identifierWindowMs: described(identifierWindow.schema.default(DEFAULT_IDENTIFIER_WINDOW_MS), {
        form: identifierWindow.form,
        text: "Age up to which the identifier of a non-idempotent request is accepted.",
    }),
});
export type BundleService = z.infer<typeof bundleServiceSchema>;

/** A kind of request: which methods and paths, and how it may be treated. */
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
        form: truth,
        text: "False for a kind that may never be repeated.",
    }),
    long: described(z.boolean().default(false), {
        form: truth,
        text: "True for work that runs many times longer than the rest; it gets at most half of the slots.",
    }),
    priority: described(priorities.schema.default("normal"), {
        form: priorities.form,
        text: "Class in the queue of a target.",
    }),
    deadlineMs: described(deadline.schema.optional(), {
        form: deadline.form,
        text: "Time left for a request whose caller states none; without it that of the service holds.",
    }),
});
export type RequestKind = z.infer<typeof requestKindSchema>;

/** The versioned declaration that operators write, sign and roll out. */
export const bundleSchema = z.strictObject({
    version: described(z.number().int().min(1), {
        form: "a whole number from 1",
        text: "Grows with each bundle that is rolled out.",
    }),
    name: described(z.string().min(1).max(128), { form: "1 to 128 characters", text: "Name for people." }),
    expires: described(z.iso.date(), {
        form: "a date as `YYYY-MM-DD`",
        text: "Last day (UTC) on which the bundle may be accepted. An accepted bundle stays in force.",
    }),
    services: z.array(bundleServiceSchema).min(1),
    kinds: z.array(requestKindSchema).min(1),
});
export type Bundle = z.infer<typeof bundleSchema>;
