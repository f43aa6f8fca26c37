import { Command, CommanderError } from "commander";
import { addAuditCommand } from "./audit.js";
import { addBundleHistoryCommand } from "./bundleHistory.js";
import { addBundleRollCommand } from "./bundleRoll.js";
import { addBundleStatusCommand } from "./bundleStatus.js";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { addDomainEvacuateCommand } from "./domainEvacuate.js";
import { addDrainCommand } from "./drain.js";
import { EXIT_CODES } from "./exitCodes.js";
import { addInstancesCommand } from "./instances.js";
import { addMetricsCommand } from "./metrics.js";
import { addMovesCommand } from "./moves.js";
import { addOwnerCommand } from "./owner.js";
import { addQuarantineClearCommand } from "./quarantineClear.js";
import { addQuarantineListCommand } from "./quarantineList.js";
import { addStatusCommand } from "./status.js";
import { addTargetsCommand } from "./targets.js";

/** Commands to which extensions add their subcommands. */
export interface CommandGroups {
    program: Command;
    bundle: Command;
}

/** Adds commands that don't call a daemon, such as `bundle check` or `keygen`. */
export type CommandExtension = (groups: CommandGroups, environment: CommandEnvironment) => void;

/**
 * Creates the command-line program.
 *
 * @example
 * createProgram(processEnvironment(), [({ bundle }) => addBundleCheck(bundle)]);
 */
export const createProgram = (
    environment: CommandEnvironment,
    extensions: readonly CommandExtension[] = [],
): Command => {
    const program = new Command("sassafrasloom")
        .description("Operates Sassafrasloom daemons.")
        .exitOverride()
        .showHelpAfterError("Add --help to see the arguments, the options and an example.")
        .configureOutput({ writeOut: environment.writeOut, writeErr: environment.writeError })
        .addHelpText("after", "\nExit codes and all options: docs/cli.md\n");
    const bundle = program.command("bundle").description("check, sign and roll out bundles");
    addBundleRollCommand(bundle, environment);
    addBundleStatusCommand(bundle, environment);
    addBundleHistoryCommand(bundle, environment);
    addOwnerCommand(program, environment);
    addTargetsCommand(program, environment);
    addInstancesCommand(program, environment);
    addDrainCommand(program, environment);
    addMovesCommand(program, environment);
    const quarantine = program.command("quarantine").description("list and clear requests that crash targets");
    addQuarantineListCommand(quarantine, environment);
    addQuarantineClearCommand(quarantine, environment);
    addAuditCommand(program, environment);
    const domain = program.command("domain").description("evacuate failure domains");
    addDomainEvacuateCommand(domain, environment);
    addStatusCommand(program, environment);
    addMetricsCommand(program, environment);
    extensions.forEach(extend => extend({ program, bundle }, environment));
    return program;
};

/** Runs the tool with the arguments after its name, and sets the exit code in `environment`. */
export const runProgram = async (program: Command, args: string[], environment: CommandEnvironment): Promise<void> => {
    try {
        await program.parseAsync(args, { from: "user" });
    } catch (error) {
        if (!(error instanceof CommanderError)) {
            throw error;
        }
        // Commander has already written the message or the help.
        environment.exitCode = error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.usage;
    }
};
