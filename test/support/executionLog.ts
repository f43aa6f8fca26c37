import { closeSync, openSync, readFileSync, writeSync } from "node:fs";
import { z } from "zod";
import { parseJson } from "./httpSupport.js";

const requestFields = {
    key: z.string().optional(),
    position: z.number().optional(),
    identifier: z.string().optional(),
    term: z.number().optional(),
    method: z.string(),
    path: z.string(),
};
const eventFields = { service: z.string(), target: z.string(), boot: z.string(), at: z.number() };

/** Maximum number of times that a log is read until its last line is terminated. */
export const DEFAULT_LOG_READS = 100;
/** Time between two reads of a log whose last line is unterminated, in milliseconds. */
const LOG_REREAD_PAUSE_MS = 10;

/** Log entry of a target. `at` is in milliseconds of the machine's monotonic clock, which all processes share. */
export const executionEventSchema = z.discriminatedUnion("type", [
    z.object({ type: z.literal("boot"), ...eventFields }),
    z.object({ type: z.literal("start"), ...eventFields, execution: z.number(), ...requestFields }),
    // A target that checks grants logs its current term at the commit.
    z.object({ type: z.literal("commit"), ...eventFields, execution: z.number(), term: z.number().optional() }),
    z.object({ type: z.literal("abandon"), ...eventFields, execution: z.number(), reason: z.string() }),
    z.object({ type: z.literal("refuse"), ...eventFields, reason: z.string(), ...requestFields }),
]);
export type ExecutionEvent = z.infer<typeof executionEventSchema>;

/** Time of the machine's monotonic clock in milliseconds; comparable between processes of one machine. */
export const machineMonotonicMs = (): number => Number(process.hrtime.bigint()) / 1e6;

/** A log that can't be read as a complete sequence of events. */
export class ExecutionLogError extends Error {
    constructor(file: string, problem: string, cause?: unknown) {
        super(`The execution log ${file} can't be read. ${problem}`, { cause });
        this.name = "ExecutionLogError";
    }
}

/**
 * Log of one target process. Events are written to the file before the call returns, so a killed process loses none.
 *
 * @example
 * const log = new ExecutionLog({ file: "/tmp/test-1/target.log", keep: true });
 */
export class ExecutionLog {
    private readonly descriptor: number | undefined;
    private readonly keep: boolean;
    readonly events: ExecutionEvent[] = [];

    constructor(options: { file?: string; keep: boolean }) {
        this.descriptor = options.file === undefined ? undefined : openSync(options.file, "a");
        this.keep = options.keep;
    }

    append(event: ExecutionEvent): void {
        if (this.keep) {
            this.events.push(event);
        }
        if (this.descriptor !== undefined) {
            writeSync(this.descriptor, `${JSON.stringify(event)}\n`);
        }
    }

    dispose(): void {
        if (this.descriptor !== undefined) {
            closeSync(this.descriptor);
        }
    }
}

/**
 * Reads the events of a log file, also while its target writes. Throws on a line that isn't an event and on a last line
 * that stays unterminated, because a gap could hide an execution.
 *
 * @example
 * const starts = readExecutionLog("/tmp/test-1/target.log").filter(({ type }) => type === "start");
 */
export const readExecutionLog = (file: string, pause: () => void = pauseBeforeReread): ExecutionEvent[] => {
    for (let reads = 1; ; reads++) {
        const lines = readFileSync(file, "utf8").split("\n");
        const unterminated = lines.pop();
        const events = lines.map(line => parseEvent(file, line));
        if (unterminated === "") {
            return events;
        }
        if (reads === DEFAULT_LOG_READS) {
            throw new ExecutionLogError(file, `Its last line stays unterminated: ${unterminated}`);
        }
        // A write that crosses a page of the file can be seen in part: the file's size grows once per page.
        pause();
    }
};

const parseEvent = (file: string, line: string): ExecutionEvent => {
    const { success, data, error } = executionEventSchema.safeParse(parseJson(line));
    if (!success) {
        throw new ExecutionLogError(file, `A line isn't an event: ${line}`, error);
    }
    return data;
};

/** Blocks the thread, since the log is read synchronously. */
const pauseBeforeReread = (): void => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, LOG_REREAD_PAUSE_MS);
};
