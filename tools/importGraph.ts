import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";

const IMPORT = /^(?:import|export)\s[^;]*?from "(\.[^"]+)"/gms;

/**
 * Maps each module of a folder to the modules that it imports, including type-only imports. Tests are excluded.
 *
 * @example
 * importGraph("src").get("src/process/daemon.ts"); // Set { "src/process/runtime/clock.ts", ... }
 */
export const importGraph = (folder: string): Map<string, Set<string>> => {
    const files = readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(name => name.endsWith(".ts") && !name.includes("__tests__"))
        .map(name => join(folder, name));
    return new Map(
        files.map(file => {
            const imports = [...readFileSync(file, "utf8").matchAll(IMPORT)].map(([, path]) =>
                normalize(join(dirname(file), path)).replace(/\.js$/, ".ts"),
            );
            return [file, new Set(imports.filter(path => existsSync(path)))];
        }),
    );
};

/**
 * Returns an import cycle, or `undefined` if there is none.
 *
 * @example
 * findCycle(new Map([["a.ts", new Set(["b.ts"])], ["b.ts", new Set(["a.ts"])]])); // ["a.ts", "b.ts", "a.ts"]
 */
export const findCycle = (graph: ReadonlyMap<string, ReadonlySet<string>>): string[] | undefined => {
    const finished = new Set<string>();
    const visit = (module: string, path: readonly string[]): string[] | undefined => {
        const start = path.indexOf(module);
        if (start >= 0) {
            return [...path.slice(start), module];
        }
        if (finished.has(module)) {
            return undefined;
        }
        for (const imported of graph.get(module) ?? []) {
            const cycle = visit(imported, [...path, module]);
            if (cycle !== undefined) {
                return cycle;
            }
        }
        finished.add(module);
        return undefined;
    };
    for (const module of graph.keys()) {
        const cycle = visit(module, []);
        if (cycle !== undefined) {
            return cycle;
        }
    }
    return undefined;
};
