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

/** Reads the events of a log file. Throws on a line that isn't an event, because a gap could hide an execution. */
export const readExecutionLog = (file: string): ExecutionEvent[] =>
    readFileSync(file, "utf8")
        .split("\n")
        .filter(line => line.length > 0)
        .map(line => executionEventSchema.parse(parseJson(line)));
