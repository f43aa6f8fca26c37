import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { createSecureContext } from "node:tls";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { fieldName, remedyFor, valueOfText } from "./fieldText.js";
import { readIni, type IniDocument } from "./iniDocument.js";
import { sortInputProblems, type InputProblem } from "./inputProblem.js";
import {
    CLI_ENVIRONMENT_PREFIX,
    ENVIRONMENT_PREFIX,
    environmentName,
    settingsSchema,
    UNIT_SUFFIXES,
    type Settings,
} from "./settings.js";
import { brokenSettingsRules, type PartialSettings } from "./settingsRules.js";

/** Text of a field and its origin. */
interface FieldSource {
    text: string;
    file: string;
    line?: number;
}

const TLS_FILE_KEYS = ["certificate", "key", "authority"] as const;

const sectionNames = Object.keys(settingsSchema.shape) as (keyof Settings)[];

/** Keys and schemas of a section by field name; `undefined` for the section with arbitrary field names. */
const fieldsOf = (section: keyof Settings): Map<string, { key: string; schema: z.ZodType }> | undefined => {
    const schema = settingsSchema.shape[section];
    if (!(schema instanceof z.ZodObject)) {
        return undefined;
    }
    const entries = Object.entries(schema.shape as Record<string, z.ZodType>);
    return new Map(entries.map(([key, field]) => [fieldName(key, UNIT_SUFFIXES), { key, schema: field }]));
};

/** Collects the fields of a section from the file and the environment. The environment overrides the file. */
const collectSources = (
    document: IniDocument,
    section: keyof Settings,
    environment: Record<string, string | undefined>,
): Map<string, FieldSource> => {
    const sources = new Map<string, FieldSource>();
    for (const field of document.sections.get(section)?.fields.values() ?? []) {
        sources.set(field.name, { text: field.value, file: document.file, line: field.line });
    }
    const prefix = environmentName(section, "");
    for (const [variable, text] of Object.entries(environment)) {
        if (variable.startsWith(prefix) && text !== undefined) {
            const field = variable.slice(prefix.length).toLowerCase().replaceAll("_", "-");
            sources.set(field, { text, file: `environment ${variable}` });
        }
    }
    return sources;
};

const unknownSections = (document: IniDocument, environment: Record<string, string | undefined>): InputProblem[] => {
    const remedy = `There is no such section. The sections are ${sectionNames.join(", ")}.`;
    const inFile = [...document.sections.values()]
        .filter(
            ({ name, fields }) => !sectionNames.includes(name as keyof Settings) && (name !== "" || fields.size > 0),
        )
        .map(({ name, line, fields }): InputProblem => {
            const firstField = [...fields.values()][0];
            return name === ""
                ? {
                      type: "unknown-section",
                      file: document.file,
                      line: firstField.line,
                      field: firstField.name,
                      remedy: "The field precedes the first section header. Move it into its section.",
                  }
                : { type: "unknown-section", file: document.file, line, section: name, remedy };
        });
    const inEnvironment = Object.keys(environment)
        .filter(variable => variable.startsWith(ENVIRONMENT_PREFIX) && !variable.startsWith(CLI_ENVIRONMENT_PREFIX))
        .filter(variable => !sectionNames.some(section => variable.startsWith(environmentName(section, ""))))
        .map((variable): InputProblem => ({ type: "unknown-section", file: `environment ${variable}`, remedy }));
    return [...inFile, ...inEnvironment];
};

const unknownField = (section: string, field: string, source: FieldSource, known: readonly string[]): InputProblem => ({
    type: "unknown-field",
    file: source.file,
    line: source.line,
    section,
    field,
    value: source.text,
    remedy: `There is no such field. The fields of the section are ${known.join(", ")}.`,
});

/** Reads one section. Returns the valid fields and appends the faults of the others to `problems`. */
const readSection = (
    section: keyof Settings,
    sources: Map<string, FieldSource>,
    file: string,
    problems: InputProblem[],
): Record<string, unknown> => {
    const values: Record<string, unknown> = {};
    const fields = fieldsOf(section);
    const check = (field: string, key: string, schema: z.ZodType) => {
        const source = sources.get(field);
        const parsed = schema.safeParse(source === undefined ? undefined : valueOfText(schema, source.text));
        if (parsed.success) {
            values[key] = parsed.data;
            return;
        }
        problems.push({
            type: source === undefined ? "missing-field" : "bad-value",
            file: source?.file ?? file,
            line: source?.line,
            section,
            field,
            value: source?.text,
            remedy:
                source === undefined
                    ? `Set the field in the section or as ${environmentName(section, field)}.`
                    : remedyFor(schema, parsed.error),
        });
    };
    if (fields === undefined) {
        const schema = settingsSchema.shape.signers;
        for (const [field, source] of sources) {
            if (schema.keyType.safeParse(field).success) {
                check(field, field, schema.valueType);
            } else {
                const remedy = "Name the person with lower-case letters, digits and hyphens.";
                problems.push({ type: "bad-value", file: source.file, line: source.line, section, field, remedy });
            }
        }
        return values;
    }
    fields.forEach(({ key, schema }, field) => check(field, key, schema));
    sources.forEach((source, field) => {
        if (!fields.has(field)) {
            problems.push(unknownField(section, field, source, [...fields.keys()]));
        }
    });
    return values;
};

/**
 * Resolves the paths of the TLS files relative to the settings file, stores them in `tls`, and checks that the files can
 * be read and belong together.
 */
const checkTlsFiles = (
    tls: Partial<Settings["tls"]>,
    file: string,
    positionOf: (key: string) => Pick<InputProblem, "file" | "line">,
): InputProblem[] => {
    const problems: InputProblem[] = [];
    const contents: Partial<Record<(typeof TLS_FILE_KEYS)[number], Buffer>> = {};
    for (const key of TLS_FILE_KEYS) {
        const path = tls[key];
        if (path === undefined) {
            continue;
        }
        const resolved = resolve(dirname(file), path);
        tls[key] = resolved;
        try {
            contents[key] = readFileSync(resolved);
        } catch (error) {
            const code = error instanceof Error && "code" in error ? String(error.code) : "unreadable";
            const remedy = `The file can't be read (${code}). Correct the path or the file's permissions.`;
            problems.push({
                type: "missing-file",
                ...positionOf(key),
                section: "tls",
                field: key,
                value: path,
                remedy,
            });
        }
    }
    const { certificate, key, authority } = contents;
    if (certificate !== undefined && key !== undefined && authority !== undefined) {
        try {
            createSecureContext({ cert: certificate, key, ca: authority });
        } catch (error) {
            const detail = error instanceof Error ? error.message : "unknown reason";
            const remedy = `The TLS files don't match (${detail}). Use PEM files of one key pair.`;
            problems.push({ type: "bad-value", ...positionOf("key"), section: "tls", field: "key", remedy });
        }
    }
    return problems;
};

/**
 * Parses the text of a settings file, applies the overrides of the environment, and returns the settings or all problems
 * at once. Also reads the TLS files named in the settings, to check them.
 *
 * @example
 * parseSettings("daemon.ini", text, process.env).mapErr(problems => problems.map(formatInputProblem));
 */
export const parseSettings = (
    file: string,
    text: string,
    environment: Record<string, string | undefined>,
): Result<Settings, InputProblem[]> => {
    const document = readIni(file, text);
    const problems = [...document.problems, ...unknownSections(document, environment)];
    const sources = new Map(sectionNames.map(name => [name, collectSources(document, name, environment)]));
    const settings = Object.fromEntries(
        sectionNames.map(name => [name, readSection(name, sources.get(name) ?? new Map(), file, problems)]),
    ) as PartialSettings;
    const positionOf = (section: keyof Settings, key: string) => {
        const source = sources.get(section)?.get(fieldName(key, UNIT_SUFFIXES));
        return { file: source?.file ?? file, line: source?.line, value: source?.text };
    };
    const alreadyReported = new Set(problems.map(({ section, field }) => `${section}.${field}`));
    for (const { section, key, remedy } of brokenSettingsRules(settings)) {
        const field = fieldName(key, UNIT_SUFFIXES);
        if (!alreadyReported.has(`${section}.${field}`)) {
            problems.push({ type: "conflict", ...positionOf(section, key), section, field, remedy });
        }
    }
    problems.push(...checkTlsFiles(settings.tls ?? {}, file, key => positionOf("tls", key)));
    return problems.length > 0 ? err(sortInputProblems(problems)) : ok(settings as Settings);
};

/**
 * Reads the settings file and applies the overrides of the environment. Returns all problems at once.
 *
 * @example
 * const settings = loadSettings("/etc/sassafrasloom/daemon.ini", process.env);
 */
export const loadSettings = (
    file: string,
    environment: Record<string, string | undefined>,
): Result<Settings, InputProblem[]> => {
    try {
        return parseSettings(file, readFileSync(file, "utf8"), environment);
    } catch (error) {
        const code = error instanceof Error && "code" in error ? String(error.code) : "unreadable";
        const remedy = `The settings file can't be read (${code}). Name a readable file.`;
        return err([{ type: "unreadable-file", file, remedy }]);
    }
};
