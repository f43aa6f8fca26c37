import { Option, type Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import type { OperatorRequest } from "../connection/operatorCalls.js";
import type { OperatorClient } from "../connection/operatorClient.js";
import type { CommandEnvironment } from "./commandEnvironment.js";
import type { CommandError } from "./exitCodes.js";
import { followUpdates, runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";

type DrainRequest = OperatorRequest<"drain">;

interface DrainOptions {
    kind?: DrainRequest["subject"];
    service?: string;
}

/** Determines whether a name refers to a target or to an instance. */
const resolveSubject = async (
    client: OperatorClient,
    name: string,
    { kind, service }: DrainOptions,
): Promise<Result<DrainRequest, CommandError>> => {
    if (kind === "instance") {
        return ok({ subject: "instance", name });
    }
    if (kind === "target") {
        return ok({ subject: "target", name, service });
    }
    const targets = await client.call("targets", { service });
    if (targets.isErr()) {
        return err(targets.error);
    }
    const instances = await client.call("instances", {});
    if (instances.isErr()) {
        return err(instances.error);
    }
    const services = targets.value.targets.filter(({ target }) => target === name).map(target => target.service);
    const isInstance = service === undefined && instances.value.instances.some(({ instance }) => instance === name);
    if (services.length + (isInstance ? 1 : 0) > 1) {
        const matches = [...services.map(found => `a target of ${found}`), ...(isInstance ? ["an instance"] : [])];
        const detail = `${name} is ${matches.join(" and ")}. Give --kind or --service.`;
        return err({ type: "usage", detail });
    }
    if (isInstance) {
        return ok({ subject: "instance", name });
    }
    return services.length === 1
        ? ok({ subject: "target", name, service: services[0] })
        : err({
              type: "not-found",
              detail: `There is no target or instance ${name}. See \`sassafrasloom targets\` and \`sassafrasloom instances\`.`,
          });
};

export const addDrainCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("drain <target|instance>"), "sassafrasloom drain stock-7")
        .description("take a target or an instance out of service without interrupting requests")
        .addOption(new Option("--kind <kind>", "what the name refers to").choices(["target", "instance"]))
        .option("--service <name>", "the service of the target")
        .action((name: string, options: OperatorOptions & DrainOptions) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const request = await resolveSubject(client, name, options);
                if (request.isErr()) {
                    return err(request.error);
                }
                const result = await followUpdates<"drain">(client.stream("drain", request.value), output);
                return result.map(({ detail }) => output.notice(detail));
            }),
        );
};
