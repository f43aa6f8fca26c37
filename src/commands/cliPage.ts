import type { Command } from "commander";
import { EXIT_CODE_MEANINGS, EXIT_CODES } from "./exitCodes.js";

const HELP_COLUMNS = 100;

const leafCommands = (command: Command): Command[] =>
    command.commands.length === 0 ? [command] : command.commands.flatMap(leafCommands);

const fullName = (command: Command): string =>
    command.parent === null ? command.name() : `${fullName(command.parent)} ${command.name()}`;

const helpText = (command: Command): string => {
    const parts: string[] = [];
    command.configureOutput({
        writeOut: text => void parts.push(text),
        getOutHelpWidth: () => HELP_COLUMNS,
        getOutHasColors: () => false,
    });
    command.outputHelp();
    return parts.join("").trim();
};

/** Renders `docs/cli.md`. */
export const renderCliPage = (program: Command): string => {
    const codes = (Object.keys(EXIT_CODES) as (keyof typeof EXIT_CODES)[]).map(
        name => `| ${EXIT_CODES[name]} | ${EXIT_CODE_MEANINGS[name]} |`,
    );
    const sections = leafCommands(program).map(
        command => `## \`${fullName(command)}\`\n\n\`\`\`text\n${helpText(command)}\n\`\`\`\n`,
    );
    return [
        "# Command line\n",
        "This page is generated from the commands by `npm run build && node dist/tools/writePages.js`.\n",
        "`sassafrasloom` calls the operator interface of one daemon. Results are written to the standard output, progress",
        "and errors to the standard error. With `--json`, a result is one line of JSON; a long-running command writes a line",
        '`{"progress": ...}` per step before its `{"result": ...}`; an error is `{"error": {"type", "detail"}}` on the',
        "standard error.\n",
        "All calls to a daemon need `--signer` and `--key`.\n",
        "## Exit codes\n",
        "| Code | Meaning |\n|---|---|",
        ...codes,
        "",
        ...sections,
    ].join("\n");
};
