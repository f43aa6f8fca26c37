import { Logger as TsLogger } from "tslog";
import { createLineOutput, type LineOutput } from "./lineOutput.js";

/** Parts of the process that write log lines; each line starts with the prefix of its part. */
export const LOG_PREFIXES = {
    daemon: "daemon",
    platform: "platform",
    membership: "membership",
    ownership: "ownership",
    dispatch: "dispatch",
    moves: "moves",
    peers: "peers",
    callers: "callers",
    bundles: "bundles",
    operators: "operators",
    audit: "audit",
} as const;
export type LogPart = keyof typeof LOG_PREFIXES;

/** What each part does, for `docs/metrics.md`. */
export const LOG_PART_DESCRIPTIONS: Record<LogPart, string> = {
    daemon: "start and shutdown of the process",
    platform: "table service, object store and instance list",
    membership: "registration, heartbeats and removal of instances",
    ownership: "grants, leases and takeovers of targets",
    dispatch: "requests to targets",
    moves: "planned moves of slices",
    peers: "connections between instances",
    callers: "requests of callers",
    bundles: "bundle versions and rollouts",
    operators: "operator calls and certificates",
    audit: "audit trail",
};

/** Additional facts of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes the log lines of one part. */
export interface Logger {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
}

/** Log levels by name, in tslog's numbering. */
export const LOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;
export type LogLevel = keyof typeof LOG_LEVELS;

/** A line repeated within this many milliseconds is counted instead of written. */
export const LOG_REPEAT_WINDOW_MS = 5_000;
/** Most lines whose repetitions are remembered. */
export const MAX_REMEMBERED_LINES = 500;

const REDACTED = "[redacted]";
const SECRET_FIELD = /secret|password|passphrase|privatekey|signature|nonce|token$/i;
const PRIVATE_KEY_BLOCK = /-----BEGIN [A-Z ]*PRIVATE KEY-----[\s\S]*?(-----END [A-Z ]*PRIVATE KEY-----|$)/g;

const withoutKeys = (text: string): string => text.replace(PRIVATE_KEY_BLOCK, REDACTED);

/**
 * Removes secrets from the fields of a line: values of fields whose names stand for secrets, and private keys in PEM. This
 * is a safety net; the parts that hold secrets don't pass them to the log.
 */
export const redactFields = (fields: LogFields): LogFields =>
    Object.fromEntries(
        Object.entries(fields).map(([name, value]) => {
            if (SECRET_FIELD.test(name)) {
                return [name, REDACTED];
            }
            return [name, typeof value === "string" ? withoutKeys(value) : value];
        }),
    );

/** What tslog hands to the output: the arguments by position, and the circumstances. */
interface TslogLine {
    0?: string;
    1?: LogFields;
    _meta: { name?: string; date: Date | string; logLevelName: string };
}

/** A line of the log as JSON: time, level, instance and message, then the fields. */
const jsonLine = ({ 0: message, 1: fields, _meta: { date, logLevelName, name } }: TslogLine): string => {
    const head = { time: date, level: logLevelName.toLowerCase(), instance: name, message };
    // Fields can't replace the head, which stays in front.
    return JSON.stringify({ ...head, ...fields, ...head });
};

const standardOutput = (instance: string): LineOutput =>
    createLineOutput(process.stdout, {
        describeLoss: count => {
            const message = `${LOG_PREFIXES.daemon}: Lines were dropped, since the standard output wasn't read.`;
            return JSON.stringify({ time: new Date(), level: "warn", instance, message, dropped: count });
        },
    });

interface RememberedLine {
    at: number;
    suppressed: number;
    level: LogLevel;
    line: string;
}

/**
 * Makes the loggers of a process, one per part, over one tslog logger.
 *
 * A line that repeats within `LOG_REPEAT_WINDOW_MS` is counted, and the count is written with the next line of that kind
 * after the window, or once it is forgotten. Lines are the same when level, part and message are; for errors, the fields
 * count too, because each of them can need an action.
 *
 * @example
 * const loggers = createLoggers({ instance: "a1", level: "info", format: "json" });
 * loggers("membership").warn("Member is suspected.", { member: "a2" });
 */
export const createLoggers = (options: {
    instance: string;
    level: LogLevel;
    format: "json" | "pretty";
    /** Monotonic milliseconds; the process's by default. */
    monotonicMs?: () => number;
    /** Takes the finished lines of the format `json`; the standard output by default. */
    output?: LineOutput;
    /** Takes the lines before they are formatted. */
    write?: (level: LogLevel, line: string, fields: LogFields) => void;
}): ((part: LogPart) => Logger) => {
    const monotonicMs = options.monotonicMs ?? (() => performance.now());
    const output = options.output ?? standardOutput(options.instance);
    const root = new TsLogger<LogFields>({
        name: options.instance,
        type: options.format,
        minLevel: LOG_LEVELS[options.level],
        hideLogPositionForProduction: true,
        overwrite: { transportJSON: line => output.write(jsonLine(line as TslogLine)) },
    });
    const writeLine = options.write ?? ((level, line, fields) => void root[level](line, fields));
    /** In the order of their times, oldest first. */
    const remembered = new Map<string, RememberedLine>();

    const forgetOld = (now: number) => {
        for (const [identity, { at, suppressed, level, line }] of remembered) {
            if (now - at < LOG_REPEAT_WINDOW_MS && remembered.size < MAX_REMEMBERED_LINES) {
                return;
            }
            remembered.delete(identity);
            if (suppressed > 0) {
                writeLine(level, line, { suppressed });
            }
        }
    };

    const write = (level: LogLevel, part: LogPart, message: string, fields: LogFields = {}) => {
        if (LOG_LEVELS[level] < LOG_LEVELS[options.level]) {
            return;
        }
        const line = `${LOG_PREFIXES[part]}: ${withoutKeys(message)}`;
        const identity = JSON.stringify(level === "error" ? [level, line, fields] : [level, line]);
        const now = monotonicMs();
        const last = remembered.get(identity);
        if (last !== undefined && now - last.at < LOG_REPEAT_WINDOW_MS) {
            last.suppressed++;
            return;
        }
        remembered.delete(identity);
        forgetOld(now);
        remembered.set(identity, { at: now, suppressed: 0, level, line });
        const suppressed = last?.suppressed ?? 0;
        writeLine(level, line, redactFields(suppressed > 0 ? { ...fields, suppressed } : fields));
    };
    return part => ({
        debug: (message, fields) => write("debug", part, message, fields),
        info: (message, fields) => write("info", part, message, fields),
        warn: (message, fields) => write("warn", part, message, fields),
        error: (message, fields) => write("error", part, message, fields),
    });
};
