import type { Command } from "commander";
import { err } from "neverthrow";
import type { CommandEnvironment } from "./commandEnvironment.js";
import type { CommandError } from "./exitCodes.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";

export const addQuarantineClearCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("clear [fingerprint]"), `sassafrasloom quarantine clear --all`)
        .description("clear the quarantine of a request, or of all, so that they can run again")
        .option("--all", "clear all suspected and quarantined requests")
        .action((fingerprint: string | undefined, options: OperatorOptions & { all?: boolean }) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const all = options.all === true;
                if (all === (fingerprint !== undefined)) {
                    return err<void, CommandError>({
                        type: "usage",
                        detail: "Give either a fingerprint, as `sassafrasloom quarantine list` shows it, or --all.",
                    });
                }
                const reply = await client.call("quarantineClear", { fingerprint: fingerprint ?? "", all });
                return reply.map(value => output.message(value, `Cleared: ${value.cleared}.`));
            }),
        );
};
