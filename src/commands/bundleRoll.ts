import type { Command } from "commander";
import { err, fromThrowable, ok, type Result } from "neverthrow";
import type { OperatorRequest } from "../connection/operatorCalls.js";
import { formatInputProblem } from "../process/settings/inputProblem.js";
import { bundleSignatureSchema, type BundleSignature } from "../version/signature.js";
import { signatureFile } from "./bundleSign.js";
import type { CommandEnvironment } from "./commandEnvironment.js";
import type { CommandError } from "./exitCodes.js";
import { followUpdates, runOperatorCommand, withOperatorOptions, type OperatorOptions } from "./operatorCommand.js";
import { readInput } from "./readInput.js";

interface RollOptions {
    signature?: string;
}

const readFile = (file: string): Result<Buffer, CommandError> =>
    readInput(file).mapErr(problems => ({
        type: "unreadable-file",
        detail: problems.map(formatInputProblem).join("\n"),
    }));

const decodeSignature = (file: string, content: Buffer): Result<BundleSignature, CommandError> => {
    const decode = fromThrowable((text: string): unknown => JSON.parse(text));
    const parsed = bundleSignatureSchema.safeParse(decode(content.toString("utf8")).unwrapOr(undefined));
    return parsed.success
        ? ok(parsed.data)
        : err({ type: "usage", detail: `${file} is not a bundle signature. Create one with \`bundle sign\`.` });
};

const readRollRequest = (file: string, options: RollOptions): Result<OperatorRequest<"bundleRoll">, CommandError> => {
    const path = options.signature ?? signatureFile(file);
    return readFile(file).andThen(content =>
        readFile(path)
            .mapErr((error): CommandError => ({ ...error, detail: `${error.detail} Create it with \`bundle sign\`.` }))
            .andThen(signature => decodeSignature(path, signature))
            .map(({ author, signature }) => ({ content, author, signature: Buffer.from(signature, "base64") })),
    );
};

export const addBundleRollCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("roll <file>"), "sassafrasloom bundle roll steyrtal.bundle.ini")
        .description("roll a signed bundle out to all failure domains and wait until it is accepted")
        .option("--signature <file>", "file with the signature; FILE.signature by default")
        .action((file: string, options: OperatorOptions & RollOptions) =>
            runOperatorCommand(environment, options, async ({ client, output }) => {
                const request = readRollRequest(file, options);
                if (request.isErr()) {
                    return err(request.error);
                }
                const result = await followUpdates<"bundleRoll">(client.stream("bundleRoll", request.value), output);
                return result.map(({ version, digest }) =>
                    output.notice(`Version ${version} is accepted (digest ${digest}).`),
                );
            }),
        );
};
