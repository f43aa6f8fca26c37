import { readdirSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import type { Scenario } from "./scenario.js";

export type ScenarioError = { type: "unknown-scenario"; name: string; known: string[] };

const folder = new URL("../scenarios/", import.meta.url);

const fileNameOf = (name: string): string => name.replace(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());
const nameOf = (fileName: string): string => fileName.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** Returns the scenario names, which are the file names of `scenarios/` in kebab case. */
export const scenarioNames = (): string[] =>
    readdirSync(folder)
        .filter(file => /^[a-zA-Z]+\.(js|ts)$/.test(file))
        .map(file => nameOf(file.replace(/\.(js|ts)$/, "")))
        .sort();

/**
 * Loads a scenario by its name. The scenario `hot-key` is the export `hotKey` of `scenarios/hotKey.ts`.
 *
 * @example
 * const scenario = await loadScenario("hot-key");
 */
export const loadScenario = async (name: string): Promise<Result<Scenario, ScenarioError>> => {
    const known = scenarioNames();
    if (!known.includes(name)) {
        return err({ type: "unknown-scenario", name, known });
    }
    const file = fileNameOf(name);
    const loaded = (await import(new URL(`${file}.js`, folder).href)) as Record<string, Scenario>;
    return ok(loaded[file]);
};
