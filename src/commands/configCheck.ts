import type { Command } from "commander";
import { loadSettings } from "../process/settings/loadSettings.js";
import { processOutput, type CommandOutput } from "./commandOutput.js";
import { reportProblems } from "./readInput.js";

/** Adds `config check FILE` to the command group `config`. */
export const addConfigCheck = (
    group: Command,
    output: CommandOutput = processOutput,
    environment: Record<string, string | undefined> = process.env,
): void => {
    group
        .command("check")
        .description("Check a settings file with the overrides of the environment and report all problems.")
        .argument("<file>", "settings file")
        .option("--json", "print JSON")
        .addHelpText(
            "after",
            "\nExample:\n  sassafrasloom config check daemon.ini\n\nExit codes: 0 valid, 2 invalid, 3 file not readable.",
        )
        .action((file: string, options: { json?: boolean }) => {
            loadSettings(file, environment).match(
                ({ instance }) =>
                    output.write(
                        options.json === true
                            ? JSON.stringify({ ok: true, instance: instance.name, domain: instance.domain })
                            : `${file} is valid: instance ${instance.name} in domain ${instance.domain}`,
                    ),
                problems => reportProblems(problems, options.json === true, output),
            );
        });
};
