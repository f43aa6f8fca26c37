import { z } from "zod";

/** Description of a field on the generated reference page. */
export interface FieldDescription {
    /** Accepted values, as readable text. */
    form: string;
    /** What the field does. */
    text: string;
    /** Formats the default as it is written in a file. */
    format?: (value: never) => string;
}

/**
 * Attaches the description of a field to its schema.
 *
 * @example
 * described(z.number().int().default(4), { form: "whole number", text: "Moves that run at once." });
 */
export const described = <Schema extends z.ZodType>(schema: Schema, description: FieldDescription): Schema =>
    schema.meta({ field: description });

/** Returns the description attached with `described`. */
export const descriptionOf = (schema: z.ZodType): FieldDescription | undefined => {
    const meta: Record<string, unknown> | undefined = schema.meta();
    return meta?.field as FieldDescription | undefined;
};

/**
 * Converts a schema key to its name in a file: kebab case, without a suffix of `droppedSuffixes`, for values that include
 * their unit.
 *
 * @example
 * fieldName("grantTtlMs", ["Ms"]); // "grant-ttl"
 */
export const fieldName = (key: string, droppedSuffixes: readonly string[] = []): string => {
    const suffix = droppedSuffixes.find(candidate => key.endsWith(candidate)) ?? "";
    return key.slice(0, key.length - suffix.length).replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
};

const unwrapSchema = (schema: z.ZodType): z.ZodType =>
    schema instanceof z.ZodDefault || schema instanceof z.ZodOptional
        ? unwrapSchema(schema.unwrap() as z.ZodType)
        : schema;

/** Default of a schema as it is written in a file; `undefined` if the field is required or has no default. */
export const defaultText = (schema: z.ZodType): string | undefined => {
    if (!(schema instanceof z.ZodDefault)) {
        return undefined;
    }
    const value: unknown = schema.parse(undefined);
    const format = descriptionOf(schema)?.format as ((value: unknown) => string) | undefined;
    return format === undefined ? String(value) : format(value);
};

/** Returns whether a field may be omitted. */
export const isOptionalField = (schema: z.ZodType): boolean => schema.safeParse(undefined).success;

const booleanOfText = (text: string): unknown => {
    switch (text) {
        case "true":
            return true;
        case "false":
            return false;
        default:
            return text;
    }
};

/** Converts a field's text to the type that its schema expects; returns other text unchanged, for the schema to reject. */
export const valueOfText = (schema: z.ZodType, text: string): unknown => {
    const inner = unwrapSchema(schema);
    if (inner instanceof z.ZodNumber) {
        return /^\d{1,15}$/.test(text) ? Number(text) : text;
    }
    if (inner instanceof z.ZodBoolean) {
        return booleanOfText(text);
    }
    if (inner instanceof z.ZodArray) {
        return text.split(/[\s,]+/).filter(item => item.length > 0);
    }
    return text;
};

/** Text that tells the user how to correct a value that its schema rejected. */
export const remedyFor = (schema: z.ZodType, error: z.ZodError): string => {
    const form = descriptionOf(schema)?.form;
    const custom = error.issues.filter(issue => issue.code === "custom").map(issue => issue.message);
    if (custom.length > 0) {
        return custom.join(" ");
    }
    const messages = error.issues.map(issue => issue.message).join("; ");
    return form === undefined ? `${messages}.` : `Write ${form}. (${messages})`;
};
