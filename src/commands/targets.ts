import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";

export const addTargetsCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("targets"), "sassafrasloom targets --service stock --domain linz")
        .description("list targets with their dispatchers, slices and load")
        .option("--service <name>", "only this service")
        .option("--domain <name>", "only this failure domain")
        .action((options: OperatorOptions & { service?: string; domain?: string }) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const { service, domain } = options;
                const reply = await client.call("targets", { service, domain });
                return reply.map(value =>
                    output.table(
                        value,
                        [
                            { heading: "SERVICE", text: target => target.service },
                            { heading: "TARGET", text: target => target.target },
                            { heading: "DOMAIN", text: target => target.domain },
                            { heading: "ADDRESS", text: target => target.address },
                            { heading: "STATE", text: target => target.state },
                            { heading: "DISPATCHER", text: target => target.dispatcher },
                            { heading: "TERM", text: target => target.term },
                            { heading: "SLICES", text: target => target.slices },
                            { heading: "SHARE", text: target => `${(target.share * 100).toFixed(1)}%` },
                            { heading: "LIMIT", text: target => target.limit?.toFixed(1) },
                            { heading: "IN FLIGHT", text: target => target.inFlight },
                            { heading: "QUEUED", text: target => target.queued },
                            { heading: "LOAD", text: target => target.load?.toFixed(2) },
                        ],
                        value.targets,
                        "No targets.",
                    ),
                );
            }),
        );
};
