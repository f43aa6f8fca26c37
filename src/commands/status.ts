import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";

/** A lease that no other member of the domain limits is reported as the largest safe integer. */
const formatLease = (leaseMs: number): string => {
    if (leaseMs >= Number.MAX_SAFE_INTEGER) {
        return "unlimited, no other member";
    }
    return leaseMs > 0 ? `${leaseMs} ms left` : "lapsed";
};

export const addStatusCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("status"), "sassafrasloom status --json")
        .description("show the state of a daemon")
        .action((options: OperatorOptions) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const reply = await client.call("status", {});
                return reply.map(value => {
                    const { platformSilenceMs } = value;
                    const silence = platformSilenceMs === undefined ? "" : `, last answer ${platformSilenceMs} ms ago`;
                    const fields: [string, string | number][] = [
                        ["instance", value.instance],
                        ["domain", value.domain],
                        ["incarnation", value.incarnation],
                        ["state", value.state],
                        ["up for", `${Math.floor(value.uptimeMs / 1000)} s`],
                        ["platform", `${value.platform}${silence}`],
                        ["lease", formatLease(value.leaseMs)],
                        ["bundle", value.bundleVersion],
                        ["members", `${value.reachableMembers} of ${value.members} reachable`],
                        ["targets", value.dispatches],
                        ...value.warnings.map((warning): [string, string] => ["warning", warning]),
                    ];
                    output.table(
                        value,
                        [
                            { heading: "FIELD", text: ([field]) => field },
                            { heading: "VALUE", text: ([, text]) => text },
                        ],
                        fields,
                        "",
                    );
                });
            }),
        );
};
