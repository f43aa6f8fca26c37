import type { Command } from "commander";
import { bundleDigest } from "../version/signature.js";
import { processOutput, type CommandOutput } from "./commandOutput.js";
import { readBundle, reportProblems } from "./readInput.js";

export const addBundleCheck = (group: Command, output: CommandOutput = processOutput): void => {
    group
        .command("check")
        .description("check a bundle and report all of its problems")
        .argument("<file>", "bundle file")
        .option("--json", "print JSON")
        .addHelpText(
            "after",
            "\nExample:\n  sassafrasloom bundle check steyrtal.bundle.ini\n\nExit codes: 0 valid, 2 invalid, 3 file not readable.",
        )
        .action((file: string, options: { json?: boolean }) => {
            readBundle(file).match(
                ({ content, bundle }) => {
                    const { version, name, expires, services, kinds } = bundle;
                    const digest = bundleDigest(content);
                    const counts = { services: services.length, kinds: kinds.length };
                    output.write(
                        options.json === true
                            ? JSON.stringify({ ok: true, version, name, expires, digest, ...counts })
                            : `${file} is valid: ${name} version ${version}, ${counts.services} services, ` +
                                  `${counts.kinds} kinds, expires ${expires}, digest ${digest}`,
                    );
                },
                problems => reportProblems(problems, options.json === true, output),
            );
        });
};
