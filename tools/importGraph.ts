import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";

const IMPORT = /^(?:import|export)\s[^;]*?from "(\.[^"]+)"/gms;

/**
 * Modules of a folder with the modules that each imports, also for types only. Tests are left out.
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
 * A circle of imports, or `undefined` when there is none.
 *
 * @example
 * findCircle(new Map([["a.ts", new Set(["b.ts"])], ["b.ts", new Set(["a.ts"])]])); // ["a.ts", "b.ts", "a.ts"]
 */
export const findCircle = (graph: ReadonlyMap<string, ReadonlySet<string>>): string[] | undefined => {
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
            const circle = visit(imported, [...path, module]);
            if (circle !== undefined) {
                return circle;
            }
        }
        finished.add(module);
        return undefined;
    };
    for (const module of graph.keys()) {
        const circle = visit(module, []);
        if (circle !== undefined) {
            return circle;
        }
    }
    return undefined;
};
