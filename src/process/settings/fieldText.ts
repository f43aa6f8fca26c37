import { z } from "zod";

/** How a field is described in the reference page. */
export interface FieldDescription {
    /** Values that the field takes, for people. */
    form: string;
    /** What the field does. */
    text: string;
    /** Writes the default as it would stand in a file. */
    format?: (value: never) => string;
}

/**
 * Adds the description of a field to its schema.
 *
 * @example
 * described(z.number().int().default(4), { form: "whole number", text: "Moves that run at once." });
 */
export const described = <Schema extends z.ZodType>(schema: Schema, description: FieldDescription): Schema =>
    schema.meta({ field: description });

/** The description added with `described`. */
export const descriptionOf = (schema: z.ZodType): FieldDescription | undefined => {
    const meta: Record<string, unknown> | undefined = schema.meta();
    return meta?.field as FieldDescription | undefined;
};

/**
 * Name of a schema's key in a file: kebab case, without the unit where the value carries it.
 *
 * @example
 * fieldName("grantTtlMs", ["Ms"]); // "grant-ttl"
 */
export const fieldName = (key: string, droppedSuffixes: readonly string[] = []): string => {
    const suffix = droppedSuffixes.find(candidate => key.endsWith(candidate)) ?? "";
    return key.slice(0, key.length - suffix.length).replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
};

const innermost = (schema: z.ZodType): z.ZodType =>
    schema instanceof z.ZodDefault || schema instanceof z.ZodOptional
        ? innermost(schema.unwrap() as z.ZodType)
        : schema;

/** The default of a schema as it would stand in a file, `undefined` when the field is required or has none. */
export const defaultText = (schema: z.ZodType): string | undefined => {
    if (!(schema instanceof z.ZodDefault)) {
        return undefined;
    }
    const value: unknown = schema.parse(undefined);
    const format = descriptionOf(schema)?.format as ((value: unknown) => string) | undefined;
    return format === undefined ? String(value) : format(value);
};

/** Tells whether a field may be left out. */
export const isOptionalField = (schema: z.ZodType): boolean => schema.safeParse(undefined).success;

const wordValue = (text: string): unknown => {
    switch (text) {
        case "true":
            return true;
        case "false":
            return false;
        default:
            return text;
    }
};

/** Turns the text of a field into the type that its schema expects; text that doesn't fit is left for the schema. */
export const valueOfText = (schema: z.ZodType, text: string): unknown => {
    const inner = innermost(schema);
    if (inner instanceof z.ZodNumber) {
        return /^\d{1,15}$/.test(text) ? Number(text) : text;
    }
    if (inner instanceof z.ZodBoolean) {
        return wordValue(text);
    }
    if (inner instanceof z.ZodArray) {
        return text.split(/[\s,]+/).filter(item => item.length > 0);
    }
    return text;
};

/** What to do about a value that its schema refused. */
export const remedyFor = (schema: z.ZodType, error: z.ZodError): string => {
    const form = descriptionOf(schema)?.form;
    const custom = error.issues.filter(issue => issue.code === "custom").map(issue => issue.message);
    if (custom.length > 0) {
        return custom.join(" ");
    }
    const messages = error.issues.map(issue => issue.message).join("; ");
    return form === undefined ? `${messages}.` : `Write ${form}. (${messages})`;
};
