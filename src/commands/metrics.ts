import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";

export const addMetricsCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("metrics [text]"), "sassafrasloom metrics load_imbalance")
        .description("show a daemon's metrics, or only those whose name contains the text; see docs/metrics.md")
        .action((text: string | undefined, options: OperatorOptions) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const reply = await client.call("metrics", {});
                return reply.map(value => {
                    const samples = value.samples.filter(({ name }) => name.includes(text ?? ""));
                    output.table(
                        { samples },
                        [
                            { heading: "METRIC", text: sample => sample.name },
                            {
                                heading: "LABELS",
                                text: ({ labels }) =>
                                    Object.entries(labels)
                                        .map(([label, labelValue]) => `${label}=${labelValue}`)
                                        .join(" "),
                            },
                            { heading: "VALUE", text: sample => sample.value },
                        ],
                        samples,
                        "No metric name contains the text. docs/metrics.md lists the names.",
                    );
                });
            }),
        );
};
