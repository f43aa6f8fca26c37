import { z } from "zod";
import { parseJson } from "../process/runtime/parseJson.js";

/** Time before the end of a request from which lines of its instance and targets are shown, in milliseconds. */
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

/** A line of a log, with its fields beside those that each line has. */
export type LogLine = z.infer<typeof lineSchema>;

/** Lines of an instance that tell about the config, the store, the assignment of keys, and its start and end. */
const STATE_MESSAGE =
    /^(bundles|daemon|platform): |^ownership: (The lease|Another instance|Assigning keys|The assignment)/;
const KEYS_MESSAGE = /Keys (\d+) to (\d+) of service (\S+) /;
const TARGET_MESSAGE = /Target (\S+?)[.,:]? /g;

/**
 * Reads the lines of a log. What is in front of the JSON of a line, such as the name of a file, is passed over, and lines
 * without JSON are left out.
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
        ...String(line.targets ?? "")
            .split(",")
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

/** Leaves out what an instance says that others, or the ones that served the request, say too. */
const withoutEchoes = (lines: readonly LogLine[], serving: ReadonlySet<string | undefined>): LogLine[] => {
    const said = new Set(lines.filter(({ instance }) => serving.has(instance)).map(({ message }) => message));
    return lines.filter(({ instance, message }) => {
        const isEcho = !serving.has(instance) && said.has(message);
        said.add(message);
        return !isEcho;
    });
};

/**
 * The lines that explain how a request ended, in the order of their times: its own; those about the targets that it was
 * sent to and about the owners of its key, by any instance, the latter also shortly after its end; and those about the state of the instance that served it.
 *
 * @example
 * explainRequest(files.flatMap(readLogLines), "9c41d07be2a35f68");
 */
export const explainRequest = (lines: readonly LogLine[], id: string): LogLine[] => {
    const own = lines.filter(line => line.request === id);
    const isContext = (line: LogLine): boolean =>
        own.some(request => {
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
        .filter(line => own.includes(line) || isContext(line))
        .sort((first, second) => Date.parse(first.time) - Date.parse(second.time));
    return withoutEchoes(found, new Set(own.map(({ instance }) => instance)));
};
