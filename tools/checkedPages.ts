import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { processEnvironment } from "../src/commands/commandEnvironment.js";
import { LOCAL_COMMANDS } from "../src/commands/localCommands.js";
import { createProgram } from "../src/commands/program.js";
import { nameProblems, type KnownNames } from "./pageNames.js";

/** Pages in which names are checked. */
export const CHECKED_PAGES = ["README.md", "docs/README.md", "docs/OPERATIONS.md", "docs/glossary.md"] as const;

const sourceText = (folder: string): string =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(name => name.endsWith(".ts") && !name.includes("__tests__"))
        .map(name => readFileSync(join(folder, name), "utf8"))
        .join("\n");

/** Collects the names that exist in this checkout. Must run in the root folder of the project. */
export const knownNames = (): KnownNames => {
    const { scripts } = JSON.parse(readFileSync("package.json", "utf8")) as { scripts: Record<string, string> };
    return {
        program: createProgram(processEnvironment(), LOCAL_COMMANDS),
        scripts: Object.keys(scripts),
        source: sourceText("src"),
        exists: existsSync,
    };
};

/** Returns a problem for each name on the checked pages that doesn't exist. */
export const pageProblems = (): string[] => {
    const known = knownNames();
    return CHECKED_PAGES.flatMap(page => nameProblems(page, readFileSync(page, "utf8"), known));
};
