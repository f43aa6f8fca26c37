import { existsSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/**
 * Path of a file in the project's `proto/` folder. Searches the parent folders of this module, because the compiled
 * modules are one level deeper than the sources.
 *
 * @throws Error if the installation lacks the file.
 * @example
 * loadSync(protoPath("operator.proto"));
 */
export const protoPath = (fileName: string): string => {
    const start = dirname(fileURLToPath(import.meta.url));
    for (let folder = start; ; folder = dirname(folder)) {
        const candidate = join(folder, "proto", fileName);
        if (existsSync(candidate)) {
            return candidate;
        }
        if (folder === dirname(folder)) {
            throw new Error(`proto/${fileName} was not found in a parent folder of ${start}. Reinstall the package.`);
        }
    }
};
