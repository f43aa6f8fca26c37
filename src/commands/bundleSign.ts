import { writeFileSync } from "node:fs";
import type { Command } from "commander";
import { NAME_PATTERN } from "../process/settings/settings.js";
import { signBundle } from "../version/signature.js";
import { LOCAL_EXIT_CODES, processOutput, type CommandOutput } from "./commandOutput.js";
import { readBundle, readInput, reportProblems } from "./readInput.js";

/** Path of the signature of a bundle file. */
export const signatureFile = (bundleFile: string): string => `${bundleFile}.signature`;

/** Adds `bundle sign FILE`, which signs only bundles that pass the check. */
export const addBundleSign = (group: Command, output: CommandOutput = processOutput): void => {
    group
        .command("sign")
        .description("check a bundle and write its signature to FILE.signature")
        .argument("<file>", "bundle file")
        .requiredOption("--author <name>", "name of the signer, as in the section signers of the settings")
        .requiredOption("--key <file>", "file with the signer's private key, from `sassafrasloom keygen`")
        .option("--json", "print JSON")
        .addHelpText(
            "after",
            "\nExample:\n  sassafrasloom bundle sign steyrtal.bundle.ini --author anna --key anna.key\n\nExit codes: 0 signed, 2 bundle, name or key invalid, 3 file not readable or writable.",
        )
        .action((file: string, options: { author: string; key: string; json?: boolean }) => {
            const json = options.json === true;
            const read = readBundle(file);
            const key = readInput(options.key);
            if (read.isErr() || key.isErr()) {
                const problems = [...(read.isErr() ? read.error : []), ...(key.isErr() ? key.error : [])];
                reportProblems(problems, json, output);
                return;
            }
            if (!NAME_PATTERN.test(options.author)) {
                const remedy = "Give the author as in the settings: lower-case letters, digits and hyphens.";
                const problem = { type: "bad-value", file: "--author", value: options.author, remedy } as const;
                reportProblems([problem], json, output);
                return;
            }
            const { content, bundle } = read.value;
            const signed = signBundle(content, bundle.version, options.author, key.value.toString("utf8"));
            if (signed.isErr()) {
                reportProblems([{ type: "bad-value", file: options.key, remedy: signed.error.detail }], json, output);
                return;
            }
            const target = signatureFile(file);
            try {
                writeFileSync(target, `${JSON.stringify(signed.value)}\n`);
            } catch (error) {
                const code = error instanceof Error && "code" in error ? String(error.code) : "unwritable";
                const remedy = `The signature can't be written (${code}). Check the directory's permissions.`;
                reportProblems([{ type: "unreadable-file", file: target, remedy }], json, output);
                return;
            }
            output.write(
                json
                    ? JSON.stringify({ ok: true, file: target, ...signed.value })
                    : `${target}: version ${bundle.version} signed by ${options.author}, digest ${signed.value.digest}`,
            );
            output.exitCode(LOCAL_EXIT_CODES.ok);
        });
};
