import type { Command } from "commander";
import { loadSettings } from "../process/settings/loadSettings.js";
import { processOutput, type CommandOutput } from "./commandOutput.js";
import { reportProblems } from "./readInput.js";

export const addConfigCheck = (
    group: Command,
    output: CommandOutput = processOutput,
    environment: Record<string, string | undefined> = process.env,
): void => {
    group
        .command("check")
        .description("check a settings file, with overrides from the environment, and report all problems")
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
