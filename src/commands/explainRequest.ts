import { z } from "zod";
import { parseJson } from "../process/runtime/parseJson.js";

/** Time before the end of a request from which lines about its instance, targets and key are shown, in milliseconds. */
export const CONTEXT_MS = 10_000;
/** Time after the end of a request up to which lines about the owners of its key are shown, in milliseconds. */
export const OWNERS_AFTER_MS = 3_000;

const lineSchema = z
    .object({
        time: z.string(),
        level: z.string(),
        instance: z.string().optional(),
        message: z.string(),
    })
    .catchall(z.unknown());

/** A log line: the fields that every line has, and any further ones. */
export type LogLine = z.infer<typeof lineSchema>;

/** Messages of an instance about the config, the store, the assignment of keys, and its start and shutdown. */
const STATE_MESSAGE =
    /^(bundles|daemon|platform): |^ownership: (The lease|Another instance|Assigning keys|The assignment)/;
const KEYS_MESSAGE = /Keys (\d+) to (\d+) of service (\S+) /;
const TARGET_MESSAGE = /Target (\S+?)[.,:]? /g;

/**
 * Parses the lines of a log. Text before the JSON of a line, such as a file name, is ignored. Lines without JSON are
 * omitted.
 *
 * @example
 * const lines = readLogLines(readFileSync("edge-1.log", "utf8"));
 */
export const readLogLines = (text: string): LogLine[] =>
    text.split("\n").flatMap(line => {
        const parsed = lineSchema.safeParse(parseJson(line.slice(Math.max(0, line.indexOf("{")))));
        return parsed.success ? [parsed.data] : [];
    });

const targetsIn = (text: string): string[] => [...`${text} `.matchAll(TARGET_MESSAGE)].map(([, target]) => target);

const targetsOf = (line: LogLine): Set<string> =>
    new Set([
        ...[line.targets, line.resting, line.leaving]
            .flatMap(list => String(list ?? "").split(","))
            .filter(target => target !== ""),
        ...targetsIn(String(line.detail ?? "")),
    ]);

const isAboutKey = (line: LogLine, request: LogLine): boolean => {
    const keys = KEYS_MESSAGE.exec(line.message);
    return (
        keys !== null &&
        typeof request.key === "number" &&
        keys[3] === request.service &&
        Number(keys[1]) <= request.key &&
        request.key <= Number(keys[2])
    );
};

/**
 * Keeps all lines of the instances that served the request. Of the other instances, keeps only the first line with a
 * message, and none with a message that a serving instance also logged.
 */
const withoutDuplicates = (lines: readonly LogLine[], serving: ReadonlySet<string | undefined>): LogLine[] => {
    const seen = new Set(lines.filter(({ instance }) => serving.has(instance)).map(({ message }) => message));
    return lines.filter(({ instance, message }) => {
        const isDuplicate = !serving.has(instance) && seen.has(message);
        seen.add(message);
        return !isDuplicate;
    });
};

/**
 * Returns the lines that explain how a request ended, ordered by time: its own lines; lines of any instance about the
 * targets that it was sent to, that rested or left, and about the owners of its key, the latter also shortly after its end; and lines about the
 * state of the instance that served it.
 *
 * @example
 * explainRequest(files.flatMap(readLogLines), "9c41d07be2a35f68");
 */
export const explainRequest = (lines: readonly LogLine[], id: string): LogLine[] => {
    const requestLines = lines.filter(line => line.request === id);
    const isContext = (line: LogLine): boolean =>
        requestLines.some(request => {
            const sinceMs = Date.parse(request.time) - Date.parse(line.time);
            if (sinceMs < -OWNERS_AFTER_MS || sinceMs > CONTEXT_MS || line.request !== undefined) {
                return false;
            }
            if (isAboutKey(line, request)) {
                return true;
            }
            const targets = targetsOf(request);
            return (
                sinceMs >= 0 &&
                (targetsIn(line.message).some(target => targets.has(target)) ||
                    (line.instance === request.instance && STATE_MESSAGE.test(line.message)))
            );
        });
    const found = lines
        .filter(line => requestLines.includes(line) || isContext(line))
        .sort((first, second) => Date.parse(first.time) - Date.parse(second.time));
    return withoutDuplicates(found, new Set(requestLines.map(({ instance }) => instance)));
};
