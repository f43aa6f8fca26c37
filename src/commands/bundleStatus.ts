import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";

export const addBundleStatusCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("status"), "sassafrasloom bundle status")
        .description("show the current bundle, an offer in progress, and the version per failure domain")
        .action((options: OperatorOptions) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const reply = await client.call("bundleStatus", {});
                return reply.map(value => {
                    const versions = [value.current, value.offer].filter(version => version !== undefined);
                    versions.forEach(version =>
                        output.notice(`Version ${version.version} by ${version.author}: ${version.state}.`),
                    );
                    output.table(
                        value,
                        [
                            { heading: "DOMAIN", text: domain => domain.domain },
                            { heading: "CONFIRMED", text: domain => domain.confirmed },
                            { heading: "IN FORCE", text: domain => domain.inForce },
                            { heading: "REACHABLE", text: domain => (domain.reachable ? "yes" : "no") },
                        ],
                        value.domains,
                        "No failure domains are registered.",
                    );
                });
            }),
        );
};
