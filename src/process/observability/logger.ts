import { Logger as TsLogger } from "tslog";
import { createLineOutput, type LineOutput } from "./lineOutput.js";

/** Parts of the process that write log messages, each with the prefix of its messages. */
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

/** Descriptions of the parts, printed in `docs/metrics.md`. */
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

/** Structured fields of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes the log lines of one part. */
export interface Logger {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
}

/** Log levels by name, with the numbers that tslog uses. */
export const LOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;
export type LogLevel = keyof typeof LOG_LEVELS;

/** Repetitions of a line within this time, in milliseconds, are counted instead of written. */
export const LOG_REPEAT_WINDOW_MS = 5_000;
/** Maximum number of lines tracked for repetitions. */
export const MAX_TRACKED_LINES = 500;

const REDACTED = "[redacted]";
const SECRET_FIELD = /secret|password|passphrase|privatekey|signature|nonce|token$/i;
const PRIVATE_KEY_BLOCK = /-----BEGIN [A-Z ]*PRIVATE KEY-----[\s\S]*?(-----END [A-Z ]*PRIVATE KEY-----|$)/g;

const redactPrivateKeys = (text: string): string => text.replace(PRIVATE_KEY_BLOCK, REDACTED);

/**
 * Redacts secrets in the fields of a line: values of fields whose names denote secrets, and private keys in PEM. This is
 * a second safeguard: code that handles secrets doesn't pass them to the log.
 */
export const redactFields = (fields: LogFields): LogFields =>
    Object.fromEntries(
        Object.entries(fields).map(([name, value]) => {
            if (SECRET_FIELD.test(name)) {
                return [name, REDACTED];
            }
            return [name, typeof value === "string" ? redactPrivateKeys(value) : value];
        }),
    );

/** Log record that tslog passes to the transport: the arguments by position, and metadata. */
interface TslogRecord {
    0?: string;
    1?: LogFields;
    _meta: { name?: string; date: Date | string; logLevelName: string };
}

/** Formats a log record as JSON: time, level, instance and message, followed by the fields. */
const jsonLine = ({ 0: message, 1: fields, _meta: { date, logLevelName, name } }: TslogRecord): string => {
    const head = { time: date, level: logLevelName.toLowerCase(), instance: name, message };
    // The first spread keeps the head in front, the second prevents fields from overriding it.
    return JSON.stringify({ ...head, ...fields, ...head });
};

const standardOutput = (instance: string): LineOutput =>
    createLineOutput(process.stdout, {
        describeLoss: count => {
            const message = `${LOG_PREFIXES.daemon}: Log lines were dropped because standard output was not read.`;
            return JSON.stringify({ time: new Date(), level: "warn", instance, message, dropped: count });
        },
    });

interface TrackedLine {
    at: number;
    suppressed: number;
    level: LogLevel;
    line: string;
}

/**
 * Creates the loggers of a process, one per part, on top of one tslog logger.
 *
 * Repetitions of a line within `LOG_REPEAT_WINDOW_MS` are counted. The count is written with the next occurrence of the
 * line after the window, or on its own when the line is evicted. Lines are equal if level, part and message are equal;
 * for errors, the fields are compared too, because each error may require an action.
 *
 * @example
 * const loggers = createLoggers({ instance: "a1", level: "info", format: "json" });
 * loggers("membership").warn("Member is suspected.", { member: "a2" });
 */
export const createLoggers = (options: {
    instance: string;
    level: LogLevel;
    format: "json" | "pretty";
    /** Monotonic time in milliseconds; `performance.now` by default. */
    monotonicMs?: () => number;
    /** Receives the formatted lines of the format `json`; standard output by default. */
    output?: LineOutput;
    /** Receives the lines before they are formatted, in place of tslog. */
    write?: (level: LogLevel, line: string, fields: LogFields) => void;
}): ((part: LogPart) => Logger) => {
    const monotonicMs = options.monotonicMs ?? (() => performance.now());
    const output = options.output ?? standardOutput(options.instance);
    const root = new TsLogger<LogFields>({
        name: options.instance,
        type: options.format,
        minLevel: LOG_LEVELS[options.level],
        hideLogPositionForProduction: true,
        overwrite: { transportJSON: line => output.write(jsonLine(line as TslogRecord)) },
    });
    const writeLine = options.write ?? ((level, line, fields) => void root[level](line, fields));
    /** By ascending time of the last write. */
    const trackedLines = new Map<string, TrackedLine>();

    const evictOldLines = (now: number) => {
        for (const [identity, { at, suppressed, level, line }] of trackedLines) {
            if (now - at < LOG_REPEAT_WINDOW_MS && trackedLines.size < MAX_TRACKED_LINES) {
                return;
            }
            trackedLines.delete(identity);
            if (suppressed > 0) {
                writeLine(level, line, { suppressed });
            }
        }
    };

    const write = (level: LogLevel, part: LogPart, message: string, fields: LogFields = {}) => {
        if (LOG_LEVELS[level] < LOG_LEVELS[options.level]) {
            return;
        }
        const line = `${LOG_PREFIXES[part]}: ${redactPrivateKeys(message)}`;
        const identity = JSON.stringify(level === "error" ? [level, line, fields] : [level, line]);
        const now = monotonicMs();
        const tracked = trackedLines.get(identity);
        if (tracked !== undefined && now - tracked.at < LOG_REPEAT_WINDOW_MS) {
            tracked.suppressed++;
            return;
        }
        trackedLines.delete(identity);
        evictOldLines(now);
        trackedLines.set(identity, { at: now, suppressed: 0, level, line });
        const suppressed = tracked?.suppressed ?? 0;
        writeLine(level, line, redactFields(suppressed > 0 ? { ...fields, suppressed } : fields));
    };
    return part => ({
        debug: (message, fields) => write("debug", part, message, fields),
        info: (message, fields) => write("info", part, message, fields),
        warn: (message, fields) => write("warn", part, message, fields),
        error: (message, fields) => write("error", part, message, fields),
    });
};
