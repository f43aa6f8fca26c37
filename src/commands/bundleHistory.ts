import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";
import { formatTime } from "./textTable.js";

export const addBundleHistoryCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("history"), "sassafrasloom bundle history --limit 5")
        .description("list the latest bundle versions, newest first")
        .option("--limit <count>", "versions to list, at most 1000", "20")
        .action((options: OperatorOptions & { limit: string }) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const reply = await client.call("bundleHistory", { limit: Number(options.limit) });
                return reply.map(value =>
                    output.table(
                        value,
                        [
                            { heading: "VERSION", text: bundle => bundle.version },
                            { heading: "STATE", text: bundle => bundle.state },
                            { heading: "AUTHOR", text: bundle => bundle.author },
                            { heading: "TIME", text: bundle => formatTime(bundle.at) },
                            { heading: "DIGEST", text: bundle => bundle.digest },
                        ],
                        value.bundles,
                        "No bundles.",
                    ),
                );
            }),
        );
};
