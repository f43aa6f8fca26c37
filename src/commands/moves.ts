import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";
import { formatTime } from "./textTable.js";

export const addMovesCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("moves"), "sassafrasloom moves")
        .description("list current and recent moves of slices")
        .action((options: OperatorOptions) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const reply = await client.call("moves", {});
                return reply.map(value =>
                    output.table(
                        value,
                        [
                            { heading: "SERVICE", text: move => move.service },
                            { heading: "POSITIONS", text: move => `${move.start}-${move.end}` },
                            { heading: "FROM", text: move => move.from },
                            { heading: "TO", text: move => move.to },
                            { heading: "STATE", text: move => move.state },
                            { heading: "STARTED", text: move => formatTime(move.startedAt) },
                            { heading: "UNAVAILABLE MS", text: move => move.unavailableMs },
                            { heading: "CAUSE", text: move => move.cause },
                        ],
                        value.moves,
                        "No moves.",
                    ),
                );
            }),
        );
};
