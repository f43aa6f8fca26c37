import type { Command } from "commander";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";

export const addDomainEvacuateCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(
        parent.command("evacuate <domain>"),
        'sassafrasloom domain evacuate wels --gone "Power is off, confirmed on site by K. Huber"',
    )
        .description("move the keys of a lost failure domain to the others")
        .requiredOption(
            "--gone <statement>",
            "how you know that no instance of the domain runs; kept in the audit trail (10 to 1000 characters)",
        )
        .addHelpText(
            "after",
            "\nIf instances of the domain still run, a key can have two owners. Services with on-domain-loss = hold are not moved.\n" +
                "The daemon first waits for promise plus the maximum deadline-cap-ms; give a longer --timeout-ms if this takes longer.\n" +
                "The command can be repeated safely: it moves only what has not been moved.\n",
        )
        .action((domain: string, options: OperatorOptions & { gone: string }) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const reply = await client.call("domainEvacuate", { domain, statement: options.gone });
                return reply.map(value => {
                    const { slices, targets, services } = value;
                    const text = `Moved ${slices} slices of ${targets} targets of ${services} services out of ${domain}.`;
                    output.message(value, text);
                });
            }),
        );
};
