import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { fieldName, remedyFor, valueOfText } from "../process/settings/fieldText.js";
import { readIni, type IniDocument, type IniSection } from "../process/settings/iniDocument.js";
import { sortInputProblems, type InputProblem } from "../process/settings/inputProblem.js";
import {
    bundleSchema,
    bundleServiceSchema,
    KIND_NAME_PATTERN,
    requestKindSchema,
    SERVICE_NAME_PATTERN,
    type Bundle,
    type BundleService,
    type RequestKind,
} from "./bundle.js";
import { normalizeBundle } from "./normalizeBundle.js";
import { validateBundle } from "./validateBundle.js";

/** Fields that are set by the header of a section. */
const HEADER_KEYS = ["name", "service"];
const TOP_KEYS = ["version", "name", "expires"] as const;

/** Key and schema of each field of a section, by the field's name in the file. */
export const bundleFields = (shape: Record<string, z.ZodType>, without: readonly string[]) =>
    new Map(
        Object.entries(shape)
            .filter(([key]) => !without.includes(key))
            .map(([key, schema]) => [fieldName(key), { key, schema }]),
    );

/** Fields of the three types of sections. */
export const BUNDLE_FIELDS = {
    top: bundleFields(Object.fromEntries(TOP_KEYS.map(key => [key, bundleSchema.shape[key]])), []),
    service: bundleFields(bundleServiceSchema.shape, HEADER_KEYS),
    kind: bundleFields(requestKindSchema.shape, HEADER_KEYS),
} as const;

/** Reads the fields of one section; `undefined` if any of them has a problem. */
const readFields = (
    document: IniDocument,
    section: IniSection,
    fields: ReturnType<typeof bundleFields>,
    problems: InputProblem[],
): Record<string, unknown> | undefined => {
    const values: Record<string, unknown> = {};
    const before = problems.length;
    const at = { file: document.file, section: section.name };
    for (const [field, { key, schema }] of fields) {
        const given = section.fields.get(field);
        const parsed = schema.safeParse(given === undefined ? undefined : valueOfText(schema, given.value));
        if (parsed.success) {
            values[key] = parsed.data;
        } else if (given === undefined) {
            const line = section.name === "" ? undefined : section.line;
            problems.push({ type: "missing-field", ...at, line, field, remedy: "The field is required. Add it." });
        } else {
            const remedy = remedyFor(schema, parsed.error);
            problems.push({ type: "bad-value", ...at, line: given.line, field, value: given.value, remedy });
        }
    }
    for (const given of section.fields.values()) {
        if (!fields.has(given.name)) {
            const remedy = `There is no such field. The fields of the section are ${[...fields.keys()].join(", ")}.`;
            problems.push({
                type: "unknown-field",
                ...at,
                line: given.line,
                field: given.name,
                value: given.value,
                remedy,
            });
        }
    }
    return problems.length === before ? values : undefined;
};

/**
 * Parses and validates the text of a bundle. Returns the normalized bundle or all problems.
 *
 * @example
 * parseBundle("steyrtal.bundle.ini", text).map(bundle => bundle.version);
 */
export const parseBundle = (file: string, text: string): Result<Bundle, InputProblem[]> => {
    const document = readIni(file, text);
    const problems: InputProblem[] = [...document.problems];
    const services: BundleService[] = [];
    const kinds: RequestKind[] = [];
    const declared = { services: [] as string[], kinds: [] as string[] };
    let top: Record<string, unknown> | undefined;
    for (const section of document.sections.values()) {
        const [form, name = "", ...rest] = section.name.split(" ");
        const at = { file, line: section.line, section: section.name };
        if (section.name === "") {
            top = readFields(document, section, BUNDLE_FIELDS.top, problems);
        } else if ((form !== "service" && form !== "kind") || rest.length > 0) {
            const remedy = "There is no such section. Write [service NAME] or [kind SERVICE.NAME].";
            problems.push({ type: "unknown-section", ...at, remedy });
        } else if (form === "service") {
            declared.services.push(name);
            if (!SERVICE_NAME_PATTERN.test(name)) {
                const remedy = "Name the service with lower-case letters, digits and hyphens, a letter first.";
                problems.push({ type: "bad-value", ...at, remedy });
            }
            const values = readFields(document, section, BUNDLE_FIELDS.service, problems);
            if (values !== undefined) {
                services.push({ ...values, name } as BundleService);
            }
        } else {
            declared.kinds.push(name);
            if (!KIND_NAME_PATTERN.test(name)) {
                const remedy = "Name the kind by its service, a dot and a name, such as [kind stock.lookup].";
                problems.push({ type: "bad-value", ...at, remedy });
                continue;
            }
            const values = readFields(document, section, BUNDLE_FIELDS.kind, problems);
            if (values !== undefined) {
                kinds.push({ ...values, name, service: name.split(".")[0] } as RequestKind);
            }
        }
    }
    if (declared.services.length === 0) {
        const remedy = "A bundle needs at least one service. Add a section [service NAME].";
        problems.push({ type: "missing-section", file, remedy });
    }
    for (const problem of validateBundle({ services, kinds }, declared)) {
        const section = document.sections.get(problem.section);
        const given = problem.field === undefined ? undefined : section?.fields.get(problem.field);
        problems.push({
            type: "conflict",
            file,
            line: given?.line ?? section?.line,
            section: problem.section,
            field: problem.field,
            value: given?.value,
            remedy: problem.remedy,
        });
    }
    if (problems.length > 0) {
        return err(sortInputProblems(problems));
    }
    return ok(normalizeBundle(bundleSchema.parse({ ...top, services, kinds })));
};
