import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { sortInputProblems, type InputProblem } from "../../src/process/settings/inputProblem.js";
import { parseJson } from "../support/httpSupport.js";
import type { DemoRequest } from "./demoRequest.js";

/** Deadline of the requests of a file, in milliseconds. */
export const DEFAULT_FILE_DEADLINE_MS = 5_000;

const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;

const lineSchema = z.strictObject({
    service: z.string(),
    method: z.enum(METHODS),
    path: z.string().regex(/^\/[\x21-\x7e]*$/),
    key: z
        .string()
        .regex(/^[\x20-\x7e]{1,512}$/)
        .optional(),
    body: z.union([z.string(), z.record(z.string(), z.unknown()), z.array(z.unknown())]).optional(),
    idempotent: z.boolean(),
});
type LineField = keyof z.infer<typeof lineSchema>;

const FIELDS = Object.keys(lineSchema.shape) as LineField[];

const remedies = (services: readonly string[]): Record<LineField, string> => ({
    service: `Name one of the services ${services.join(", ")}.`,
    method: `Use one of ${METHODS.join(", ")}.`,
    path: "Write a path that starts with / and has no spaces or control characters.",
    key: "Write a text of 1 to 512 printable ASCII characters, or leave the field out.",
    body: "Write a text, or an object or list that is sent as JSON, or leave the field out.",
    idempotent: "Write true, or false for a request that may run at most once.",
});

/** A request of a file with its line number, starting at 1. */
export interface FileRequest {
    line: number;
    request: DemoRequest;
}

const problemsOf = (
    error: z.ZodError,
    given: Record<string, unknown>,
    at: { file: string; line: number },
    services: readonly string[],
): InputProblem[] =>
    error.issues.flatMap((issue): InputProblem[] => {
        if (issue.code === "unrecognized_keys") {
            const remedy = `There is no such field. The fields are ${FIELDS.join(", ")}.`;
            return issue.keys.map(field => ({
                type: "unknown-field",
                ...at,
                field,
                value: JSON.stringify(given[field]),
                remedy,
            }));
        }
        const field = String(issue.path[0]) as LineField;
        const remedy = remedies(services)[field];
        return Object.hasOwn(given, field)
            ? [{ type: "bad-value", ...at, field, value: JSON.stringify(given[field]), remedy }]
            : [{ type: "missing-field", ...at, field, remedy: `The field is required. ${remedy}` }];
    });

const parseLine = (
    text: string,
    at: { file: string; line: number },
    services: readonly string[],
): Result<FileRequest, InputProblem[]> => {
    const given = parseJson(text);
    if (typeof given !== "object" || given === null || Array.isArray(given)) {
        const remedy = `Write one JSON object on the line, with the fields ${FIELDS.join(", ")}.`;
        return err([{ type: "malformed-line", ...at, remedy }]);
    }
    const fields = given as Record<string, unknown>;
    const parsed = lineSchema.safeParse(fields);
    const problems = parsed.success ? [] : problemsOf(parsed.error, fields, at, services);
    if (typeof fields.service === "string" && !services.includes(fields.service)) {
        const value = JSON.stringify(fields.service);
        problems.push({ type: "bad-value", ...at, field: "service", value, remedy: remedies(services).service });
    }
    if (!parsed.success || problems.length > 0) {
        return err(problems);
    }
    const { body, key, ...rest } = parsed.data;
    return ok({
        line: at.line,
        request: {
            ...rest,
            key,
            body: body === undefined || typeof body === "string" ? body : JSON.stringify(body),
            long: false,
            deadlineMs: DEFAULT_FILE_DEADLINE_MS,
        },
    });
};

/**
 * Parses a file with one JSON request per line, or returns all its problems at once. Empty lines are skipped.
 *
 * @example
 * parseRequestFile("requests.jsonl", text, ["stock"]).mapErr(problems => problems.map(formatInputProblem));
 */
export const parseRequestFile = (
    file: string,
    text: string,
    services: readonly string[],
): Result<FileRequest[], InputProblem[]> => {
    const requests: FileRequest[] = [];
    const problems: InputProblem[] = [];
    text.split(/\r?\n/).forEach((line, index) => {
        if (line.trim().length > 0) {
            parseLine(line, { file, line: index + 1 }, services).match(
                request => requests.push(request),
                found => problems.push(...found),
            );
        }
    });
    if (requests.length === 0 && problems.length === 0) {
        const remedy = "The file has no requests. Write one JSON object per line.";
        problems.push({ type: "malformed-line", file, remedy });
    }
    return problems.length > 0 ? err(sortInputProblems(problems)) : ok(requests);
};
