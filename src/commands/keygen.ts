import { writeFileSync } from "node:fs";
import type { Command } from "commander";
import { NAME_PATTERN } from "../process/settings/settings.js";
import { generateSigningKeys } from "../version/signature.js";
import { processOutput, type CommandOutput } from "./commandOutput.js";
import { reportProblems } from "./readInput.js";

/** File mode of private keys: only the owner can read and write them. */
const PRIVATE_KEY_MODE = 0o600;

/** Adds `keygen NAME`, which never overwrites a key. */
export const addKeygen = (program: Command, output: CommandOutput = processOutput): void => {
    program
        .command("keygen")
        .description(
            "generate a signer's key pair, write the private key to a file and print the line for the settings",
        )
        .argument("<name>", "name of the signer")
        .option("--out <file>", "file for the private key (default: NAME.key)")
        .option("--json", "print JSON")
        .addHelpText(
            "after",
            "\nExample:\n  sassafrasloom keygen anna --out anna.key\n\nExit codes: 0 written, 2 name invalid, 3 file exists or is not writable.",
        )
        .action((name: string, options: { out?: string; json?: boolean }) => {
            const json = options.json === true;
            if (!NAME_PATTERN.test(name)) {
                const remedy = "Use lower-case letters, digits and hyphens, up to 63.";
                reportProblems([{ type: "bad-value", file: "name", value: name, remedy }], json, output);
                return;
            }
            const file = options.out ?? `${name}.key`;
            const keys = generateSigningKeys();
            try {
                writeFileSync(file, keys.privateKeyPem, { flag: "wx", mode: PRIVATE_KEY_MODE });
            } catch (error) {
                const code = error instanceof Error && "code" in error ? String(error.code) : "unwritable";
                const remedy = `The key can't be written (${code}). Give a new file; existing keys are never overwritten.`;
                reportProblems([{ type: "unreadable-file", file, remedy }], json, output);
                return;
            }
            output.write(
                json
                    ? JSON.stringify({ ok: true, file, name, publicKey: keys.publicKey })
                    : `Private key written to ${file}. Add to the settings of all instances:\n\n[signers]\n${name} = ${keys.publicKey}`,
            );
        });
};
