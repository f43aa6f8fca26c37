import { err, ok, type Result } from "neverthrow";
import type { InputProblem } from "../process/settings/inputProblem.js";
import { readLogLines, type LogLine } from "./explainRequest.js";
import { readInput } from "./readInput.js";

/** Path of the standard input. */
const STANDARD_INPUT = "/dev/stdin";

/**
 * Reads the lines of log files, or of the standard input if no file is given.
 *
 * @example
 * const lines = readLogs(["edge-1.log", "edge-2.log"]);
 */
export const readLogs = (files: readonly string[]): Result<LogLine[], InputProblem[]> => {
    const lines: LogLine[] = [];
    for (const file of files.length === 0 ? [STANDARD_INPUT] : files) {
        const content = readInput(file);
        if (content.isErr()) {
            return err(content.error);
        }
        for (const line of readLogLines(content.value.toString("utf8"))) {
            lines.push(line);
        }
    }
    return ok(lines);
};
