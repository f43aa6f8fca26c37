import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";

export const addInstancesCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("instances"), "sassafrasloom instances --domain linz")
        .description("list the registered entry instances")
        .option("--domain <name>", "only this failure domain")
        .action((options: OperatorOptions & { domain?: string }) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const reply = await client.call("instances", { domain: options.domain });
                return reply.map(value =>
                    output.table(
                        value,
                        [
                            { heading: "INSTANCE", text: instance => instance.instance },
                            { heading: "DOMAIN", text: instance => instance.domain },
                            { heading: "STATE", text: instance => instance.state },
                            { heading: "PEER ADDRESS", text: instance => instance.peerAddress },
                            { heading: "TARGETS", text: instance => instance.dispatches },
                            { heading: "BUNDLE", text: instance => instance.bundleVersion },
                            { heading: "SILENT FOR MS", text: instance => instance.silenceMs },
                            { heading: "INCARNATION", text: instance => instance.incarnation },
                        ],
                        value.instances,
                        "No instances.",
                    ),
                );
            }),
        );
};
