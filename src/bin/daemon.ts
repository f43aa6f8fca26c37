#!/usr/bin/env node
import { Command } from "commander";
import { startEntryInstance } from "../process/entryInstance.js";
import { onStopSignal } from "../process/runtime/stopSignals.js";
import { formatInputProblem } from "../process/settings/inputProblem.js";
import { loadSettings } from "../process/settings/loadSettings.js";

const EXIT_BAD_SETTINGS = 2;
const EXIT_START_FAILED = 1;

const run = async (file: string, checkOnly: boolean): Promise<void> => {
    const settings = loadSettings(file, process.env);
    if (settings.isErr()) {
        settings.error.forEach(problem => console.error(formatInputProblem(problem)));
        process.exitCode = EXIT_BAD_SETTINGS;
        return;
    }
    if (checkOnly) {
        console.log(`${file}: the settings are valid.`);
        return;
    }
    const started = await startEntryInstance(settings.value);
    if (started.isErr()) {
        console.error(`${started.error.detail} Correct the settings and start again.`);
        process.exit(EXIT_START_FAILED);
    }
    // The system may choose the ports, so the actual addresses are printed for the program that started the process.
    console.log(JSON.stringify({ listening: started.value.listening }));
    onStopSignal(() => void started.value.shutDown());
    await started.value.ended;
    process.exit(0);
};

await new Command("sassafrasloom-daemon")
    .description("Entry instance of the sassafrasloom request router")
    .requiredOption("--settings <file>", "settings file (INI)")
    .option("--check", "check the settings and exit", false)
    .action((options: { settings: string; check: boolean }) => run(options.settings, options.check))
    .parseAsync();
