import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";
import { formatTime } from "./textTable.js";

export const addQuarantineListCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("list"), "sassafrasloom quarantine list")
        .description("list requests that are suspected of crashing targets or quarantined for it")
        .action((options: OperatorOptions) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const reply = await client.call("quarantineList", {});
                return reply.map(value =>
                    output.table(
                        value,
                        [
                            { heading: "FINGERPRINT", text: entry => entry.fingerprint },
                            { heading: "SERVICE", text: entry => entry.service },
                            { heading: "STATE", text: entry => entry.state },
                            { heading: "CRASHES", text: entry => entry.crashes },
                            { heading: "UNTIL", text: entry => formatTime(entry.until) },
                            { heading: "DETAIL", text: entry => entry.detail },
                        ],
                        value.entries,
                        "Nothing is in quarantine.",
                    ),
                );
            }),
        );
};
