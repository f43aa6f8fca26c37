import type { Command } from "commander";
import { processOutput, type CommandOutput } from "./commandOutput.js";
import { countRetries, type RetryWindow } from "./countRetries.js";
import { EXIT_CODES } from "./exitCodes.js";
import { reportProblems } from "./readInput.js";
import { readLogs } from "./readLogs.js";
import { textTable } from "./textTable.js";

/** Length of the windows if none is given, in seconds. */
const DEFAULT_WINDOW_S = 10;

const causesText = (causes: RetryWindow["causes"]): string =>
    Object.entries(causes)
        .map(([cause, count]) => `${cause} ${count}`)
        .join(", ");

const COLUMNS = [
    { heading: "SERVICE", text: ({ service }: RetryWindow) => service },
    { heading: "FROM", text: ({ fromMs }: RetryWindow) => new Date(fromMs).toISOString() },
    { heading: "REQUESTS", text: ({ requests }: RetryWindow) => requests },
    { heading: "RETRIES", text: ({ retries }: RetryWindow) => retries },
    { heading: "GRANTED", text: ({ granted }: RetryWindow) => granted },
    { heading: "REFUSED", text: ({ refused }: RetryWindow) => refused },
    { heading: "STARTS", text: ({ starts }: RetryWindow) => starts },
    { heading: "CAUSES", text: ({ causes }: RetryWindow) => causesText(causes) },
];

export const addRetries = (program: Command, output: CommandOutput = processOutput): void => {
    program
        .command("retries")
        .description("show the window with the most retries of each service, from the logs of gateways")
        .argument("[files...]", "log files of all instances (default: the standard input)")
        .option("--window-s <seconds>", "length of the window in seconds", Number, DEFAULT_WINDOW_S)
        .option("--json", "print JSON")
        .addHelpText(
            "after",
            "\nRETRIES counts requests that were sent to a further target, GRANTED and REFUSED the decisions of the retry\n" +
                "budgets, STARTS the processes that started in the window.\n" +
                "\nExample:\n  sassafrasloom retries --window-s 10 edge-1.log edge-2.log\n" +
                "\nExit codes: 0 done, 2 bad option, 3 file not readable, 7 no line counts requests.",
        )
        .action((files: string[], options: { windowS: number; json?: boolean }) => {
            if (!(options.windowS > 0)) {
                output.writeError("--window-s must be a number of seconds above 0.");
                output.exitCode(EXIT_CODES.usage);
                return;
            }
            const isJson = options.json === true;
            const lines = readLogs(files);
            if (lines.isErr()) {
                reportProblems(lines.error, isJson, output);
                return;
            }
            const windows = countRetries(lines.value, options.windowS * 1_000);
            if (windows.length === 0) {
                output.writeError(
                    `None of ${lines.value.length} log lines counts requests. Give the logs of gateways, from the level info.`,
                );
                output.exitCode(EXIT_CODES["not-found"]);
                return;
            }
            output.write(isJson ? JSON.stringify(windows) : textTable(COLUMNS, windows).trimEnd());
        });
};
