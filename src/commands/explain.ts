import type { Command } from "commander";
import { processOutput, type CommandOutput } from "./commandOutput.js";
import { EXIT_CODES } from "./exitCodes.js";
import { explainRequest, type LogLine } from "./explainRequest.js";
import { reportProblems } from "./readInput.js";
import { readLogs } from "./readLogs.js";

const formatLine = ({ time, level, instance, message, ...fields }: LogLine): string => {
    const details = Object.entries(fields)
        .filter(([name]) => name !== "request")
        .map(([name, value]) => `\n    ${name}: ${typeof value === "string" ? value : JSON.stringify(value)}`);
    return `${time} ${instance ?? "-"} ${level} ${message}${details.join("")}`;
};

export const addExplain = (program: Command, output: CommandOutput = processOutput): void => {
    program
        .command("explain")
        .description("show the log lines about a request, its targets and its key, ordered by time")
        .argument("<id>", "identifier of the request")
        .argument("[files...]", "log files of instances (default: the standard input)")
        .option("--json", "print JSON")
        .addHelpText(
            "after",
            "\nExample:\n  sassafrasloom explain 9c41d07be2a35f68 edge-1.log edge-2.log\n\nExit codes: 0 found, 3 file not readable, 7 no line has the identifier.",
        )
        .action((id: string, files: string[], options: { json?: boolean }) => {
            const isJson = options.json === true;
            const lines = readLogs(files);
            if (lines.isErr()) {
                reportProblems(lines.error, isJson, output);
                return;
            }
            const found = explainRequest(lines.value, id);
            if (found.length === 0) {
                output.writeError(
                    `None of ${lines.value.length} log lines has the request identifier ${id}. Give the logs of all instances; under ` +
                        "load, lines about successes are dropped first (field `dropped`).",
                );
                output.exitCode(EXIT_CODES["not-found"]);
                return;
            }
            output.write(isJson ? JSON.stringify(found) : found.map(formatLine).join("\n"));
        });
};
