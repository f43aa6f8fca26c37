import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";

/**
 * Writes a file to the trace folder and creates the folder if necessary.
 *
 * @example
 * writeTrace("traces", "faults-3.log", logs);
 */
export const writeTrace = (folder: string, file: string, text: string): void => {
    mkdirSync(folder, { recursive: true });
    writeFileSync(join(folder, file), text);
};
