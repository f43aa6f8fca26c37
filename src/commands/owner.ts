import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";

const formatInPlace = (inPlace: boolean | undefined): string | undefined =>
    inPlace === undefined ? undefined : inPlace ? "yes" : "no";

export const addOwnerCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("owner <key>"), "sassafrasloom owner tray-30 --service stock")
        .description("show which target owns a key, and which instance dispatches its requests")
        .option("--service <name>", "only this service")
        .action((key: string, options: OperatorOptions & { service?: string }) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const reply = await client.call("owner", { key, service: options.service });
                return reply.map(value =>
                    output.table(
                        value,
                        [
                            { heading: "SERVICE", text: owner => owner.service },
                            { heading: "POSITION", text: owner => owner.position },
                            { heading: "TARGET", text: owner => owner.target },
                            { heading: "DOMAIN", text: owner => owner.domain },
                            { heading: "ADDRESS", text: owner => owner.address },
                            { heading: "DISPATCHER", text: owner => owner.dispatcher },
                            { heading: "TERM", text: owner => owner.term },
                            { heading: "STATE", text: owner => owner.state },
                            { heading: "IN PLACE", text: ({ inPlace }) => formatInPlace(inPlace) },
                        ],
                        value.owners,
                        "No service has an owner for the key.",
                    ),
                );
            }),
        );
};
