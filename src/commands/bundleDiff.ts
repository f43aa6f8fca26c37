import type { Command } from "commander";
import { diffBundles, type BundleDifference } from "../version/diffBundles.js";
import { processOutput, type CommandOutput } from "./commandOutput.js";
import { readBundle, reportProblems } from "./readInput.js";

const formatDifference = (difference: BundleDifference): string => {
    const section = difference.section === "" ? "top" : `[${difference.section}]`;
    switch (difference.type) {
        case "added":
            return `+ ${section}`;
        case "removed":
            return `- ${section}`;
        case "changed":
            return `~ ${section} ${difference.field}: ${difference.before ?? "(unset)"} -> ${difference.after ?? "(unset)"}`;
    }
};

export const addBundleDiff = (group: Command, output: CommandOutput = processOutput): void => {
    group
        .command("diff")
        .description("list the differences between two bundles, ignoring order and comments")
        .argument("<old>", "bundle file")
        .argument("<new>", "bundle file")
        .option("--json", "print JSON")
        .addHelpText(
            "after",
            "\nExample:\n  sassafrasloom bundle diff v1.bundle.ini v2.bundle.ini\n\nExit codes: 0 compared, 2 a bundle is invalid, 3 file not readable.",
        )
        .action((oldFile: string, newFile: string, options: { json?: boolean }) => {
            const before = readBundle(oldFile);
            const after = readBundle(newFile);
            if (before.isErr() || after.isErr()) {
                const problems = [before, after].flatMap(read => (read.isErr() ? read.error : []));
                reportProblems(problems, options.json === true, output);
                return;
            }
            const differences = diffBundles(before.value.bundle, after.value.bundle);
            if (options.json === true) {
                output.write(JSON.stringify({ ok: true, differences }));
            } else {
                output.write(
                    differences.length === 0 ? "No differences." : differences.map(formatDifference).join("\n"),
                );
            }
        });
};
